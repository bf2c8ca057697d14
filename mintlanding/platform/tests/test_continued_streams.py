"""Streams that broke off after they had begun, and what is written then."""

import asyncio
from dataclasses import replace

import pytest

from mintlanding.platform.tests.samples import CONFIG, encode
from mintlanding.platform.tests.standins import OddAnswer
from mintlanding.platform.tests.world import (
    BATCH,
    LIVE,
    ORDER,
    World,
    read_response,
)

FIRST = b'id: 1\ndata: x\n\n'
REST = b'id: 2\ndata: x\n\nid: 3\ndata: x\n\n'
LARGE = b'failed ' * (3 << 16)
ANSWERS = {
    'error': OddAnswer(500, b'text/plain', b'failed'),
    'large error': OddAnswer(500, b'text/plain', LARGE),
    'error in events': OddAnswer(500, body=REST),
    'redirect': OddAnswer(302, b'text/html', b'<p>moved</p>\n\n'),
    'no content': OddAnswer(204),
    'other media type': OddAnswer(200, b'application/json', b'{}\n\n'),
    'without stamp': OddAnswer(200, body=REST, signed=False),
    'from the start': OddAnswer(200, body=FIRST + REST),
    'last event again': OddAnswer(200, body=FIRST),
}


@pytest.fixture
async def world():
    """Two engines whose streams break off within the second event."""
    found = await World().start()
    for engine in found.engines:
        engine.faults.break_after = 1
    yield found
    await found.stop()


async def receive(world, extra=()):
    """Return status, received chunks and whether the response is complete."""
    reader, writer = await world.connect()
    writer.write(world.raw(BATCH, extra=extra))
    async with asyncio.timeout(8):
        head = await reader.readuntil(b'\r\n\r\n')
        body, is_complete = await read_chunks(reader)
    writer.close()
    return int(head.split()[1]), body, is_complete


async def read_chunks(reader):
    body = b''
    while True:
        try:
            size = int(await reader.readuntil(b'\r\n'), 16)
            chunk = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError) as exc:
            assert not getattr(exc, 'partial', b'')
            return body, False
        if not size:
            return body, True
        body += chunk[:-2]


@pytest.mark.parametrize('framing', ['length', 'chunked', 'close'])
@pytest.mark.parametrize('answer', ANSWERS)
async def test_only_its_own_events_follow_in_a_stream_that_has_begun(
    world, answer, framing
):
    for engine in world.engines:
        engine.faults.on_resume = replace(ANSWERS[answer], framing=framing)
    assert await receive(world) == (200, FIRST, False)
    assert sum(len(engine.runs) for engine in world.engines) == 2


@pytest.mark.parametrize('answer', ANSWERS)
async def test_stream_goes_on_at_a_third_engine_after_an_error(world, answer):
    routes = [{**CONFIG['routes'][0], 'attempts': 3}, *CONFIG['routes'][1:]]
    changed = {**CONFIG, 'version': 9, 'routes': routes}
    world.store.put('op/config', encode(changed))
    await world.add_engine('e3', 'v1')
    for engine in world.engines:
        engine.faults.break_after = 1
        engine.faults.on_resume = ANSWERS[answer]
    asking = asyncio.ensure_future(receive(world))
    async with asyncio.timeout(5):
        while sum(len(engine.runs) for engine in world.engines) < 2:
            await asyncio.sleep(0)
    for engine in world.engines:
        if not engine.runs:
            engine.faults.on_resume = None
            engine.faults.break_after = 0
    assert await asking == (200, FIRST + REST, True)
    ran = [len(engine.runs) for engine in world.engines]
    assert ran == [1, 1, 1]


@pytest.mark.parametrize('framing', ['length', 'chunked'])
async def test_stream_that_broke_after_its_last_event_ends_as_complete(
    world, framing
):
    # Nothing follows its last event, as the engine says with its stamp.
    for engine in world.engines:
        engine.faults.on_resume = OddAnswer(framing=framing)
    assert await receive(world) == (200, FIRST, True)


async def test_refused_stream_that_has_begun_is_seen_as_incomplete(world):
    asking = asyncio.ensure_future(receive(world))
    async with asyncio.timeout(5):
        while not any(engine.runs for engine in world.engines):
            await asyncio.sleep(0)
    for engine in world.engines:
        engine.faults.shed = 10
    assert await asking == (200, FIRST, False)


@pytest.mark.parametrize('framing', ['length', 'chunked', 'close'])
async def test_stream_that_its_caller_resumes_does_not_begin_anew(
    world, framing
):
    await world.change_build(world.engines[1], 'v2')
    request_id, _ = await world.begin_stream()
    for engine in world.engines:
        answer = ANSWERS['from the start']
        engine.faults.on_resume = replace(answer, framing=framing)
    extra = (b'Last-Event-Id: 1', b'Resumes: ' + request_id)
    assert await receive(world, extra=extra) == (200, b'', False)


@pytest.mark.parametrize('path', [LIVE, BATCH, ORDER])
@pytest.mark.parametrize('status', [204, 304])
async def test_response_without_a_body_brings_none(world, path, status):
    # Chunks after such a head would be taken for the next response.
    for target in world.targets:
        target.faults.bare_status = status
    reader, writer = await world.connect()
    writer.write(world.raw(path))
    async with asyncio.timeout(5):
        head = await reader.readuntil(b'\r\n\r\n')
    assert int(head.split()[1]) == status
    assert b'transfer-encoding' not in head.lower()
    writer.write(world.raw(b'/nowhere/'))
    async with asyncio.timeout(5):
        assert (await read_response(reader))[0] == 404
    writer.close()
