"""Fakes of targets keep their addresses while they are down."""

import asyncio
import socket

import pytest

from mintlanding.platform.tests.standins import TargetStandin


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
