"""The learned speeds of plain targets, and which services report slow-downs."""

import math
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from itertools import islice
from statistics import median

from mintlanding.target_speed.learner import (
    InitialSpeed,
    PendingRequests,
    TargetSpeed,
)
from mintlanding.target_speed.options import TargetSpeedOptions
from mintlanding.traffic.header_fields import TargetLoadReport
from mintlanding.traffic.models import Target

# Runs of targets for which speeds are kept; further ones are not learned.
_MAX_RUNS = 1024
# Runs of the same service from which initial values are taken.
_MAX_PEERS = 16


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """A change of the learned time of a target, in seconds at low load."""

    target: str
    before: float
    seconds: float
    knee: float
    trust: float


@dataclass(frozen=True, slots=True)
class SpeedFigures:
    """What is learned of a target: seconds at low load, knee in requests."""

    target: str
    seconds: float
    knee: float
    age: float


@dataclass(slots=True)
class _Run:
    service: str
    speed: TargetSpeed
    logged: float = 0
    logged_at: float = float('-inf')


class TargetSpeeds:
    """Speeds by run of a target, for services that report a slow-down."""

    def __init__(self, options: TargetSpeedOptions) -> None:
        """Start without any observations."""
        self.options = options
        self._runs: dict[tuple[str, int], _Run] = {}
        # Runs of targets whose last report had a slow-down, by service.
        self._reporting: dict[str, set[tuple[str, int]]] = {}
        # Times of the last repeatable requests, by service.
        self._repeatable_at: dict[str, float] = {}

    def is_active(self, service: str) -> bool:
        """Return whether speeds decide about the targets of a service."""
        return self.options.is_enabled and service in self._reporting

    def record_service(
        self, target: Target, report: TargetLoadReport | None
    ) -> None:
        """Record whether a target reports a slow-down.

        Speeds decide in a service until no target of it reports one any more.
        """
        if report is None:
            return
        if report.slowdown is not None:
            self._reporting.setdefault(target.service, set()).add(target.key)
            return
        runs = self._reporting.get(target.service, set())
        runs.discard(target.key)
        if not runs:
            self._reporting.pop(target.service, None)

    def record(
        self,
        target: Target,
        seconds: float | None,
        report: TargetLoadReport | None,
        now: float,
    ) -> SpeedChange | None:
        """Learn from a response; `seconds` is None if it tells no time."""
        self.record_service(target, report)
        if not self.is_active(target.service):
            return None
        run = self._run(target)
        if run is None:
            return None
        if report is not None:
            run.speed.record_report(report, now)
        if seconds is not None:
            run.speed.record_time(seconds, report, now)
        return self._change(target.target, run, now)

    def record_overdue(
        self, target: Target, seconds: float, now: float
    ) -> SpeedChange | None:
        """Learn from a request that ended without a response."""
        run = self._runs.get(target.key)
        if run is None:
            return None
        run.speed.record_overdue(seconds, now)
        return self._change(target.target, run, now)

    def record_repeatable(self, service: str, now: float) -> None:
        """Record a request that may probe a target of a service."""
        self._repeatable_at[service] = now

    def expected_time(
        self,
        target: Target,
        pending: PendingRequests,
        now: float,
        *,
        is_cautious: bool = False,
    ) -> float:
        """Return the expected seconds until the response of a target.

        What is known of a target that is silent for long fades to the time of
        the quickest other one: a service without repeatable requests probes no
        targets, and a slow one would get nothing any more.
        """
        run = self._runs.get(target.key)
        if run is None:
            speed = self._start(target)
            return speed.expected_time(pending, now, is_cautious=is_cautious)
        if not run.speed.samples:
            run.speed.start_from(self._initial(target))
        seconds = run.speed.expected_time(pending, now, is_cautious=is_cautious)
        left = self._share_known(target.service, run.speed, now)
        if left == 1 or pending.running:
            return seconds
        least = min(seconds, self._least_time(target, now))
        return least + left * (seconds - least)

    def age(self, target: Target, now: float) -> float:
        """Return the seconds since a target was last heard from."""
        run = self._runs.get(target.key)
        return float('inf') if run is None else run.speed.age(now)

    def retain(self, targets: Collection[Target]) -> None:
        """Forget all runs and services except those of the targets."""
        for removed in self._runs.keys() - {each.key for each in targets}:
            self._runs.pop(removed)
        keys = {each.key for each in targets}
        reporting = {
            service: runs & keys for service, runs in self._reporting.items()
        }
        self._repeatable_at = {
            service: at
            for service, at in self._repeatable_at.items()
            if service in reporting
        }
        self._reporting = {
            service: runs for service, runs in reporting.items() if runs
        }

    def figures(self, now: float) -> Iterator[SpeedFigures]:
        """Yield what is learned of the last run of each target, by name."""
        last = {name: self._runs[name, run] for name, run in sorted(self._runs)}
        for name, found in last.items():
            speed = found.speed
            yield SpeedFigures(
                name,
                speed.service_time(now),
                speed.knee.share * speed.slots,
                speed.age(now),
            )

    def _run(self, target: Target) -> _Run | None:
        run = self._runs.get(target.key)
        if run is None and len(self._runs) < _MAX_RUNS:
            run = _Run(target.service, self._start(target))
            self._runs[target.key] = run
        return run

    def _start(self, target: Target) -> TargetSpeed:
        """Return the speed of a run that has not responded."""
        return TargetSpeed(target.slots, self.options, self._initial(target))

    def _initial(self, target: Target) -> InitialSpeed | None:
        """Return the medians of the other targets of a service."""
        peers = self._peers(target)
        if not peers:
            return None
        return InitialSpeed(
            median(each.usual_time for each in peers),
            median(each.knee.share for each in peers),
        )

    def _peers(self, target: Target) -> list[TargetSpeed]:
        peers = (
            each.speed
            for (name, _), each in self._runs.items()
            if each.service == target.service
            and each.speed.samples
            and name != target.target
        )
        return list(islice(peers, _MAX_PEERS))

    def _share_known(
        self, service: str, speed: TargetSpeed, now: float
    ) -> float:
        """Return the share that is left of what is known of a target.

        All of it, where there are repeatable requests to probe it.
        """
        probed_at = self._repeatable_at.get(service, float('-inf'))
        age = min(speed.age(now), now - probed_at)
        begin, end = self.options.silent_seconds, self.options.unknown_seconds
        return 1 - max(0, min(1, (age - begin) / (end - begin)))

    def _least_time(self, target: Target, now: float) -> float:
        idle = PendingRequests()
        return min(
            (each.expected_time(idle, now) for each in self._peers(target)),
            default=math.inf,
        )

    def _change(self, name: str, run: _Run, now: float) -> SpeedChange | None:
        if not run.speed.samples:
            return None
        seconds = run.speed.service_time(now)
        before = run.logged
        if before == 0:
            run.logged = seconds
            return None
        ratio = abs(math.log(seconds / before))
        if ratio < math.log(self.options.log_factor):
            return None
        if now < run.logged_at + self.options.log_interval:
            return None
        run.logged, run.logged_at = seconds, now
        knee = run.speed.knee.share * run.speed.slots
        return SpeedChange(name, before, seconds, knee, run.speed.trust)
