"""Remote calls between the processes of the system, over gRPC.

Used by the agent, entry and admin processes; mintlanding.node uses
mintlanding.links.
"""
