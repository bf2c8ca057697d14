"""Callers that leave while their requests wait."""

import asyncio
import time

import pytest

from mintlanding.platform.tests.partition import TargetPartition
from mintlanding.platform.tests.samples import CONFIG, encode
from mintlanding.platform.tests.world import (
    BATCH,
    LIVE,
    LOOKUP,
    ORDER,
    World,
)

# Seconds after a departure in which its request may still reach a target.
LATE_SECONDS = 0.5
# One path of each kind of route, and the targets of its service.
KINDS = [
    (ORDER, 'plain'),
    (LOOKUP, 'plain'),
    (LIVE, 'engines'),
    (BATCH, 'engines'),
]


@pytest.fixture
async def world():
    found = await World().start(instances=2)
    for _ in range(10):
        for path, _ in KINDS:
            assert (await found.ask(path))[0] == 200
    yield found
    await found.stop()


async def targets_of(world, kind):
    """Return the targets of a kind; of engines, one that has the adapter.

    Another engine would have to load it, longer than its callers wait.
    """
    if kind == 'plain':
        return world.plain
    kept = max(world.engines, key=lambda engine: 'a1' in engine.adapters)
    for engine in world.engines:
        if engine is not kept:
            world.store.remove(f'servers/{engine.name}')
    await until(
        lambda: all(
            set(node.view.engines()) == {kept.name} for node in world.nodes
        )
    )
    return [kept]


def turn_away(targets, pause, delay=0.0):
    """Let each target turn the next request away."""
    for target in targets:
        target.faults.shed = 1
        target.faults.shed_delay = delay
        target.faults.pause = pause


async def until(condition):
    async with asyncio.timeout(3):
        while not condition():
            await asyncio.sleep(0.01)


def places_taken(world):
    """Return the permits and turns in use or waited for at all instances."""
    holders = [
        *(
            each
            for node in world.nodes
            for each in node._stewards.stewards.values()
        ),
        *(
            opened.desk
            for node in world.nodes
            for desks in (node._limits._desks, node._limits._own_desks)
            for opened in desks.values()
        ),
    ]
    return sum(len(each.queue) for each in holders) + sum(
        steward.running
        for node in world.nodes
        for steward in node._stewards.stewards.values()
    )


async def leave_after_refusals(world, path, targets):
    """Send a request and leave when all targets have turned it away.

    Return how many requests reached a target long after that, and how requests
    of its route have ended meanwhile.
    """
    log = world.nodes[0].relay.log
    before = log.outcomes.copy()
    _, writer = await world.connect()
    writer.write(world.raw(path))
    await until(lambda: not any(target.faults.shed for target in targets))
    # The last refusal is under way.
    await asyncio.sleep(0.1)
    writer.close()
    left_at = time.monotonic()
    await asyncio.sleep(2)
    late = [
        at
        for target in targets
        for at in target.arrived_at
        if at > left_at + LATE_SECONDS
    ]
    return len(late), [outcome for _, outcome in log.outcomes - before]


@pytest.mark.parametrize(('path', 'kind'), KINDS)
async def test_request_that_was_turned_away_ends_with_its_caller(
    world, path, kind
):
    # Guards against: what was sent once outlives its caller.
    targets = await targets_of(world, kind)
    turn_away(targets, 1.0)
    assert await leave_after_refusals(world, path, targets) == (0, ['gone'])
    assert not places_taken(world)


async def test_unsafe_request_to_an_engine_ends_with_its_caller(world):
    # Guards against: only unsafe requests to plain targets end.
    routes = [
        {**each, 'kind': 'unsafe'} if each['name'] == 'live' else each
        for each in CONFIG['routes']
    ]
    world.store.put(
        'op/config', encode({**CONFIG, 'version': 8, 'routes': routes})
    )
    await until(
        lambda: all(node.view.config.version == 8 for node in world.nodes)
    )
    targets = await targets_of(world, 'engines')
    turn_away(targets, 1.0)
    answer = await leave_after_refusals(world, LIVE, targets)
    assert answer == (0, ['gone'])
    assert not places_taken(world)


