"""Counts by time in a fixed amount of memory."""

from array import array

from mintlanding.reports.messages import Counts


class CountRing:
    """Totals and bad ones in buckets of equal length; old ones are lost."""

    def __init__(self, bucket_seconds: int, buckets: int) -> None:
        """Remember `buckets` whole buckets besides the current one."""
        self._seconds = bucket_seconds
        self._size = buckets + 1
        self._totals = array('L', bytes(8 * self._size))
        self._bads = array('L', bytes(8 * self._size))
        self._newest = 0

    def add(self, is_bad: bool, now: float) -> None:
        """Count one."""
        place = self._advance(now) % self._size
        self._totals[place] += 1
        self._bads[place] += is_bad

    def sum(self, seconds: float, now: float) -> Counts:
        """Return the counts of the last `seconds`, to the nearest bucket."""
        place = self._advance(now) % self._size
        buckets = max(1, round(seconds / self._seconds))
        start = place - min(buckets, self._size - 1) + 1
        return Counts(
            _sum_between(self._totals, start, place),
            _sum_between(self._bads, start, place),
        )

    def history(self, now: float) -> tuple[Counts, ...]:
        """Return the counts of each bucket, the current one first."""
        newest = self._advance(now)
        places = [(newest - age) % self._size for age in range(self._size - 1)]
        return tuple(
            Counts(self._totals[place], self._bads[place]) for place in places
        )

    def _advance(self, now: float) -> int:
        bucket = int(now // self._seconds)
        stale = min(bucket - self._newest, self._size)
        for age in range(stale):
            place = (bucket - age) % self._size
            self._totals[place] = 0
            self._bads[place] = 0
        self._newest = max(self._newest, bucket)
        return self._newest


def _sum_between(ring: 'array[int]', start: int, end: int) -> int:
    if start >= 0:
        return sum(ring[start : end + 1])
    return sum(ring[start:]) + sum(ring[: end + 1])
