"""The process of one instance, which keeps no state on disk.

It routes requests of callers to targets, exchanges statuses with the other
instances, and runs a steward for each worker that it holds: the component that
queues the worker's requests and loads and evicts its adapters. The holder of a
worker has the exclusive right to send it orders; its record in the store is
the ownership record.

Started by `python -m mintlanding.platform`. The other server stack is
mintlanding.agent and mintlanding.entry. Reservation in node.admissions is not
the one in mintlanding.placement.models.
"""
