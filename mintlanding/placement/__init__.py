"""Placement of adapters on workers: reservations, loads and evictions.

The steward of a worker is the component, on one agent, that queues the worker's
reservations and orders its engine to load and evict adapters. The weight store
limits concurrent loads: a load needs one of its permits.
"""
