"""Stand-ins of the second review: store, workers, consumers and the fleet."""
