"""Choose the target of a plain service."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol, Self

from mintlanding.core.registry import Registry
from mintlanding.core.results import Done, Failed, Outcome, ResultCode
from mintlanding.routing.circuit import CircuitOptions, Circuits
from mintlanding.routing.models import (
    PlainRequest,
    PlainTarget,
    RoutingOptions,
    TargetRoute,
)


@dataclass(slots=True)
class TargetLoad:
    """Requests in flight from here and the last load report.

    `in_flight_before` is how many were in flight when the report came.
    """

    in_flight: int = 0
    reported: int = 0
    in_flight_before: int = 0

    @property
    def estimate(self) -> int:
        """Return the load: the report, brought up to date by own calls."""
        own = self.in_flight - self.in_flight_before
        return max(self.in_flight, self.reported + own)


class PlainChoice(Protocol):
    """Pick one of some usable targets."""

    def pick(
        self,
        targets: Sequence[PlainTarget],
        loads: dict[str, TargetLoad],
        rnd: random.Random,
    ) -> PlainTarget:
        """Return one of the targets; there is at least one."""


PLAIN_CHOICES: Registry[type[PlainChoice]] = Registry('plain choice')


@PLAIN_CHOICES.register('two-choices')
class TwoChoices:
    """Take the less loaded of two random targets.

    With lagging reports this does not send every entry to the same target,
    as the least loaded one would.
    """

    def pick(
        self,
        targets: Sequence[PlainTarget],
        loads: dict[str, TargetLoad],
        rnd: random.Random,
    ) -> PlainTarget:
        """Compare two."""
        pair = rnd.sample(targets, min(2, len(targets)))
        return min(pair, key=lambda each: loads[each.name].estimate)


@PLAIN_CHOICES.register('least-loaded')
class LeastLoaded:
    """Take the target with the lowest known load."""

    def pick(
        self,
        targets: Sequence[PlainTarget],
        loads: dict[str, TargetLoad],
        rnd: random.Random,
    ) -> PlainTarget:
        """Compare all."""
        return min(
            targets,
            key=lambda each: (loads[each.name].estimate, rnd.random()),
        )


@PLAIN_CHOICES.register('random')
class RandomChoice:
    """Take any target."""

    def pick(
        self,
        targets: Sequence[PlainTarget],
        loads: dict[str, TargetLoad],
        rnd: random.Random,
    ) -> PlainTarget:
        """Compare nothing."""
        return rnd.choice(targets)


@PLAIN_CHOICES.register('round-robin')
class RoundRobin:
    """Take the targets in turn."""

    def __init__(self) -> None:
        """Start with the first target."""
        self._turn = -1

    def pick(
        self,
        targets: Sequence[PlainTarget],
        loads: dict[str, TargetLoad],
        rnd: random.Random,
    ) -> PlainTarget:
        """Take the next one."""
        self._turn += 1
        return targets[self._turn % len(targets)]


class PlainRouter:
    """The plain targets that an entry knows and the choice among them."""

    def __init__(
        self,
        zone: str,
        options: RoutingOptions,
        choice: PlainChoice,
        circuits: Circuits,
    ) -> None:
        """Begin without targets, in the entry's own zone."""
        self.circuits = circuits
        self._zone = zone
        self._options = options
        self._choice = choice
        self._services: dict[str, list[PlainTarget]] = {}
        self._loads: dict[str, TargetLoad] = {}
        self._leaving: set[str] = set()

    @classmethod
    def from_config(
        cls,
        zone: str,
        options: RoutingOptions | None = None,
        policy: str = 'two-choices',
    ) -> Self:
        """Build the router of an entry in `zone` with a registered policy."""
        circuits = Circuits(CircuitOptions())
        return cls(
            zone,
            options or RoutingOptions(),
            PLAIN_CHOICES.get(policy)(),
            circuits,
        )

    def set_targets(self, targets: Iterable[PlainTarget]) -> None:
        """Take the configured targets; loads of known ones are kept."""
        services: dict[str, list[PlainTarget]] = {}
        for target in targets:
            services.setdefault(target.service, []).append(target)
        names = [each.name for some in services.values() for each in some]
        self._services = services
        self._loads = {
            name: self._loads.get(name, TargetLoad()) for name in names
        }
        self._leaving.intersection_update(names)
        self.circuits.keep(names)

    def set_leaving(self, target: str, *, is_leaving: bool) -> None:
        """Give a leaving target no new work."""
        if is_leaving:
            self._leaving.add(target)
        else:
            self._leaving.discard(target)

    def report(self, target: str, load: int) -> None:
        """Take a target's own load report."""
        known = self._loads.get(target)
        if known is not None:
            known.reported = load
            known.in_flight_before = known.in_flight

    def started(self, target: str) -> None:
        """Count a request sent to a target."""
        known = self._loads.get(target)
        if known is not None:
            known.in_flight += 1

    def ended(self, target: str) -> None:
        """Count the end of a request sent to a target."""
        known = self._loads.get(target)
        if known is not None and known.in_flight:
            known.in_flight -= 1

    def choose(
        self,
        req: PlainRequest,
        now: float,
        rnd: random.Random,
    ) -> Outcome[TargetRoute]:
        """Return a target of the own zone unless those are over the bound."""
        usable = self._usable(req, now)
        near = [each for each in usable if each.zone == self._zone]
        with_room = [each for each in near if self._has_room(each)]
        for targets in (with_room, usable):
            if targets:
                chosen = self._choice.pick(targets, self._loads, rnd)
                self.circuits.note_trial(chosen.name, now)
                return Done(TargetRoute(chosen.name, chosen.url))
        return Failed(
            ResultCode.no_target,
            'no usable target',
            retry_after=self._options.come_back,
        )

    def _usable(self, req: PlainRequest, now: float) -> list[PlainTarget]:
        return [
            target
            for target in self._services.get(req.service, ())
            if target.name not in req.excluded
            and target.name not in self._leaving
            and self.circuits.admits(
                target.name,
                now,
                may_fail=req.is_repeatable,
            )
        ]

    def _has_room(self, target: PlainTarget) -> bool:
        return self._loads[target.name].estimate < self._options.plain_bound
