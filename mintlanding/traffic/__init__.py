"""Routes, workspaces, quotas and targets, as an instance serves them."""
