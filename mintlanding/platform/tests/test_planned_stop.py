"""Requests that come in while an instance is stopped under load."""

import asyncio
import contextlib
import socket
import threading
import time
from unittest.mock import ANY

import pytest

from mintlanding.node import application
from mintlanding.platform.tests.partition import TargetPartition
from mintlanding.platform.tests.world import (
    BATCH,
    HOST,
    LIVE,
    LOOKUP,
    ORDER,
    World,
    read_response,
)

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


async def take_stream_late(world, events, pause, path=LIVE, **request):
    """Ask for a stream late in a planned stop, on a connection from before.

    Usual streams of 10 tokens, with 3 events 0.02 s apart, came before. Return
    the status, whether the response was whole, and the engines that ran it.
    """
    for engine in world.engines:
        engine.faults.event_pause = 0.02
    for _ in range(30):
        assert (await world.ask(path))[0] == 200
    for engine in world.engines:
        engine.events = 80
    reader, writer = await world.connect()
    # A stream of another route keeps the connection open until then.
    other = BATCH if path == LIVE else LIVE
    writer.write(world.raw(other, tokens=280))
    await reader.readuntil(b'\r\n\r\n')
    node = world.nodes.pop(0)
    stopping = asyncio.ensure_future(node.application.stop())
    await reader.readuntil(b'\r\n0\r\n\r\n')
    for engine in world.engines:
        engine.events = events
        engine.faults.event_pause = pause
    writer.write(world.raw(path, **request))
    request_id = f'r{world.sent}'
    status, is_whole = await read_status(reader)
    writer.close()
    await stopping
    ran = [
        engine.name
        for engine in world.engines
        if request_id in {run[0] for run in engine.runs}
    ]
    return status, is_whole, ran


async def read_status(reader):
    """Return a response's status, and whether it came whole."""
    try:
        status, _, _ = await read_response(reader)
    except asyncio.IncompleteReadError:
        return 0, False
    return status, True


@pytest.mark.parametrize('path', [LIVE, BATCH])
async def test_long_stream_accepted_late_in_a_planned_stop_is_not_cut(
    two, path
):
    # Guards against: usual streams before it make a long one pass for short.
    status, is_whole, ran = await take_stream_late(
        two, 100, 0.02, path, tokens=280, deadline_ms=5000
    )
    assert is_whole
    assert status == (200 if ran else 503)


async def test_stream_whose_engine_slows_in_a_planned_stop_is_not_cut(two):
    # Guards against: the pace of earlier streams is taken for a bound.
    status, is_whole, ran = await take_stream_late(
        two, 12, 0.2, tokens=40, deadline_ms=5000
    )
    assert is_whole
    assert status == (200 if ran else 503)


async def test_stream_with_an_early_deadline_is_served_late_in_a_stop(two):
    answer = await take_stream_late(two, 3, 0.02, deadline_ms=1200)
    assert answer == (200, True, [ANY])


async def test_stream_that_waited_too_long_for_a_planned_stop_is_refused(two):
    # Guards against: what was accepted before the stop is sent too late in it.
    for engine in two.engines:
        engine.faults.event_pause = 0.02
    for _ in range(30):
        assert (await two.ask(LIVE))[0] == 200
    for engine in two.engines:
        engine.events = 100
        engine.faults.shed = 1
        engine.faults.pause = 2.0
    reader, writer = await two.connect()
    writer.write(two.raw(LIVE, tokens=280, deadline_ms=5000))
    async with asyncio.timeout(1.5):
        while any(engine.faults.shed for engine in two.engines):
            await asyncio.sleep(0.02)
    node = two.nodes.pop(0)
    stopping = asyncio.ensure_future(node.application.stop())
    status, head, _ = await read_response(reader)
    assert status == 503
    assert b'connection: close' in head
    ran = {run[0] for engine in two.engines for run in engine.runs}
    assert f'r{two.sent}' not in ran
    writer.close()
    await stopping


async def test_order_whose_caller_left_is_finished_by_a_planned_stop(two):
    # Guards against: a stop cuts what runs as soon as no caller is connected.
    for target in two.plain:
        target.delay = 1.2
    _, writer = await two.connect()
    writer.write(two.raw(ORDER))
    async with asyncio.timeout(2):
        while not any(target.runs for target in two.plain):
            await asyncio.sleep(0.01)
    writer.close()
    node = two.nodes.pop(0)
    await node.application.stop()
    assert not any(target.left for target in two.plain)
    assert node.relay.log.outcomes[('order', 'served')] == 1


async def test_stream_behind_another_one_is_not_cut_by_a_planned_stop(two):
    # Guards against: a request read before the stop is judged when it is read.
    for engine in two.engines:
        engine.faults.event_pause = 0.02
        engine.events = 80
    reader, writer = await two.connect()
    writer.write(two.raw(LIVE) + two.raw(LIVE, deadline_ms=5000))
    await reader.readuntil(b'\r\n\r\n')
    node = two.nodes.pop(0)
    stopping = asyncio.ensure_future(node.application.stop())
    await reader.readuntil(b'\r\n0\r\n\r\n')
    status, is_whole = await read_status(reader)
    writer.close()
    await stopping
    ran = {run[0] for engine in two.engines for run in engine.runs}
    assert is_whole
    assert status == (200 if f'r{two.sent}' in ran else 503)


async def test_stream_through_a_member_is_not_cut_by_a_planned_stop(two):
    # Guards against: only requests on direct connections are judged.
    for _ in range(5):
        await two.ask(LIVE)
    with TargetPartition(two, two.nodes[0], refuses=True):
        # The cut is learned from these.
        for _ in range(10):
            await two.ask(LIVE)
        status, is_whole, ran = await take_stream_late(
            two, 100, 0.02, tokens=280, deadline_ms=5000
        )
    assert is_whole
    assert status == (200 if ran else 503)
