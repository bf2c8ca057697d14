"""An engine that crashes when it refuses too many requests."""

import pytest

from mintlanding.residency.messages import GrantOutcome
from mintlanding.residency.tests.test_steward import Driver
from mintlanding.target_limits.brittle import RoomShare


@pytest.fixture
def brittle():
    driver = Driver(slots=3, batch_limit=20).start()
    share = RoomShare(refusals=4, part=1)
    driver.act(driver.steward.set_room_share(share, 20, driver.now))
    driver.reserve('first', adapter='a1')
    driver.wait(0.7)
    assert driver.replies['first'].is_granted
    return driver


def refuse(driver, name):
    driver.reserve(name, adapter='a1')
    assert driver.replies[name].is_granted
    driver.end(name, GrantOutcome.not_ready)


def test_refusal_of_a_resident_adapter_is_for_want_of_room(brittle):
    brittle.wait(1)
    refuse(brittle, 'full')
    assert brittle.steward.room.limit == 1


def test_refusal_while_an_adapter_loads_leaves_the_bound(brittle):
    before = brittle.steward.room.limit
    refuse(brittle, 'early')
    assert brittle.steward.room.limit == before


def test_refusal_while_an_adapter_loads_is_one_that_an_engine_may_count(
    brittle,
):
    for number in range(3):
        refuse(brittle, f'early{number}')
        brittle.wait(0.06)
    brittle.reserve('r1', adapter='a1', max_wait=2.0)
    brittle.reserve('r2', adapter='a1', max_wait=2.0)
    assert brittle.replies['r1'].is_granted
    assert not brittle.replies['r2'].is_granted


def test_requests_wait_for_room_in_the_order_of_priorities(brittle):
    brittle.wait(1)
    refuse(brittle, 'full')
    brittle.reserve('low', adapter='a1', priority=5, max_wait=3.0)
    brittle.reserve('high', adapter='a1', priority=0, max_wait=3.0)
    assert not brittle.replies['high'].is_granted
    brittle.end('first')
    brittle.wait(0.1)
    assert brittle.replies['high'].is_granted
    assert not brittle.replies['low'].is_granted


def test_all_are_granted_when_the_engine_is_not_brittle_any_more(brittle):
    brittle.wait(1)
    refuse(brittle, 'full')
    for number in range(4):
        brittle.reserve(f'r{number}', adapter='a1', max_wait=3.0)
    brittle.act(brittle.steward.set_room_share(None, 20, brittle.now))
    brittle.wait(1)
    assert all(brittle.replies[f'r{each}'].is_granted for each in range(4))


def test_engine_whose_entry_names_fewer_slots_gets_fewer_at_once(brittle):
    for turn in range(3):
        names = [f'r{turn}-{number}' for number in range(10)]
        for name in names:
            brittle.reserve(name, adapter='a1', max_wait=3.0)
        brittle.wait(0.5)
        for name in names:
            brittle.end(name)
    share = RoomShare(refusals=4, part=1)
    brittle.act(brittle.steward.set_room_share(share, 2, brittle.now))
    names = [f's{number}' for number in range(10)]
    for name in names:
        brittle.reserve(name, adapter='a1', max_wait=3.0)
    granted = sum(brittle.replies[name].is_granted for name in names)
    # Its slots, and those that it may refuse.
    assert granted <= 2 + 4
