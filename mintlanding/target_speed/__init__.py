"""How fast each target works now, learned from own times and its reports."""
