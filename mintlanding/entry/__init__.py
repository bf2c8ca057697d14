"""HTTP entry for callers: authenticate, charge, forward and stream back."""
