"""Connections between the instances of one fleet."""
