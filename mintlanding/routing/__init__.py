"""Choice of a target for a request; retries and their budget."""
