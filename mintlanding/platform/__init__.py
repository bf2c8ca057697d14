"""The users' platform: its names, decoded once into the product's types.

Nothing outside this package knows how the platform spells things, and
nothing in it decides.
"""
