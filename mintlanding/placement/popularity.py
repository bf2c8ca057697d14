"""Popularity of adapters with exponential decay."""

import heapq
import math
from collections.abc import Iterator
from typing import Self

from mintlanding.placement.messages import AdapterRef

_LN2 = math.log(2)
# Scores are rescaled long before they exceed the range of a float.
_MAX_EXPONENT = 200


class DecayedPopularity:
    """Count requests with a half-life, in constant time for each request.

    Instead of decaying old requests, new ones get a greater weight, so that
    scores of different adapters can be compared without an update.
    """

    def __init__(self, half_life: float, limit: int) -> None:
        """Keep at most about `limit` adapters; `half_life` is in seconds."""
        self._decay = _LN2 / half_life
        self._limit = limit
        self._origin: float | None = None
        self._scores: dict[AdapterRef, float] = {}

    @classmethod
    def from_config(cls, half_life: float = 120, limit: int = 8192) -> Self:
        """Build an empty count."""
        return cls(half_life, limit)

    def __len__(self) -> int:
        """Count the known adapters."""
        return len(self._scores)

    def __iter__(self) -> Iterator[AdapterRef]:
        """Iterate over the known adapters."""
        return iter(self._scores)

    def note(self, ref: AdapterRef, now: float, amount: float = 1) -> None:
        """Count a request."""
        weight = self._weight(now)
        self._scores[ref] = self._scores.get(ref, 0) + amount * weight
        if len(self._scores) > self._limit:
            self._trim()

    def score(self, ref: AdapterRef) -> float:
        """Return a score to compare with others of the same moment."""
        return self._scores.get(ref, 0)

    def count(self, ref: AdapterRef, now: float) -> float:
        """Return the decayed number of requests."""
        score = self._scores.get(ref)
        if score is None or self._origin is None:
            return 0
        return score * math.exp(-self._decay * (now - self._origin))

    def rate(self, ref: AdapterRef, now: float) -> float:
        """Return the decayed rate in requests per second."""
        return self.count(ref, now) * self._decay

    def top(self, number: int) -> list[AdapterRef]:
        """Return the most popular adapters, the most popular first."""
        return heapq.nlargest(
            number, self._scores, key=self._scores.__getitem__
        )

    def _weight(self, now: float) -> float:
        if self._origin is None:
            self._origin = now
        exponent = self._decay * (now - self._origin)
        if exponent <= _MAX_EXPONENT:
            return math.exp(exponent)
        shrink = math.exp(-exponent)
        self._scores = {
            ref: score * shrink for ref, score in self._scores.items()
        }
        self._origin = now
        return 1

    def _trim(self) -> None:
        keep = self.top(self._limit * 3 // 4)
        self._scores = {ref: self._scores[ref] for ref in keep}
