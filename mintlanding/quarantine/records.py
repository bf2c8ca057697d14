"""Record of a part in quarantine, as it is stored."""

import msgspec


class QuarantineRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored record of a part in quarantine.

    `last_crash` is the time of the last crash in seconds since the epoch.
    """

    position: int
    crashes: int
    last_crash: float
