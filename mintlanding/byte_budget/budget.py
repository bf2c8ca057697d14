"""Budget of the bytes that a process holds for its callers.

It bounds memory under many clients that each stay within the limits of one
request but never finish it, or never read their responses. Bodies are refused
at their head above a threshold; above the limit, unfinished requests and unread
responses are given up, those without progress first, then the largest.
"""

import math
from collections import Counter
from collections.abc import Container, Hashable
from dataclasses import dataclass
from typing import Self

from mintlanding.byte_budget.models import HeldKind, ProcessLimits

# Share of the limit above which large bodies are refused at their head.
_REFUSE_SHARE = 0.75
# Share of the limit down to which holders are given up once it is exceeded, so
# that one choice lasts for a while.
_RELIEF_SHARE = 0.9
# Bodies up to this size are accepted until the limit is reached: requests of
# ordinary callers are small, and these must be served beside a crowd.
_SMALL_BODY_BYTES = 64 << 10
# Seconds without progress after which a holder has stalled. A sender whose
# packets are lost pauses for less.
_STALLED_SECONDS = 1.0
# Seconds until the next choice after one that found nothing to give up.
_CHOICE_PAUSE = 0.05

HolderKey = tuple[Hashable, HeldKind]


@dataclass(slots=True)
class _Holding:
    size: int
    moved_at: float

    def is_stalled(self, now: float) -> bool:
        return now - self.moved_at >= _STALLED_SECONDS


class ByteBudget:
    """Counts held bytes by kind and holder, and decides what to give up."""

    def __init__(self, limit: float) -> None:
        """Start with nothing held."""
        self.limit = limit
        self.total = 0
        self.kinds = dict.fromkeys(HeldKind, 0)
        # Requests refused and connections closed, by reason.
        self.refusals: Counter[str] = Counter()
        self.closed: Counter[str] = Counter()
        # Ordered by the time of their last progress.
        self._holdings: dict[HolderKey, _Holding] = {}
        self._next_choice = -math.inf

    @classmethod
    def from_config(cls, cfg: ProcessLimits) -> Self:
        """Create the budget of a process."""
        return cls(cfg.held_bytes)

    @classmethod
    def unlimited(cls) -> Self:
        """Create a budget that only counts."""
        return cls(math.inf)

    @property
    def is_exceeded(self) -> bool:
        """Tell whether holders have to be given up."""
        return self.total > self.limit

    @property
    def is_short(self) -> bool:
        """Tell whether only small bodies may be received and held."""
        return self.total > self.limit * _REFUSE_SHARE

    def admits(self, size: int) -> bool:
        """Tell whether a body of this size may be received.

        Beside small requests only, a body that is not given up at its full
        size may. One of them may be its own head.
        """
        if size <= _SMALL_BODY_BYTES:
            return self.total + size <= self.limit
        refuse_at = self.limit * _REFUSE_SHARE
        if self.total <= _SMALL_BODY_BYTES:
            refuse_at = self.limit * _RELIEF_SHARE
        return self.total + size <= refuse_at

    def add(self, kind: HeldKind, size: int) -> None:
        """Count bytes that cannot be given up."""
        self.kinds[kind] += size
        self.total += size

    def remove(self, kind: HeldKind, size: int) -> None:
        """End the count of such bytes."""
        self.kinds[kind] -= size
        self.total -= size

    def hold(
        self, key: HolderKey, size: int, now: float, *, has_moved: bool
    ) -> None:
        """Set what a holder holds that can be given up."""
        holding = self._holdings.get(key)
        if holding is None:
            self._holdings[key] = _Holding(size, now)
            self.add(key[1], size)
            return
        self.add(key[1], size - holding.size)
        holding.size = size
        if has_moved:
            holding.moved_at = now
            # To the end of the order.
            self._holdings[key] = self._holdings.pop(key)

    def release(self, key: HolderKey) -> None:
        """End what a holder holds, if anything."""
        holding = self._holdings.pop(key, None)
        if holding is not None:
            self.remove(key[1], holding.size)

    def holders(self, kind: HeldKind) -> list[Hashable]:
        """Return the holders of a kind."""
        return [holder for holder, held in self._holdings if held is kind]

    def unread_holders(self) -> list[Hashable]:
        """Return the holders that have to update their counts."""
        return [holder for holder, held in self._holdings if held.is_unread]

    def longest_stalled(
        self, now: float, among: Container[Hashable] | None = None
    ) -> HolderKey | None:
        """Return the holder that has been without progress for longest."""
        for key, holding in self._holdings.items():
            if not holding.is_stalled(now):
                return None
            if among is None or key[0] in among:
                return key
        return None

    def choose(self, now: float) -> list[HolderKey]:
        """Return the holders to give up, which the caller then releases.

        Those that have stalled are given up above the threshold for new
        bodies, the others only once the limit is exceeded.
        """
        refuse_at = self.limit * _REFUSE_SHARE
        if self.total <= refuse_at:
            return []
        if now < self._next_choice and not self.is_exceeded:
            return []
        # Down to where holders are given up, by whether they have stalled.
        levels = {True: refuse_at, False: math.inf}
        if self.is_exceeded:
            levels[False] = self.limit * _RELIEF_SHARE
        left = float(self.total)
        chosen = []
        for is_stalled, size, key in self._in_order(now):
            if left > levels[is_stalled]:
                chosen.append(key)
                left -= size
        if not chosen:
            self._next_choice = now + _CHOICE_PAUSE
        return chosen

    def _in_order(self, now: float) -> list[tuple[bool, int, HolderKey]]:
        rows = [
            (holding.is_stalled(now), holding.size, key)
            for key, holding in self._holdings.items()
        ]
        rows.sort(key=lambda row: row[:2], reverse=True)
        return rows
