"""Targets as this instance meets them: circuits, load, plain choice.

Load a choice answers: requests of a few milliseconds on targets with few
places, of which some are slow, failing or gone while their entries stand.
"""

import random
from dataclasses import dataclass, field

from mintlanding.routing.circuit import CircuitOptions, Circuits
from mintlanding.traffic.header_fields import TargetAnswer
from mintlanding.traffic.models import Target

# Seconds for which a load that a target told is believed.
_LOAD_LIFE = 0.5
# Share of a failure in the running mean of a target.
_FAILURE_WEIGHT = 0.1
# What one certain failure costs, in requests that run beside.
_FAILURE_COST = 6.0
# A target is mute when a request has waited for longer than these seconds
# and nothing has come from it since.
_MUTE_SECONDS = 1.2
# What another zone costs, in requests that run beside.
_FAR_COST = 0.3


@dataclass(slots=True)
class TargetLoad:
    """What runs on a target: told, and sent from here since."""

    told: int = 0
    told_at: float = float('-inf')
    sent_since: int = 0
    running: int = 0
    failures: float = 0
    heard_at: float = float('-inf')
    unanswered: dict[int, float] = field(default_factory=dict)

    def estimate(self, now: float) -> float:
        """Return how many requests the target probably has."""
        if now > self.told_at + _LOAD_LIFE:
            return self.running
        return max(self.running, self.told + self.sent_since)


class TargetBook:
    """Circuits and loads of all targets."""

    def __init__(self, rnd: random.Random) -> None:
        """Start without experience."""
        self._rnd = rnd
        self._circuits = Circuits(CircuitOptions())
        self._loads: dict[str, TargetLoad] = {}
        self._sent = 0

    def load(self, target: str) -> TargetLoad:
        """Return the load of a target."""
        return self._loads.setdefault(target, TargetLoad())

    def begin(self, target: str, now: float) -> int:
        """Count a request that is sent; return its number."""
        load = self.load(target)
        load.running += 1
        load.sent_since += 1
        self._sent += 1
        load.unanswered[self._sent] = now
        return self._sent

    def heard(self, target: str, number: int, now: float) -> None:
        """Note that the answer to a request has begun."""
        load = self.load(target)
        load.unanswered.pop(number, None)
        load.heard_at = now

    def end(self, target: str, number: int) -> None:
        """Count a request that has ended."""
        load = self.load(target)
        load.running = max(0, load.running - 1)
        load.unanswered.pop(number, None)

    def is_mute(self, target: str, now: float) -> bool:
        """Tell whether requests wait on a target that says nothing."""
        load = self._loads.get(target)
        if load is None or not load.unanswered:
            return False
        oldest = next(iter(load.unanswered.values()))
        return now > oldest + _MUTE_SECONDS and load.heard_at < oldest

    def answered(self, target: str, answer: TargetAnswer, now: float) -> None:
        """Learn from an answer."""
        load = self.load(target)
        if answer.load is not None:
            running, waiting, _ = answer.load
            load.told = running + waiting
            load.told_at = now
            load.sent_since = 0
        load.failures *= 1 - _FAILURE_WEIGHT
        if answer.is_success:
            self._circuits.succeeded(target)
        else:
            load.failures += _FAILURE_WEIGHT

    def failed(self, target: str, now: float) -> None:
        """Learn from a connection that failed or an answer that was lost."""
        load = self.load(target)
        load.failures += _FAILURE_WEIGHT * (1 - load.failures)
        self._circuits.failed(target, now, self._rnd)

    def admits(self, target: str, now: float, *, may_fail: bool) -> bool:
        """Tell whether a target may get a request."""
        if self.is_mute(target, now):
            return False
        return self._circuits.admits(target, now, may_fail=may_fail)

    def keep(self, names: set[str]) -> None:
        """Forget the targets that are gone."""
        self._circuits.keep(names)
        for gone in self._loads.keys() - names:
            self._loads.pop(gone)

    def choose(
        self,
        targets: list[Target],
        excluded: set[str],
        zone: str,
        now: float,
        *,
        may_fail: bool,
    ) -> Target | None:
        """Return the plain target with the least to do."""
        left = [each for each in targets if each.target not in excluded]
        sound = [
            each
            for each in left
            if self.admits(each.target, now, may_fail=may_fail)
        ]
        # Where all have failed, the circuits tell nothing.
        return min(
            sound or left,
            key=lambda each: self._cost(each, zone, now),
            default=None,
        )

    def _cost(self, target: Target, zone: str, now: float) -> float:
        load = self.load(target.target)
        places = max(1, target.slots)
        cost = load.estimate(now) / places * 4
        cost += load.failures * _FAILURE_COST
        if target.zone != zone:
            cost += _FAR_COST
        return cost + self._rnd.random() * _FAR_COST
