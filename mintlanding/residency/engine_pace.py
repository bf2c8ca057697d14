"""How fast an engine prefills and generates, learned from its responses.

The time to the first event of a stream grows with the prompt tokens that the
engine had to prefill until then. The slope of that line is the prefill speed;
its intercept holds what does not depend on the prompt: steps of the batch and
the network. A stream counts the less the more prompts of others the engine
prefilled meanwhile. The rest of a run follows the output tokens that were
asked for.
"""

import bisect
import copy
from dataclasses import dataclass
from typing import Self

from mintlanding.core.bounds import MAX_COUNT

_MICROSECONDS = 1_000_000
# Weight of the samples so far when a new one is added.
_MEMORY = 0.98
# Weight of the initial speed, in samples whose prompts differ by
# `_USUAL_TOKENS` from the mean.
_INITIAL_WEIGHT = 4.0
_USUAL_TOKENS = 500.0
# Seconds to a first event besides prefill, before any was seen.
_INITIAL_BASE = 0.03
# A first event that comes later than this multiple of what was expected counts
# as if it had come then: the engine had paused, or the link.
_MAX_DEVIATION = 2.0
# Bounds of the learned speed, as multiples of the initial one.
_MAX_FACTOR = 10.0
# Least weight of a new sample in a moving average.
_SMOOTHING = 0.05
# Exponent by which the part of other prompts lowers the weight of a sample.
_ISOLATION = 4
# Runs after which the speed of an engine is told to others.
_LEAST_RUNS = 20
# Prompts of which the times are kept, at most; half are dropped beyond that.
_MAX_PROMPTS = 1024


@dataclass(slots=True)
class _Line:
    """Weighted linear regression of `y` on `x` with an assumed slope.

    `certainty` is the weight of the assumption, in units of `x` squared.
    """

    assumed: float
    certainty: float
    weight: float = 0
    x: float = 0
    y: float = 0
    xx: float = 0
    xy: float = 0

    @property
    def slope(self) -> float:
        """Return the slope of the line through the samples."""
        spread, product = self.certainty, self.certainty * self.assumed
        if self.weight > 0:
            spread += self.xx - self.x * self.x / self.weight
            product += self.xy - self.x * self.y / self.weight
        return product / spread

    def add(self, x: float, y: float, weight: float) -> None:
        """Add a sample; those before count less from now on."""
        memory = _MEMORY**weight
        self.certainty *= memory
        self.weight = self.weight * memory + weight
        self.x = self.x * memory + weight * x
        self.y = self.y * memory + weight * y
        self.xx = self.xx * memory + weight * x * x
        self.xy = self.xy * memory + weight * x * y

    def at(self, x: float, default: float) -> float:
        """Return `y` at `x`, with a default intercept without samples."""
        base = default
        if self.weight > 0:
            base = (self.y - self.slope * self.x) / self.weight
        return max(0, base) + self.slope * x


class EnginePace:
    """Prefill speed in tokens a second, and the time that a run takes."""

    def __init__(self, prefill_rate: float, token_time: float) -> None:
        """Start with an assumed speed and seconds an output token."""
        self.prefill_rate = prefill_rate
        self.first_event = _INITIAL_BASE
        self.token_time = token_time
        self._initial_rate = prefill_rate
        self._runs = 0
        # Runs of this engine itself, without those of a copied one.
        self._own_runs = 0
        # When prompts were sent, and all tokens sent up to then.
        self._sent_at: list[float] = []
        self._sent_tokens: list[float] = []
        self._first_events = _Line(
            1 / prefill_rate, _INITIAL_WEIGHT * _USUAL_TOKENS * _USUAL_TOKENS
        )

    def digest_fields(self) -> dict[str, int]:
        """Return the fields of a digest that tell the speed, once learned."""
        if self._own_runs < _LEAST_RUNS:
            return {}
        token_us = min(MAX_COUNT, round(self.token_time * _MICROSECONDS))
        return {
            'prefill_rate': min(MAX_COUNT, round(self.prefill_rate)),
            'token_us': token_us,
        }

    def copy(self) -> Self:
        """Return a copy for another engine of the same kind."""
        found = copy.deepcopy(self)
        found._sent_at.clear()
        found._sent_tokens.clear()
        found._own_runs = 0
        return found

    def record_prompt(self, tokens: float, now: float) -> None:
        """Record that a prompt with so many uncached tokens is sent."""
        if len(self._sent_at) >= _MAX_PROMPTS:
            del self._sent_at[: _MAX_PROMPTS // 2]
            del self._sent_tokens[: _MAX_PROMPTS // 2]
        before = self._sent_tokens[-1] if self._sent_tokens else 0
        self._sent_at.append(now)
        self._sent_tokens.append(before + tokens)

    def record_first_event(
        self, tokens: float, ahead: float, sent_at: float, seconds: float
    ) -> None:
        """Learn from a first event that came `seconds` after its request.

        The engine had `ahead` tokens to prefill before those of the prompt.
        """
        others = ahead + self._tokens_between(sent_at, sent_at + seconds)
        total = tokens + others
        if total <= 0:
            return
        line = self._first_events
        latest = _MAX_DEVIATION * line.at(total, _INITIAL_BASE)
        line.add(total, min(seconds, latest), (tokens / total) ** _ISOLATION)
        fastest = self._initial_rate * _MAX_FACTOR
        slowest = self._initial_rate / _MAX_FACTOR
        self.prefill_rate = fastest
        if line.slope * fastest > 1:
            self.prefill_rate = max(slowest, 1 / line.slope)

    def _tokens_between(self, after: float, until: float) -> float:
        """Return the tokens sent after one time and until another."""
        first = bisect.bisect_right(self._sent_at, after)
        last = bisect.bisect_right(self._sent_at, until)
        if first == 0 or last <= first:
            return 0
        return self._sent_tokens[last - 1] - self._sent_tokens[first - 1]

    def record_run(
        self, first_event: float, output_tokens: int, seconds: float
    ) -> None:
        """Learn from a run that was served in `seconds`."""
        self._runs += 1
        self._own_runs += 1
        weight = max(_SMOOTHING, 1 / self._runs)
        self.first_event += weight * (first_event - self.first_event)
        token_time = max(0, seconds - first_event) / max(1, output_tokens)
        self.token_time += weight * (token_time - self.token_time)

    def expected_run(self, output_tokens: int) -> float:
        """Return the expected seconds of a run."""
        return self.first_event + output_tokens * self.token_time