async def test_order_is_not_sent_again_if_its_caller_left_before_the_refusal(
    world,
):
    # Guards against: a departure is forgotten while the request might run.
    turn_away(world.plain, 1.0, delay=0.4)
    before = sum(target.arrivals for target in world.plain)
    _, writer = await world.connect()
    writer.write(world.raw(ORDER))
    await until(lambda: sum(each.arrivals for each in world.plain) > before)
    writer.close()
    await asyncio.sleep(2)
    assert sum(target.arrivals for target in world.plain) == before + 1
    assert world.nodes[0].relay.log.outcomes[('order', 'gone')] == 1


async def test_quota_of_an_abandoned_order_is_given_back_once(world):
    # Guards against: a refusal and the departure each return the charge.
    turn_away(world.plain, 1.0)
    before = world.nodes[0].relay.quotas.counters()['hule930']
    await leave_after_refusals(world, ORDER, world.plain)
    assert world.nodes[0].relay.quotas.counters()['hule930'] == before


async def test_order_that_runs_is_finished_after_its_caller_left(world):
    # Guards against: what may have run is broken off with its caller.
    for target in world.plain:
        target.delay = 0.6
    before = sum(len(target.runs) for target in world.plain)
    _, writer = await world.connect()
    writer.write(world.raw(ORDER))
    await until(lambda: sum(len(each.runs) for each in world.plain) > before)
    writer.close()
    await asyncio.sleep(1)
    assert sum(len(target.runs) for target in world.plain) == before + 1
    assert not any(target.left for target in world.plain)


@pytest.mark.parametrize(('path', 'kind'), KINDS)
async def test_request_that_a_member_passed_on_ends_with_its_caller(
    world, path, kind
):
    # Guards against: a refusal over a path of a member proves nothing.
    targets = await targets_of(world, kind)
    with TargetPartition(world, world.nodes[0], refuses=True):
        for _ in range(10):
            await world.ask(path)
        turn_away(targets, 1.0)
        answer = await leave_after_refusals(world, path, targets)
    assert answer == (0, ['gone'])
    assert not places_taken(world)


async def test_departure_amid_a_refusal_is_not_remembered_at_its_target(world):
    # Guards against: a request that has surely not run is suspected of a crash.
    for target in world.plain:
        target.faults.shed = 1
        target.faults.shed_stalls = True
    _, writer = await world.connect()
    writer.write(world.raw(ORDER))
    await until(lambda: not all(target.faults.shed for target in world.plain))
    await asyncio.sleep(0.1)
    writer.close()
    await asyncio.sleep(0.2)
    relay = world.nodes[0].relay
    assert relay.log.outcomes[('order', 'gone')] == 1
    assert not relay.crash_watch._departed


async def begin_pause(world):
    turn_away(world.plain, 0.8)
    _, writer = await world.connect()
    writer.write(world.raw(LOOKUP))
    await until(lambda: not any(target.faults.shed for target in world.plain))
    writer.close()
    await asyncio.sleep(0.1)


async def use_up_limit(world):
    for target in world.plain:
        target.faults.limit = 2.5
    await asyncio.gather(*(world.ask(LOOKUP) for _ in range(4)))


async def fill_adapter_slots(world):
    for engine in world.engines:
        engine.faults.conflicts = 1000


WAITS = {
    'pause': (begin_pause, ORDER, b'/a1'),
    'turn': (use_up_limit, ORDER, b'/a1'),
    'adapter': (fill_adapter_slots, LIVE, b'/a9'),
}


@pytest.mark.parametrize('wait', WAITS)
async def test_request_that_waits_for_its_first_send_ends_with_its_caller(
    world, wait
):
    # Guards against: a wait goes on for a caller that has left.
    begin, path, adapter = WAITS[wait]
    await begin(world)
    _, writer = await world.connect()
    before = world.nodes[0].relay.log.outcomes.copy()
    writer.write(world.raw(path, adapter=adapter))
    request_id = f'r{world.sent}'
    await until(lambda: world.nodes[0].relay.requests_under_way)
    writer.close()
    await until(lambda: not world.nodes[0].relay.requests_under_way)
    for target in world.targets:
        target.faults.limit = None
        target.faults.conflicts = 0
    await asyncio.sleep(2)
    ended = world.nodes[0].relay.log.outcomes - before
    assert [outcome for _, outcome in ended] == ['gone']
    ran = {run[0] for target in world.targets for run in target.runs}
    assert request_id not in ran
    assert not places_taken(world)
