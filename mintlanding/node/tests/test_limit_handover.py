"""Test that brittle targets are handed over without too many refusals."""

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from mintlanding.node.tests.fleet_on_paper import (
    TARGET,
    play_fleet,
    start_fleet,
    stop_fleet,
)
from mintlanding.target_limits.brittle import member_weight

SLOTS = 4
RUN_SECONDS = 1.0
# Requests per second: four times what the target can run.
RATE = 16
# Seconds in which the members come to know each other and find the room.
SETTLE_SECONDS = 6


def holder(fleet):
    return next(iter(fleet.members.values())).elected('p1')


def ranked(names):
    """Return members in the order in which they are elected."""
    return sorted(
        names, key=lambda each: member_weight('p1', each), reverse=True
    )


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


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('way', ['leave', 'kill'])
def test_holders_that_end_one_after_another(monkeypatch, seed, way):
    async def end_some(fleet):
        flood = asyncio.ensure_future(fleet.flood(12, RATE))
        await asyncio.sleep(SETTLE_SECONDS)
        fleet.oracle.room = 0
        for _ in range(3):
            getattr(fleet, way)(holder(fleet))
            await asyncio.sleep(0.35)
        await flood

    fleet = play_fleet(
        monkeypatch,
        end_some,
        seed=seed,
        members=6,
        waiting=0,
        run_seconds=RUN_SECONDS,
    )
    assert fleet.most_refused() <= fleet.bears


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('members', [4, 7])
def test_members_in_a_row_that_reach_their_neighbours_only(
    monkeypatch, seed, members
):
    async def part(fleet):
        flood = asyncio.ensure_future(fleet.flood(14, RATE))
        await asyncio.sleep(SETTLE_SECONDS)
        # The one that all would elect and those after it do not touch.
        row = ranked(fleet.members)
        row = [*row[::2], *row[1::2]] if seed % 2 else row
        fleet.leave_links(set(zip(row, row[1:], strict=False)))
        await flood

    fleet = play_fleet(
        monkeypatch,
        part,
        seed=seed,
        members=members,
        waiting=0,
        run_seconds=RUN_SECONDS,
    )
    assert fleet.most_refused() <= fleet.bears


def test_star_of_which_only_the_middle_reaches_the_others(monkeypatch):
    shares = []

    async def part(fleet):
        flood = asyncio.ensure_future(fleet.flood(14, RATE))
        await asyncio.sleep(SETTLE_SECONDS)
        *ends, middle = ranked(fleet.members)
        fleet.leave_links({(middle, each) for each in ends})
        await asyncio.sleep(4)
        shares.extend(
            member.limits.holder_share(TARGET.key)
            for name, member in fleet.members.items()
            if member.elected('p1') == name
        )
        fleet.oracle.room = 1
        await flood

    fleet = play_fleet(
        monkeypatch,
        part,
        members=8,
        bears=8,
        waiting=0,
        run_seconds=RUN_SECONDS,
    )
    assert len(shares) == 7
    assert sum(each.part for each in shares) <= 1
    assert sum(each.refusals for each in shares) <= 4
    assert fleet.most_refused() <= fleet.bears


WAYS = st.sampled_from(['leave', 'kill'])
GAPS = st.sampled_from([0.05, 0.3, 0.6])
NUMBERS = st.integers(0, 12)


class HandedOverTarget(RuleBasedStateMachine):
    """Members part, leave and join while callers flood a target.

    The target is the oracle: it knows its room and what it refused.
    """

    @initialize(
        bears=st.integers(2, 8),
        members=st.integers(3, 8),
        slots=st.integers(1, 6),
        waiting=st.integers(0, 4),
        run_seconds=st.sampled_from([0.1, 0.3, 1.0]),
        seed=st.integers(0, 1000),
    )
    def start(self, bears, members, slots, waiting, run_seconds, seed):
        self.patch = pytest.MonkeyPatch()
        self.fleet = start_fleet(
            self.patch,
            bears=bears,
            slots=slots,
            waiting=waiting,
            run_seconds=run_seconds,
            seed=seed,
            members=members,
        )
        self.full_room = slots + waiting
        rate = 3 * slots / run_seconds + 5
        self.fleet.spawn(self.fleet.flood(1000, rate))
        self.pass_time(SETTLE_SECONDS)

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0]))
    def pass_time(self, seconds):
        self.fleet.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(
        ways=st.lists(WAYS, min_size=2, max_size=4),
        gap=GAPS,
        room=st.sampled_from([0, 0, 2, 10]),
    )
    def end_holders(self, ways, gap, room):
        """Let one holder after another end, while the room shrinks."""
        self.change_room(room)
        for way in ways:
            if len(self.fleet.members) > 1:
                getattr(self.fleet, way)(holder(self.fleet))
            self.pass_time(gap)

    @rule(numbers=st.lists(NUMBERS, min_size=1, max_size=4), gap=GAPS)
    def join(self, numbers, gap):
        for number in numbers:
            if f'n{number}' not in self.fleet.members:
                self.fleet.add(f'n{number}')
                self.pass_time(gap)

    @rule(data=st.data(), way=WAYS, gap=GAPS)
    def end_any(self, data, way, gap):
        if len(self.fleet.members) > 1:
            names = sorted(self.fleet.members)
            getattr(self.fleet, way)(data.draw(st.sampled_from(names)))
            self.pass_time(gap)

    @rule(gap=GAPS)
    def kill_all(self, gap):
        names = sorted(self.fleet.members)
        for name in names:
            self.fleet.kill(name)
        self.pass_time(gap)
        for name in names:
            self.fleet.add(name)

    @rule(data=st.data(), gap=GAPS)
    def lose_what_some_send_to_others(self, data, gap):
        some = st.sets(st.sampled_from(sorted(self.fleet.members)))
        self.fleet.cut(data.draw(some), data.draw(some))
        self.pass_time(gap)

    @rule(data=st.data(), seconds=st.sampled_from([0.5, 1.0, 3.0]))
    def divide(self, data, seconds):
        names = set(self.fleet.members)
        side = data.draw(st.sets(st.sampled_from(sorted(names))))
        self.fleet.cut_in_groups(side, names - side)
        self.pass_time(seconds)

    @rule(gap=GAPS)
    def heal(self, gap):
        self.fleet.heal()
        self.pass_time(gap)

    @rule(room=st.sampled_from([0, 0, 0, 1, 3, 10]))
    def change_room(self, room):
        self.fleet.oracle.room = min(room, self.full_room)

    @rule(repeated=st.sampled_from([0, 0.2]), late=st.sampled_from([0, 0.2]))
    def disturb_messages(self, repeated, late):
        self.fleet.repeated, self.fleet.late = repeated, late

    @invariant()
    def refuses_no_more_than_it_bears(self):
        if hasattr(self, 'fleet'):
            assert self.fleet.most_refused() <= self.fleet.bears

    def teardown(self):
        if hasattr(self, 'fleet'):
            stop_fleet(self.fleet)
            self.patch.undo()


TestHandedOverTarget = HandedOverTarget.TestCase
TestHandedOverTarget.settings = settings(
    max_examples=12, stateful_step_count=12, deadline=None
)
