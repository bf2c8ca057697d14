"""Test the bound of requests to brittle targets on a simulated clock."""

import heapq
import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.residency.messages import GrantOutcome
from mintlanding.target_limits.brittle import (
    HANDOVER_SECONDS,
    BrittleRoom,
    RoomShare,
    other_granters,
)
from mintlanding.target_limits.tests.oracle import Oracle

# Seconds for a message between an instance and the target or the holder.
DELAY = 0.01


def play(oracle, rooms, seconds, rate, change=None, rnd=None, lose=0.0):
    """Send more than the target can run through the rooms in turn.

    `change` is called with the time. A part `lose` of the notices that a
    request has ended is lost, and others come late or twice.
    """
    rnd = rnd or random.Random(1)
    events, served, number = [], 0, itertools.count()
    now = 0.0
    while now < seconds:
        if change is not None:
            change(now)
        while events and events[0][0] <= now:
            _, _, room, name, outcome = heapq.heappop(events)
            room.record_end(name, outcome, now)
            served += outcome is GrantOutcome.served
        room = rooms[next(number) % len(rooms)]
        if room.wait(now) <= 0:
            name = f'r{next(number)}'
            room.begin(name, now, now + 3)
            outcome, at = oracle.arrive(now)
            copies = rnd.choice([1, 1, 1, 2])
            for _ in range(copies if rnd.random() >= lose else 0):
                late = DELAY * rnd.choice([1, 1, 2, 4])
                due = (at + late, next(number), room, name, outcome)
                heapq.heappush(events, due)
        now += 1 / rate
    return served


def split(bears, members, groups):
    """Return a room for each of several groups of members."""
    names = [f'n{number}' for number in range(members)]
    size = -(-members // groups)
    parts = [names[at : at + size] for at in range(0, members, size)]
    return [RoomShare.of_members('p1', bears, part, names) for part in parts]


@given(
    bears=st.integers(0, 40),
    members=st.integers(1, 80),
    groups=st.integers(1, 80),
)
def test_shares_of_a_divided_fleet_are_within_what_a_target_bears(
    bears, members, groups
):
    shares = split(bears, members, min(groups, members))
    assert sum(each.refusals for each in shares) <= max(1, bears // 2)
    assert sum(each.part for each in shares) == pytest.approx(1)


def test_silent_members_keep_their_share():
    names = [f'n{number}' for number in range(8)]
    half = RoomShare.of_members('p1', 8, names[:4], names)
    assert half.refusals <= 4
    assert half.part == 0.5


@given(
    bears=st.integers(2, 12),
    slots=st.integers(1, 24),
    waiting=st.integers(0, 24),
    shrunk=st.integers(0, 24),
    run_seconds=st.floats(0.05, 1.0),
    lose=st.sampled_from([0.0, 0.02]),
    seed=st.integers(0, 1000),
)
def test_a_target_refuses_no_more_than_it_bears(
    bears, slots, waiting, shrunk, run_seconds, lose, seed
):
    share = RoomShare(max(1, bears // 2), 1)
    oracle = Oracle(slots, slots + waiting, run_seconds)

    def shrink(now):
        if now > 4:
            oracle.room = slots + min(waiting, shrunk)

    play(
        oracle,
        [BrittleRoom(slots, share, 0)],
        10,
        2.5 * slots / run_seconds + 10,
        shrink,
        random.Random(seed),
        lose,
    )
    assert oracle.most_refused() <= bears


@pytest.mark.parametrize('members', [8, 73])
@pytest.mark.parametrize('groups', [1, 2, 8])
def test_divided_fleet_keeps_within_what_a_target_bears(members, groups):
    slots, run_seconds, bears = 16, 0.2, 6
    oracle = Oracle(slots, slots + 8, run_seconds)
    rooms = [
        BrittleRoom(slots, share, 0) for share in split(bears, members, groups)
    ]

    def shrink(now):
        oracle.room = slots + (8 if now < 6 else 1)

    played = 12
    served = play(
        oracle, rooms, played, 2 * slots / run_seconds * len(rooms), shrink
    )
    assert oracle.most_refused() <= bears
    if groups == 1:
        assert served >= 0.8 * played * slots / run_seconds


def test_new_holder_starts_cautiously():
    slots, bears = 16, 6
    oracle = Oracle(slots, slots, 1.0)
    for _ in range(slots):
        oracle.arrive(0)
    share = RoomShare(bears // 2, 1)
    play(oracle, [BrittleRoom(slots, share, 0)], 0.9, 400)
    assert oracle.most_refused() <= bears


def test_bound_drops_at_once_and_rises_slowly():
    room = BrittleRoom(8, RoomShare(4, 1), 0)
    for number in range(4):
        room.begin(f'r{number}', 0, 5)
    room.record_end('r3', GrantOutcome.full, 0.01)
    assert room.limit == 2
    for number in range(3):
        room.record_end(f'r{number}', GrantOutcome.served, 0.5)
    at = 0.5
    limits = []
    for number in range(4, 40):
        if not room.wait(at):
            room.begin(f's{number}', at, at + 5)
            if room.under_way >= room.limit:
                room.record_end(f's{number}', GrantOutcome.served, at + 0.1)
        at += 0.1
        limits.append(room.limit)
    assert limits == sorted(limits)
    assert 4 <= limits[-1] <= 6


@given(bears=st.floats(0, 60))
def test_granters_of_one_window_use_no_more_than_a_target_bears(bears):
    whole = RoomShare.of_members('p1', bears, ['n0'], ['n0']).refusals
    assert (other_granters(bears) + 1) * whole <= max(1, bears)


def test_new_granter_waits_until_others_are_forgotten():
    room = BrittleRoom(4, RoomShare(2, 1), 0, starts_at=1.5)
    assert room.wait(1.0) == 0.5
    assert room.wait(1.5) == 0
    room.hold_until(3)
    assert room.wait(2) == 1


def test_share_that_comes_back_counts_later():
    room = BrittleRoom(8, RoomShare(4, 1), 0)
    room.set_share(RoomShare(1, 0.25), 5)
    assert used_refusals(room, 5) == 1
    room.set_share(RoomShare(4, 1), 10)
    assert used_refusals(room, 10) == 1
    assert used_refusals(room, 10 + HANDOVER_SECONDS - 0.01) == 1
    assert used_refusals(room, 20) == 4


def used_refusals(room, now):
    """Return how many requests pass before one has to be refused."""
    passed = 0
    while room.wait(now) <= 0:
        room.begin(f'{now}-{passed}', now, now + 0.001)
        passed += 1
    return passed


def test_part_that_comes_back_proves_no_more_room():
    room = BrittleRoom(8, RoomShare(4, 0.5), 0)
    for number in range(4):
        room.begin(f'r{number}', 0, 9)
    for number in range(4):
        room.record_end(f'r{number}', GrantOutcome.served, 0.3)
    room.set_share(RoomShare(4, 1), 1)
    # The other half still runs the requests that it sent.
    for number in range(4):
        assert room.wait(4) <= 0
        room.begin(f's{number}', 4, 9)
    risky = 0
    while room.wait(4) <= 0:
        room.begin(f't{risky}', 4, 9)
        risky += 1
    assert risky <= 4


def test_refusal_of_another_granter_counts_and_leaves_the_bound():
    room = BrittleRoom(4, RoomShare(2, 1), 0)
    limit = room.limit
    room.record_end('sent elsewhere', GrantOutcome.full, 0.1)
    assert room.limit == limit
    assert used_refusals(room, 0.2) == 1
