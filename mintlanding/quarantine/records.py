"""Record of a part in quarantine, as it is stored."""

import msgspec


class QuarantineRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored record of a part in quarantine.

    `last_crash` is the time of the last crash in seconds since the epoch,
    `trials` how many trials were claimed.
    """

    position: int
    crashes: int
    last_crash: float
    trials: int = 0


class RequestRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored record of a request under which targets crashed.

    `targets` are the crashed ones with their incarnations, `last_crash` is in
    seconds since the epoch, `trials` how many trials were claimed.
    """

    targets: tuple[str, ...]
    last_crash: float
    trials: int = 0
    is_quarantined: bool = False
