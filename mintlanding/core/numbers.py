"""Decode numbers that other systems write."""

import re

# Counts with more digits are not exact as floats.
_COUNT = re.compile('[0-9]{1,15}')


def parse_count(text: str) -> int | None:
    """Return a decimal number without a sign, None for anything else.

    `str.isdigit` accepts digits that `int` does not, and `int` raises for
    thousands of digits.
    """
    return int(text) if _COUNT.fullmatch(text) else None
