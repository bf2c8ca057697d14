"""The agent of an instance: configuration, membership, limits, placement.

For each worker of a zone, one agent runs the steward, which queues requests
for the worker and loads and evicts its adapters.

Started by `mintlanding-agent`, beside the process of `mintlanding-entry`. The
other server stack is mintlanding.node.
"""
