"""Numbered changes, so that a peer gets only what it has not acknowledged."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

NameT = TypeVar('NameT')


@dataclass(frozen=True, slots=True)
class Entry(Generic[NameT]):
    """A change: its number, what has changed and who told."""

    number: int
    name: NameT
    source: str


class Journal(Generic[NameT]):
    """Keep the last change of each name in the order of the changes."""

    def __init__(self) -> None:
        """Begin without changes."""
        self.number = 0
        self._entries: OrderedDict[NameT, Entry[NameT]] = OrderedDict()

    def record(self, name: NameT, source: str = '') -> None:
        """Note a change that `source` has told."""
        self.number += 1
        self._entries[name] = Entry(self.number, name, source)
        self._entries.move_to_end(name)

    def forget(self, name: NameT) -> None:
        """Drop what is no longer known."""
        self._entries.pop(name, None)

    def since(self, number: int) -> Iterator[Entry[NameT]]:
        """Go through the changes after `number`, oldest first."""
        found: list[Entry[NameT]] = []
        for entry in reversed(self._entries.values()):
            if entry.number <= number:
                break
            found.append(entry)
        return reversed(found)
