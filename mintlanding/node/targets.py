"""Track targets as this instance sees them, and choose among plain ones.

The choice is made for requests of a few milliseconds on targets with few slots,
some of which are slow, failing or gone while their entries still exist. In a
service whose targets report how slow they are, the expected time to the
response decides, elsewhere the number of requests.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass, field

from mintlanding.core.logs import Logger
from mintlanding.routing.circuit import CircuitOptions, Circuits
from mintlanding.target_speed.averages import fading
from mintlanding.target_speed.learner import PendingRequests
from mintlanding.target_speed.options import TargetSpeedOptions
from mintlanding.target_speed.table import SpeedChange, TargetSpeeds
from mintlanding.traffic.header_fields import TargetResponse
from mintlanding.traffic.models import Target

# Seconds for which the load that a target reported is used.
_LOAD_LIFETIME = 0.5
# Weight of one failure in the moving average of a target.
_FAILURE_WEIGHT = 0.1
# Cost of a failure rate of 1, in concurrent requests.
_FAILURE_COST = 6.0
# Seconds in which failures cease to count against a target that gets few
# requests, where the expected time decides.
_FAILURE_SECONDS = 5.0
# Failure rate from which on a target is not probed.
_PROBED_FAILURES = 0.05
# A target is unresponsive when a request has been pending for longer than this
# and nothing has come from the target since it was sent.
_UNRESPONSIVE_SECONDS = 1.2
# Cost of a target in another zone, in concurrent requests.
_OTHER_ZONE_COST = 0.3


@dataclass(slots=True)
class TargetLoad:
    """Load of a target: its last report and the requests sent since.

    `unanswered` holds the send times of requests by number. `run` is the
    incarnation that it describes, None while it does not matter. Requests up to
    the number `earlier_last` were sent to earlier runs, and `earlier_running`
    counts those of them that have not ended.
    """

    reported: int = 0
    reported_at: float = float('-inf')
    sent_since: int = 0
    running: int = 0
    failures: float = 0
    failed_at: float = float('-inf')
    last_response_at: float = float('-inf')
    unanswered: dict[int, float] = field(default_factory=dict)
    run: int | None = None
    earlier_last: int = 0
    earlier_running: int = 0

    def pending(self, now: float) -> PendingRequests:
        """Return the requests of this instance on the run of the target."""
        oldest = self.oldest_sent_at()
        age = 0.0 if oldest is None else now - oldest
        running = self.running - self.earlier_running
        return PendingRequests(running, self.sent_since, age)

    def oldest_sent_at(self) -> float | None:
        """Return when the oldest unanswered request of the run was sent."""
        sent_at = (
            sent_at
            for number, sent_at in self.unanswered.items()
            if number > self.earlier_last
        )
        return next(sent_at, None)

    def end(self, number: int) -> None:
        """Count a request as ended."""
        self.running = max(0, self.running - 1)
        if number <= self.earlier_last:
            self.earlier_running = max(0, self.earlier_running - 1)

    def follow_run(self, run: int, last: int) -> None:
        """Forget an earlier run; `last` is the number of the last request."""
        if self.run not in {None, run}:
            self.reported, self.reported_at = 0, float('-inf')
            self.failures, self.failed_at = 0, float('-inf')
            self.sent_since = 0
            self.earlier_last, self.earlier_running = last, self.running
        self.run = run

    def recent_failures(self, now: float) -> float:
        """Return the failure rate, less the longer the last failure is ago."""
        return self.failures * fading(now - self.failed_at, _FAILURE_SECONDS)

    def estimate(self, now: float) -> float:
        """Return the estimated number of requests on the target."""
        if now > self.reported_at + _LOAD_LIFETIME:
            return self.running
        return max(self.running, self.reported + self.sent_since)


class TargetTable:
    """Circuits, loads and speeds of all targets."""

    def __init__(
        self, rnd: random.Random, options: TargetSpeedOptions | None = None
    ) -> None:
        """Start without any observations."""
        self.invalid_loads = 0
        self.speeds = TargetSpeeds(options or TargetSpeedOptions())
        self._logger = Logger('targets')
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
    ) -> float:
        """Record that the response to a request has begun.

        Return the seconds since the request was sent.
        """
        load = self.load(target)
        load.last_response_at = now
        return now - load.unanswered.pop(number, now)

    def end(self, target: Target, number: int, now: float) -> None:
        """Record that a request has ended."""
        load = self.load(target.target)
        load.end(number)
        sent_at = load.unanswered.pop(number, None)
        if sent_at is not None:
            self._log_change(
                self.speeds.record_overdue(target, now - sent_at, now)
            )

    def is_unresponsive(self, target: str, now: float) -> bool:
        """Tell whether a target leaves its pending requests unanswered."""
        load = self._loads.get(target)
        if load is None or not load.unanswered:
            return False
        oldest = load.oldest_sent_at()
        return oldest is not None and (
            now > oldest + _UNRESPONSIVE_SECONDS
            and load.last_response_at < oldest
        )

    def record_response(
        self, target: str, response: TargetResponse, now: float
    ) -> None:
        """Update load, failure rate and circuit from a response."""
        load = self.load(target)
        if response.has_invalid_load:
            self.invalid_loads += 1
        if response.load is not None:
            load.reported = response.load.running + response.load.waiting
            load.reported_at = now
            load.sent_since = 0
        load.failures *= 1 - _FAILURE_WEIGHT
        if response.is_success:
            self._circuits.succeeded(target)
        else:
            load.failures += _FAILURE_WEIGHT
            load.failed_at = now

    def record_speed(
        self,
        target: Target,
        response: TargetResponse,
        seconds: float,
        now: float,
    ) -> None:
        """Learn the speed of a plain target from a response of its own.

        Only successes tell how long work takes: refusals come at once. A
        success without a signature is not from the target and counts as lost.
        """
        is_run = response.is_success and not response.is_not_run
        if not response.is_from(target.target):
            return
        if is_run and not response.is_signed:
            return
        if response.load is None and not is_run:
            return
        self._log_change(
            self.speeds.record(
                target, seconds if is_run else None, response.load, now
            )
        )

    def record_service(self, target: Target, response: TargetResponse) -> None:
        """Record whether an engine reports a slow-down."""
        if response.is_from(target.target):
            self.speeds.record_service(target, response.load)

    def failed(self, target: str, now: float) -> None:
        """Record a failed connection or a lost response."""
        load = self.load(target)
        load.failures += _FAILURE_WEIGHT * (1 - load.failures)
        load.failed_at = now
        self._circuits.failed(target, now, self._rnd)

    def admits(self, target: str, now: float, *, may_fail: bool) -> bool:
        """Tell whether a request may be sent to a target."""
        if self.is_unresponsive(target, now):
            return False
        return self._circuits.admits(target, now, may_fail=may_fail)

    def retain(self, targets: Collection[Target]) -> None:
        """Forget all targets and runs of them except those given.

        The load of a target stays until its last request has ended: its entry
        may be missing only for a moment.
        """
        self.speeds.retain(targets)
        names = {each.target for each in targets}
        self._circuits.keep(names)
        for removed in self._loads.keys() - names:
            if not self._loads[removed].running:
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
        """Return the plain target with the lowest cost.

        `may_fail` says that the request may be repeated at another target.
        """
        left = [each for each in targets if each.target not in excluded]
        is_by_time = bool(left) and self.speeds.is_active(left[0].service)
        if is_by_time:
            for known in left:
                load = self.load(known.target)
                load.follow_run(known.incarnation, self._sent)
        healthy = [
            each
            for each in left
            if self.admits(each.target, now, may_fail=may_fail)
        ]
        # If no circuit admits a request, try the targets regardless.
        usable = healthy or left
        if is_by_time:
            return self._choose_by_time(usable, zone, now, may_fail=may_fail)
        return min(
            usable,
            key=lambda each: self._cost(each, zone, now),
            default=None,
        )

    def _choose_by_time(
        self, usable: list[Target], zone: str, now: float, *, may_fail: bool
    ) -> Target:
        """Return the target with the least expected time to the response.

        Few targets are all compared: a sample would often lack the quickest.
        Of many, all instances would choose the same one.
        """
        options = self.speeds.options
        if may_fail:
            self.speeds.record_repeatable(usable[0].service, now)
        if may_fail and self._rnd.random() < options.probe_share:
            unheard = self._unheard(usable, now)
            if unheard is not None:
                return unheard
        if len(usable) > options.compared_all:
            usable = self._rnd.sample(usable, options.sampled)
        return min(
            usable,
            key=lambda each: self._seconds(each, zone, now, may_fail=may_fail),
        )

    def _unheard(self, usable: list[Target], now: float) -> Target | None:
        """Return the sound target that was not heard from for longest."""
        ages = {
            each.target: self.speeds.age(each, now)
            for each in usable
            if self.load(each.target).recent_failures(now) < _PROBED_FAILURES
        }
        return max(
            (
                each
                for each in usable
                if ages.get(each.target, 0) > self.speeds.options.probe_interval
            ),
            key=lambda each: ages[each.target],
            default=None,
        )

    def _seconds(
        self, target: Target, zone: str, now: float, *, may_fail: bool
    ) -> float:
        options = self.speeds.options
        load = self.load(target.target)
        seconds = self.speeds.expected_time(
            target, load.pending(now), now, is_cautious=not may_fail
        )
        seconds *= 1 + load.recent_failures(now) * _FAILURE_COST
        seconds *= 1 + options.jitter * self._rnd.random()
        if target.zone != zone:
            seconds += options.other_zone_seconds
        return seconds

    def _log_change(self, change: SpeedChange | None) -> None:
        if change is None:
            return
        self._logger.info(
            'Learned time of a target changed.',
            target=change.target,
            before=round(change.before, 4),
            seconds=round(change.seconds, 4),
            knee=round(change.knee, 1),
            trust=round(change.trust, 2),
        )

    def _cost(self, target: Target, zone: str, now: float) -> float:
        load = self.load(target.target)
        slots = max(1, target.slots)
        cost = load.estimate(now) / slots * 4
        cost += load.failures * _FAILURE_COST
        if target.zone != zone:
            cost += _OTHER_ZONE_COST
        return cost + self._rnd.random() * _OTHER_ZONE_COST
