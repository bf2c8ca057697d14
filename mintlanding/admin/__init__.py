"""HTTP API for operators to administer the configuration."""
