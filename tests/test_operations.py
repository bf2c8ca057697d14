"""Test that logs alone explain the three failures of docs/OPERATIONS.md."""

import asyncio
import json
import random

import pytest

from mintlanding.cli.request_timeline import explain_request
from soak.callers import Callers
from soak.world import World

pytestmark = pytest.mark.process


@pytest.fixture
async def world(tmp_path):
    running = World(tmp_path, instances=1)
    try:
        yield await running.start()
    finally:
        await running.stop()


async def send_request(world, kind):
    """Send one request; return its outcome and its log lines in order."""
    callers = Callers(world, random.Random(1))
    (instance,) = world.instances
    async with asyncio.timeout(15):
        while not _are_stewards_ready(world, instance):
            await asyncio.sleep(0.05)
    outcome = await callers._send_request(kind, instance)
    await asyncio.sleep(0.3)
    result = explain_request(outcome.request, [str(instance.log)])
    print(result.text)
    return outcome, result.data['lines']


def _are_stewards_ready(world, instance):
    """Tell whether each engine has reported since its steward may order."""
    ready = set()
    allowed = set()
    for text in instance.log.read_text().splitlines():
        fields = json.loads(text) if text.startswith('{') else {}
        message = fields.get('message', '')
        if message.endswith('Orders allowed.'):
            allowed.add(fields['worker'])
        elif message.endswith('Engine report received.'):
            ready |= allowed & {fields['worker']}
    return ready == {engine.name for engine in world.engines}


async def test_logs_explain_refusal_below_limit_by_failed_orders(world):
    for engine in world.engines:
        engine.faults.conflicts = 1000
    outcome, lines = await send_request(world, 'live')
    assert outcome.status == 503
    refusals = [
        each for each in lines if 'Admission refused' in each['message']
    ]
    assert all(
        each['reason'].startswith('no place in time') for each in refusals
    )
    orders = [each for each in lines if 'Order answered' in each['message']]
    assert {each['result'] for each in orders} == {'conflict'}


async def test_logs_explain_unknown_outcome_by_lost_response(world):
    for target in world.plain:
        target.faults.lose_answers = 1
    outcome, lines = await send_request(world, 'order')
    assert outcome.status == 502
    ended = lines[-1]
    assert ended['outcome'] == 'lost'
    assert ended['target'] in ended['reason']
    assert ended['runs'] == 1


async def test_logs_explain_broken_stream_by_its_engine(world):
    for engine in world.engines:
        engine.faults.break_after = 1
    outcome, lines = await send_request(world, 'live')
    assert outcome.status == 200
    assert not outcome.is_whole
    ended = next(
        each for each in lines if each['message'].endswith('Request ended.')
    )
    assert ended['outcome'] == 'broken'
    assert 'stream interrupted' in ended['reason']
