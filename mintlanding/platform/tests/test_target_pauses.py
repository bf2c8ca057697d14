"""Targets that turn requests away and ask for a pause."""

import asyncio
import time

import pytest

from mintlanding.platform.tests.world import LIVE, LOOKUP, ORDER, World

# Seconds after a response in which requests may still be under way.
UNDER_WAY = 0.5


@pytest.fixture
async def world():
    found = await World().start()
    yield found
    await found.stop()


def ask_for_pause(targets, seconds):
    """Let the next request to each target be turned away."""
    for target in targets:
        target.faults.shed = 1
        target.faults.pause = seconds


async def ask_steadily(world, path, seconds):
    """Send 20 requests per second; return the responses."""
    tasks = []
    for _ in range(int(seconds * 20)):
        tasks.append(asyncio.create_task(world.ask(path)))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize(
    ('path', 'kind'), [(LOOKUP, 'plain'), (ORDER, 'plain'), (LIVE, 'engines')]
)
async def test_paused_targets_get_nothing_until_the_end_of_their_pause(
    world, path, kind
):
    await ask_steadily(world, path, 0.5)
    targets = getattr(world, kind)
    begin = time.monotonic()
    ask_for_pause(targets, 2.0)
    responses = await ask_steadily(world, path, 3)
    assert {status for status, _, _ in responses} <= {200, 503}
    for target in targets:
        after = [at for at in target.arrived_at if at >= begin]
        if target.faults.shed:
            continue
        answered = after[0]
        paused = [
            at
            for at in after
            if answered + UNDER_WAY < at < answered + 2.0 - 0.01
        ]
        assert not paused


@pytest.mark.parametrize(
    ('path', 'kind'), [(LOOKUP, 'plain'), (ORDER, 'plain'), (LIVE, 'engines')]
)
async def test_restart_of_a_target_does_not_end_its_pause(world, path, kind):
    await ask_steadily(world, path, 0.5)
    targets = getattr(world, kind)
    ask_for_pause(targets, 3.0)
    begin = time.monotonic()
    await ask_steadily(world, path, 0.3)
    paused = [each for each in targets if not each.faults.shed]
    assert paused
    for target in targets:
        target.faults.shed = 0
        target.crashes += 1
        target.adapters.clear()
        target.orders_taken = 0
        world.store.put(f'servers/{target.name}', target.entry())
    await ask_steadily(world, path, 2)
    for target in paused:
        late = [
            at
            for at in target.arrived_at
            if begin + UNDER_WAY < at < begin + 3.0
        ]
        assert not late
    await asyncio.sleep(1.2)
    status, _, _ = await world.ask(path)
    assert status == 200


async def test_request_waits_for_a_pause_that_ends_in_time(world):
    # Requests that were served leave room for retries.
    await ask_steadily(world, LOOKUP, 2)
    ask_for_pause(world.plain, 0.6)
    status, _, _ = await world.ask(LOOKUP)
    assert status == 200


async def test_request_is_refused_at_once_if_all_targets_pause_for_long(world):
    ask_for_pause(world.plain, 30)
    begin = time.monotonic()
    status, head, _ = await world.ask(LOOKUP)
    assert status == 503
    assert float(head.partition(b'retry-after: ')[2].split()[0]) >= 29
    assert time.monotonic() < begin + 2
    before = [len(each.arrived_at) for each in world.plain]
    assert (await world.ask(LOOKUP))[0] == 503
    assert [len(each.arrived_at) for each in world.plain] == before


async def test_other_targets_serve_during_a_pause(world):
    ask_for_pause(world.plain[:1], 30)
    responses = await ask_steadily(world, LOOKUP, 1)
    assert {status for status, _, _ in responses} == {200}
