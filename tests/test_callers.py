"""Test the responses to valid and invalid requests and to target faults."""

import asyncio

import msgspec
import pytest
import pytest_asyncio
from openai import AsyncOpenAI, NotFoundError

from mintlanding.core.results import RESULTS, ResultCode
from mintlanding.standin.faults import Faults
from tests.fleet import Fleet, eventually

Code = ResultCode
COMPLETIONS = '/v1/completions'
GOOD = msgspec.json.encode({'model': 'red-0', 'prompt': 'hi', 'max_tokens': 2})


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def fleet():
    running = Fleet()
    await running.start(instances=1)
    yield running
    await running.stop()


def body(**fields):
    return msgspec.json.encode({'model': 'red-0', 'prompt': 'hi', **fields})


BAD_REQUESTS = [
    ('unknown path', 'GET', '/nowhere', b'', 'red', Code.unknown_route),
    ('unknown service', 'GET', '/services/x/y', b'', 'red', Code.unknown_route),
    (
        'engine as a service',
        'GET',
        '/services/models/y',
        b'',
        'red',
        Code.unknown_route,
    ),
    ('wrong method', 'GET', COMPLETIONS, b'', 'red', Code.method_not_allowed),
    ('no key', 'POST', COMPLETIONS, GOOD, '', Code.key_missing),
    (
        'malformed key',
        'POST',
        COMPLETIONS,
        GOOD,
        'nonsense',
        Code.key_malformed,
    ),
    (
        'unknown key',
        'POST',
        COMPLETIONS,
        GOOD,
        f'mk_{"0" * 12}_{"0" * 48}',
        Code.key_unknown,
    ),
    ('key elsewhere', 'POST', COMPLETIONS, GOOD, 'blue', Code.adapter_unknown),
    ('not JSON', 'POST', COMPLETIONS, b'{"model":', 'red', Code.malformed_json),
    ('bad UTF-8', 'POST', COMPLETIONS, b'"\xff"', 'red', Code.malformed_json),
    ('a JSON list', 'POST', COMPLETIONS, b'[]', 'red', Code.missing_field),
    ('deep JSON', 'POST', COMPLETIONS, b'[' * 9999, 'red', Code.malformed_json),
    (
        'no model',
        'POST',
        COMPLETIONS,
        b'{"prompt":"x"}',
        'red',
        Code.missing_field,
    ),
    (
        'no prompt',
        'POST',
        COMPLETIONS,
        b'{"model":"red-0"}',
        'red',
        Code.missing_field,
    ),
    (
        'bad max_tokens',
        'POST',
        COMPLETIONS,
        body(max_tokens=-1),
        'red',
        Code.missing_field,
    ),
    (
        'unknown adapter',
        'POST',
        COMPLETIONS,
        body(model='nope'),
        'red',
        Code.adapter_unknown,
    ),
    (
        'unknown version',
        'POST',
        COMPLETIONS,
        body(model='red-0@9'),
        'red',
        Code.version_unknown,
    ),
    (
        'unknown selector',
        'POST',
        COMPLETIONS,
        body(model='selector:x'),
        'red',
        Code.adapter_unknown,
    ),
    (
        'empty selector',
        'POST',
        COMPLETIONS,
        body(model='selector:none'),
        'red',
        Code.selector_empty,
    ),
    (
        'over-long body',
        'POST',
        COMPLETIONS,
        b'x' * 1_000_001,
        'red',
        Code.body_too_large,
    ),
    (
        'over the burst',
        'POST',
        COMPLETIONS,
        body(max_tokens=10**6),
        'red',
        Code.larger_than_burst,
    ),
]


@pytest.mark.asyncio(loop_scope='module')
@pytest.mark.parametrize(
    'case', BAD_REQUESTS, ids=[case[0] for case in BAD_REQUESTS]
)
async def test_bad_request_returns_its_result_code(fleet, case):
    _, method, path, sent, key, code = case
    response = await fleet.call(fleet.nodes[0], method, path, sent, key=key)
    assert response.error['code'] == code
    assert response.status == RESULTS[code].status
    assert response.error['ran'] == 'not_run'


@pytest.mark.asyncio(loop_scope='module')
async def test_wrong_content_type_is_refused(fleet):
    response = await fleet.call(
        fleet.nodes[0],
        'POST',
        COMPLETIONS,
        GOOD,
        key='red',
        headers=[('content-type', 'text/plain')],
    )
    assert response.error['code'] == Code.wrong_content_type


@pytest.mark.asyncio(loop_scope='module')
async def test_over_long_header_is_refused(fleet):
    response = await fleet.call(
        fleet.nodes[0],
        'POST',
        COMPLETIONS,
        GOOD,
        headers=[('x-long', 'x' * 20_000)],
    )
    assert response.error['code'] == Code.header_too_large


@pytest.mark.asyncio(loop_scope='module')
async def test_slow_body_is_refused(fleet):
    host, port = fleet.nodes[0].url.removeprefix('http://').split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    key = fleet.keys['red']
    writer.write(
        b'POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n'
        b'content-type: application/json\r\n'
        b'authorization: Bearer ' + key.encode() + b'\r\n\r\n{"model"',
    )
    head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    assert b' 408 ' in head.split(b'\r\n')[0]


