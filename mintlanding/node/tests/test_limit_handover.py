"""Test that brittle targets are handed over without too many refusals."""

import asyncio

import pytest

from mintlanding.node.tests.fleet_on_paper import play_fleet

SLOTS = 4
RUN_SECONDS = 1.0
# Requests per second: four times what the target can run.
RATE = 16
# Seconds in which the members come to know each other and find the room.
SETTLE_SECONDS = 6


def holder(fleet):
    return next(iter(fleet.members.values())).elected('p1')


@pytest.mark.parametrize('seed', [0, 3, 9, 12, 14, 15, 19])
@pytest.mark.parametrize('gap', [0.1, 0.4])
def test_holder_is_replaced_by_one_that_is_replaced_soon(
    monkeypatch, seed, gap
):
    async def replace(fleet):
        flood = asyncio.ensure_future(fleet.flood(12, RATE))
        await asyncio.sleep(SETTLE_SECONDS)
        fleet.leave(holder(fleet))
        await asyncio.sleep(gap)
        # Some are elected as soon as they are known.
        for name in (f'n{9 + seed}', f'n{30 + seed}'):
            fleet.add(name)
            await asyncio.sleep(gap)
        await flood

    fleet = play_fleet(
        monkeypatch, replace, seed=seed, waiting=0, run_seconds=RUN_SECONDS
    )
    assert fleet.most_refused() <= fleet.bears
    assert fleet.served >= 0.4 * 12 * SLOTS / RUN_SECONDS
