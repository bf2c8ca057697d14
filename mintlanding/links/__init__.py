"""Connections between the instances of one fleet, used by mintlanding.node."""
