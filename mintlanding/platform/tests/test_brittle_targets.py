"""Targets that crash when they refuse too many requests for want of room."""

import asyncio
import time

import pytest

from mintlanding.platform.tests.samples import CONFIG, encode
from mintlanding.platform.tests.world import LIVE, LOOKUP, ORDER, World

# Refusals per second that each target bears.
BEARS = 4
SLOTS = 4
# Seconds that a request runs.
RUN_SECONDS = 0.2
# Requests per second that the two targets of a service can run.
CAPACITY = 2 * SLOTS / RUN_SECONDS
# Seconds from the first response that says it until the instances comply.
CONTACT_SECONDS = 3.0


@pytest.fixture
async def four():
    found = await World().start(instances=4)
    make_brittle(found)
    yield found
    await found.stop()


def make_brittle(world):
    """Give all targets little room, and let their entries come back."""
    for target in world.targets:
        target.faults.slots = SLOTS
        target.faults.waiting_room = SLOTS
        target.faults.brittle = BEARS
        target.faults.restart_after = 2.0
        target.delay = RUN_SECONDS
        target.on_restart = lambda each: world.store.put(
            f'servers/{each.name}', each.entry()
        )
        world.store.put(f'servers/{target.name}', target.entry())


async def send_steadily(world, path, seconds, rate, change=None):
    """Send to the instances in turn; make a change after half of the time."""
    tasks = []
    begin = time.monotonic()
    for number in range(int(seconds * rate)):
        node = number % len(world.nodes)
        tasks.append(asyncio.create_task(world.ask(path, node=node)))
        if change is not None and number == int(seconds * rate / 2):
            change()
        await asyncio.sleep(max(0, begin + number / rate - time.monotonic()))
    return await asyncio.gather(*tasks, return_exceptions=True)


def most_refused(target, since):
    """Return the most refusals for want of room within one second."""
    times = [each for each in target.full_at if each >= since]
    return max(
        (sum(first <= each < first + 1 for each in times) for first in times),
        default=0,
    )


async def check_flood(world, path, kind, change=None, share=0.7):
    """Send twice what the targets can run; none may refuse too much."""
    targets = getattr(world, kind)
    begin = time.monotonic()
    await send_steadily(world, path, CONTACT_SECONDS, 10)
    crashes = sum(each.crashes for each in targets)
    seconds = 8
    responses = await send_steadily(
        world, path, seconds, 2 * CAPACITY, change=change
    )
    if hasattr(world, 'changing'):
        await world.changing
    since = begin + CONTACT_SECONDS
    refused = [most_refused(each, since) for each in targets]
    assert max(refused) <= BEARS
    assert sum(each.crashes for each in targets) == crashes
    served = sum(
        not isinstance(each, BaseException) and each[0] == 200
        for each in responses
    )
    assert served >= share * seconds * CAPACITY


@pytest.mark.parametrize(
    ('path', 'kind'),
    [(ORDER, 'plain'), (LOOKUP, 'plain'), (LIVE, 'engines')],
)
async def test_brittle_targets_do_not_crash_under_twice_what_they_can_run(
    four, path, kind
):
    await check_flood(four, path, kind)


@pytest.mark.parametrize(
    ('path', 'kind'), [(LOOKUP, 'plain'), (LIVE, 'engines')]
)
async def test_room_that_shrinks_without_a_word_is_followed(four, path, kind):
    def shrink():
        for target in getattr(four, kind):
            target.faults.waiting_room = 0

    await check_flood(four, path, kind, shrink)


def holder(world, target):
    """Return the node that keeps the room of a target, and the others."""
    name = world.nodes[0]._admissions.holder(target)
    (found,) = [
        each for each in world.nodes if each._membership.instance == name
    ]
    return found, [each for each in world.nodes if each is not found]


def cut_in_halves(world, target):
    world.cut_links(world.nodes[:2], world.nodes[2:])


def cut_off_holder(world, target):
    alone, others = holder(world, target)
    world.cut_links([alone], others)


def kill_holder(world, target):
    killed, _ = holder(world, target)
    world.changing = asyncio.ensure_future(world.kill(killed))


def cut_for_a_while(world, target):
    cut_in_halves(world, target)

    async def heal():
        await asyncio.sleep(2)
        for node in world.nodes:
            mesh = node._membership.mesh
            del mesh.send, mesh.broadcast

    world.changing = asyncio.ensure_future(heal())


def replace_holder(world, target):
    stopped, _ = holder(world, target)

    async def replace():
        await stopped.drain()
        for task in tuple(stopped.application._tasks):
            task.cancel()
        await stopped.stop()
        await world.add_node('n9')

    # Callers leave an instance that says that it is not ready.
    world.nodes.remove(stopped)
    world.changing = asyncio.ensure_future(replace())


def change_configuration(world, target):
    world.store.put('op/config', encode({**CONFIG, 'version': 8}))


@pytest.mark.parametrize(
    'change',
    [
        cut_in_halves,
        cut_off_holder,
        cut_for_a_while,
        kill_holder,
        replace_holder,
        change_configuration,
    ],
)
@pytest.mark.parametrize(
    ('path', 'kind', 'target'),
    [(LOOKUP, 'plain', 'p1'), (LIVE, 'engines', 'e1')],
)
async def test_brittle_targets_do_not_crash_when_instances_part(
    four, path, kind, target, change
):
    await check_flood(four, path, kind, lambda: change(four, target), share=0.3)


@pytest.mark.parametrize(
    ('path', 'kind'), [(LOOKUP, 'plain'), (LIVE, 'engines')]
)
async def test_brittle_targets_do_not_crash_after_a_kill_of_all(
    four, path, kind
):
    targets = getattr(four, kind)
    await send_steadily(four, path, CONTACT_SECONDS, 2 * CAPACITY)
    await asyncio.sleep(0.5)
    begin = time.monotonic()
    crashes = sum(each.crashes for each in targets)
    names = [each._membership.instance for each in four.nodes]
    await four.kill_all()
    for name in names:
        await four.add_node(name)
    await send_steadily(four, path, 5, 2 * CAPACITY)
    assert max(most_refused(each, begin) for each in targets) <= BEARS
    assert sum(each.crashes for each in targets) == crashes


async def test_first_requests_of_new_instances_do_not_crash_brittle_targets(
    four,
):
    tasks = [
        asyncio.create_task(four.ask(LOOKUP, node=number % 4))
        for number in range(60)
    ]
    await asyncio.gather(*tasks)
    assert max(most_refused(each, 0) for each in four.plain) <= BEARS
    assert not any(each.crashes for each in four.plain)


@pytest.mark.parametrize(
    ('path', 'kind'), [(LOOKUP, 'plain'), (LIVE, 'engines')]
)
async def test_brittle_target_that_is_back_is_not_flooded(four, path, kind):
    def crash():
        target = getattr(four, kind)[0]
        four.changing = asyncio.ensure_future(target.crash_now())

    targets = getattr(four, kind)
    begin = time.monotonic()
    await send_steadily(four, path, CONTACT_SECONDS, 10)
    await send_steadily(four, path, 10, 3 * CAPACITY, change=crash)
    since = begin + CONTACT_SECONDS
    assert max(most_refused(each, since) for each in targets) <= BEARS
    assert sum(each.crashes for each in targets) == 1
