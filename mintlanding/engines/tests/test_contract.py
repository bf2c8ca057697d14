"""The engine protocol, and how an engine's faults appear to its client."""

import asyncio

import msgspec
import pytest

from mintlanding.core.results import Done, Failed, Ran, ResultCode
from mintlanding.engines.client import EngineClient
from mintlanding.engines.models import GenerateRequest, TargetTimeouts
from mintlanding.engines.relay import StreamRelay
from mintlanding.engines.stream import StreamBroken
from mintlanding.placement.messages import AdapterRef, Priority
from mintlanding.standin.engine import EngineStandin
from mintlanding.standin.faults import Faults
from mintlanding.standin.settings import StandinSettings

_REF = AdapterRef('tiles', '3')
_OTHER = AdapterRef('tiles', '4')
_QUICK = TargetTimeouts(first=0.05, whole=0.05)


def _request(request_id='r-1', tokens=4, stream=True, **fields):
    body = {'model': str(_REF), 'max_tokens': tokens, 'stream': stream}
    fields.setdefault('path', '/v1/completions')
    return GenerateRequest(
        body=msgspec.json.encode(body),
        ref=fields.pop('ref', _REF),
        request_id=request_id,
        is_stream=stream,
        **fields,
    )


@pytest.fixture
async def standin():
    settings = StandinSettings(
        kind='engine',
        slots=2,
        batch_limit=2,
        step_seconds=0.001,
        load_seconds=0.001,
    )
    made = EngineStandin(settings)
    await made.start()
    made.model.resident.add(str(_REF))
    yield made
    await made.stop()


@pytest.fixture
def client(standin):
    return EngineClient.from_config(standin.url)


async def _texts(source):
    raw = b''.join([chunk async for chunk in source.chunks()])
    lines = [line for line in raw.split(b'\n') if line.startswith(b'data: {')]
    choices = [msgspec.json.decode(line[6:])['choices'][0] for line in lines]
    return [
        each['text'] if 'text' in each else each['delta']['content']
        for each in choices
    ]


def _whole(request_id, tokens):
    return [f'{request_id}:{number} ' for number in range(tokens)]


@pytest.mark.parametrize('path', ['/v1/completions', '/v1/chat/completions'])
async def test_stream_has_every_token_once(client, path):
    opened = (await client.generate(_request(path=path))).value
    assert await _texts(opened) == _whole('r-1', 4)
    assert opened.offset == 4 and opened.is_complete


async def test_concurrent_streams_are_not_mixed_up(client):
    names = [f'r-{number}' for number in range(6)]
    opened = await asyncio.gather(
        *(client.generate(_request(name, 9)) for name in names),
    )
    texts = await asyncio.gather(*(_texts(each.value) for each in opened))
    assert texts == [_whole(name, 9) for name in names]


async def test_whole_response_may_take_longer_than_a_first_token(standin):
    timeouts = TargetTimeouts(first=0.02)
    client = EngineClient.from_config(standin.url, timeouts)
    outcome = await client.generate(_request(tokens=60, stream=False))
    assert isinstance(outcome, Done)


async def test_whole_response_names_adapter_and_request(client):
    opened = (await client.generate(_request(stream=False))).value
    answer = msgspec.json.decode(opened.body)
    assert answer['model'] == 'tiles@3'
    assert answer['choices'][0]['text'] == ''.join(_whole('r-1', 4))


async def test_stream_is_resumed_at_its_offset(client):
    await _texts((await client.generate(_request())).value)
    resumed = (await client.resume(_REF, 'r-1', 3)).value
    assert await _texts(resumed) == _whole('r-1', 4)[3:]
    ended = (await client.resume(_REF, 'r-1', 4)).value
    assert await _texts(ended) == []


async def test_cancelled_run_stops_and_its_stream_is_not_whole(standin, client):
    opened = (await client.generate(_request(tokens=100_000))).value
    assert isinstance(await client.cancel('r-1'), Done)
    with pytest.raises(StreamBroken):
        await _texts(opened)
    assert not standin.model.is_running(str(_REF))
    assert isinstance(await client.cancel('unknown'), Done)


async def test_relay_cancels_a_generation_without_its_caller(standin, client):
    opened = (await client.generate(_request(tokens=100_000))).value
    relay = StreamRelay(client, opened, _REF, 'r-1')
    await relay.cancel()
    assert len(standin.records.list('cancel')) == 1


async def test_interactive_goes_before_batch(standin, client):
    requests = [
        _request(f'{priority.name}-{number}', 30, False, priority=priority)
        for priority in (Priority.batch, Priority.interactive)
        for number in range(4)
    ]
    order = []

    async def run(req):
        await client.generate(req)
        order.append(req.request_id.split('-')[0])

    await asyncio.gather(*(run(each) for each in requests))
    assert order[-2:] == ['batch', 'batch']


async def test_adapter_is_loaded_and_evicted(standin, client):
    assert isinstance(await client.load_adapter(_OTHER, 'w', 1), Done)
    assert (await client.report()).value.resident == ('tiles@3', 'tiles@4')
    full = await client.load_adapter(AdapterRef('x', '1'), 'w', 1)
    assert (full.detail, full.ran) == ('no_free_slot', Ran.not_run)
    assert isinstance(await client.evict_adapter(_OTHER, 1), Done)
    assert (await client.report()).value.resident == ('tiles@3',)


