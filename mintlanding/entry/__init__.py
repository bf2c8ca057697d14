"""HTTP entry for callers: authenticate, charge, forward and stream back.

A worker's steward is the component, on one instance, that queues requests for
the worker and loads or evicts its adapters.

Started by `mintlanding-entry`; the stewards run in `mintlanding-agent`.
"""
