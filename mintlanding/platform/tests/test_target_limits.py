"""Limits that targets name, kept by all instances together."""

import asyncio
import time

import pytest

from mintlanding.platform.tests.world import LIVE, LOOKUP, ORDER, World

# Requests per second that each target names.
LIMIT = 4.0
# Seconds over which requests are counted.
WINDOW = 4.0


@pytest.fixture
async def four():
    found = await World().start(instances=4)
    yield found
    await found.stop()


async def send_steadily(world, path, seconds, rate):
    """Send to the instances in turn; return all responses."""
    tasks = []
    for number in range(int(seconds * rate)):
        node = number % len(world.nodes)
        tasks.append(asyncio.create_task(world.ask(path, node=node)))
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*tasks)


def largest_window(arrived_at, since):
    """Return the most requests that arrived within one window."""
    times = [each for each in arrived_at if each >= since]
    return max(
        (
            sum(first <= each < first + WINDOW for each in times)
            for first in times
        ),
        default=0,
    )


def allowed(limit):
    """Return the most requests that a target accepts within one window."""
    return limit * WINDOW * 1.5 + 5


@pytest.mark.parametrize(
    ('path', 'kind'),
    [(ORDER, 'plain'), (LOOKUP, 'plain'), (LIVE, 'engines')],
)
async def test_limit_of_a_target_holds_for_all_instances_together(
    four, path, kind
):
    targets = getattr(four, kind)
    for target in targets:
        target.faults.limit = LIMIT
    begin = time.monotonic()
    await send_steadily(four, path, seconds=8, rate=40)
    counts = [
        largest_window(each.arrived_at, since=begin + 3) for each in targets
    ]
    assert max(counts) <= allowed(LIMIT)
