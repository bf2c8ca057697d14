"""Idempotency keys: each request under a key is sent at most once."""
