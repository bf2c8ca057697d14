"""Responses that targets write once more on a kept connection."""

import asyncio

import pytest

from mintlanding.platform.tests.standins import StaleResponse
from mintlanding.platform.tests.world import BATCH, LIVE, LOOKUP, ORDER, World

NOT_RUN = ((b'x-not-run', b'1'),)
REFUSALS = [(503, NOT_RUN), (429, NOT_RUN), (421, ()), (503, ())]


@pytest.fixture
async def world():
    found = await World().start()
    yield found
    await found.stop()


async def keep_connections(world):
    """Let the instance keep connections to all targets, each used before."""
    for target in world.targets:
        target.delay = 0.2
    await asyncio.gather(
        *(world.ask(path) for path in (LOOKUP, BATCH) for _ in range(6))
    )
    for target in world.targets:
        target.delay = 0
        target.runs.clear()


def runs(world):
    """Return the ids of the requests that ran, one for each run."""
    return [run[0] for target in world.targets for run in target.runs]


@pytest.mark.parametrize('path', [ORDER, LIVE])
@pytest.mark.parametrize('is_named', [True, False])
@pytest.mark.parametrize('is_late', [True, False])
@pytest.mark.parametrize(('status', 'headers'), REFUSALS)
async def test_request_that_may_run_once_sees_no_earlier_refusal(
    world, path, is_named, is_late, status, headers
):
    # It gets a connection of its own, on which nothing was sent before.
    await keep_connections(world)
    for target in world.targets:
        target.faults.stale = StaleResponse(status, is_named, is_late, headers)
    for _ in range(4):
        assert (await world.ask(path))[0] == 200
    assert len(runs(world)) == len(set(runs(world))) == 4
    assert not any(target.stale_sent for target in world.targets)


@pytest.mark.parametrize('is_late', [True, False])
@pytest.mark.parametrize('is_named', [True, False])
@pytest.mark.parametrize(
    ('status', 'headers'),
    [*REFUSALS, (200, ((b'x-response-stamp', b's1'),)), (500, ())],
)
async def test_repeatable_request_gets_its_own_answer(
    world, is_late, is_named, status, headers
):
    # One of two targets is faulty, and there are two attempts.
    await keep_connections(world)
    faulty = world.plain[0]
    faulty.faults.stale = StaleResponse(status, is_named, is_late, headers)
    for number in range(100):
        body = b'%d' % number
        found, _, answer = await world.ask(LOOKUP, body=body)
        assert (found, answer) == (200, b'done ' + body)
        # Either target may be chosen for any request.
        if number >= 9 and faulty.stale_sent:
            break
    assert faulty.stale_sent


@pytest.mark.parametrize('is_named', [True, False])
@pytest.mark.parametrize(('status', 'headers'), [*REFUSALS, (200, ())])
async def test_run_behind_a_stale_response_is_cancelled(
    world, is_named, status, headers
):
    # The request goes on elsewhere; nobody reads the response to this run.
    await keep_connections(world)
    faulty = world.plain[0]
    faulty.faults.stale = StaleResponse(status, is_named, False, headers)
    faulty.delay = 0.4
    async with asyncio.timeout(5):
        while not faulty.stale_sent:
            assert (await world.ask(LOOKUP))[0] == 200
    await asyncio.sleep(0.6)
    assert faulty.left == faulty.stale_sent


@pytest.mark.parametrize('path', [ORDER, LIVE])
@pytest.mark.parametrize('status', [408, 429, 503])
async def test_status_that_promises_no_run_needs_word_of_the_target(
    world, path, status
):
    # The target has run the request and answers so without X-Not-Run.
    for target in world.targets:
        target.faults.bare_status = status
    found, head, _ = await world.ask(path)
    assert found == 502
    assert b'x-response-stamp' not in head
    assert len(runs(world)) == 1


async def test_earlier_response_to_an_order_overloads_no_engine(world):
    # Orders bear the number of those before them, so that an engine rejects
    # one that follows from a mistake; the steward then asks for a report.
    for engine in world.engines:
        engine.faults.repeat_orders = True
    for number in range(1, 13):
        for engine in world.engines:
            engine.faults.conflicts = number % 2
        status = 503
        async with asyncio.timeout(6):
            while status == 503:
                status, _, _ = await world.ask(LIVE, adapter=b'/a%d' % number)
        assert status == 200
    assert sum(engine.stale_sent for engine in world.engines)
    for engine in world.engines:
        assert engine.most_adapters <= engine.places
