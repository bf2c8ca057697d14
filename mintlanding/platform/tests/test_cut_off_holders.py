"""Holders that do not reach their engines, while other members do."""

import asyncio

import pytest

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


def cut_off(world, node, refuses):
    """Cut an instance off from all targets, which it finds out."""
    names = frozenset(each.name for each in world.targets)
    ownership = node._membership.ownership
    ownership.cut_targets = lambda: names
    return TargetPartition(world, node, refuses=refuses)


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
    with cut_off(world, world.nodes[0], refuses):
        await ask_for_loads(world, (1, 2), 2 * RECOVERY_SECONDS, first=100)
        served = await ask_for_loads(world, (1, 2), REQUESTS, first=200)
    assert served >= REQUESTS - 1
    assert not set(holders(world).values()) & {'n0', ''}
