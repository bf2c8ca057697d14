"""The three failures of docs/OPERATIONS.md, explained from logs alone."""

import asyncio
import random

import pytest

from mintlanding.cli.request_timeline import explain_request
from soak.callers import Callers
from soak.world import World

pytestmark = pytest.mark.process


@pytest.fixture
async def world(tmp_path):
    found = World(tmp_path, instances=1)
    try:
        yield await found.start()
    finally:
        await found.stop()


async def ask(world, kind):
    """Send one request; return its answer and its story."""
    callers = Callers(world, random.Random(1))
    (instance,) = world.instances
    async with asyncio.timeout(15):
        while 'Orders allowed' not in instance.log.read_text():
            await asyncio.sleep(0.05)
    told = await callers._ask(kind, instance)
    await asyncio.sleep(0.3)
    result = explain_request(told.request, [str(instance.log)])
    print(result.text)
    return told, result.data['lines']


async def test_refusal_below_the_limit_leads_to_orders_that_fail(world):
    for engine in world.engines:
        engine.faults.conflicts = 1000
    told, lines = await ask(world, 'live')
    assert told.status == 503
    refusals = [
        each for each in lines if 'Admission refused' in each['message']
    ]
    assert all(
        each['reason'].startswith('no place in time') for each in refusals
    )
    orders = [each for each in lines if 'Order answered' in each['message']]
    assert {each['result'] for each in orders} == {'conflict'}


async def test_unknown_outcome_leads_to_the_lost_answer(world):
    for target in world.plain:
        target.faults.lose_answers = 1
    told, lines = await ask(world, 'order')
    assert told.status == 502
    ended = lines[-1]
    assert ended['outcome'] == 'lost'
    assert ended['target'] in ended['reason']
    assert ended['runs'] == 1


async def test_broken_stream_leads_to_the_engine_that_broke_it(world):
    for engine in world.engines:
        engine.faults.break_after = 1
    told, lines = await ask(world, 'live')
    assert told.status == 200
    assert not told.is_whole
    ended = next(
        each for each in lines if each['message'].endswith('Request ended.')
    )
    assert ended['outcome'] == 'broken'
    assert 'stream interrupted' in ended['reason']
