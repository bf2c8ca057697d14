"""Tell an outage of the store from a partition of this instance.

Entries with a lease may lapse in an outage, and are written again soon after
it. An instance that has lost the store cannot tell by itself whether there was
an outage; a member that has reached the store meanwhile can.
"""

import math

# Seconds without contact that count as an interruption; no entry lapses sooner.
_INTERRUPTED_SECONDS = 2.0


class StoreContact:
    """Since when this instance and the other members have reached the store.

    Times are those of one monotonic clock, in seconds.
    """

    def __init__(self) -> None:
        """Start without contact."""
        self.since = -math.inf
        self.gap = 0.0
        self._last = -math.inf
        self._members_since = math.inf

    @property
    def returned_at(self) -> float:
        """Return since when some member has reached the store all the time."""
        return min(self.since, self._members_since)

    def record(self, now: float) -> None:
        """Record a response of the store, or changes that another one read."""
        gap = now - self._last
        if gap > _INTERRUPTED_SECONDS:
            self.since = now
            self.gap = gap if math.isfinite(gap) else 0
            # What members reported before may have ended with the outage.
            self._members_since = math.inf
        self._last = now

    def record_member(self, seconds: float, now: float) -> None:
        """Record for how long a member says that it has reached the store.

        Reports that arrive without contact of this instance are ignored: they
        may be from before an outage.
        """
        if seconds > 0 and now <= self._last + _INTERRUPTED_SECONDS:
            self._members_since = min(self._members_since, now - seconds)

    def uninterrupted(self, now: float) -> float:
        """Return for how long the store has been reached, 0 if it is not.

        Time since the last contact does not count.
        """
        if now > self._last + _INTERRUPTED_SECONDS:
            return 0
        return self._last - self.since
