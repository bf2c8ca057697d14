"""Idempotency keys and at-most-once calls."""
