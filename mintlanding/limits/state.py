"""What the parts of one instance's limits share."""

from dataclasses import dataclass, field

import xxhash

from mintlanding.limits.holders import HolderView
from mintlanding.limits.options import LimitsOptions
from mintlanding.limits.outbox import Outbox
from mintlanding.limits.pools import Pool


@dataclass(slots=True)
class Shares:
    """The pools of an instance, its own seats and whom it sees."""

    options: LimitsOptions
    view: HolderView
    outbox: Outbox
    pools: dict[str, Pool]
    owned: set[int] = field(default_factory=set)
    is_leaving: bool = False


def loan_digest(workspace: str, seat: int, number: int) -> int:
    """Return one seat's part of the digest that sums up loans."""
    return xxhash.xxh3_64_intdigest(
        f'{workspace}\0{seat}\0{number}'.encode(),
    )
