"""Choose the target of a request for a plain service."""

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
    """Requests in flight from here and the latest load report.

    `in_flight_before` is how many were in flight when the report arrived.
    """

    in_flight: int = 0
    reported: int = 0
    in_flight_before: int = 0

    @property
    def estimate(self) -> int:
        """Return the reported load, corrected by the requests sent since."""
        own = self.in_flight - self.in_flight_before
        return max(self.in_flight, self.reported + own)


class PlainChoice(Protocol):
    """A policy that chooses one of the usable targets."""

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
    """Choose the less loaded of two random targets.

    Load reports lag, so entries that choose the least loaded target would all
    send to the same one.
    """

    def pick(
        self,
        targets: Sequence[PlainTarget],
        loads: dict[str, TargetLoad],
        rnd: random.Random,
    ) -> PlainTarget:
        """Compare two random targets."""
        pair = rnd.sample(targets, min(2, len(targets)))
        return min(pair, key=lambda each: loads[each.name].estimate)


@PLAIN_CHOICES.register('least-loaded')
class LeastLoaded:
    """Choose the target with the lowest known load."""

    def pick(
        self,
        targets: Sequence[PlainTarget],
        loads: dict[str, TargetLoad],
        rnd: random.Random,
    ) -> PlainTarget:
        """Compare all targets."""
        return min(
            targets,
            key=lambda each: (loads[each.name].estimate, rnd.random()),
        )


@PLAIN_CHOICES.register('random')
class RandomChoice:
    """Choose a random target."""

    def pick(
        self,
        targets: Sequence[PlainTarget],
        loads: dict[str, TargetLoad],
        rnd: random.Random,
    ) -> PlainTarget:
        """Ignore the loads."""
        return rnd.choice(targets)


@PLAIN_CHOICES.register('round-robin')
class RoundRobin:
    """Choose the targets in turn."""

    def __init__(self) -> None:
        """Start with the first target."""
        self._turn = -1

    def pick(
        self,
        targets: Sequence[PlainTarget],
        loads: dict[str, TargetLoad],
        rnd: random.Random,
    ) -> PlainTarget:
        """Return the next target in turn."""
        self._turn += 1
        return targets[self._turn % len(targets)]


class PlainRouter:
    """The plain targets that an entry knows, and the choice among them."""

    def __init__(
        self,
        zone: str,
        options: RoutingOptions,
        choice: PlainChoice,
        circuits: Circuits,
    ) -> None:
        """Start without targets, in the entry's own zone."""
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
        """Set the configured targets; known ones keep their loads."""
        services: dict[str, list[PlainTarget]] = {}
        for target in targets:
            services.setdefault(target.service, []).append(target)
        names = [each.name for group in services.values() for each in group]
        self._services = services
        self._loads = {
            name: self._loads.get(name, TargetLoad()) for name in names
        }
        self._leaving.intersection_update(names)
        self.circuits.keep(names)

    def set_leaving(self, target: str, *, is_leaving: bool) -> None:
        """Set whether a target is leaving and gets no new requests."""
        if is_leaving:
            self._leaving.add(target)
        else:
            self._leaving.discard(target)

    def report(self, target: str, load: int) -> None:
        """Apply a target's load report."""
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
        """Return a target of the same zone unless all are over the bound."""
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
            retry_after=self._options.retry_after,
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
