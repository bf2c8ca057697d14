"""Shared foundation: errors, result codes, registries, lifecycle, logs."""
