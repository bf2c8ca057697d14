"""Concurrency above which the time of a target grows faster than throughput.

Below the knee requests do not slow each other down; above it the time grows
in proportion to the concurrency and throughput stays the same.
"""

import math
from dataclasses import dataclass, field

# Classes of concurrency, as shares of the slots.
_CLASSES = 8
# Samples that a class needs to count.
_LEAST_SAMPLES = 5
# Least weight of a sample in the mean of its class.
_LEAST_WEIGHT = 0.1
# A class is above the knee if its time is longer by this factor. Times of
# single requests vary by less in the mean of five.
_LEAST_GROWTH = 1.25
# Seconds after which a class without further samples counts no more. A target
# that is kept below its knee has no samples above it, so that a knee which was
# found by mistake, or has gone, would stay for good.
_LIFETIME = 60.0


@dataclass(slots=True)
class _Class:
    samples: int = 0
    log_time: float = 0
    at: float = float('-inf')

    def add(self, log_time: float, now: float) -> None:
        self.at = now
        self.samples += 1
        weight = max(_LEAST_WEIGHT, 1 / self.samples)
        self.log_time += weight * (log_time - self.log_time)


@dataclass(slots=True)
class Knee:
    """The knee of one target, as a share of its slots; 1 for none."""

    share: float = 1
    _classes: list[_Class] = field(
        default_factory=lambda: [_Class() for _ in range(_CLASSES)]
    )

    def growth(self, share: float) -> float:
        """Return the factor of the time at a share of the slots in use."""
        return max(1, min(1, share) / self.share)

    def record(self, share: float, seconds: float, now: float) -> None:
        """Learn from a time, without the slow-down of its moment."""
        self._expire(now)
        number = math.ceil(min(1, share) * _CLASSES) - 1
        self._classes[max(0, number)].add(math.log(seconds), now)
        known = [
            ((position + 1) / _CLASSES, each)
            for position, each in enumerate(self._classes)
            if each.samples >= _LEAST_SAMPLES
        ]
        if len(known) < 2:
            return
        least = min(each.log_time for _, each in known)
        found = [
            position / math.exp(each.log_time - least)
            for position, each in known
            if each.log_time - least > math.log(_LEAST_GROWTH)
            and position > known[0][0]
        ]
        self.share = min(1, sum(found) / len(found)) if found else 1

    def _expire(self, now: float) -> None:
        for number, each in enumerate(self._classes):
            if each.samples and now > each.at + _LIFETIME:
                self._classes[number] = _Class()
                # The classes that are left find it again, if they show it.
                self.share = 1
