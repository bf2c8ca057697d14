"""Stand-ins for the platform, its workers and its clients (standard library only)."""
