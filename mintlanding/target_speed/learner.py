"""How fast one run of a target works now.

The load: plain targets of a few slots that share their machines. Some are
permanently slower, some turn 2.5 times slower for 600 ms at a time, some five
times slower until further notice, and some report a slow-down that is not true.
An instance sees between one response in two seconds and fifty per second.

Times are learned as logarithms, so that a factor up counts as much as the same
factor down. A report tells the slow-down of the moment; own times tell whether
reports are true. While they disagree by more than a factor of two, own times
count instead.
"""

import math
from dataclasses import dataclass

from mintlanding.target_speed.averages import TimedAverage, fading
from mintlanding.target_speed.knee import Knee
from mintlanding.target_speed.options import TargetSpeedOptions
from mintlanding.traffic.header_fields import TargetLoadReport

# Service time in seconds before any is known. It cancels out in a comparison.
_INITIAL_TIME = 0.05
_SHORTEST_TIME = 1e-4
# Reported slow-downs are bounded to this factor in both directions; such a
# target is avoided anyway.
_MAX_SLOWDOWN = 20.0
# Factor of disagreement at which reports and own times count the same, and
# the exponent by which one takes over from the other.
_DISAGREEMENT = math.log(2)
_TRUST_EXPONENT = 4
# Time constant of the usual time in seconds, the greatest weight of a sample
# once there are several, and the largest step.
_USUAL_TIME_SECONDS = 30.0
_MOST_WEIGHT = 0.1
# Share of that weight which is left when reports are not believed, for times
# below the usual one and for those above it. A slow-down that is not reported
# would otherwise raise the usual time within seconds, and the target would be
# avoided for a minute after its return.
_LEAST_TRUST = 0.2
_LEAST_TRUST_ABOVE = 0.05
# Own times count in full below the usual one by this factor, since none is
# shorter than the target allows; nearer they vary with the work.
_QUICK = math.log(1.1)
# Trust above which a report separates the slow-down from the concurrency.
_KNEE_TRUST = 0.5
_MAX_STEP = math.log(2)
# Samples that an initial value of another target counts as.
_INITIAL_SAMPLES = 2
# Seconds in which a reported load stops to describe the target.
_LOAD_SECONDS = 0.5
# Utilisation beyond which an average load is not extrapolated.
_MAX_UTILISATION = 0.95
# Own times count as a slow-down from this multiple of the expected time on,
# while the response is still missing.
_OVERDUE = 2.0


@dataclass(frozen=True, slots=True)
class PendingRequests:
    """Requests of this instance at a target.

    `running` counts them, `sent_since` those sent since the last report, and
    `oldest_age` is for how many seconds the oldest has no response.
    """

    running: int = 0
    sent_since: int = 0
    oldest_age: float = 0


@dataclass(frozen=True, slots=True)
class InitialSpeed:
    """What other targets of the service are like: `log_time` of the usual."""

    log_time: float
    knee: float = 1


