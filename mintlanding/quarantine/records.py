"""Record of a part in quarantine, as it is stored."""

from typing import Annotated

import msgspec

from mintlanding.core.borders import ValueBounds, border, decode_with
from mintlanding.core.bounds import (
    MAX_FINITE,
    MAX_RECORD_BYTES,
    MAX_WHOLE,
    Amount,
    Count,
)
from mintlanding.core.exceptions import MemberDataInvalid

# Crashes that a record counts; restoring takes a step for each.
MAX_CRASHES = 1000
_BOUNDS = ValueBounds(MAX_WHOLE, 0, MAX_FINITE, MAX_RECORD_BYTES)


class QuarantineRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored record of a part in quarantine.

    `last_crash` is the time of the last crash in seconds since the epoch,
    `trials` how many trials were claimed.
    """

    position: Count
    crashes: Annotated[int, msgspec.Meta(ge=0, le=MAX_CRASHES)]
    last_crash: Amount
    trials: Count = 0


class RequestRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored record of a request under which targets crashed.

    `targets` are the crashed ones with their incarnations, `last_crash` is in
    seconds since the epoch, `trials` how many trials were claimed.
    """

    targets: tuple[str, ...]
    last_crash: Amount
    trials: Count = 0
    is_quarantined: bool = False


_PART_DECODER = msgspec.json.Decoder(QuarantineRecord)
_REQUEST_DECODER = msgspec.json.Decoder(RequestRecord)


@border('quarantined-part', MemberDataInvalid, _BOUNDS)
def decode_quarantine(content: bytes) -> QuarantineRecord:
    """Decode the record of a part; raise MemberDataInvalid."""
    return decode_with(_PART_DECODER.decode, content, MemberDataInvalid)


@border('quarantined-request', MemberDataInvalid, _BOUNDS)
def decode_request_record(content: bytes) -> RequestRecord:
    """Decode the record of a request; raise MemberDataInvalid."""
    return decode_with(_REQUEST_DECODER.decode, content, MemberDataInvalid)
