"""Requests that come in while an instance is stopped under load."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest

from mintlanding.node import application
from mintlanding.platform.tests.world import HOST, LOOKUP, ORDER, World

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
