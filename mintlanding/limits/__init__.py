"""Token quotas of workspaces, enforced over the whole fleet.

A quota is the rate and burst of a workspace. It is divided into equal slices,
called seats. Each seat is owned by one instance, which lends it to the holder
of the workspace's bucket for a limited time.

Used by mintlanding.agent; quotas of the other server stack are in
mintlanding.traffic. Reservation is one of tokens, not the one of a worker in
mintlanding.placement.models.
"""
