"""Targets that stop in the middle of the head of a response."""

import asyncio
import contextlib

import pytest

from mintlanding.platform.tests.partition import TargetPartition
from mintlanding.platform.tests.world import BATCH, LIVE, LOOKUP, ORDER, World

# Shares of the head: in the status line, in its fields, before its last byte.
SHARES = [0.05, 0.5, 0.9, 0.999]


@pytest.fixture
async def pair():
    found = await World().start(instances=2)
    yield found
    await found.stop()


@pytest.mark.parametrize('path', [ORDER, LOOKUP, LIVE, BATCH])
@pytest.mark.parametrize('is_helped', [False, True])
async def test_broken_head_is_no_success(pair, path, is_helped):
    await pair.ask(path)
    cut = contextlib.nullcontext()
    if is_helped:
        # All requests go through the other member.
        cut = TargetPartition(pair, pair.nodes[0], refuses=True)
    with cut:
        async with asyncio.timeout(8):
            while (await pair.ask(path))[0] != 200:
                await asyncio.sleep(0.1)
        for share in SHARES:
            for target in pair.targets:
                target.faults.broken_head = share
                target.runs.clear()
            status, *rest = await pair.ask(path)
            runs = [run[0] for target in pair.targets for run in target.runs]
            # A request that met three such targets may be refused as not run.
            assert status == (502 if runs else 503), (share, status, rest)
            assert runs or share == SHARES[-1]
            if path in {ORDER, LIVE}:
                assert len(runs) <= 1
