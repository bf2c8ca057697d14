"""Instances that reach no target, while members and store are reached."""

import asyncio

import pytest

from mintlanding.platform.tests.partition import TargetPartition
from mintlanding.platform.tests.world import BATCH, LIVE, LOOKUP, ORDER, World

# Requests in the time after which an instance must serve as others do.
CONTACT_REQUESTS = 30
REQUESTS = 15
PATHS = (ORDER, LOOKUP, LIVE, BATCH)


@pytest.fixture
async def world():
    found = await World().start(instances=3)
    for node in range(3):
        for path in PATHS:
            await found.ask(path, node=node)
    yield found
    await found.stop()


async def ask_steadily(world, path, node, count):
    """Send ten requests a second; return how many were served."""
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.create_task(world.ask(path, node=node)))
        await asyncio.sleep(0.1)
    responses = await asyncio.gather(*tasks, return_exceptions=True)
    return sum(isinstance(each, tuple) and each[0] == 200 for each in responses)


@pytest.mark.parametrize('refuses', [True, False], ids=['refuse', 'hang'])
@pytest.mark.parametrize('old', ['dead', 'alive', 'silent'])
async def test_instance_without_targets_serves_like_the_others(
    world, refuses, old
):
    with TargetPartition(world, world.nodes[0], refuses=refuses, old=old):
        await asyncio.gather(
            *(ask_steadily(world, path, 0, CONTACT_REQUESTS) for path in PATHS),
        )
        served = await asyncio.gather(
            *(
                ask_steadily(world, path, node, REQUESTS)
                for path in PATHS
                for node in (0, 1)
            ),
        )
    for path, cut, whole in zip(PATHS, served[::2], served[1::2], strict=True):
        assert cut * 3 >= whole * 2, (path, cut, whole)
        assert whole >= REQUESTS - 1, (path, whole)
