"""Targets that say in their responses that they leave."""

import asyncio
import time

import pytest

from mintlanding.platform.tests.samples import ENTRY
from mintlanding.platform.tests.world import BATCH, LIVE, LOOKUP, ORDER, World

# Seconds after which nothing more may be sent to a leaving target.
DRAIN = 2.0


@pytest.fixture
async def pair():
    found = await World().start(instances=2)
    yield found
    await found.stop()


async def ask_both(world, path, seconds):
    """Send to both instances in turn; return the statuses."""
    end = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < end:
        statuses.append((await world.ask(path, node=len(statuses) % 2))[0])
        await asyncio.sleep(0.05)
    return statuses


@pytest.mark.parametrize(
    ('path', 'kind'),
    [
        (LOOKUP, 'plain'),
        (ORDER, 'plain'),
        (LIVE, 'engines'),
        (BATCH, 'engines'),
    ],
)
async def test_target_that_says_it_leaves_gets_no_more_requests(
    pair, path, kind
):
    await ask_both(pair, path, 1)
    other, leaving = sorted(getattr(pair, kind), key=lambda each: each.arrivals)
    leaving.faults.leaving = True
    statuses = await ask_both(pair, path, 1 + DRAIN)
    # Its entry still says that it is ready, and is written again.
    pair.store.put(f'servers/{leaving.name}', leaving.entry())
    before = (leaving.arrivals, other.arrivals)
    statuses += await ask_both(pair, path, 1)
    assert set(statuses) == {200}
    assert leaving.arrivals == before[0]
    assert other.arrivals > before[1]


async def test_other_instances_hear_that_a_target_leaves(pair):
    leaving = pair.plain[0]
    leaving.faults.leaving = True
    while not pair.nodes[0].view.leaving:
        await pair.ask(LOOKUP, node=0)
    await asyncio.sleep(1)
    assert pair.nodes[1].view.targets[leaving.name].is_leaving


async def test_new_incarnation_of_a_target_that_left_is_used(pair):
    leaving, other = pair.plain
    leaving.faults.leaving = True
    await ask_both(pair, LOOKUP, 1)
    leaving.faults.leaving = False
    leaving.crashes += 1
    pair.store.put(f'servers/{leaving.name}', leaving.entry())
    pair.store.put(f'servers/{other.name}', other.entry('draining'))
    await asyncio.sleep(1)
    before = leaving.arrivals
    assert set(await ask_both(pair, LOOKUP, 1)) == {200}
    assert leaving.arrivals > before
    assert leaving.born == ENTRY['born'] + 1
