"""Policies that a record is replayed with: the product's, and baselines."""

import random
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from mintlanding.capacity.fleet_room import FleetRoom, Wanted
from mintlanding.capacity.options import CapacityOptions
from mintlanding.core.registry import Registry
from mintlanding.load_replay.admission import Admission, PlainAdmission
from mintlanding.load_replay.calls import MODEL
from mintlanding.load_replay.models import EngineRates, EngineSpec
from mintlanding.residency.models import EngineCapacity, StewardOptions
from mintlanding.residency.steward import EngineSteward
from mintlanding.residency.worker_choice import (
    ChoiceOptions,
    WorkerView,
    choose_worker,
)

PRODUCT = 'product'
# Seconds that the base model takes to load; replays never unload it.
_MODEL_LOAD_TIME = 0.6


@dataclass(frozen=True, slots=True)
class Choice:
    """The engines to ask in order; without any, the request is refused.

    `wait` is then the expected seconds until a place is free; `start_gap` the
    seconds between two starts at all engines, 0 if unknown.
    """

    order: Sequence[str]
    wait: float = 0
    start_gap: float = 0


class Policy(ABC):
    """Decides at instances, and makes what decides at engines."""

    has_return_times = False

    @abstractmethod
    def make_admission(
        self, spec: EngineSpec, rates: EngineRates, rnd: random.Random
    ) -> Admission:
        """Return what admits requests to an engine."""

    @abstractmethod
    def choose(
        self,
        wanted: Wanted,
        views: Mapping[str, WorkerView],
        zone: str,
        rnd: random.Random,
    ) -> Choice:
        """Return the engines that an instance asks for a request."""


POLICIES: Registry[type[Policy]] = Registry('policy')


@POLICIES.register('least-slack')
class LeastSlack(Policy):
    """The product without the contract `pressure`."""

    def make_admission(
        self, spec: EngineSpec, rates: EngineRates, rnd: random.Random
    ) -> Admission:
        """Return the product's steward."""
        return EngineSteward(
            spec.name,
            1,
            EngineCapacity(
                MODEL,
                _MODEL_LOAD_TIME,
                spec.adapter_slots,
                spec.slots,
                rates.token_capacity,
            ),
            StewardOptions(
                load_time=rates.load_time, reload_time=rates.reload_time
            ),
            rnd,
            capacity_options=CapacityOptions(is_enabled=self.has_return_times),
        )

    def choose(
        self,
        wanted: Wanted,
        views: Mapping[str, WorkerView],
        zone: str,
        rnd: random.Random,
    ) -> Choice:
        """Return the product's choice."""
        return Choice(_choose_workers(wanted, views, zone, rnd))


@POLICIES.register(PRODUCT)
class Product(LeastSlack):
    """The product with the contract `pressure`."""

    has_return_times = True

    def choose(
        self,
        wanted: Wanted,
        views: Mapping[str, WorkerView],
        zone: str,
        rnd: random.Random,
    ) -> Choice:
        """Return the product's choice among engines with room."""
        room = FleetRoom.from_views(views, wanted)
        if not room.views:
            return Choice((), room.wait, room.start_gap)
        order = _choose_workers(wanted, room.views, zone, rnd, room.waits)
        return Choice(order, start_gap=room.start_gap)


@POLICIES.register('first-in-first-out')
class FirstInFirstOut(Policy):
    """The product's choice of engines, which serve in order of arrival."""

    def make_admission(
        self, spec: EngineSpec, rates: EngineRates, rnd: random.Random
    ) -> Admission:
        """Return a queue in order of arrival."""
        return PlainAdmission(spec, rates, rnd)

    def choose(
        self,
        wanted: Wanted,
        views: Mapping[str, WorkerView],
        zone: str,
        rnd: random.Random,
    ) -> Choice:
        """Return the product's choice."""
        return Choice(_choose_workers(wanted, views, zone, rnd))


@POLICIES.register('random-engine')
class RandomEngine(FirstInFirstOut):
    """A random engine, which serves in order of arrival."""

    def choose(
        self,
        wanted: Wanted,
        views: Mapping[str, WorkerView],
        zone: str,
        rnd: random.Random,
    ) -> Choice:
        """Return a random engine."""
        return Choice((rnd.choice(list(views)),))


@POLICIES.register('least-loaded')
class LeastLoaded(FirstInFirstOut):
    """The engine with the least requests, in order of arrival."""

    def choose(
        self,
        wanted: Wanted,
        views: Mapping[str, WorkerView],
        zone: str,
        rnd: random.Random,
    ) -> Choice:
        """Return the engine with the least requests for its slots."""
        least = min(
            views.values(),
            key=lambda view: (
                (view.running + view.sent) / view.slots,
                rnd.random(),
            ),
        )
        return Choice((least.worker,))


@POLICIES.register('no-queue')
class NoQueue(LeastLoaded):
    """The engine with the least requests, refused if its slots are taken."""

    def make_admission(
        self, spec: EngineSpec, rates: EngineRates, rnd: random.Random
    ) -> Admission:
        """Return an admission without a queue."""
        return PlainAdmission(spec, rates, rnd, has_queue=False)


def _choose_workers(
    wanted: Wanted,
    views: Mapping[str, WorkerView],
    zone: str,
    rnd: random.Random,
    waits: Mapping[str, float] | None = None,
) -> list[str]:
    return choose_worker(
        wanted.adapter,
        wanted.adapter,
        views,
        zone,
        ChoiceOptions(),
        rnd,
        waits,
    )
