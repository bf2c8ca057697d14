"""Time decisions on the users' platform, from the present to the intended size.

Run: `python -m pytest benchmarks/bench_residency.py --benchmark-enable`.
"""

import itertools
import random

import pytest

from mintlanding.capacity.fleet_room import FleetRoom, Wanted
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionRequest,
    GrantOutcome,
)
from mintlanding.residency.models import EngineCapacity, StewardOptions
from mintlanding.residency.steward import EngineSteward
from mintlanding.residency.tests.engines import FakeEngine
from mintlanding.residency.worker_choice import (
    ChoiceOptions,
    EngineRoom,
    WorkerView,
    choose_worker,
)
from mintlanding.traffic.models import Workspace
from mintlanding.traffic.quotas import FleetQuotas

WORKSPACE = Workspace('w', frozenset(), rate=100_000, burst=200_000)


@pytest.mark.parametrize('workers', [6, 36, 600])
def test_choose(benchmark, workers):
    rnd = random.Random(1)
    views = {
        f'w{number}': WorkerView(
            f'w{number}',
            f'z{number % 3}',
            running=rnd.randint(0, 16),
            can_order=True,
            is_reachable=True,
            ready=frozenset(f'a{rnd.randint(1, 3000)}' for _ in range(11)),
        )
        for number in range(workers)
    }
    options = ChoiceOptions()
    requested = itertools.cycle(
        [f'a{rnd.randint(1, 3000)}' for _ in range(5000)]
    )

    def choose():
        adapter = next(requested)
        choose_worker(adapter, adapter, views, 'z0', options, rnd)

    benchmark(choose)


@pytest.mark.parametrize('adapters', [100, 3000])
def test_choose_among_600(benchmark, adapters):
    """Choose for adapters whose orders are remembered, and for too many."""
    rnd = random.Random(1)
    views = {
        f'w{number}': WorkerView(
            f'w{number}',
            f'z{number % 3}',
            running=rnd.randint(0, 16),
            can_order=True,
            is_reachable=True,
            ready=frozenset(f'a{rnd.randint(1, 3000)}' for _ in range(11)),
        )
        for number in range(600)
    }
    requested = itertools.cycle([f'a{number}' for number in range(adapters)])

    def choose():
        adapter = next(requested)
        choose_worker(adapter, adapter, views, 'z0', ChoiceOptions(), rnd)

    benchmark(choose)


@pytest.mark.parametrize('lines', [0, 8])
def test_look_for_room(benchmark, lines):
    waits = tuple((f'w{number}', 0, 0.2) for number in range(lines))
    room = EngineRoom((0.1 if lines else 0.0,), waits, 0.03)
    views = {
        f'e{number}': WorkerView(f'e{number}', 'z', wait=0.3, room=room)
        for number in range(600)
    }
    wanted = Wanted('a1', 'other', 0, 0.7)
    benchmark(lambda: FleetRoom.from_views(views, wanted))


@pytest.mark.parametrize('waiting', [0, 16, 128])
def test_reserve_and_end(benchmark, waiting):
    engine = FakeEngine(slots=11, adapters={f'a{n}': 1 for n in range(11)})
    capacity = EngineCapacity('base', 1, 11, 16, 10_000_000)
    steward = EngineSteward(
        'w', 1, capacity, StewardOptions(), random.Random(1)
    )
    steward.start(0)
    steward.set_authority(True, 0)
    steward.report(engine.report(), 0)
    for number in range(16 + waiting if waiting else 0):
        steward.reserve(request(f'r{number}'), 1)
    names = itertools.count()

    def reserve_and_end():
        name = f'n{next(names)}'
        steward.reserve(request(name), 1)
        steward.end(AdmissionEnd(name, 'w', GrantOutcome.served), 1)

    benchmark(reserve_and_end)


@pytest.mark.parametrize('members', [8, 73, 400])
def test_admit_by_quota(benchmark, members):
    quotas = FleetQuotas()
    quotas.set_reachable(members, members)
    clock = itertools.count()
    for member in range(members):
        quotas.add_remote_counters(
            f'm{member}', {'w': 1.0}, {'w': WORKSPACE}, 0
        )
    benchmark(lambda: quotas.admit(WORKSPACE, 500, next(clock) * 0.001))


@pytest.mark.parametrize('members', [8, 73, 400])
def test_charge_from_status_of_member(benchmark, members):
    quotas = FleetQuotas()
    clock = itertools.count(1)

    def charge():
        now = next(clock)
        counters = {'w': now * 10.0, 'w\0asked': now * 20.0}
        source = f'm{now % members}'
        quotas.add_remote_counters(
            source, counters, {'w': WORKSPACE}, now * 0.01
        )

    benchmark(charge)


def request(name):
    return AdmissionRequest(
        request_id=name,
        worker='w',
        model='base',
        adapter='a1',
        workspace='w',
        prompt_tokens=500,
        output_tokens=50,
        priority=0,
        objective=0.6,
        max_wait=50.0,
        deadline=50.0,
        reroute_wait=50.0,
    )
