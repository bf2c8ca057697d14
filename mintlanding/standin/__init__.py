"""Stand-ins for the platform and the targets, with injectable faults."""
