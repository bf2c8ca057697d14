"""Whether this member holds a watch on the platform, and when to try again."""

import random
from collections.abc import Iterable

from mintlanding.configuration.topology import (
    WATCHERS_PER_ZONE,
    watch_ranking,
)
from mintlanding.membership.models import Member

WATCH_SECONDS = 5
ANSWER_SECONDS = 5
FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 5
BACKUP_WATCHERS = 4
STALE_SECONDS = 15
STALE_STEP_SECONDS = 5
EMPTY_SECONDS = 2
EMPTY_STEP_SECONDS = 1


class WatchState:
    """One waiting call at most; failures delay the next one."""

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

    def take_members(self, others: Iterable[Member]) -> None:
        """Work out this member's place among the claimants of its zone."""
        ranked = watch_ranking((*others, self._own), self._own.zone)
        names = [member.instance for member in ranked]
        is_claimant = self._own.instance in names
        self._rank = names.index(self._own.instance) if is_claimant else None

    def is_wanted(self, age: float, revision: int, now: float) -> bool:
        """Tell whether this member should hold a watch.

        The first ones of the zone do. Further ones join one by one when
        nobody has vouched for long: the first ones may be cut off.
        """
        if self._rank is None:
            return False
        backup = self._rank - WATCHERS_PER_ZONE
        if backup < 0:
            return True
        if backup >= BACKUP_WATCHERS:
            return False
        silent = now - self._started_at if age < 0 else age
        if revision:
            return silent > STALE_SECONDS + backup * STALE_STEP_SECONDS
        return silent > EMPTY_SECONDS + backup * EMPTY_STEP_SECONDS

    def start(self, now: float) -> float:
        """Return the seconds to wait on the platform; 0 when not due."""
        if self._waiting_until is not None and now < self._waiting_until:
            return 0
        if now < self._retry_at:
            return 0
        self._waiting_until = now + WATCH_SECONDS + ANSWER_SECONDS
        return WATCH_SECONDS

    def stop(self) -> bool:
        """Give up the watch; true when one was held."""
        was_waiting = self._waiting_until is not None
        self._waiting_until = None
        return was_waiting

    def answered(self, now: float) -> None:
        """Note an answer; the next call may follow at once."""
        self._waiting_until = None
        self._retry_at = now
        self._failures = 0
        self._reason = ''

    def failed(self, reason: str, now: float) -> None:
        """Note a failure; wait longer each time, with jitter."""
        self._waiting_until = None
        self._reason = reason
        delay = FIRST_RETRY_SECONDS * 2 ** min(self._failures, 8)
        jitter = self._rng.uniform(0.5, 1)
        self._retry_at = now + min(delay, MAX_RETRY_SECONDS) * jitter
        self._failures += 1

    def describe(self, now: float) -> str:
        """Say how the platform answers."""
        seconds = now - self._started_at
        if self._failures:
            return (
                'the key-value service has not answered '
                f'for {seconds:.0f} s ({self._reason})'
            )
        if self._waiting_until is None:
            return 'other members watch the key-value service'
        return f'waiting {seconds:.0f} s for the key-value service to hold one'
