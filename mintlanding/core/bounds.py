"""Bounds of values that other systems and processes write."""

from typing import Annotated

from msgspec import Meta

# Requests, tokens, slots or attempts.
MAX_COUNT = 10**9
# Revisions, versions and milliseconds since the epoch: exact as floats.
MAX_WHOLE = 2**53 - 1
# Megabytes, rates, weights and sums of tokens.
MAX_AMOUNT = 1e15
MAX_NAME_CHARACTERS = 200
# Names are sent in header fields.
NAME_PATTERN = '[\x20-\x7e\xa0-\xff]*'
MAX_PORT = 65535
# Sums grow without a bound of their own, but are finite.
_MAX_FINITE = 1e300

# Types of the fields of messages and records of instances.
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Whole = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]
# Numbers that the store assigns.
StoreNumber = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Port = Annotated[int, Meta(ge=0, le=MAX_PORT)]
Amount = Annotated[float, Meta(ge=0, le=_MAX_FINITE)]
SignedAmount = Annotated[float, Meta(ge=-_MAX_FINITE, le=_MAX_FINITE)]
# An age or limit, -1 for none.
OptionalAmount = Annotated[float, Meta(ge=-1, le=_MAX_FINITE)]
# Seconds until something happens, infinite if that is unknown.
Wait = Annotated[float, Meta(ge=-_MAX_FINITE)]
