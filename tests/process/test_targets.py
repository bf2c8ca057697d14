"""Test clients against target processes that are killed and frozen.

The tests compare the records of the targets with the outcomes at the clients.
None depends on how long a step takes.
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
_ORDER_COUNT = 60
_STREAM_TIMEOUTS = TargetTimeouts(first=5, silence=0.2)
_SHORT_TIMEOUTS = TargetTimeouts(
    connect=0.3, first=0.3, silence=0.2, report=0.3
)


async def _send_orders(client, inject_fault):
    """Send orders, and inject a fault when half of them have been sent."""
    outcomes = {}

    async def send(number):
        if number == _ORDER_COUNT // 2:
            await inject_fault()
        order = f'o-{number}'
        body = msgspec.json.encode({'id': order})
        outcomes[order] = await client.call('POST', '/orders', [], body)

    gate = asyncio.Semaphore(4)

    async def send_gated(number):
        async with gate:
            await send(number)

    await asyncio.gather(*(send_gated(each) for each in range(_ORDER_COUNT)))
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


async def test_orders_run_at_most_once_when_service_is_killed(tmp_path):
    async with running('plain', tmp_path) as service:
        client = PlainClient.from_config(service.url, _SHORT_TIMEOUTS)
        outcomes = await _send_orders(client, service.kill)
        _assert_at_most_once(outcomes, service.records('call'))
        kinds = {
            'done' if isinstance(each, Done) else each.ran
            for each in outcomes.values()
        }
        assert {'done', Ran.not_run} <= kinds


async def test_orders_run_at_most_once_when_service_freezes(tmp_path):
    async with running('plain', tmp_path) as service:

        async def inject_fault():
            service.freeze()
            loop = asyncio.get_running_loop()
            loop.call_later(2 * _SHORT_TIMEOUTS.first, service.thaw)

        client = PlainClient.from_config(service.url, _SHORT_TIMEOUTS)
        outcomes = await _send_orders(client, inject_fault)
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


async def _open_stream(engine, request_id, tokens):
    client = EngineClient.from_config(engine.url, _STREAM_TIMEOUTS)
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


async def test_stream_is_resumed_after_engine_freezes(tmp_path):
    options = {'step_seconds': 0.01, 'load_seconds': 0.01}
    async with running('engine', tmp_path, **options) as engine:
        relay = await _open_stream(engine, 'r-1', 120)
        received, is_frozen = b'', False
        async for chunk in relay.chunks():
            received += chunk
            if not is_frozen and received.count(b'id: ') >= 10:
                is_frozen = True
                engine.freeze()
                loop = asyncio.get_running_loop()
                loop.call_later(2 * _STREAM_TIMEOUTS.silence, engine.thaw)
        assert relay.resumes
        assert _texts(received) == [f'r-1:{number} ' for number in range(120)]
        assert len(engine.records('run')) == 1


async def test_stream_of_killed_engine_is_reported_as_broken(tmp_path):
    options = {'step_seconds': 0.01, 'load_seconds': 0.01}
    async with running('engine', tmp_path, **options) as engine:
        relay = await _open_stream(engine, 'r-1', 100_000)
        received, is_killed = b'', False
        with pytest.raises(StreamBroken):
            async for chunk in relay.chunks():
                received += chunk
                if not is_killed and received.count(b'id: ') >= 10:
                    is_killed = True
                    await engine.kill()
        await engine.start()
        reopened = await relay.client.resume(_REF, 'r-1', 10)
        assert reopened.ran is Ran.not_run
        count = len(_texts(received))
        assert _texts(received) == [f'r-1:{number} ' for number in range(count)]


async def test_write_to_frozen_service_may_take_effect_later(tmp_path):
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
        while not (await service.call_side_port('GET', '/records'))[
            'counts'
        ].get('wait'):
            await asyncio.sleep(0.02)
        await service.kill()
        with pytest.raises(PlatformUnavailable):
            await waiting


@pytest.mark.parametrize('kind', ['plain', 'instances', 'weight-store'])
async def test_stand_in_exits_on_termination_signal(tmp_path, kind):
    async with running(kind, tmp_path) as standin:
        assert await standin.terminate() == 0