class TargetSpeed:
    """Service time, knee and slow-down of one run of a target."""

    def __init__(
        self,
        slots: int,
        options: TargetSpeedOptions,
        initial: InitialSpeed | None = None,
    ) -> None:
        """Start from what other targets of the service are like."""
        self.slots = max(1, slots)
        self.heard_at = float('-inf')
        self.samples = 0
        self.knee = Knee(initial.knee if initial else 1)
        self._options = options
        self._counted = _INITIAL_SAMPLES if initial else 0
        # Logarithm of the usual time of a request at low load.
        self.usual_time = initial.log_time if initial else _log(_INITIAL_TIME)
        self._own_time = TimedAverage(
            options.own_seconds, 0.6, options.falling_seconds
        )
        self._disagreement = TimedAverage(options.own_seconds, 0.5, at=0)
        self._has_slowdown = False
        self._slowdown = 0.0
        self._slowdown_at = float('-inf')
        self._mean_slowdown = TimedAverage(
            options.memory_seconds,
            options.largest_weight,
            options.falling_seconds,
        )
        self._usual_slowdown = TimedAverage(
            options.usual_seconds, 0.1, options.usual_falling_seconds
        )
        self._load = 0
        self._mean_load = TimedAverage(options.memory_seconds, most=0.5)

    def start_from(self, initial: InitialSpeed | None) -> None:
        """Take over initial values, for a run without times of its own."""
        if initial is None:
            return
        self.usual_time = initial.log_time
        self.knee.share = initial.knee
        self._counted = _INITIAL_SAMPLES

    @property
    def trust(self) -> float:
        """Return the share by which reports count rather than own times."""
        if not self._has_slowdown:
            return 0
        error = abs(self._disagreement.level) / _DISAGREEMENT
        return 1 / (1 + error**_TRUST_EXPONENT)

    def age(self, now: float) -> float:
        """Return the seconds since the target was last heard from."""
        return now - self.heard_at

    def record_report(self, report: TargetLoadReport, now: float) -> None:
        """Learn from the load and the slow-down that a target reports."""
        self.heard_at = now
        self._load = report.running + report.waiting
        self._mean_load.add(min(self._load, _MAX_SLOWDOWN * self.slots), now)
        if report.slowdown is None:
            self._has_slowdown = False
            return
        self._has_slowdown = True
        bound = math.log(_MAX_SLOWDOWN)
        self._slowdown = max(-bound, min(bound, math.log(report.slowdown)))
        self._slowdown_at = now
        self._mean_slowdown.add(self._slowdown, now)
        self._usual_slowdown.add(self._slowdown, now)

    def record_time(
        self, seconds: float, report: TargetLoadReport | None, now: float
    ) -> None:
        """Learn from the time of a response, after the report that it has."""
        self.heard_at = now
        running = 1 if report is None else max(1, report.running)
        waiting = 0 if report is None else report.waiting
        share = min(1, running / self.slots)
        waited = 1 + min(waiting, _MAX_SLOWDOWN * self.slots) / self.slots
        seconds = max(_SHORTEST_TIME, seconds) / waited
        slowdown = self._slowdown_of(report, now)
        low_load = _log(seconds / self.knee.growth(share))
        self.samples += 1
        if self._counted == 0:
            self.usual_time = low_load - slowdown
        self._counted += 1
        passed = min(_USUAL_TIME_SECONDS, now - self._own_time.at)
        self._own_time.add(low_load, now, seconds)
        error = low_load - slowdown - self.usual_time
        self._disagreement.add(error, now, seconds)
        weight = 1 - fading(passed, _USUAL_TIME_SECONDS)
        weight = max(min(weight, _MOST_WEIGHT), 1 / self._counted)
        # What a false report explains must not enter the usual time.
        step = low_load - self.trust * slowdown - self.usual_time
        if self._has_slowdown:
            # Reports that are not true hide when a slow-down ends.
            least = _LEAST_TRUST if step < 0 else _LEAST_TRUST_ABOVE
            weight *= max(least, self.trust)
        self.usual_time += weight * max(-_MAX_STEP, min(_MAX_STEP, step))
        if waiting == 0 and (
            not self._has_slowdown or self.trust > _KNEE_TRUST
        ):
            self.knee.record(share, seconds / math.exp(slowdown), now)

    def record_overdue(self, seconds: float, now: float) -> None:
        """Learn from a request that ended without a response.

        It would have taken longer, so that short ones tell nothing.
        """
        if seconds > _OVERDUE * self.expected_time(PendingRequests(), now):
            self.record_time(seconds, None, now)

    def service_time(self, now: float, *, is_cautious: bool = False) -> float:
        """Return the expected seconds of a request at low load now.

        What is known fades with its age, more slowly if the expectation is
        cautious.
        """
        options = self._options
        seconds = options.return_seconds
        if is_cautious:
            seconds = options.cautious_return_seconds
        trust = self.trust
        own = 0.0
        if self.samples:
            excess = self._own_time.level - self.usual_time
            own = excess * fading(now - self._own_time.at, seconds)
        if own > -_QUICK:
            own *= 1 - trust
        reported = self._expected_slowdown(now, seconds)
        return math.exp(self.usual_time + trust * reported + own)

    def expected_time(
        self,
        pending: PendingRequests,
        now: float,
        *,
        is_cautious: bool = False,
    ) -> float:
        """Return the expected seconds until the response to a new request."""
        low_load = self.service_time(now, is_cautious=is_cautious)
        factor = self._load_factor(pending, now)
        if pending.oldest_age > _OVERDUE * low_load * factor:
            low_load = pending.oldest_age / factor
        return low_load * factor

    def _slowdown_of(
        self, report: TargetLoadReport | None, now: float
    ) -> float:
        """Return the reported slow-down that a time was measured under.

        Without a report of its own, an earlier one counts by its age.
        """
        if report is None:
            return self._expected_slowdown(now, self._options.return_seconds)
        return self._slowdown if self._has_slowdown else 0

    def _expected_slowdown(self, now: float, seconds: float) -> float:
        if not self._has_slowdown:
            return 0
        age = now - self._slowdown_at
        mean, usual = self._mean_slowdown.level, self._usual_slowdown.level
        return (
            usual
            + (mean - usual) * fading(age, seconds)
            + (self._slowdown - mean) * fading(age, self._options.noise_seconds)
        )

    def _load_factor(self, pending: PendingRequests, now: float) -> float:
        """Return the response time as a multiple of that at low load."""
        recent = fading(now - self._mean_load.at, _LOAD_SECONDS)
        load = max(pending.running, self._load + pending.sent_since)
        mean = max(pending.running, self._mean_load.level)
        return recent * self._factor_of_load(load) + (
            1 - recent
        ) * self._factor_of_mean(mean)

    def _factor_of_load(self, load: float) -> float:
        """Return the factor with this many requests before a new one.

        Above the knee a request slows those beside it down by as much as they
        slow it down, so that the growth counts twice.
        """
        share = min(1, (load + 1) / self.slots)
        full = self.knee.growth(1)
        ahead = max(0, load + 1 - self.slots) / self.slots
        return 2 * self.knee.growth(share) - 1 + ahead * full

    def _factor_of_mean(self, load: float) -> float:
        """Return the factor at an average load, with the wait for a slot.

        The wait is Sakasegawa's approximation for several servers. A target
        with a knee works off no more at once than its knee.
        """
        share = min(1, (load + 1) / self.slots)
        servers = max(1, self.slots * self.knee.share)
        used = min(_MAX_UTILISATION, load / servers)
        exponent = math.sqrt(2 * (servers + 1)) - 1
        ahead = math.pow(used, exponent) / (1 - used) / servers
        excess = max(0, load - self.slots) / servers
        return 2 * self.knee.growth(share) - 1 + ahead + excess


def _log(seconds: float) -> float:
    return math.log(max(_SHORTEST_TIME, seconds))
