"""Routes, workspaces, quotas and targets, as an instance serves them.

Used by mintlanding.node. Target, Service and Workspace are not the classes of
those names in mintlanding.configuration.
"""
