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


async def send_while(world, path, change):
    """Send steadily; make a change half-way; return the largest counts."""
    for target in world.plain + world.engines:
        target.faults.limit = LIMIT
    begin = time.monotonic()
    sending = asyncio.create_task(
        send_steadily(world, path, seconds=10, rate=40)
    )
    await asyncio.sleep(5)
    change()
    await sending
    return [
        largest_window(each.arrived_at, since=begin + 2)
        for each in (*world.plain, *world.engines)
    ]


@pytest.mark.parametrize('path', [LOOKUP, LIVE])
async def test_limit_holds_while_instances_are_cut_off_from_each_other(
    four, path
):
    counts = await send_while(
        four, path, lambda: four.cut_links(four.nodes[:2], four.nodes[2:])
    )
    assert max(counts) <= allowed(LIMIT)


@pytest.mark.parametrize(('path', 'target'), [(LOOKUP, 'p1'), (LIVE, 'e1')])
async def test_limit_holds_when_its_holder_is_cut_off(four, path, target):
    def cut():
        holder = four.nodes[0]._admissions.holder(target)
        (alone,) = [
            each for each in four.nodes if each._membership.instance == holder
        ]
        others = [each for each in four.nodes if each is not alone]
        four.cut_links([alone], others)

    assert max(await send_while(four, path, cut)) <= allowed(LIMIT)


async def test_requests_go_to_the_target_without_a_limit(four):
    four.plain[0].faults.limit = 0.5
    responses = await send_steadily(four, LOOKUP, seconds=3, rate=20)
    assert {status for status, _, _ in responses} == {200}


async def test_unreadable_limit_is_none(four):
    for target in four.plain:
        target.faults.limit = float('nan')
    responses = await send_steadily(four, LOOKUP, seconds=1, rate=20)
    assert {status for status, _, _ in responses} == {200}
    assert not any(each._limits.count() for each in four.nodes)


async def test_request_beyond_the_limit_of_all_targets_is_refused_at_once(
    four,
):
    for target in four.plain:
        target.faults.limit = 0.0
    responses = await send_steadily(four, LOOKUP, seconds=3, rate=20)
    refusals = [head for status, head, _ in responses if status == 503]
    assert refusals
    assert all(b'retry-after: ' in head for head in refusals)


async def test_limit_ends_with_the_first_response_without_one(four):
    for target in four.plain:
        target.faults.limit = LIMIT
    await send_steadily(four, LOOKUP, seconds=2, rate=40)
    for target in four.plain:
        target.faults.limit = None
    await send_steadily(four, LOOKUP, seconds=2, rate=20)
    responses = await send_steadily(four, LOOKUP, seconds=1, rate=40)
    assert {status for status, _, _ in responses} == {200}
    assert not any(each._limits.count() for each in four.nodes)
