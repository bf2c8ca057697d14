"""State that lending, borrowing and hand-overs of an instance share."""

from dataclasses import dataclass, field

import xxhash

from mintlanding.limits.holders import HolderView
from mintlanding.limits.options import LimitsOptions
from mintlanding.limits.outbox import Outbox
from mintlanding.limits.pools import Pool


@dataclass(slots=True)
class LimitsState:
    """The pools of an instance, the seats it owns and its view of members."""

    options: LimitsOptions
    view: HolderView
    outbox: Outbox
    pools: dict[str, Pool]
    owned: set[int] = field(default_factory=set)
    is_leaving: bool = False


def loan_digest(workspace: str, seat: int, number: int) -> int:
    """Return the checksum of one lent seat.

    A borrower and a lender compare the XOR of these checksums to find out
    whether they agree on all loans between them.
    """
    return xxhash.xxh3_64_intdigest(
        f'{workspace}\0{seat}\0{number}'.encode(),
    )
