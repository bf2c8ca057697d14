"""Record of a part in quarantine, as it is stored."""

from typing import Annotated

import msgspec

from mintlanding.core.bounds import Amount, Count

# Crashes that a record counts; restoring takes a step for each.
MAX_CRASHES = 1000


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
