"""A call of a plain service runs at most once and reports whether it ran."""

import pytest

from mintlanding.core.results import Done, Failed, Ran, ResultCode
from mintlanding.engines.models import TargetTimeouts
from mintlanding.engines.plain import PlainClient
from mintlanding.http1.tests.early_server import BREAKING, ENDING, EarlyServer
from mintlanding.standin.faults import Faults
from mintlanding.standin.plain import PlainStandin
from mintlanding.standin.settings import StandinSettings

_ORDER = b'{"id":"o-1"}'


@pytest.fixture
async def standin():
    made = PlainStandin(StandinSettings(kind='plain'))
    await made.start()
    yield made
    await made.stop()


async def test_method_path_query_body_and_status_pass_through(standin):
    client = PlainClient.from_config(standin.url)
    for method in ('GET', 'POST', 'PUT', 'PATCH', 'DELETE'):
        body = b'' if method == 'GET' else _ORDER
        outcome = await client.call(method, '/orders/7?status=418', [], body)
        assert outcome.value.status == 418
        record = standin.records.list('call')[-1]
        assert (record.method, record.path) == (method, '/orders/7')
        assert record.body == body.decode()


async def test_head_has_no_body(standin):
    client = PlainClient.from_config(standin.url)
    outcome = await client.call('HEAD', '/', [], b'')
    assert outcome.value.body == b''


_FAULTS = {
    'dies after the run': (
        Faults(die_after_run=1),
        ResultCode.outcome_unknown,
        Ran.unknown,
        1,
    ),
    'never answers': (
        Faults(delay_seconds=60),
        ResultCode.target_timeout,
        Ran.unknown,
        0,
    ),
    'is down': (
        Faults(down=True),
        ResultCode.target_unreachable,
        Ran.not_run,
        0,
    ),
}


@pytest.mark.parametrize('method', ['POST', 'PUT', 'DELETE'])
@pytest.mark.parametrize('name', _FAULTS)
async def test_unrepeatable_call_is_sent_once(standin, name, method):
    faults, code, ran, runs = _FAULTS[name]
    await standin.set_faults(faults)
    # Only a missing response lasts until the timeout.
    is_silent = code is ResultCode.target_timeout
    timeouts = TargetTimeouts(first=0.05) if is_silent else TargetTimeouts()
    client = PlainClient.from_config(standin.url, timeouts)
    outcome = await client.call(method, '/orders', [], _ORDER)
    assert isinstance(outcome, Failed)
    assert (outcome.code, outcome.ran) == (code, ran)
    assert standin.records.counts.get('order o-1', 0) == runs


@pytest.mark.parametrize(
    ('method', 'repeatable'), [('GET', False), ('PUT', True)]
)
async def test_repeatable_call_is_left_to_the_retry_budget(method, repeatable):
    client = PlainClient.from_config('http://127.0.0.1:1')
    outcome = await client.call(method, '/', [], b'', repeatable)
    assert outcome.ran is Ran.not_run


async def test_call_after_a_silent_connection_runs(standin):
    client = PlainClient.from_config(standin.url)
    await client.call('GET', '/', [], b'')
    standin.gate.silence(standin.server.transports)
    outcome = await client.call('POST', '/orders', [], _ORDER)
    assert isinstance(outcome, Done)
    assert standin.records.counts['order o-1'] == 1


@pytest.mark.parametrize('ending', BREAKING + ENDING)
@pytest.mark.parametrize('part', [16, 960 << 10])
async def test_answer_without_length_amid_the_request_is_no_result(
    ending, part
):
    async with EarlyServer(b'x' * part, ending) as server:
        url = 'http://{0}:{1}'.format(*server.address)
        client = PlainClient.from_config(url)
        outcome = await client.call('POST', '/orders', [], b'u' * (3 << 20))
        await client.close()
    assert isinstance(outcome, Failed)
    assert outcome.ran is Ran.unknown
