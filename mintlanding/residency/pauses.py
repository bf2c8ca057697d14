"""How much prefill an engine is sent at a time, so that its streams flow.

Answers prompts that arrive faster than the running streams bear. An engine
prefills prompts between the tokens of these streams: when many prompts come
together, each event waits for several pieces of them, and all streams of the
engine pause for longer than their callers accept. So within the shortest of
these pauses an engine is sent only a share of it as prefill; a longer prompt
is sent alone.

How large the share may be depends on the engine: tokens an event, time a step,
largest piece of a prompt. It follows the longest pause of each stream that
ends.
"""

from collections import Counter, deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PauseOptions:
    """Shares of a pause that prefill may take.

    `initial_share` applies to an engine of which nothing is known. A stream
    that kept its pauses lets the share grow to `growth` times the one under
    which the stream was sent, one that did not cuts it to `cut` times that.
    From `max_share` on the engine prefills without a break.
    """

    initial_share: float = 0.65
    min_share: float = 0.3
    max_share: float = 1.2
    growth: float = 1.05
    cut: float = 0.85


class PauseBudget:
    """The prefill sent to one engine within the shortest pause aim there.

    Times are in seconds; costs are seconds of prefill. The share of the pause
    aim that may be used is between `min_share` and `max_share`.
    """

    def __init__(self, options: PauseOptions) -> None:
        """Start without streams."""
        self.share = options.initial_share
        self._options = options
        self._aims: Counter[float] = Counter()
        self._sent: deque[tuple[float, float]] = deque()

    @property
    def shortest_aim(self) -> float:
        """Return the shortest pause aim among the running streams, or 0."""
        return min(self._aims, default=0)

    def begin(self, aim: float, cost: float, now: float) -> None:
        """Record a request that is sent; an `aim` of 0 means none."""
        self._sent.append((now, cost))
        if aim > 0:
            self._aims[aim] += 1

    def end(self, aim: float) -> None:
        """Record that a request has ended."""
        if aim <= 0:
            return
        self._aims[aim] -= 1
        if not self._aims[aim]:
            self._aims.pop(aim)

    def record_pause(self, aim: float, longest: float, share: float) -> None:
        """Learn from the longest pause of a stream that was sent at a share."""
        options = self._options
        if longest > aim:
            bound = max(options.min_share, share * options.cut)
            self.share = min(self.share, bound)
        else:
            bound = min(options.max_share, share * options.growth)
            self.share = max(self.share, bound)

    def wait(self, cost: float, now: float) -> float:
        """Return the seconds until a prompt of this cost may be sent."""
        aim = self.shortest_aim
        self._forget(now - aim)
        excess = sum(each for _, each in self._sent) + cost - aim * self.share
        if not aim or excess <= 0:
            return 0
        for at, sent in self._sent:
            excess -= sent
            if excess <= 0:
                return at + aim - now
        # A prompt that exceeds the budget is sent when nothing else was.
        return self._sent[-1][0] + aim - now if self._sent else 0

    def expected_wait(self, cost: float, now: float) -> float:
        """Return about how long prompts of this total cost have to wait."""
        aim = self.shortest_aim
        if not aim:
            return 0
        self._forget(now - aim)
        budget = aim * self.share
        excess = sum(each for _, each in self._sent) + cost - budget
        return max(0, excess) / self.share

    def _forget(self, before: float) -> None:
        while self._sent and self._sent[0][0] <= before:
            self._sent.popleft()
