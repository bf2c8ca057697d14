"""Callers' connections while a configuration changes their limits."""

import asyncio

import pytest

from mintlanding.platform.tests.samples import CONFIG, encode
from mintlanding.platform.tests.world import LOOKUP, World, read_response


@pytest.fixture
async def world():
    found = await World().start()
    yield found
    await found.stop()


async def set_idle_limit(world, version, milliseconds):
    limits = {**CONFIG['limits'], 'idle_ms': milliseconds}
    cfg = {**CONFIG, 'version': version, 'limits': limits}
    world.store.put('op/config', encode(cfg))
    async with asyncio.timeout(4):
        while world.nodes[0].view.config.version < version:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize(
    ('before', 'after', 'is_open'), [(1500, 15000, True), (15000, 1000, False)]
)
async def test_idle_connection_follows_the_limit_in_force(
    world, before, after, is_open
):
    await set_idle_limit(world, 8, before)
    reader, writer = await world.connect()
    writer.write(world.raw(LOOKUP))
    await read_response(reader)
    await set_idle_limit(world, 9, after)
    try:
        async with asyncio.timeout(3):
            await reader.read()
    except TimeoutError:
        assert is_open
    else:
        assert not is_open
    writer.close()


async def test_limit_that_closes_all_connections_is_not_taken(world):
    limits = {**CONFIG['limits'], 'idle_ms': 0}
    cfg = {**CONFIG, 'version': 8, 'limits': limits}
    world.store.put('op/config', encode(cfg))
    await asyncio.sleep(1)
    assert world.nodes[0].view.config.version == CONFIG['version']
    status, _, _ = await world.ask(LOOKUP)
    assert status == 200
