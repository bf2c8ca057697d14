"""Numbered changes; a peer gets only those it has not acknowledged."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

NameT = TypeVar('NameT')


@dataclass(frozen=True, slots=True)
class Entry(Generic[NameT]):
    """A change: its number, what changed and who sent it."""

    number: int
    name: NameT
    source: str


class Journal(Generic[NameT]):
    """The last change of each name, in the order of changes."""

    def __init__(self) -> None:
        """Start without changes."""
        self.number = 0
        self._entries: OrderedDict[NameT, Entry[NameT]] = OrderedDict()

    def record(self, name: NameT, source: str = '') -> None:
        """Record a change received from `source`."""
        self.number += 1
        self._entries[name] = Entry(self.number, name, source)
        self._entries.move_to_end(name)

    def forget(self, name: NameT) -> None:
        """Remove a name that is no longer known."""
        self._entries.pop(name, None)

    def since(self, number: int) -> Iterator[Entry[NameT]]:
        """Return an iterator over the changes after `number`, oldest first."""
        found: list[Entry[NameT]] = []
        for entry in reversed(self._entries.values()):
            if entry.number <= number:
                break
            found.append(entry)
        return reversed(found)
