"""Track targets as this instance sees them, and choose among plain ones.

The choice is made for requests of a few milliseconds on targets with few slots,
some of which are slow, failing or gone while their entries still exist.
"""

import random
from dataclasses import dataclass, field

from mintlanding.routing.circuit import CircuitOptions, Circuits
from mintlanding.traffic.header_fields import TargetResponse
from mintlanding.traffic.models import Target

# Seconds for which the load that a target reported is used.
_LOAD_LIFETIME = 0.5
# Weight of one failure in the moving average of a target.
_FAILURE_WEIGHT = 0.1
# Cost of a failure rate of 1, in concurrent requests.
_FAILURE_COST = 6.0
# A target is unresponsive when a request has been pending for longer than this
# and nothing has come from the target since it was sent.
_UNRESPONSIVE_SECONDS = 1.2
# Cost of a target in another zone, in concurrent requests.
_OTHER_ZONE_COST = 0.3


@dataclass(slots=True)
class TargetLoad:
    """Load of a target: its last report and the requests sent since.

    `unanswered` holds the send times of requests by number.
    """

    reported: int = 0
    reported_at: float = float('-inf')
    sent_since: int = 0
    running: int = 0
    failures: float = 0
    last_response_at: float = float('-inf')
    unanswered: dict[int, float] = field(default_factory=dict)

    def estimate(self, now: float) -> float:
        """Return the estimated number of requests on the target."""
        if now > self.reported_at + _LOAD_LIFETIME:
            return self.running
        return max(self.running, self.reported + self.sent_since)


class TargetTable:
    """Circuits and loads of all targets."""

    def __init__(self, rnd: random.Random) -> None:
        """Start without any observations."""
        self._rnd = rnd
        self._circuits = Circuits(CircuitOptions())
        self._loads: dict[str, TargetLoad] = {}
        self._sent = 0

    def load(self, target: str) -> TargetLoad:
        """Return the load of a target."""
        return self._loads.setdefault(target, TargetLoad())

    def begin(self, target: str, now: float) -> int:
        """Record that a request is sent; return its number."""
        load = self.load(target)
        load.running += 1
        load.sent_since += 1
        self._sent += 1
        load.unanswered[self._sent] = now
        return self._sent

    def record_response_start(
        self, target: str, number: int, now: float
    ) -> None:
        """Record that the response to a request has begun."""
        load = self.load(target)
        load.unanswered.pop(number, None)
        load.last_response_at = now

    def end(self, target: str, number: int) -> None:
        """Record that a request has ended."""
        load = self.load(target)
        load.running = max(0, load.running - 1)
        load.unanswered.pop(number, None)

    def is_unresponsive(self, target: str, now: float) -> bool:
        """Tell whether a target leaves its pending requests unanswered."""
        load = self._loads.get(target)
        if load is None or not load.unanswered:
            return False
        oldest = next(iter(load.unanswered.values()))
        return (
            now > oldest + _UNRESPONSIVE_SECONDS
            and load.last_response_at < oldest
        )

    def record_response(
        self, target: str, response: TargetResponse, now: float
    ) -> None:
        """Update load, failure rate and circuit from a response."""
        load = self.load(target)
        if response.load is not None:
            running, waiting, _ = response.load
            load.reported = running + waiting
            load.reported_at = now
            load.sent_since = 0
        load.failures *= 1 - _FAILURE_WEIGHT
        if response.is_success:
            self._circuits.succeeded(target)
        else:
            load.failures += _FAILURE_WEIGHT

    def failed(self, target: str, now: float) -> None:
        """Record a failed connection or a lost response."""
        load = self.load(target)
        load.failures += _FAILURE_WEIGHT * (1 - load.failures)
        self._circuits.failed(target, now, self._rnd)

    def admits(self, target: str, now: float, *, may_fail: bool) -> bool:
        """Tell whether a request may be sent to a target."""
        if self.is_unresponsive(target, now):
            return False
        return self._circuits.admits(target, now, may_fail=may_fail)

    def retain(self, names: set[str]) -> None:
        """Forget all targets except those named."""
        self._circuits.keep(names)
        for removed in self._loads.keys() - names:
            self._loads.pop(removed)

    def choose(
        self,
        targets: list[Target],
        excluded: set[str],
        zone: str,
        now: float,
        *,
        may_fail: bool,
    ) -> Target | None:
        """Return the plain target with the lowest cost."""
        left = [each for each in targets if each.target not in excluded]
        healthy = [
            each
            for each in left
            if self.admits(each.target, now, may_fail=may_fail)
        ]
        # If no circuit admits a request, try the targets regardless.
        return min(
            healthy or left,
            key=lambda each: self._cost(each, zone, now),
            default=None,
        )

    def _cost(self, target: Target, zone: str, now: float) -> float:
        load = self.load(target.target)
        slots = max(1, target.slots)
        cost = load.estimate(now) / slots * 4
        cost += load.failures * _FAILURE_COST
        if target.zone != zone:
            cost += _OTHER_ZONE_COST
        return cost + self._rnd.random() * _OTHER_ZONE_COST
