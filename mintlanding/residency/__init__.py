"""Adapters on engines that take orders in sequence, and who may order."""
