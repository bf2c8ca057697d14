"""Fakes keep to what the platform promises."""

import asyncio
import socket
import time

import pytest

from mintlanding.platform.tests.standins import StoreStandin, TargetStandin


@pytest.fixture
async def target():
    found = await TargetStandin('p1').start()
    yield found
    found.stop()


def bind(address):
    """Take an address, as an outgoing connection of any process may."""
    with socket.socket() as taker:
        taker.bind(address)


async def test_address_of_a_crashed_target_stays_its_own(target):
    address = target.address
    target.faults.restart_after = 0.05
    crashing = asyncio.ensure_future(target.crash_now())
    await asyncio.sleep(0)
    assert target.is_down
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(*address)
    with pytest.raises(OSError, match='Address already in use'):
        bind(address)
    await crashing
    _, writer = await asyncio.open_connection(*address)
    writer.close()
    assert target.address == address


async def test_change_at_the_end_of_a_watch_is_not_skipped():
    store = StoreStandin()
    query = {'after': f'{store.revision}', 'wait_ms': '50'}
    watch = asyncio.ensure_future(store._kv_watch(None, query, b''))
    await asyncio.sleep(0)
    # The change comes right after the time has run out.
    asyncio.get_running_loop().call_later(0.051, store.put, 'k', b'v')
    time.sleep(0.1)
    _, found = await watch
    assert found['as_of'] == store.revision
    assert [each['key'] for each in found['events']] == ['k']