async def test_running_adapter_is_not_evicted(standin, client):
    opened = (await client.generate(_request(tokens=100_000))).value
    refused = await client.evict_adapter(_REF, 1)
    assert (refused.detail, refused.ran) == ('adapter_running', Ran.not_run)
    opened.close()
    await client.cancel('r-1')
    assert standin.records.counts['evict while running'] == 1


async def test_old_fencing_number_is_refused(standin, client):
    assert isinstance(await client.change_role('decode', 7), Done)
    orders = (
        client.load_adapter(_OTHER, 'w', 6),
        client.evict_adapter(_REF, 6),
        client.change_role('prefill', 6),
    )
    for order in orders:
        assert (await order).code is ResultCode.fencing_old
    report = (await client.report()).value
    assert (report.role, report.fencing) == ('decode', 7)
    assert report.resident == ('tiles@3',)


async def test_engine_that_ignores_fencing_takes_old_orders(standin, client):
    await client.change_role('decode', 7)
    await standin.set_faults(Faults(ignore_fencing=True))
    assert isinstance(await client.change_role('prefill', 6), Done)


async def test_cache_is_exported_imported_and_reported(client):
    assert isinstance(await client.import_cache('ab', b'block'), Done)
    assert (await client.export_cache('ab')).value == b'block'
    missing = await client.export_cache('cd')
    assert missing.ran is Ran.not_run
    events = (await client.cache_events(0)).value
    assert [(each.kind, each.prefix) for each in events] == [('stored', 'ab')]
    assert (await client.cache_events(events[-1].number)).value == ()


async def test_restarted_engine_is_empty_with_a_new_incarnation(
    standin, client
):
    before = (await client.report()).value
    standin.restart_cold()
    after = (await client.report()).value
    assert after.incarnation != before.incarnation
    assert after.resident == () and after.fencing == 0


async def test_report_lags(standin, client):
    await client.report()
    await standin.set_faults(Faults(lag_seconds=60))
    standin.model.resident.add('late@1')
    await client.report()
    assert 'late@1' not in (await client.report()).value.resident


_FAULTS = {
    'wrong adapter': (
        Faults(wrong_adapter='other@1'),
        ResultCode.target_wrong_adapter,
        Ran.unknown,
    ),
    'garbage': (Faults(garbage=True), ResultCode.target_garbage, Ran.ran),
    'lost answer': (
        Faults(lose_answers=1),
        ResultCode.target_interrupted,
        Ran.unknown,
    ),
    'frozen': (Faults(frozen=True), ResultCode.target_timeout, Ran.unknown),
    'too late': (
        Faults(delay_seconds=1),
        ResultCode.target_timeout,
        Ran.unknown,
    ),
    'down': (Faults(down=True), ResultCode.target_unreachable, Ran.not_run),
}


@pytest.mark.parametrize('stream', [True, False])
@pytest.mark.parametrize('name', _FAULTS)
async def test_fault_has_its_code_and_says_what_ran(standin, name, stream):
    faults, code, ran = _FAULTS[name]
    await standin.set_faults(faults)
    # Only a missing response lasts until the timeout.
    is_silent = code is ResultCode.target_timeout
    timeouts = _QUICK if is_silent else TargetTimeouts()
    client = EngineClient.from_config(standin.url, timeouts)
    outcome = await client.generate(_request(stream=stream))
    assert isinstance(outcome, Failed)
    assert (outcome.code, outcome.ran) == (code, ran)
    if ran is Ran.not_run:
        assert not standin.records.list('run')


async def test_absent_adapter_is_not_run(standin, client):
    standin.model.resident.clear()
    outcome = await client.generate(_request())
    assert (outcome.code, outcome.ran) == (
        ResultCode.target_refused,
        Ran.not_run,
    )


async def test_failed_load_has_its_own_code(standin, client):
    await standin.set_faults(Faults(fail_loads=1))
    outcome = await client.load_adapter(_OTHER, 'w', 1)
    assert outcome.code is ResultCode.adapter_load_failed
    assert isinstance(await client.load_adapter(_OTHER, 'w', 1), Done)


async def test_second_response_is_dropped(standin, client):
    await standin.set_faults(Faults(answer_twice=True))
    opened = (await client.generate(_request())).value
    assert await _texts(opened) == _whole('r-1', 4)


@pytest.mark.parametrize('break_it', ['silence', 'cut'])
async def test_broken_stream_goes_on_elsewhere_without_gap(standin, break_it):
    client = EngineClient.from_config(
        standin.url,
        TargetTimeouts(silence=0.05),
    )
    opened = (await client.generate(_request(tokens=60))).value
    relay = StreamRelay(client, opened, _REF, 'r-1')
    if break_it == 'silence':
        standin.gate.silence(standin.server.transports)
    else:
        for transport in standin.server.transports:
            transport.abort()
    assert await _texts(relay) == _whole('r-1', 60)
    assert relay.resumes == 1
    assert len(standin.records.list('run')) == 1


async def test_call_after_a_silent_connection_succeeds(standin, client):
    await client.report()
    standin.gate.silence(standin.server.transports)
    assert isinstance(await client.report(), Done)


async def test_stream_lost_with_its_engine_ends_as_broken(standin, client):
    opened = (await client.generate(_request(tokens=100_000))).value
    relay = StreamRelay(client, opened, _REF, 'r-1')
    standin.restart_cold()
    with pytest.raises(StreamBroken):
        await _texts(relay)
