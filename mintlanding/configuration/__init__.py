"""The operators' configuration: objects, revisions, storage, distribution.

Used by mintlanding.agent, entry and admin. The other server stack has its own
Target, Service and Workspace in mintlanding.traffic.
"""
