"""Failure detection: which instances are live, leaving, silent or gone.

Instances exchange heartbeats and gossip member records and worker digests. An
instance that gets no reply adds its suspicion to the member's record; the
member refutes it with a later record.

Used by mintlanding.agent; mintlanding.node has a membership of its own.
"""
