"""A randomized soak test of the platform's program under external faults."""
