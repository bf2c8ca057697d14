"""Time the choice of a target around 200 workers and 21,000 adapters."""

import random

import pytest

from benchmarks.bench_membership import make_digest, make_members
from mintlanding.placement.messages import AdapterRef
from mintlanding.placement.popularity import DecayedPopularity
from mintlanding.routing.models import (
    EngineRequest,
    PlainRequest,
    PlainTarget,
)
from mintlanding.routing.plain import PlainRouter
from mintlanding.routing.workers import WorkerRouter

ADAPTERS = 21_000


@pytest.mark.parametrize('workers', [6, 50, 200, 600])
def test_choose_worker(benchmark, workers):
    router = WorkerRouter.from_config('zone-0')
    members = make_members(400)
    digests = [
        make_digest(number, members[number % 400], 1)
        for number in range(workers)
    ]
    router.set_pools({'models': frozenset(each.worker for each in digests)})
    for digest in digests:
        router.put_digest(digest)
    popularity = DecayedPopularity.from_config()
    rnd = random.Random(1)
    requests = [
        EngineRequest(AdapterRef(f'adapter-{number:05}', '1'), 'models')
        for number in range(ADAPTERS)
    ]
    for req in requests[:8192]:
        router.choose(req, popularity, 0, rnd)

    def choose():
        req = requests[int(rnd.paretovariate(0.6)) % ADAPTERS]
        return router.choose(req, popularity, 0, rnd)

    benchmark(choose)


@pytest.mark.parametrize('targets', [3, 30, 100])
def test_choose_plain(benchmark, targets):
    router = PlainRouter.from_config('z0')
    router.set_targets(
        PlainTarget(f't{each}', 'orders', f'z{each % 3}', f'http://t{each}')
        for each in range(targets)
    )
    rnd = random.Random(1)
    benchmark(router.choose, PlainRequest('orders'), 0, rnd)
