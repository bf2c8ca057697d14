"""Routes, workspaces, caps and targets as an instance serves them."""
