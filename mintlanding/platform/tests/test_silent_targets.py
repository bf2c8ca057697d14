"""Sound targets that fall silent for a second and go on."""

import asyncio

import pytest

from mintlanding.platform.tests import world as world_module
from mintlanding.platform.tests.samples import CONFIG, encode
from mintlanding.platform.tests.world import (
    BATCH,
    LIVE,
    LOOKUP,
    ORDER,
    World,
)

SILENCE_SECONDS = 1.0
# Aim of the answers, much shorter than the silence.
AIM_MS = 300
# Time for answers, longer than the silence by more than a pause of this process.
TIMEOUT_MS = 5000
# Routes on which a pause of this process ends no request, and their aim.
CALM = b'/calm'
CALM_AIM_MS = 1000
EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in (1, 2, 3))


@pytest.fixture
async def world():
    """Targets of routes whose answers are due within 0.3 s, and of calm ones."""
    found = await World().start()
    routes = [
        {**route, 'goal_ms': AIM_MS, 'timeout_ms': TIMEOUT_MS}
        for route in CONFIG['routes']
    ]
    calm = [
        {
            **route,
            'name': f'calm {route["name"]}',
            'prefix': CALM.decode() + route['prefix'],
            'goal_ms': CALM_AIM_MS,
        }
        for route in routes
    ]
    changed = {**CONFIG, 'version': 9, 'routes': [*routes, *calm]}
    found.store.put('op/config', encode(changed))
    async with asyncio.timeout(8):
        while found.nodes[0].view.config.version < 9:
            await asyncio.sleep(0.05)
    assert (await found.ask(CALM + LIVE))[0] == 200
    for target in found.targets:
        target.runs.clear()
    yield found
    await found.stop()


async def keep_one_target(world):
    """Leave one target of each service."""
    (ready,) = [each for each in world.engines if each.adapters]
    for target in (*world.engines, world.plain[1]):
        if target is not ready:
            world.store.remove(f'servers/{target.name}')
    view = world.nodes[0].view
    async with asyncio.timeout(8):
        while set(view.targets) != {ready.name, world.plain[0].name}:
            await asyncio.sleep(0.05)


def allow_no_retries(world):
    for node in world.nodes:
        node.relay.budget.take = lambda service, now: False
        node.relay.budget.has_room = lambda service, now: False


@pytest.mark.parametrize('path', [LIVE, BATCH, ORDER, LOOKUP])
@pytest.mark.parametrize('others', ['silent', 'gone', 'no retries'])
async def test_target_silent_before_its_answer_is_waited_for(
    world, path, others
):
    if others == 'gone':
        await keep_one_target(world)
    if others == 'no retries':
        allow_no_retries(world)
    for target in world.targets:
        target.delay = SILENCE_SECONDS
    status, _, body = await world.ask(path)
    assert status == 200
    assert body == (EVENTS if path in {LIVE, BATCH} else b'done hello')
    await check_no_crash(world)


@pytest.mark.parametrize('path', [LIVE, BATCH])
@pytest.mark.parametrize('others', ['silent', 'gone', 'no retries'])
async def test_target_silent_amid_its_stream_is_waited_for(world, path, others):
    if others == 'gone':
        await keep_one_target(world)
    if others == 'no retries':
        allow_no_retries(world)
    for engine in world.engines:
        engine.faults.silent_after = 1
    status, _, body = await world.ask(path)
    assert (status, body) == (200, EVENTS)
    await check_no_crash(world)


@pytest.fixture
async def small_world(monkeypatch):
    """Two engines, each with place for one request and its adapter loaded."""
    engine = {**CONFIG['services'][0]['engine'], 'slots': 1}
    services = [{**CONFIG['services'][0], 'engine': engine}]
    routes = [{**CONFIG['routes'][0], 'goal_ms': 600}]
    changed = {**CONFIG, 'routes': routes, 'services': services}
    monkeypatch.setattr(world_module, 'CONFIG', changed)
    found = await World().start()
    async with asyncio.timeout(8):
        while not all(each.adapters for each in found.engines):
            await asyncio.gather(found.ask(BATCH), found.ask(BATCH))
    for each in found.engines:
        each.runs.clear()
    yield found
    await found.stop()


@pytest.mark.parametrize('begun', [False, True], ids=['before', 'amid'])
async def test_silent_target_is_waited_for_while_the_other_one_is_full(
    small_world, begun
):
    engines = small_world.engines
    for each in engines:
        each.faults.silent_after = int(begun)
        each.delay = 0 if begun else SILENCE_SECONDS
    found = await asyncio.gather(*(small_world.ask(BATCH) for _ in range(2)))
    assert [(status, body) for status, _, body in found] == [(200, EVENTS)] * 2
    assert [len(each.runs) for each in engines] == [1, 1]
    (node,) = small_world.nodes
    stewards = node._stewards.stewards.values()
    assert [(each.running, len(each.queue)) for each in stewards] == [
        (0, 0)
    ] * 2


async def test_mute_target_is_left_for_one_that_is_free(small_world):
    first, second = small_world.engines
    first.faults.mute = second.faults.mute = True
    stream = asyncio.create_task(small_world.ask(BATCH))
    async with asyncio.timeout(2):
        while not first.runs and not second.runs:
            await asyncio.sleep(0.01)
    for each in (first, second):
        each.faults.mute = False
    assert (await stream)[::2] == (200, EVENTS)
    assert sorted(len(each.runs) for each in (first, second)) == [1, 1]


async def check_no_crash(world):
    """No crash is suspected, and the targets are used again at once."""
    (node,) = world.nodes
    assert not node.relay.crash_watch._checks
    table, now = node.relay.target_table, asyncio.get_running_loop().time()
    for name in node.view.targets:
        assert table.admits(name, now, may_fail=False)
    assert not node._stewards.unreachable()
    assert all(
        steward.may_order and steward.is_known
        for steward in node._stewards.stewards.values()
    )
    for target in world.targets:
        target.delay = 0
        target.faults.silent_after = 0
    for path in (LIVE, BATCH, ORDER, LOOKUP):
        assert (await world.ask(CALM + path))[0] == 200
