"""Adapter to the users' platform: decodes its messages into our own types.

Only this package knows the names that the platform uses, and it makes no
decisions of its own.
"""
