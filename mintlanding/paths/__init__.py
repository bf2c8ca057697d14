"""Which targets an instance reaches directly, and which through members."""
