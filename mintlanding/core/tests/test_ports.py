"""Ports that are drawn for tests stay reserved until they are used."""

import asyncio
import errno
import itertools
import random
import socket
import subprocess
import sys

import pytest

from mintlanding.core.tests import ports

BIND = 'import socket, sys; socket.socket().bind(("127.0.0.1", %d))'


def close(reader, writer):
    writer.close()


async def listen(port):
    return await asyncio.start_server(close, ports.HOST, port)


async def test_port_is_not_drawn_twice(monkeypatch):
    first = ports.free_port()
    # Other processes may hold the ports that follow.
    draws = itertools.chain([first, first], itertools.count(first + 1))
    monkeypatch.setattr(random, 'randrange', lambda *args: next(draws))
    assert ports.free_port() > first


async def test_ports_in_succession_are_free(monkeypatch):
    free, taken = ports.free_ports(2)
    (reserved,) = [
        each for each in ports._reserved if each.getsockname()[1] == free
    ]
    reserved.close()
    ports._reserved.remove(reserved)
    # Other processes may hold the ports that follow.
    draws = itertools.chain([free], itertools.count(taken + 1))
    monkeypatch.setattr(random, 'randrange', lambda *args: next(draws))
    found = ports.free_ports(2)
    assert len(found) == 2
    assert found.start > taken
    server = await listen(free)
    server.close()


async def test_port_cannot_be_bound_by_another_process():
    code = BIND % ports.free_port()
    done = subprocess.run([sys.executable, '-c', code], capture_output=True)
    assert b'Address already in use' in done.stderr


async def test_server_listens_on_its_port_again_and_again():
    port = ports.free_port()
    for _ in range(3):
        server = await listen(port)
        reader, writer = await asyncio.open_connection(ports.HOST, port)
        await reader.read()
        writer.close()
        server.close()
        await server.wait_closed()


async def test_second_server_on_a_port_is_refused():
    port = ports.free_port()
    server = await listen(port)
    with pytest.raises(OSError) as caught:
        await listen(port)
    assert caught.value.errno == errno.EADDRINUSE
    server.close()


async def test_port_without_a_server_refuses_connections():
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(ports.HOST, ports.free_port())


def test_few_ports_are_kept():
    for _ in range(2 * ports._MAX_RESERVED):
        ports.free_port()
    assert len(ports._reserved) == ports._MAX_RESERVED
    assert all(each.fileno() >= 0 for each in ports._reserved)
    assert isinstance(ports._reserved[0], socket.socket)
