"""Bytes that one process holds for its callers, and what it gives up."""
