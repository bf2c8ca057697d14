"""Budget of the retries that this instance may send to a service.

It prevents a retry storm: a target fails or refuses many requests, and every
instance would send each of them again. The budget of the fleet is a ratio of
the requests in a sliding window plus a fixed number; each instance uses its
share of both.
"""

from collections import deque
from dataclasses import dataclass, field

# Share of the budget that is used, since the windows of the instances and
# those of an observer are not aligned.
_USABLE_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class FleetRetryOptions:
    """Retries allowed to the fleet: `ratio` of the requests in `window`
    seconds plus `slack`.
    """

    ratio: float = 0.1
    window: float = 10
    slack: float = 10


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def prune(self, before: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < before:
                times.popleft()


class FleetRetryBudget:
    """Requests and retries of each service in a sliding window."""

    def __init__(self, options: FleetRetryOptions) -> None:
        """Start with empty windows."""
        self.members = 1
        self._options = options
        self._windows: dict[str, _Window] = {}

    def note_request(self, service: str, now: float) -> None:
        """Count a request, once however often it is retried."""
        self._pruned(service, now).requests.append(now)

    def has_room(self, service: str, now: float) -> bool:
        """Tell whether a retry may be spent."""
        window = self._pruned(service, now)
        allowed = self._options.ratio * len(
            window.requests
        ) + self._options.slack / max(1, self.members)
        return len(window.retries) + 1 <= allowed * _USABLE_SHARE

    def take(self, service: str, now: float) -> bool:
        """Spend one retry; return false if the budget is used up."""
        if not self.has_room(service, now):
            return False
        self._pruned(service, now).retries.append(now)
        return True

    def _pruned(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.prune(now - self._options.window)
        return window
