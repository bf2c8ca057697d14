"""Checks and comparison of operators' configurations, without a server."""
