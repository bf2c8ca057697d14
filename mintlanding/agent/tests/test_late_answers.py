"""Orders and claims that arrive late, or whose answers are lost."""

import pytest

from mintlanding.agent.tests.steward_world import StewardWorld
from mintlanding.standin.engine_model import OrderResult


@pytest.fixture
async def world():
    found = await StewardWorld().start()
    yield found
    await found.stop()


def refusals(world):
    found = world.engine.records.list('role')
    return [each for each in found if each.detail == OrderResult.old_fencing]


async def test_refusal_of_an_order_of_an_earlier_lease_ends_no_steward(world):
    # Guards against: a refusal is taken for one of the present token.
    world.way.is_holding = True
    await world.until(lambda: world.way.held)
    earlier = world.token
    world.way.is_holding = False
    await world.lapse()
    await world.until(lambda: world.token > earlier)
    runner, token = world.runner, world.token
    await world.settle(lambda: world.engine.model.fencing == token)
    world.way.release()
    await world.settle(lambda: refusals(world))
    await world.tick()
    await world.tick()
    assert (world.runner, world.token) == (runner, token)
