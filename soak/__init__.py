"""A randomized soak of the platform's program under faults from outside."""
