"""Test when a granter of turns may begin to act."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.target_limits.brittle import HANDOVER_SECONDS
from mintlanding.target_limits.handover import FleetHistory, elect, elects

NAMES = frozenset(f'n{number}' for number in range(4))


def ranked(names=NAMES):
    """Return members in the order in which they are elected for p1."""
    found = []
    while names:
        found.append(elect('p1', names))
        names = names - {found[-1]}
    return found


@pytest.fixture
def history():
    found = FleetHistory(0)
    found.record_members(NAMES, 0)
    return found


def test_process_waits_after_its_start(history):
    first = ranked()[0]
    start = history.start_as_elected(first, 'p1', 1, 0.5)
    assert start == HANDOVER_SECONDS


def test_next_holder_begins_at_once(history):
    first, second, *_ = ranked()
    history.record_members(NAMES - {first}, 10)
    assert history.start_as_elected(second, 'p1', 1, 10) <= 10


def test_next_holder_waits_if_the_target_bears_one_granter(history):
    first, second, *_ = ranked()
    history.record_members(NAMES - {first}, 10)
    start = history.start_as_elected(second, 'p1', 0, 10.1)
    assert start == 10 + HANDOVER_SECONDS


def test_third_holder_waits(history):
    first, second, third, _ = ranked()
    history.record_members(NAMES - {first}, 10)
    history.record_members(NAMES - {first, second}, 10.5)
    start = history.start_as_elected(third, 'p1', 1, 10.5)
    assert start == 10 + HANDOVER_SECONDS


def test_holder_that_comes_back_counts_as_another(history):
    first, *_ = ranked()
    history.record_members(NAMES - {first}, 10)
    history.record_members(NAMES, 10.5)
    start = history.start_as_elected(first, 'p1', 1, 10.5)
    assert start == 10 + HANDOVER_SECONDS


def test_members_that_change_nothing_do_not_delay(history):
    first, *_, last = ranked()
    for number in range(6):
        gone = {last} if number % 2 else set()
        history.record_members(NAMES - gone, 10 + number / 4)
    assert history.start_as_elected(first, 'p1', 1, 11.5) <= 11.5


def test_steward_waits_after_two_others():
    history = FleetHistory(0)
    for at, holder in ((5, 'n0'), (10, 'n1'), (10.5, ''), (10.9, 'n2')):
        history.record_holder('e1', holder, at)
    assert history.start_as_steward('n2', 'e1', 1, 10.9) == 10 + (
        HANDOVER_SECONDS
    )
    assert history.start_as_steward('n2', 'e1', 2, 10.9) <= 10.9


@given(st.data())
def test_members_that_see_each_other_differently_use_no_share_twice(data):
    names = [f'n{number}' for number in range(data.draw(st.integers(1, 7)))]
    reached = {
        each: {each} | data.draw(st.sets(st.sampled_from(names)))
        for each in names
    }
    holders = {elect('p1', reached[each]) for each in names}
    used = Counter()
    for holder in holders:
        rivals = [
            each
            for each in names
            if elect('p1', [each, holder]) == each and each != holder
        ]
        used.update(
            each
            for each in names
            if each != holder
            and each in reached[holder]
            and elects(holder, rivals, set(names) - reached[each])
        )
    assert all(times == 1 for times in used.values())


def test_member_that_is_new_may_not_have_begun_to_act():
    history = FleetHistory(0)
    history.record_members(frozenset({'n0'}), 10)
    history.record_registered(['n0', 'n1'], 10)
    assert not history.may_act('n1', 11)
    assert history.may_act('n1', 10 + HANDOVER_SECONDS)
    history.record_members(frozenset({'n0', 'n1'}), 10.5)
    assert history.may_act('n1', 10.5)
