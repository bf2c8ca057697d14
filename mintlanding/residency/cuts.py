"""Which workers an instance has not reached for long, while members do.

Times are seconds of one monotonic clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Key of the span in which this instance is cut off from most targets.
_INSTANCE = ''


@dataclass(frozen=True, slots=True)
class CutOptions:
    """How long cuts last before they have consequences, in seconds.

    `hold`: time for which a worker must have been cut before its holder stops
    counting on it. `gap`: longest interruption of a cut; paths that work for
    no longer are of no use. `calm`: time without a cut before the worker is
    claimed again, or the instance counts as reaching the targets. `stall`:
    after a longer time without observations all cuts start anew. The instances
    of a large fleet spread releases by `spread_per_member`, up to `max_spread`.
    """

    hold: float = 1.2
    gap: float = 0.5
    calm: float = 5
    stall: float = 1
    spread_per_member: float = 0.01
    max_spread: float = 4


@dataclass(slots=True)
class _Span:
    """Time in which something was cut, and when it was cut last."""

    since: float
    last: float


@dataclass(slots=True)
class CutHistory:
    """The cuts that were observed, up to the last observation.

    `share` is that of the spread which this instance waits.
    """

    options: CutOptions = CutOptions()
    share: float = 0
    is_cut_off: bool = False
    _delay: float = 0
    _observed_at: float = float('-inf')
    _spans: dict[str, _Span] = field(default_factory=dict)

    def observe(
        self,
        workers: Iterable[str],
        now: float,
        *,
        is_cut_off: bool = False,
        members: int = 1,
    ) -> None:
        """Record which workers are cut now, and whether most targets are."""
        options = self.options
        spread = members * options.spread_per_member
        self._delay = self.share * min(options.max_spread, spread)
        if now > self._observed_at + options.stall:
            self._spans.clear()
        self._observed_at = now
        for worker in workers:
            self._extend(worker, now)
        if is_cut_off:
            self._extend(_INSTANCE, now)
        for key, span in tuple(self._spans.items()):
            if now > span.last + options.calm:
                self._spans.pop(key)
        if self._lasts(_INSTANCE, options.hold + self._delay):
            self.is_cut_off = True
        elif _INSTANCE not in self._spans:
            self.is_cut_off = False

    def is_cut(self, worker: str) -> bool:
        """Tell whether a worker has been cut for long."""
        return self._lasts(worker, self.options.hold)

    def is_due(self, worker: str) -> bool:
        """Tell whether the holder of a worker should release it."""
        return self._lasts(worker, self.options.hold + self._delay)

    def recent(self) -> frozenset[str]:
        """Return the workers that are or were lately cut."""
        return frozenset(self._spans.keys() - {_INSTANCE})

    def _extend(self, key: str, now: float) -> None:
        span = self._spans.get(key)
        if span is None or now > span.last + self.options.gap:
            self._spans[key] = _Span(now, now)
        else:
            span.last = now

    def _lasts(self, key: str, seconds: float) -> bool:
        span = self._spans.get(key)
        if span is None or self._observed_at > span.last + self.options.gap:
            return False
        return span.last >= span.since + seconds
