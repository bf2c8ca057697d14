"""One process an instance: callers, links, stewards, without a disk."""
