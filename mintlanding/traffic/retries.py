"""How many repeats a service may get from this instance.

Load it answers: a target that fails or refuses much of what it gets, while
every instance would try each request once more. The budget of the fleet is a
share of the requests of a sliding window plus a fixed part; each instance
uses its share of both.
"""

from collections import deque
from dataclasses import dataclass, field

# Share of the budget that is used, since windows of instances and of
# whoever counts do not begin together.
_USABLE_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class FleetRetryOptions:
    """Repeats allowed over the fleet: `ratio` of the requests in `window`
    seconds plus `slack`.
    """

    ratio: float = 0.1
    window: float = 10
    slack: float = 10


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def prune(self, before: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < before:
                times.popleft()


class FleetRetryBudget:
    """Requests and repeats of each service in a sliding window."""

    def __init__(self, options: FleetRetryOptions) -> None:
        """Start with empty windows."""
        self.members = 1
        self._options = options
        self._windows: dict[str, _Window] = {}

    def note_request(self, service: str, now: float) -> None:
        """Count the first arrival of a request."""
        self._pruned(service, now).requests.append(now)

    def take(self, service: str, now: float) -> bool:
        """Take one repeat, if the budget holds one."""
        window = self._pruned(service, now)
        allowed = self._options.ratio * len(
            window.requests
        ) + self._options.slack / max(1, self.members)
        if len(window.repeats) + 1 > allowed * _USABLE_SHARE:
            return False
        window.repeats.append(now)
        return True

    def _pruned(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.prune(now - self._options.window)
        return window
