"""Targets whose responses have a status that is none."""

import asyncio
import contextlib

import pytest

from mintlanding.platform.tests.partition import TargetPartition
from mintlanding.platform.tests.world import BATCH, LIVE, LOOKUP, ORDER, World

LINES = [
    b'000 Odd',
    b'000',
    b'099 Odd',
    b'101 Switching Protocols',
    b'600 Odd',
    b'20 OK',
]
# Milliseconds that a request has, and seconds in which it must be answered.
DEADLINE_MS = 7000
AT_ONCE = 4


@pytest.fixture
async def pair():
    found = await World().start(instances=2)
    yield found
    await found.stop()


async def be_served(world, path):
    """Ask until targets that were in trouble are used again."""
    async with asyncio.timeout(8):
        while (await world.ask(path))[0] != 200:
            await asyncio.sleep(0.1)


@pytest.mark.parametrize('path', [ORDER, LOOKUP, LIVE, BATCH])
@pytest.mark.parametrize('is_helped', [False, True])
async def test_status_that_is_none_is_answered_with_502_at_once(
    pair, path, is_helped
):
    await pair.ask(path)
    cut = contextlib.nullcontext()
    if is_helped:
        # All requests go through the other member.
        cut = TargetPartition(pair, pair.nodes[0], refuses=True)
    with cut:
        for line in LINES:
            await be_served(pair, path)
            for target in pair.targets:
                target.faults.status_line = line
                target.runs.clear()
            async with asyncio.timeout(AT_ONCE):
                status, _, body = await pair.ask(path, deadline_ms=DEADLINE_MS)
            runs = [run[0] for target in pair.targets for run in target.runs]
            for target in pair.targets:
                target.faults.status_line = b''
            assert (status, body) == (502, b''), (line, status, body)
            assert runs
            if path in {ORDER, LIVE}:
                assert len(runs) <= 1


async def test_status_that_is_none_is_no_answer_where_another_target_has_one(
    pair,
):
    for line in LINES:
        pair.plain[0].faults.status_line = line
        for _ in range(4):
            async with asyncio.timeout(AT_ONCE):
                status, *_ = await pair.ask(LOOKUP, deadline_ms=DEADLINE_MS)
            assert status == 200
