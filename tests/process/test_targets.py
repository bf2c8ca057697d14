"""Clients against real targets that are killed and frozen.

The verdict comes from the targets' own records and the clients' outcomes,
not from how long things took.
"""

import asyncio
from collections import Counter

import msgspec
import pytest

from mintlanding.coordination.http_services import HttpKeyValueService
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.core.results import Done, Ran
from mintlanding.engines.client import EngineClient
from mintlanding.engines.models import GenerateRequest, TargetTimeouts
from mintlanding.engines.plain import PlainClient
from mintlanding.engines.relay import StreamRelay
from mintlanding.engines.stream import StreamBroken
from mintlanding.placement.messages import AdapterRef
from tests.process.standins import running

pytestmark = pytest.mark.process

_REF = AdapterRef('tiles', '3')
_ORDERS = 60
_STREAM = TargetTimeouts(first=5, silence=0.2)
_SHORT = TargetTimeouts(connect=0.3, first=0.3, silence=0.2, report=0.3)


async def _send_orders(client, disturb):
    """Send orders in turn, disturb the service in the middle of them."""
    outcomes = {}

    async def send(number):
        if number == _ORDERS // 2:
            await disturb()
        order = f'o-{number}'
        body = msgspec.json.encode({'id': order})
        outcomes[order] = await client.call('POST', '/orders', [], body)

    gate = asyncio.Semaphore(4)

    async def send_gated(number):
        async with gate:
            await send(number)

    await asyncio.gather(*(send_gated(each) for each in range(_ORDERS)))
    return outcomes


def _assert_at_most_once(outcomes, records):
    runs = Counter(record.detail for record in records)
    assert max(runs.values()) == 1
    for order, outcome in outcomes.items():
        if isinstance(outcome, Done):
            assert runs[order] == 1
        elif outcome.ran is Ran.not_run:
            assert runs[order] == 0
        else:
            assert outcome.ran is Ran.unknown


async def test_orders_run_at_most_once_when_the_service_is_killed(tmp_path):
    async with running('plain', tmp_path) as service:
        client = PlainClient.from_config(service.url, _SHORT)
        outcomes = await _send_orders(client, service.kill)
        _assert_at_most_once(outcomes, service.records('call'))
        kinds = {
            'done' if isinstance(each, Done) else each.ran
            for each in outcomes.values()
        }
        assert {'done', Ran.not_run} <= kinds


async def test_orders_run_at_most_once_when_the_service_freezes(tmp_path):
    async with running('plain', tmp_path) as service:

        async def disturb():
            service.freeze()
            loop = asyncio.get_running_loop()
            loop.call_later(2 * _SHORT.first, service.thaw)

        client = PlainClient.from_config(service.url, _SHORT)
        outcomes = await _send_orders(client, disturb)
        marker = {'id': 'after'}
        body = msgspec.json.encode(marker)
        while not isinstance(await client.call('PUT', '/', [], body), Done):
            await asyncio.sleep(0.05)
        orders = [
            each
            for each in service.records('call')
            if each.detail != marker['id']
        ]
        _assert_at_most_once(outcomes, orders)
        assert {each.ran for each in outcomes.values() if not _is_done(each)}


def _is_done(outcome):
    return isinstance(outcome, Done)


async def _open(engine, request_id, tokens):
    client = EngineClient.from_config(engine.url, _STREAM)
    assert isinstance(await client.load_adapter(_REF, 'tiles/3', 1), Done)
    body = {'model': str(_REF), 'max_tokens': tokens, 'stream': True}
    req = GenerateRequest(
        msgspec.json.encode(body),
        '/v1/completions',
        _REF,
        request_id,
    )
    outcome = await client.generate(req)
    assert isinstance(outcome, Done), outcome
    return StreamRelay(client, outcome.value, _REF, request_id)


def _texts(raw):
    lines = [line for line in raw.split(b'\n') if line.startswith(b'data: {')]
    return [
        msgspec.json.decode(line[len(b'data: ') :])['choices'][0]['text']
        for line in lines
    ]


async def test_stream_outlives_a_frozen_engine(tmp_path):
    options = {'step_seconds': 0.01, 'load_seconds': 0.01}
    async with running('engine', tmp_path, **options) as engine:
        relay = await _open(engine, 'r-1', 120)
        got, is_frozen = b'', False
        async for chunk in relay.chunks():
            got += chunk
            if not is_frozen and got.count(b'id: ') >= 10:
                is_frozen = True
                engine.freeze()
                loop = asyncio.get_running_loop()
                loop.call_later(2 * _STREAM.silence, engine.thaw)
        assert relay.resumes
        assert _texts(got) == [f'r-1:{number} ' for number in range(120)]
        assert len(engine.records('run')) == 1


async def test_stream_of_a_killed_engine_is_never_taken_for_whole(tmp_path):
    options = {'step_seconds': 0.01, 'load_seconds': 0.01}
    async with running('engine', tmp_path, **options) as engine:
        relay = await _open(engine, 'r-1', 100_000)
        got, is_killed = b'', False
        with pytest.raises(StreamBroken):
            async for chunk in relay.chunks():
                got += chunk
                if not is_killed and got.count(b'id: ') >= 10:
                    is_killed = True
                    await engine.kill()
        await engine.start()
        reopened = await relay.client.resume(_REF, 'r-1', 10)
        assert reopened.ran is Ran.not_run
        count = len(_texts(got))
        assert _texts(got) == [f'r-1:{number} ' for number in range(count)]


async def test_write_to_a_frozen_service_may_happen_later(tmp_path):
    async with running('keyvalue', tmp_path) as service:
        client = HttpKeyValueService.from_config(service.url, 0.3)
        service.freeze()
        with pytest.raises(PlatformUnavailable):
            await client.put('k', b'mine', 0)
        service.thaw()
        entry = None
        while entry is None:
            await asyncio.sleep(0.02)
            try:
                entry = await client.get('k')
            except PlatformUnavailable:
                continue
        assert entry.value == b'mine'


async def test_watch_on_a_killed_service_ends(tmp_path):
    async with running('keyvalue', tmp_path) as service:
        client = HttpKeyValueService.from_config(service.url, 5)
        waiting = asyncio.create_task(client.wait('a/', 0, 60))
        while not (await service.side('GET', '/records'))['counts'].get('wait'):
            await asyncio.sleep(0.02)
        await service.kill()
        with pytest.raises(PlatformUnavailable):
            await waiting


@pytest.mark.parametrize('kind', ['plain', 'instances', 'weight-store'])
async def test_stand_in_ends_when_asked(tmp_path, kind):
    async with running(kind, tmp_path) as standin:
        assert await standin.terminate() == 0
