"""The keys that occur most, in bounded memory (space-saving sketch)."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

KeyT = TypeVar('KeyT', bound=Hashable)


@dataclass(slots=True)
class _Slot:
    count: int
    overcount: int


@dataclass(frozen=True, slots=True)
class TopEntry(Generic[KeyT]):
    """A key; its true count is within `overcount` below `count`."""

    key: KeyT
    count: int
    overcount: int


class TopKeys(Generic[KeyT]):
    """Count at most `size` keys; a new one takes the place of the rarest.

    A key that occurs more often than 1 in `size` is never missed.
    """

    def __init__(self, size: int) -> None:
        """Start empty."""
        self._size = size
        self._slots: dict[KeyT, _Slot] = {}

    def add(self, key: KeyT) -> None:
        """Count one occurrence."""
        slot = self._slots.get(key)
        if slot is not None:
            slot.count += 1
            return
        floor = 0
        if len(self._slots) >= self._size:
            rarest = min(self._slots, key=self._count_of)
            floor = self._slots.pop(rarest).count
        self._slots[key] = _Slot(floor + 1, floor)

    def entries(self) -> list[TopEntry[KeyT]]:
        """List the keys."""
        return [
            TopEntry(key, slot.count, slot.overcount)
            for key, slot in self._slots.items()
        ]

    def _count_of(self, key: KeyT) -> int:
        return self._slots[key].count
