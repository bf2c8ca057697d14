"""Decide whether this member watches the platform and when to retry."""

import random
from collections.abc import Iterable

from mintlanding.configuration.topology import (
    WATCHERS_PER_ZONE,
    rank_watchers,
)
from mintlanding.membership.models import Member

WATCH_SECONDS = 5
RESPONSE_SECONDS = 5
FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 5
BACKUP_WATCHERS = 4
STALE_SECONDS = 15
STALE_STEP_SECONDS = 5
EMPTY_SECONDS = 2
EMPTY_STEP_SECONDS = 1


class WatchState:
    """The state of this member's long poll; failures delay the next one."""

    def __init__(self, own: Member, rng: random.Random, now: float) -> None:
        """Start without a watch."""
        self._own = own
        self._rng = rng
        self._started_at = now
        self._waiting_until: float | None = None
        self._retry_at = now
        self._failures = 0
        self._reason = ''
        self._rank: int | None = 0

    def update_members(self, others: Iterable[Member]) -> None:
        """Compute the rank of this member among the live ones of its zone."""
        ranked = rank_watchers((*others, self._own), self._own.zone)
        names = [member.instance for member in ranked]
        is_candidate = self._own.instance in names
        self._rank = names.index(self._own.instance) if is_candidate else None

    def should_watch(self, age: float, revision: int, now: float) -> bool:
        """Return whether this member should watch the platform.

        The first members of the zone's ranking do. Further ones join one by
        one if the revision was not confirmed for a while, as the first ones
        may be cut off from the platform. `age` is the time since the last
        confirmation in seconds, negative if there was none.
        """
        if self._rank is None:
            return False
        backup = self._rank - WATCHERS_PER_ZONE
        if backup < 0:
            return True
        if backup >= BACKUP_WATCHERS:
            return False
        silence = now - self._started_at if age < 0 else age
        if revision:
            return silence > STALE_SECONDS + backup * STALE_STEP_SECONDS
        return silence > EMPTY_SECONDS + backup * EMPTY_STEP_SECONDS

    def start(self, now: float) -> float:
        """Return the seconds to wait in the next long poll; 0 if not due."""
        if self._waiting_until is not None and now < self._waiting_until:
            return 0
        if now < self._retry_at:
            return 0
        self._waiting_until = now + WATCH_SECONDS + RESPONSE_SECONDS
        return WATCH_SECONDS

    def stop(self) -> bool:
        """End the watch; return whether one was active."""
        was_waiting = self._waiting_until is not None
        self._waiting_until = None
        return was_waiting

    def record_success(self, now: float) -> None:
        """Record a response; the next long poll may follow at once."""
        self._waiting_until = None
        self._retry_at = now
        self._failures = 0
        self._reason = ''

    def record_failure(self, reason: str, now: float) -> None:
        """Record a failure; back off exponentially, with jitter."""
        self._waiting_until = None
        self._reason = reason
        delay = FIRST_RETRY_SECONDS * 2 ** min(self._failures, 8)
        jitter = self._rng.uniform(0.5, 1)
        self._retry_at = now + min(delay, MAX_RETRY_SECONDS) * jitter
        self._failures += 1

    def describe(self, now: float) -> str:
        """Return a sentence on the state of the platform's responses."""
        seconds = now - self._started_at
        if self._failures:
            return (
                'the key-value service has not answered '
                f'for {seconds:.0f} s ({self._reason})'
            )
        if self._waiting_until is None:
            return 'other members watch the key-value service'
        return f'waiting {seconds:.0f} s for the key-value service to hold one'
