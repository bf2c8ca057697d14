"""Limits that targets name, kept by all instances together.

`table` knows what each target named last, `pacer` spreads the requests that a
limit allows over time, and `desk` decides who of those that wait goes next.
"""
