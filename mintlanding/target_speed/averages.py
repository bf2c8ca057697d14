"""Moving averages over samples that arrive at irregular times."""

import math
from dataclasses import dataclass

# Logarithm of the factor below the average that counts as a fall. The work of
# requests varies by less.
_FALL = math.log(1.5)


@dataclass(slots=True)
class TimedAverage:
    """Average whose samples lose weight with time.

    `seconds` is the time constant, `most` the greatest weight of a sample: it
    bounds what one changes at an instance that sees a response in two seconds.
    Samples far below the average may have another time constant, without that
    bound: short slow-downs are noise, while a quick response is evidence. Both
    are logarithms.
    """

    seconds: float
    most: float
    falling_seconds: float | None = None
    level: float = 0
    at: float = float('-inf')

    def add(self, sample: float, now: float, span: float = 0) -> None:
        """Add a sample, which was taken over the last `span` seconds."""
        if self.at == float('-inf'):
            self.level, self.at = sample, now
            return
        seconds, most = self.seconds, self.most
        if self.falling_seconds is not None and sample < self.level - _FALL:
            seconds, most = self.falling_seconds, 1
        weight = 1 - math.exp(-max(span, now - self.at) / seconds)
        weight = min(most, weight)
        self.level += weight * (sample - self.level)
        self.at = now

    def reset(self, level: float, now: float) -> None:
        """Start again from a level."""
        self.level, self.at = level, now


def fading(age: float, seconds: float) -> float:
    """Return the share of an observation that is left at an age."""
    return math.exp(-max(0, age) / seconds)