@pytest.mark.asyncio(loop_scope='module')
async def test_disconnected_caller_cancels_its_request_on_the_engine(fleet):
    engine = fleet.standins['w0']
    before = engine.records.counts.get('cancel', 0)
    reading = asyncio.create_task(
        fleet.complete(fleet.nodes[0], 'red-0', tokens=5000, stream=True),
    )
    await eventually(lambda: engine.model.running)
    reading.cancel()
    await eventually(
        lambda: engine.records.counts.get('cancel', 0) > before,
    )
    await eventually(lambda: not engine.model.running)


FAULTS = [
    (
        'another adapter',
        Faults(wrong_adapter='blue-9@9'),
        Code.target_wrong_adapter,
        'unknown',
    ),
    ('garbage', Faults(garbage=True), Code.target_garbage, 'ran'),
]


@pytest.mark.asyncio(loop_scope='module')
@pytest.mark.parametrize('stream', [False, True])
@pytest.mark.parametrize('fault', FAULTS, ids=[each[0] for each in FAULTS])
async def test_faulty_target_returns_its_result_code(fleet, fault, stream):
    _, faults, code, ran = fault
    engine = fleet.standins['w0']
    # The previous case may have left the circuit breaker of the worker open.
    await eventually(lambda: fleet.is_serving(fleet.nodes[0]))
    await engine.set_faults(faults)
    try:
        response = await fleet.complete(fleet.nodes[0], 'red-0', stream=stream)
    finally:
        await engine.set_faults(Faults())
    assert (response.error['code'], response.error['ran']) == (code, ran)


@pytest.mark.asyncio(loop_scope='module')
async def test_ordinary_openai_client_works(fleet):
    node = fleet.nodes[0]
    await eventually(lambda: fleet.is_serving(node))
    client = AsyncOpenAI(
        base_url=f'{node.url}/v1',
        api_key=fleet.keys['red'],
        max_retries=0,
    )
    listed = await client.models.list()
    assert {each.id for each in listed.data} == {f'red-{n}' for n in range(6)}
    whole = await client.chat.completions.create(
        model='red-0',
        messages=[{'role': 'user', 'content': 'hi'}],
        max_tokens=3,
    )
    assert whole.model == 'red-0@1'
    assert whole.usage.completion_tokens == 3
    stream = await client.completions.create(
        model='red-0@1',
        prompt='hi',
        max_tokens=5,
        stream=True,
    )
    texts = [each.choices[0].text async for each in stream if each.choices]
    assert len([text for text in texts if text]) == 5
    with pytest.raises(NotFoundError) as caught:
        await client.completions.create(model='nope', prompt='hi')
    assert caught.value.body['code'] == Code.adapter_unknown
    await client.close()


@pytest.mark.asyncio(loop_scope='module')
async def test_late_target_returns_timeout_code(fleet):
    node, engine = fleet.nodes[0], fleet.standins['w0']
    await eventually(lambda: fleet.is_serving(node))
    timeouts = node.entry.context.targets._timeouts
    before = timeouts.first
    object.__setattr__(timeouts, 'first', 0.2)
    await engine.set_faults(Faults(frozen=True))
    try:
        response = await fleet.complete(node, 'red-0', stream=True)
    finally:
        object.__setattr__(timeouts, 'first', before)
        await engine.set_faults(Faults())
    assert response.error['code'] == Code.target_timeout
    assert response.error['ran'] == 'unknown'


@pytest.mark.asyncio(loop_scope='module')
async def test_duplicated_response_reaches_the_caller_once(fleet):
    engine = fleet.standins['w0']
    await eventually(lambda: fleet.is_serving(fleet.nodes[0]))
    await engine.set_faults(Faults(answer_twice=True))
    try:
        response = await fleet.complete(fleet.nodes[0], 'red-0', stream=True)
    finally:
        await engine.set_faults(Faults())
    assert response.body.count(b'data: [DONE]') == 1
    assert (
        response.body.count(b'\nid: 1\n') + response.body.startswith(b'id: 1\n')
        == 1
    )


@pytest.mark.asyncio(loop_scope='module')
async def test_key_never_reaches_a_target(fleet):
    node, key = fleet.nodes[0], fleet.keys['red']
    for path, headers in (
        ('/services/orders/a', [('authorization', f'Bearer {key}')]),
        ('/services/orders/b', [('x-api-key', key)]),
        ('/services/orders/c', [('cookie', f'api_key={key}; taste=blue')]),
        (f'/services/orders/d?api_key={key}&size=2', []),
    ):
        response = await fleet.call(node, 'GET', path, headers=headers)
        assert response.status == 200
    calls = fleet.standins['p0'].records.list()
    seen = msgspec.json.encode(calls).decode()
    assert key not in seen
    assert key.rpartition('_')[2] not in seen
    names = {name for call in calls for name in call.headers}
    assert not names & {'authorization', 'x-api-key'}


@pytest.mark.asyncio(loop_scope='module')
async def test_open_route_needs_no_key(fleet):
    response = await fleet.call(fleet.nodes[0], 'GET', '/services/public/menu')
    assert response.status == 200
