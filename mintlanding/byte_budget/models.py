"""Kinds of held bytes, and the limits of a process that bound them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

MEGABYTE = 1_000_000
# Memory of the smallest machine that is known.
_DEFAULT_RAM_BYTES = 160 * MEGABYTE
# An instance uses 42 MB at rest; the rest is for records, links to members,
# connections and buffers that the budget does not count.
_PROCESS_BYTES = 80 * MEGABYTE
# Share of the remaining memory. The allocator keeps up to as much again in
# blocks that are free but not returned to the system.
_HELD_SHARE = 0.4
# Lets a request of 4 MiB be received and passed on also with little memory.
_LEAST_BYTES = 16 << 20
# Descriptors that are not for callers: connections to targets and members,
# the store, listeners, and requests for readiness and metrics.
_RESERVED_SHARE = 0.25
_LEAST_RESERVED = 96


class HeldKind(StrEnum):
    """What held bytes belong to.

    `head` and `body` are those of unfinished requests, `request` those of
    requests that wait or are served, `response` what callers have not read,
    `path` what is passed on for members and has not been read.
    """

    head = 'head'
    body = 'body'
    request = 'request'
    response = 'response'
    path = 'path'

    @property
    def is_unread(self) -> bool:
        """Tell whether its holders have to update their counts of it.

        Transports do not report each part that is read.
        """
        return self in {HeldKind.response, HeldKind.path}

    # The hash of Enum is computed in Python for each access to a dictionary.
    __hash__ = str.__hash__


class Holder(Protocol):
    """Holds bytes that can be given up."""

    def count_unread(self) -> None:
        """Update the budget's count of what has not been read."""

    def give_up(self, kind: HeldKind, reason: str) -> None:
        """End what holds bytes of a kind, and count the reason."""


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Memory and descriptors of the process; 0 for the defaults."""

    ram_bytes: int = 0
    max_fds: int = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes that may be held for callers."""
        left = (self.ram_bytes or _DEFAULT_RAM_BYTES) - _PROCESS_BYTES
        return max(_LEAST_BYTES, int(left * _HELD_SHARE))

    def caller_connections(self, descriptors: int) -> int:
        """Return how many connections callers may have open, 0 for any.

        `descriptors` is what the system allows the process, not positive if it
        sets no limit.
        """
        known = [each for each in (self.max_fds, descriptors) if each > 0]
        if not known:
            return 0
        most = min(known)
        reserved = max(_LEAST_RESERVED, int(most * _RESERVED_SHARE))
        return most - min(reserved, most // 2)
