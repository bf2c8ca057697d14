"""Refuse requests that the end of the process would cut off.

Answers a planned stop under load: callers go on sending on connections that
were open before. A refused caller is served by another instance, at the cost
of a connection; one whose response is cut off has waited in vain, and may not
repeat a request that has run.

A request certainly ends by its deadline. If that is too late, one that names
its size is still accepted if it would end in time at the slowest pace of
recent runs, halved: engines share their pace among requests, and those of the
stopping instance move to others. docs/design/planned-stops.md has the
alternatives.
"""

from dataclasses import dataclass, field

from mintlanding.traffic.models import Demand

# Seconds for which the slowest runs are remembered, at least and up to twice.
_MEMORY_SECONDS = 300.0
# Runs of a service before their pace is relied upon.
_MIN_RUNS = 10
# A run may last so many times longer than it would at the slowest pace seen.
_RESERVE = 2.0


@dataclass(slots=True)
class _SlowestRuns:
    """The slowest runs since `began`; times in seconds.

    `first_event` is the longest wait for a first event, `prompt_tokens` the
    longest prompt, and `token_time` the longest time for an output token.
    """

    began: float
    count: int = 0
    first_event: float = 0
    prompt_tokens: int = 0
    token_time: float = 0

    def add(self, run: 'StreamRun') -> None:
        """Include a run."""
        self.count += 1
        self.first_event = max(self.first_event, run.first_event)
        self.prompt_tokens = max(self.prompt_tokens, run.demand.prompt_tokens)
        token_time = (run.seconds - run.first_event) / run.demand.output_tokens
        self.token_time = max(self.token_time, token_time)


@dataclass(frozen=True, slots=True)
class StreamRun:
    """A stream that ended; times in seconds since it was sent to its target."""

    demand: Demand
    first_event: float
    seconds: float


@dataclass(slots=True)
class _Pace:
    """The slowest runs of a service, in the current period and the last."""

    current: _SlowestRuns
    last: _SlowestRuns

    def advance(self, now: float) -> None:
        """Begin another period when the current one is over."""
        age = now - self.current.began
        if age < _MEMORY_SECONDS:
            return
        is_recent = age < 2 * _MEMORY_SECONDS
        self.last = self.current if is_recent else _SlowestRuns(now)
        self.current = _SlowestRuns(now)

    def longest_run(self, demand: Demand) -> float | None:
        """Return the seconds that a run may take, None if nothing tells."""
        periods = (self.last, self.current)
        if sum(each.count for each in periods) < _MIN_RUNS:
            return None
        first_event = max(each.first_event for each in periods)
        prompt = max(each.prompt_tokens for each in periods)
        if demand.prompt_tokens > prompt:
            first_event *= demand.prompt_tokens / max(1, prompt)
        token_time = max(each.token_time for each in periods)
        return _RESERVE * (first_event + demand.output_tokens * token_time)


@dataclass(slots=True)
class PlannedStop:
    """When the process ends, and how long streams of each service may run.

    Times are monotonic seconds; `ends_at` is None unless the process stops.
    """

    ends_at: float | None = None
    _paces: dict[str, _Pace] = field(default_factory=dict)

    def record_run(self, service: str, run: StreamRun, now: float) -> None:
        """Record a stream that ended; one of unknown size tells nothing."""
        if not run.demand.output_tokens:
            return
        pace = self._paces.get(service)
        if pace is None:
            pace = _Pace(_SlowestRuns(now), _SlowestRuns(now))
            self._paces[service] = pace
        pace.advance(now)
        pace.current.add(run)

    def refuses(
        self, service: str, demand: Demand, deadline: float, now: float
    ) -> bool:
        """Tell whether a request that is sent now could be cut off."""
        if self.ends_at is None or deadline <= self.ends_at:
            return False
        pace = self._paces.get(service)
        if pace is None or not demand.output_tokens:
            return True
        pace.advance(now)
        longest = pace.longest_run(demand)
        return longest is None or now + longest > self.ends_at
