"""A wait for a steward ends when the steward is lost or replaced."""

import asyncio

import pytest

from mintlanding.agent.messages import ViewUpdate
from mintlanding.core.clock import ManualClock
from mintlanding.core.results import Done, Failed, ResultCode
from mintlanding.entry.steward_watch import StewardWatch
from mintlanding.entry.view import EntryView
from mintlanding.membership.models import Member, MemberState
from mintlanding.placement.messages import WorkerDigest
from mintlanding.routing.models import WorkerRoute

ROUTE = WorkerRoute('w', 'i1', 'host:1')


def digest(steward, fencing):
    return WorkerDigest('w', 'z', steward, 'host:2', fencing, 1, 4, 4)


def member(state):
    return Member('i1', 'z', 'r', 'host:1', 1, state)


ENDS = [
    ('silent', ViewUpdate(members=(member(MemberState.silent),)), True),
    ('gone', ViewUpdate(members=(member(MemberState.gone),)), True),
    ('live', ViewUpdate(members=(member(MemberState.live),)), False),
    ('replaced', ViewUpdate(digests=(digest('i2', 9),)), True),
    ('renewed', ViewUpdate(digests=(digest('i1', 9),)), False),
]


@pytest.mark.parametrize('row', ENDS, ids=[row[0] for row in ENDS])
async def test_wait_ends_when_the_steward_cannot_answer(row):
    _, update, ends = row
    view = EntryView(ManualClock())
    watch = StewardWatch(view)
    grant = asyncio.Event()

    async def reserve():
        await grant.wait()
        return Done('granted')

    waiting = asyncio.create_task(watch.wait(ROUTE, reserve()))
    await asyncio.sleep(0)
    view.apply(update)
    await asyncio.sleep(0)
    grant.set()
    outcome = await waiting
    assert isinstance(outcome, Failed) is ends
    if ends:
        assert outcome.code is ResultCode.no_target
    assert not watch._waits


async def test_cancelled_wait_cancels_its_coroutine():
    watch = StewardWatch(EntryView(ManualClock()))
    ended = asyncio.Event()

    async def reserve():
        try:
            await asyncio.Event().wait()
        finally:
            ended.set()

    waiting = asyncio.create_task(watch.wait(ROUTE, reserve()))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.wait((waiting,))
    await ended.wait()
    assert waiting.cancelled()
