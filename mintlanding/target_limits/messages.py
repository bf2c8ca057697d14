"""What instances tell each other about the limits of targets."""

import msgspec

from mintlanding.core.bounds import Amount, OptionalAmount, Whole

# Value of a report that the target no longer names a limit.
NO_LIMIT = -1.0


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a target last named to the sender, `age` seconds ago.

    `limit` is in requests per second for all instances together, `NO_LIMIT` if
    the target's last response named none.
    """

    target: str
    incarnation: Whole
    limit: OptionalAmount
    age: OptionalAmount = 0


class ColdReport(msgspec.Struct, frozen=True, array_like=True):
    """A run of a target that stays cold for `left` more seconds.

    The sender knows it from the target's entry or from its zone's return.
    """

    target: str
    incarnation: Whole
    left: Amount
