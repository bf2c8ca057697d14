"""Refuse requests that the end of the process would cut off.

Answers a planned stop under load: callers go on sending on connections that
were open before, and a long stream that begins then does not end in time. The
caller can be served at once by another instance.
"""

from dataclasses import dataclass, field

from mintlanding.traffic.models import Route

# Factor that keeps a little of the longest run with each further one.
_DECAY = 0.99
# A run may last so much longer than the longest one seen.
_RESERVE = 1.2
# Runs of a route from which its longest one is taken for typical.
_MIN_RUNS = 10


@dataclass(slots=True)
class _Runs:
    count: int = 0
    longest: float = 0


@dataclass(slots=True)
class PlannedStop:
    """How long requests of each route run, and when the process ends.

    Times are monotonic seconds; `ends_at` is None until the process refuses
    what would not end by then.
    """

    ends_at: float | None = None
    _runs: dict[str, _Runs] = field(default_factory=dict)

    def record_run(self, route: Route, seconds: float) -> None:
        """Record how long a request was served."""
        runs = self._runs.setdefault(route.name, _Runs())
        runs.count += 1
        runs.longest = max(seconds, runs.longest * _DECAY)

    def refuses(self, route: Route, now: float) -> bool:
        """Tell whether a new request could be cut off by the end."""
        if self.ends_at is None:
            return False
        return now + self._longest(route) > self.ends_at

    def _longest(self, route: Route) -> float:
        runs = self._runs.get(route.name)
        if runs is None or runs.count < _MIN_RUNS:
            return route.timeout
        return min(route.timeout, runs.longest * _RESERVE)
