"""Clocks in seconds.

Code that makes decisions gets `now` as an argument instead of reading a clock.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic and wall-clock time in seconds."""

    def monotonic(self) -> float:
        """Return seconds that never decrease."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """The clock of this machine."""

    def monotonic(self) -> float:
        """Return seconds that never decrease."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """A clock that tests advance explicitly."""

    def __init__(self, now: float = 0) -> None:
        """Start at `now` seconds."""
        self.now = now

    def monotonic(self) -> float:
        """Return the current seconds of this clock."""
        return self.now

    def wall(self) -> float:
        """Return the current seconds of this clock."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds
