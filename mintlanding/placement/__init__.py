"""Placement of adapters on workers: reservations, loads and evictions.

The steward of a worker is the component, on one agent, that queues the worker's
reservations and orders its engine to load and evict adapters. The weight store
limits concurrent loads: a load needs one of its permits. A pin is a granted
reservation; while it lasts, its adapter is not evicted. A fence order presents
the fencing token of a new steward to the engine. An engine that checks fencing
tokens then rejects older ones.

Used by mintlanding.agent and mintlanding.entry. The other server stack has its
own EngineReport, WorkerDigest, StewardOptions and SlotState in
mintlanding.residency, and its own Reservation in mintlanding.node.admissions.
Reservation in mintlanding.limits.messages is one of tokens; EngineReport in
mintlanding.engines.messages is the form that an engine sends.
"""
