"""Processes of an instance, one of whose ports is taken."""

import asyncio
import json

import pytest

from mintlanding.core.tests.ports import HOST
from mintlanding.platform.tests.samples import CONFIG, encode
from mintlanding.platform.tests.standins import StoreStandin
from soak.world import Instance, is_ready

# Exit code of a process that cannot listen.
NOT_AVAILABLE = 3


@pytest.fixture
async def store():
    found = await StoreStandin().start()
    found.put('op/config', encode(CONFIG))
    yield found
    found.stop()


@pytest.fixture
async def instance(store, tmp_path):
    found = Instance(1, tmp_path, store.address[1])
    yield found
    if found.process.returncode is None:
        found.process.kill()
        await found.process.wait()


async def take(port):
    return await asyncio.start_server(lambda _, w: w.close(), HOST, port)


def lines(instance, sentence):
    """Return the fields of the log lines with a sentence."""
    found = [
        json.loads(line)
        for line in instance.log.read_text().splitlines()
        if line.startswith('{')
    ]
    return [each for each in found if sentence in each.get('message', '')]


@pytest.mark.process
@pytest.mark.parametrize('name', ['front', 'ready', 'metrics'])
async def test_process_that_cannot_listen_says_so_and_where(instance, name):
    port = getattr(instance, name)
    taken = await take(port)
    await instance.start()
    async with asyncio.timeout(20):
        code = await instance.process.wait()
    taken.close()
    assert code == NOT_AVAILABLE
    (line,) = lines(instance, 'Address not available.')
    assert line['address'] == f'{HOST}:{port}'
    assert line['reason'] == 'Address already in use'
    assert f'cannot listen at {HOST}:{port}' in instance.log.read_text()
    assert 'Traceback' not in instance.log.read_text()


@pytest.mark.process
async def test_process_waits_for_its_port_for_members_and_says_so(instance):
    taken = await take(instance.peer)
    await instance.start()
    async with asyncio.timeout(20):
        while not lines(instance, 'Address not available.'):
            await asyncio.sleep(0.1)
        assert not await is_ready(instance)
        taken.close()
        while not await is_ready(instance):
            await asyncio.sleep(0.1)
    line = lines(instance, 'Address not available.')[0]
    assert line['address'] == f'{HOST}:{instance.peer}'


@pytest.mark.process
async def test_soak_tells_a_taken_port_from_a_crash(instance):
    taken = await take(instance.ready)
    await instance.start()
    async with asyncio.timeout(20):
        await instance.process.wait()
    taken.close()
    await instance.restart_if_exited()
    async with asyncio.timeout(20):
        while not await is_ready(instance):
            await asyncio.sleep(0.05)
    instance.process.kill()
    await instance.process.wait()
    await instance.restart_if_exited()
    assert instance.unexpected_exits == [NOT_AVAILABLE, -9]
