"""Records of load, and their replay against the product's own decisions.

`log_reader` makes a record from the log lines of a run and `patterns` from a
seed, `record_file` stores it. `replay` replays it with a policy of `policies`
on a virtual clock, `results` counts the outcomes, and `bound` is what no policy
can exceed.
"""
