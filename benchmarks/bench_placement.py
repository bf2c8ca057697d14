"""Time the decisions at 200 workers per region and 21,000 adapters.

Run: `python -m pytest benchmarks/bench_placement.py --benchmark-enable`.
"""

import itertools
import random

import pytest

from mintlanding.fairness import QueuedRequest, QueueOptions, WeightedFairQueue
from mintlanding.placement.index import WorkerIndex
from mintlanding.placement.messages import (
    AdapterRef,
    EngineReport,
    Priority,
    ReleaseRequest,
    ReserveRequest,
    WorkerDigest,
)
from mintlanding.placement.models import StewardOptions, WorkerSpec
from mintlanding.placement.policies import PlacedChoice
from mintlanding.placement.popularity import DecayedPopularity
from mintlanding.placement.steward import Steward

SLOTS = 24
SIZES = [(6, 3000), (200, 21000)]


def refs_of(number):
    return [AdapterRef(f'adapter-{each}', 'v1') for each in range(number)]


def digest(worker, resident, sequence, rnd):
    return WorkerDigest(
        worker=f'worker-{worker}',
        zone='zone',
        steward='agent',
        steward_address='127.0.0.1:1',
        fencing=1,
        sequence=sequence,
        slots=SLOTS,
        batch_limit=16,
        resident=tuple(resident),
        running=rnd.randint(0, 16),
    )


@pytest.mark.parametrize('size', SIZES, ids=str)
def test_choose(benchmark, size):
    workers, adapters = size
    rnd, refs = random.Random(1), refs_of(adapters)
    index, popularity = WorkerIndex(), DecayedPopularity.from_config()
    for worker in range(workers):
        index.put(digest(worker, rnd.sample(refs, SLOTS), 1, rnd))
    requested = itertools.cycle(rnd.choices(refs, k=50000))
    for ref in refs:
        index.order(ref)
    choice = PlacedChoice()
    benchmark(lambda: choice.choose(next(requested), index, popularity, 1))


@pytest.mark.parametrize('size', SIZES, ids=str)
def test_rank_uncached(benchmark, size):
    workers, adapters = size
    rnd, refs = random.Random(1), refs_of(adapters)
    index = WorkerIndex()
    for worker in range(workers):
        index.put(digest(worker, (), 1, rnd))
    requested = itertools.cycle(refs)
    benchmark(lambda: index._rank(next(requested)))


@pytest.mark.parametrize('size', SIZES, ids=str)
def test_put_digest(benchmark, size):
    workers, adapters = size
    rnd, refs = random.Random(1), refs_of(adapters)
    index = WorkerIndex()
    numbers = itertools.count(1)
    resident = [rnd.sample(refs, SLOTS) for _ in range(workers)]

    def put():
        number = next(numbers)
        worker = number % workers
        resident[worker][number % SLOTS] = refs[number % adapters]
        index.put(digest(worker, resident[worker], number, rnd))

    benchmark(put)


@pytest.mark.parametrize('waiting', [16, 512])
def test_queue(benchmark, waiting):
    rnd, refs = random.Random(1), refs_of(64)
    queue = WeightedFairQueue(QueueOptions(limit=waiting + 1))
    for ref in refs:
        queue.set_ready(ref, is_ready=True)
    numbers = itertools.count()

    def push():
        number = next(numbers)
        item = QueuedRequest(
            reservation_id=str(number),
            workspace=f'workspace-{number % 40}',
            ref=rnd.choice(refs),
            tokens=100,
            weight=1,
            priority=Priority(number % 2),
            arrived=0,
            expires=1e9,
        )
        queue.push(item)

    for _ in range(waiting):
        push()

    def push_and_pop():
        push()
        queue.pop(0, 1000)

    benchmark(push_and_pop)


@pytest.mark.parametrize('adapters', [3000, 21000])
def test_steward(benchmark, adapters):
    rnd, refs = random.Random(1), refs_of(adapters)
    options = StewardOptions(report_timeout=1e12)
    spec = WorkerSpec('worker', 'zone', SLOTS, 16)
    steward = Steward.from_config(spec, options, rnd)
    steward.take_over(1, 0)
    steward.pins_complete(0)
    resident = tuple(refs[:SLOTS])
    steward.engine_report(EngineReport('worker', 1, resident=resident), 10)
    for ref in refs:
        steward._planner.popularity.note(ref, 10)
    numbers = itertools.count()

    def reserve_and_release():
        name = f'r{next(numbers)}'
        now = 10 + next(numbers) / 1000
        req = ReserveRequest(
            reservation_id=name,
            worker='worker',
            workspace='workspace',
            ref=rnd.choice(resident),
            tokens=100,
            wait=1,
        )
        steward.reserve(req, now)
        steward.release(ReleaseRequest(name, 'worker', 100), now)
        steward.tick(now)

    benchmark(reserve_and_release)
