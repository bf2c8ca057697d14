"""Targets that answer without a length before they have read a request."""

import asyncio
import contextlib

import pytest

from mintlanding.http1.tests.early_server import EarlyServer
from mintlanding.platform.tests.partition import TargetPartition
from mintlanding.platform.tests.samples import encode
from mintlanding.platform.tests.standins import TargetStandin
from mintlanding.platform.tests.world import BATCH, LIVE, LOOKUP, ORDER, World

LONG = b'u' * (3 << 20)
# An event of 16 bytes, and many of them.
EVENT = b'id: 1\ndata: xx\n\n'
PARTS = [1, 60 << 10]
# Seconds in which a request must get its answer, of 7 that it has.
AT_ONCE = 4
DEADLINE_MS = 7000
# Requests of the system itself, which the target behind answers.
_OWN = (b'POST /v1/order', b'GET /v1/report')


class EarlyTarget(TargetStandin):
    """A target whose entry names a server that answers too early."""

    async def start(self):
        await super().start()
        behind = ('127.0.0.1', self.server.port)
        self.early = EarlyServer(EVENT, 'end, read on', behind, _OWN)
        await self.early.__aenter__()
        return self

    @property
    def address(self):
        return self.early.address

    def entry(self, state='ready'):
        own = encode(f'127.0.0.1:{self.server.port}')
        early = encode('{0}:{1}'.format(*self.early.address))
        return super().entry(state).replace(own, early)


@pytest.fixture
async def pair():
    found = World()
    found.engines = [EarlyTarget(f'e{number}') for number in (1, 2)]
    found.plain = [
        EarlyTarget(f'p{number}', service='orders', model='')
        for number in (1, 2)
    ]
    await found.start(instances=2)
    yield found
    await found.stop()
    for target in found.targets:
        await target.early.__aexit__()


async def ask(world, path, body=LONG):
    """Return status and body; no status for a response that breaks off."""
    try:
        async with asyncio.timeout(AT_ONCE):
            status, _, found = await world.ask(
                path, body=body, deadline_ms=DEADLINE_MS
            )
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, b''
    return status, found


async def be_served(world, path):
    """Ask until targets that were in trouble are used again."""
    async with asyncio.timeout(10):
        while (await ask(world, path, b'hello')) != (200, EVENT):
            await asyncio.sleep(0.1)


@pytest.mark.parametrize('path', [ORDER, LOOKUP, LIVE, BATCH])
@pytest.mark.parametrize('is_helped', [False, True])
async def test_answer_that_is_reset_amid_the_upload_never_looks_complete(
    pair, path, is_helped
):
    cut = contextlib.nullcontext()
    if is_helped:
        # All requests go through the other member.
        cut = TargetPartition(pair, pair.nodes[0], refuses=True)
    with cut:
        for ending in ('close', 'end, close', 'end, close after a pause'):
            for part in PARTS:
                for target in pair.targets:
                    target.early.body = EVENT
                    target.early.ending = 'end, read on'
                await be_served(pair, path)
                for target in pair.targets:
                    target.early.body = EVENT * part
                    target.early.ending = ending
                    target.early.answers = 0
                status, body = await ask(pair, path)
                answers = sum(each.early.answers for each in pair.targets)
                expected = {502} if path in {ORDER, LOOKUP} else {502, 0}
                if not answers:
                    expected = {503}
                assert (status in expected, body) == (True, b''), (
                    ending,
                    part,
                    status,
                    answers,
                )


@pytest.mark.parametrize('path', [ORDER, LOOKUP, LIVE, BATCH])
@pytest.mark.parametrize('is_helped', [False, True])
async def test_answer_whose_target_reads_the_upload_to_its_end_is_whole(
    pair, path, is_helped
):
    cut = contextlib.nullcontext()
    if is_helped:
        cut = TargetPartition(pair, pair.nodes[0], refuses=True)
    with cut:
        for part in PARTS:
            for target in pair.targets:
                target.early.body = EVENT
            await be_served(pair, path)
            for target in pair.targets:
                target.early.body = EVENT * part
            assert await ask(pair, path) == (200, EVENT * part)
