"""Counts over time in a fixed amount of memory."""

from array import array

from mintlanding.reports.messages import Counts


class CountRing:
    """Counts in buckets of equal length; the oldest are overwritten."""

    def __init__(self, bucket_seconds: int, buckets: int) -> None:
        """Keep `buckets` complete buckets and the current one."""
        self._seconds = bucket_seconds
        self._size = buckets + 1
        self._totals = array('L', bytes(8 * self._size))
        self._bad_counts = array('L', bytes(8 * self._size))
        self._newest = 0

    def add(self, is_bad: bool, now: float) -> None:
        """Count one request."""
        index = self._advance(now) % self._size
        self._totals[index] += 1
        self._bad_counts[index] += is_bad

    def sum(self, seconds: float, now: float) -> Counts:
        """Return the counts of the last `seconds`, rounded to buckets."""
        index = self._advance(now) % self._size
        buckets = max(1, round(seconds / self._seconds))
        start = index - min(buckets, self._size - 1) + 1
        return Counts(
            _sum_between(self._totals, start, index),
            _sum_between(self._bad_counts, start, index),
        )

    def history(self, now: float) -> tuple[Counts, ...]:
        """Return the counts of each bucket, the current one first."""
        newest = self._advance(now)
        indexes = [(newest - age) % self._size for age in range(self._size - 1)]
        return tuple(
            Counts(self._totals[index], self._bad_counts[index])
            for index in indexes
        )

    def _advance(self, now: float) -> int:
        bucket = int(now // self._seconds)
        stale = min(bucket - self._newest, self._size)
        for age in range(stale):
            index = (bucket - age) % self._size
            self._totals[index] = 0
            self._bad_counts[index] = 0
        self._newest = max(self._newest, bucket)
        return self._newest


def _sum_between(ring: 'array[int]', start: int, end: int) -> int:
    if start >= 0:
        return sum(ring[start : end + 1])
    return sum(ring[start:]) + sum(ring[: end + 1])
