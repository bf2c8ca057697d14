"""Latency histograms of the last one to two hours, which can be added."""

import binascii
import zlib

from hdrh.codec import HdrCookieException, HdrLengthException
from hdrh.histogram import HdrHistogram

_ROTATE_SECONDS = 3600
_MIN_MILLISECONDS = 1
_MAX_MILLISECONDS = 600_000
_DIGITS = 2
_MILLISECONDS = 1000
_DECODE_ERRORS = (
    binascii.Error,
    zlib.error,
    HdrCookieException,
    HdrLengthException,
    IndexError,
    ValueError,
)


class RecentHistogram:
    """Histograms of the current and the previous hour."""

    def __init__(self) -> None:
        """Start empty; memory is allocated with the first record."""
        self._hour = 0
        self._current: HdrHistogram | None = None
        self._previous: HdrHistogram | None = None

    def record(self, seconds: float, now: float) -> None:
        """Record a duration."""
        self._rotate(now)
        if self._current is None:
            self._current = _empty()
        milliseconds = round(seconds * _MILLISECONDS)
        clipped = max(_MIN_MILLISECONDS, min(_MAX_MILLISECONDS, milliseconds))
        self._current.record_value(clipped)

    def encode(self, now: float) -> bytes:
        """Return the encoded sum of both hours, b'' if there are no records."""
        self._rotate(now)
        histograms = [each for each in (self._current, self._previous) if each]
        if not histograms:
            return b''
        total = _empty()
        for each in histograms:
            total.add(each)
        return bytes(total.encode())

    def _rotate(self, now: float) -> None:
        hour = int(now // _ROTATE_SECONDS)
        if hour == self._hour:
            return
        is_next_hour = hour == self._hour + 1
        self._previous = self._current if is_next_hour else None
        self._current = None
        self._hour = hour


class HistogramSum:
    """The sum of encoded histograms; invalid ones count as empty."""

    def __init__(self) -> None:
        """Start empty."""
        self._sum: HdrHistogram | None = None

    def add(self, encoded: bytes) -> None:
        """Add an encoded histogram."""
        decoded = decode(encoded) if encoded else None
        if decoded is None:
            return
        if self._sum is None:
            self._sum = _empty()
        self._sum.add(decoded)

    def encode(self) -> bytes:
        """Return the encoded sum, b'' if there are no records."""
        return b'' if self._sum is None else bytes(self._sum.encode())


def percentile(encoded: bytes, share: float) -> float | None:
    """Return a percentile in seconds; None if there are no records."""
    histogram = decode(encoded) if encoded else None
    if histogram is None:
        return None
    value = histogram.get_value_at_percentile(share)
    return float(value) / _MILLISECONDS


def decode(encoded: bytes) -> HdrHistogram | None:
    """Return the decoded histogram; None if the bytes are invalid."""
    try:
        histogram = HdrHistogram.decode(encoded)
    except _DECODE_ERRORS:
        return None
    if histogram.highest_trackable_value > _MAX_MILLISECONDS:
        return None
    return histogram


def _empty() -> HdrHistogram:
    return HdrHistogram(_MIN_MILLISECONDS, _MAX_MILLISECONDS, _DIGITS)
