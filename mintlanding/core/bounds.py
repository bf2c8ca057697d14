"""Bounds of values that other systems and processes write."""

# Requests, tokens, slots or attempts.
MAX_COUNT = 10**9
# Revisions, versions and milliseconds since the epoch: exact as floats.
MAX_WHOLE = 2**53 - 1
# Megabytes, rates, weights and sums of tokens.
MAX_AMOUNT = 1e15
MAX_NAME_CHARACTERS = 200
# Names are sent in header fields.
NAME_PATTERN = '[\x20-\x7e\xa0-\xff]*'
