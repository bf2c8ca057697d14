"""Holders that do not reach their engines, while other members do."""

import asyncio
import contextlib

import msgspec
import pytest

from mintlanding.node.view import MEMBERS_PREFIX, OWNERSHIP_PREFIX
from mintlanding.platform.tests.partition import TargetPartition
from mintlanding.platform.tests.world import BATCH, World

# Seconds of a partition after which loads must be served again.
RECOVERY_SECONDS = 7
REQUESTS = 10


@pytest.fixture
async def world():
    found = await World().start(instances=3)
    yield found
    await found.stop()


def holders(world):
    """Return the holder of each engine, as the store has it."""
    view = world.nodes[-1].view
    return {
        each.name: view.ownership[each.name].holder for each in world.engines
    }


@contextlib.contextmanager
def cut_off(world, node, refuses):
    """Cut an instance off from all targets, which it finds out."""
    membership = node._membership
    before = membership.ownership.cut_targets, membership.is_cut_off
    names = frozenset(each.name for each in world.targets)
    with TargetPartition(world, node, refuses=refuses):
        membership.ownership.cut_targets = lambda: names
        membership.is_cut_off = lambda: True
        yield
    membership.ownership.cut_targets, membership.is_cut_off = before


def writes(world, since, prefix):
    """Return the writes of keys with a prefix since a revision."""
    return [
        msgspec.json.decode(content)
        for revision, key, content, _ in world.store.history
        if revision > since and key.startswith(prefix)
    ]


async def ask_for_loads(world, nodes, count, first):
    """Ask for adapters that are not resident; return how many were served."""
    tasks = []
    for number in range(first, first + count):
        adapter = b'/new%d' % number
        node = nodes[number % len(nodes)]
        tasks.append(
            asyncio.create_task(world.ask(BATCH, node=node, adapter=adapter))
        )
        await asyncio.sleep(0.5)
    responses = await asyncio.gather(*tasks, return_exceptions=True)
    return sum(isinstance(each, tuple) and each[0] == 200 for each in responses)


@pytest.mark.parametrize('refuses', [True, False], ids=['refuse', 'hang'])
async def test_members_load_adapters_where_the_holder_is_cut_off(
    world, refuses
):
    assert set(holders(world).values()) == {'n0'}
    assert await ask_for_loads(world, (1, 2), 2, first=0) == 2
    before = world.store.revision
    with cut_off(world, world.nodes[0], refuses):
        await ask_for_loads(world, (1, 2), 2 * RECOVERY_SECONDS, first=100)
        served = await ask_for_loads(world, (1, 2), REQUESTS, first=200)
    assert served >= REQUESTS - 1
    assert not set(holders(world).values()) & {'n0', ''}
    entries = writes(world, before, MEMBERS_PREFIX)
    assert [each['is_cut_off'] for each in entries] == [True]


async def test_end_of_a_partition_moves_no_worker(world):
    with cut_off(world, world.nodes[0], refuses=True):
        await asyncio.sleep(RECOVERY_SECONDS)
    before, found = world.store.revision, holders(world)
    assert not set(found.values()) & {'n0', ''}
    served = await ask_for_loads(world, (0, 1), 16, first=100)
    assert served >= 15
    assert holders(world) == found
    assert not writes(world, before, OWNERSHIP_PREFIX)
    # The instance says once that it reaches the targets again.
    (entry,) = writes(world, before, MEMBERS_PREFIX)
    assert 'is_cut_off' not in entry


async def test_holder_keeps_workers_whose_paths_flap_or_that_nobody_reaches(
    world,
):
    before, found = world.store.revision, holders(world)
    for _ in range(4):
        with cut_off(world, world.nodes[0], refuses=True):
            await asyncio.sleep(0.9)
        await asyncio.sleep(0.9)
    for engine in world.engines:
        engine.faults.restart_after = 3
    crashes = [asyncio.create_task(each.crash_now()) for each in world.engines]
    await ask_for_loads(world, (0, 1, 2), 6, first=100)
    await asyncio.gather(*crashes)
    assert holders(world) == found
    assert not writes(world, before, OWNERSHIP_PREFIX)
    assert not writes(world, before, MEMBERS_PREFIX)


@pytest.mark.parametrize('new', ['refuse', 'hang', 'reset'])
async def test_holder_without_requests_of_its_own_finds_that_it_is_cut_off(
    world, new
):
    # Only its orders fail; its callers ask for nothing.
    before = world.store.revision
    with TargetPartition(
        world, world.nodes[0], refuses=new == 'refuse', resets=new == 'reset'
    ):
        await ask_for_loads(world, (1, 2), 2 * RECOVERY_SECONDS, first=100)
        served = await ask_for_loads(world, (1, 2), REQUESTS, first=200)
    assert served >= REQUESTS - 1
    assert not set(holders(world).values()) & {'n0', ''}
    assert len(writes(world, before, MEMBERS_PREFIX)) <= 1
