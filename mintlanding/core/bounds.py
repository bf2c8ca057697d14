"""Bounds of values that other systems and processes write."""

import sys
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
# Bytes of a record of the store, and of a text in it.
MAX_RECORD_BYTES = 4 << 20
# Bytes of a header field.
MAX_FIELD_BYTES = 1 << 30
# Numbers that the store assigns.
MAX_STORE_NUMBER = 2**63 - 1
# Sums grow without a bound of their own, but are finite.
MAX_FINITE = 1e300
MAX_FLOAT = sys.float_info.max

# Types of the fields of messages and records of instances.
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Whole = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]
StoreNumber = Annotated[int, Meta(ge=0, le=MAX_STORE_NUMBER)]
Port = Annotated[int, Meta(ge=0, le=MAX_PORT)]
Amount = Annotated[float, Meta(ge=0, le=MAX_FINITE)]
SignedAmount = Annotated[float, Meta(ge=-MAX_FINITE, le=MAX_FINITE)]
# An age or limit, -1 for none.
OptionalAmount = Annotated[float, Meta(ge=-1, le=MAX_FINITE)]
# Seconds until something happens, infinite if that is unknown.
Wait = Annotated[float, Meta(ge=-MAX_FINITE)]
