"""Availability zones that operators empty of traffic."""
