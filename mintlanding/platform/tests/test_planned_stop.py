"""Requests that come in while an instance is stopped under load."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest

from mintlanding.node import application
from mintlanding.platform.tests.world import HOST, LIVE, LOOKUP, ORDER, World

CLIENTS = 8


@pytest.fixture
async def world(monkeypatch):
    monkeypatch.setattr(application, '_ACCEPT_SECONDS', 0.5)
    found = await World().start()
    yield found
    await found.stop()


class Client:
    """Sends requests from a thread of its own until it is refused."""

    def __init__(self, world, name, path, is_kept):
        self.port = world.nodes[0]._front.port
        self.raw = world.raw(path)
        self.id = b'r%d' % world.sent
        self.name = name
        self.is_kept = is_kept
        self.answered = []
        # Ids of requests that were sent whole and not answered.
        self.unanswered = []
        self.thread = threading.Thread(target=self.run)

    def run(self):
        number = 0
        with contextlib.suppress(ConnectionRefusedError):
            while True:
                with socket.create_connection((HOST, self.port)) as sock:
                    is_open = True
                    while is_open:
                        number += 1
                        is_open = self.ask(sock, number)

    def ask(self, sock, number):
        """Return whether the connection may be used again."""
        request_id = f'{self.name}-{number}'
        raw = self.raw.replace(self.id, request_id.encode())
        try:
            sock.sendall(raw)
            head = read_head(sock)
        except ConnectionError:
            head = b''
        if not head:
            self.unanswered.append(request_id)
            return False
        self.answered.append(request_id)
        time.sleep(0.002)
        return self.is_kept and b'connection: close' not in head.lower()


def read_head(sock):
    """Return the head of a response that comes whole, empty at the end."""
    raw = b''
    while b'\r\n\r\n' not in raw:
        chunk = sock.recv(65536)
        if not chunk:
            return b''
        raw += chunk
    head, _, body = raw.partition(b'\r\n\r\n')
    length = head.lower().partition(b'content-length: ')[2].split(b'\r\n')[0]
    while len(body) < int(length):
        chunk = sock.recv(65536)
        if not chunk:
            return b''
        body += chunk
    return head


async def stall_loop():
    """Keep the event loop busy, so that connections wait for it."""
    while True:
        await asyncio.sleep(0.01)
        time.sleep(0.03)


@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize('path', [ORDER, LOOKUP])
async def test_request_around_a_planned_stop_is_answered(world, path, is_kept):
    clients = [
        Client(world, f'c{number}', path, is_kept) for number in range(CLIENTS)
    ]
    for client in clients:
        client.thread.start()
    await asyncio.sleep(0.2)
    stalling = asyncio.ensure_future(stall_loop())
    node = world.nodes.pop(0)
    await node.application.stop()
    stalling.cancel()
    for client in clients:
        await asyncio.to_thread(client.thread.join)
    answered = [each for client in clients for each in client.answered]
    unanswered = {each for client in clients for each in client.unanswered}
    runs = {run[0] for target in world.plain for run in target.runs}
    assert len(answered) > CLIENTS
    assert not unanswered & runs
    if not is_kept:
        assert not unanswered


@pytest.fixture
async def two(monkeypatch):
    monkeypatch.setattr(application, '_ACCEPT_SECONDS', 0.5)
    found = await World().start(instances=2)
    yield found
    await found.stop()


async def begin_late(world, path, during_stop):
    """Send a request whose last bytes come late in a planned stop.

    Targets have answered at once until then, and now take longer than is left.
    """
    for _ in range(12):
        assert (await world.ask(path))[0] == 200
    for target in world.targets:
        target.delay = 30
        target.runs.clear()
    reader, writer = await world.connect()
    raw = world.raw(path)
    writer.write(raw[:-10])
    await asyncio.sleep(0.1)
    node = world.nodes.pop(0)
    stopping = asyncio.ensure_future(node.application.stop())
    await asyncio.sleep(during_stop)
    writer.write(raw[-10:])
    return reader, writer, stopping


@pytest.mark.parametrize('path', [ORDER, LOOKUP, LIVE])
@pytest.mark.parametrize('during_stop', [0.2, 2.0])
async def test_request_that_a_planned_stop_ends_is_answered(
    two, path, during_stop
):
    reader, writer, stopping = await begin_late(two, path, during_stop)
    async with asyncio.timeout(6):
        head = await reader.readuntil(b'\r\n\r\n')
    runs = [run for target in two.targets for run in target.runs]
    status = int(head.split()[1])
    assert status in ({502, 504} if runs else {503})
    writer.close()
    await stopping
