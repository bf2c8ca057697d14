"""Admission of requests to engines, and the loading of adapters on them.

The steward of a worker is the component, on one instance, that queues the
worker's requests and orders its engine to load and unload adapters. The
instance is the worker's holder. An engine takes orders in sequence.

Used by mintlanding.node. The other server stack has its own EngineReport,
WorkerDigest, StewardOptions and SlotState in mintlanding.placement, and its own
QueuedRequest in mintlanding.fairness.
"""
