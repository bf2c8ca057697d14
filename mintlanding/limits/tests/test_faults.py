"""Regression tests for single faults that let tokens be spent twice."""

import pytest

from mintlanding.core.results import Done, ResultCode
from mintlanding.limits.bucket import Bucket, Transfer
from mintlanding.limits.holders import rendezvous
from mintlanding.limits.messages import (
    Announce,
    Envelope,
    HandedOver,
    HandOver,
    Lend,
    Return,
)
from mintlanding.limits.tests.fleet import WORKSPACE, Fleet


def full_bucket():
    bucket = Bucket(0)
    bucket.resize(10, 100, 0)
    bucket.advance(100)
    return bucket


def find(fleet, kind):
    return next(
        place
        for place, (_, _, envelope) in enumerate(fleet.queue)
        if any(isinstance(each, kind) for each in envelope.messages)
    )


@pytest.mark.parametrize(
    ('seconds_between', 'left'),
    [(0, 100), (2, 100), (5, 100), (10, 0), (1000, 0)],
)
def test_late_refund_does_not_raise_a_later_burst(seconds_between, left):
    bucket = full_bucket()
    now = 100 + seconds_between
    assert bucket.take('first', 100, 100)
    bucket.advance(now)
    second = bucket.level
    assert bucket.take('second', second, now)
    bucket.settle('first', 0, now)
    assert bucket.level == pytest.approx(left - second if left else 0)


def test_refund_is_ignored_when_the_bucket_was_full_in_between():
    bucket = full_bucket()
    bucket.take('first', 100, 100)
    bucket.take('second', 100, 110)
    bucket.take('third', 50, 115)
    bucket.settle('first', 0, 115)
    assert bucket.level == 0


def test_grant_in_flight_counts_against_the_burst():
    bucket = full_bucket()
    bucket.take('travels', 60, 100, until=101)
    bucket.advance(100.9)
    assert bucket.level + bucket.in_flight <= 100
    bucket.confirm_delivery('travels', 100.9)
    bucket.advance(101.9)
    assert bucket.level == pytest.approx(50)


def test_tokens_in_flight_do_not_slow_accrual_after_delivery():
    bucket = full_bucket()
    bucket.take('travels', 60, 100, until=101)
    bucket.advance(106)
    assert bucket.level == pytest.approx(90)
    bucket.advance(200)
    assert bucket.level == pytest.approx(100)


def test_transferred_tokens_above_the_capacity_are_lost():
    bucket = full_bucket()
    bucket.add(Transfer(50, 0), 100, 101)
    assert bucket.level == 100


def test_excess_use_is_charged_when_settled():
    bucket = full_bucket()
    bucket.take('one', 50, 100)
    bucket.settle('one', 120, 100)
    assert bucket.level == -20


def find_heavier(fleet, holder):
    guesses = (f'x{number}' for number in range(1000))
    heavier = next(
        name
        for name in guesses
        if rendezvous(WORKSPACE, [holder, name]) == name
    )
    fleet.zones[heavier] = 'a'
    return heavier


def assert_one_user(fleet):
    users = [
        seat
        for node in fleet.nodes.values()
        for seat in node.pools[WORKSPACE].usable()
    ]
    assert len(users) == len(set(users))


def test_duplicate_loan_adds_its_tokens_once():
    fleet = Fleet()
    fleet.now += 5
    for name in fleet.names:
        fleet.do(name, 'tick')
    fleet.now += 5
    for name in fleet.names:
        fleet.do(name, 'tick')
    while not any(
        isinstance(each, Lend) and each.loans
        for _, _, envelope in fleet.queue
        for each in envelope.messages
    ):
        fleet.deliver()
    place = find(fleet, Lend)
    fleet.deliver(place, keep=True)
    holder = fleet.queue[place][1]
    level = fleet.nodes[holder].pools[WORKSPACE].bucket.level
    fleet.deliver(place)
    assert fleet.nodes[holder].pools[WORKSPACE].bucket.level == level


def test_return_is_ignored_after_a_newer_request():
    fleet = Fleet()
    fleet.run(12)
    holder = fleet.holder()
    heavier = find_heavier(fleet, holder)
    fleet.see([*fleet.names, heavier], at=[holder])
    fleet.see(fleet.names, at=[holder])
    held = [
        (sender, receiver, envelope)
        for sender, receiver, envelope in fleet.queue
        if any(isinstance(each, Return) for each in envelope.messages)
    ]
    assert held
    fleet.queue = [each for each in fleet.queue if each not in held]
    fleet.run(1.2)
    others = [name for name in fleet.names if name != holder]
    fleet.see([*fleet.names, heavier], at=others)
    assert_one_user(fleet)
    fleet.queue = held
    while fleet.queue:
        fleet.deliver()
        assert_one_user(fleet)


def test_loan_is_ignored_after_its_return():
    fleet = Fleet()
    fleet.deliver_all()
    fleet.now += 5
    for name in fleet.names:
        fleet.do(name, 'tick')
    held = []
    while fleet.queue:
        if any(isinstance(each, Lend) for each in fleet.queue[0][2].messages):
            held.append(fleet.queue.pop(0))
        else:
            fleet.deliver()
    assert held
    fleet.run(1.1)
    holder = fleet.holder()
    assert len(fleet.nodes[holder].pools[WORKSPACE].usable()) == 6
    fleet.see([*fleet.names, find_heavier(fleet, holder)])
    fleet.deliver_all()
    fleet.queue = held
    while fleet.queue:
        fleet.deliver()
        assert_one_user(fleet)


def test_grant_in_flight_keeps_the_bucket_from_refilling():
    fleet = Fleet()
    fleet.run(12)
    holder = fleet.holder()
    asker = next(name for name in fleet.names if name != holder)
    fleet.do(asker, 'reserve', 'first', WORKSPACE, 300)
    while fleet.queue[0][1] != asker:
        fleet.deliver()
    fleet.now += 0.2
    fleet.do(holder, 'reserve', 'second', WORKSPACE, 15)
    fleet.deliver_all()
    assert fleet.is_done('first')
    assert fleet.worst_overshoot() <= 1e-9


def test_grant_after_the_timeout_is_settled_with_zero():
    fleet = Fleet()
    fleet.run(12)
    holder = fleet.holder()
    asker = next(name for name in fleet.names if name != holder)
    fleet.do(asker, 'reserve', 'late', WORKSPACE, 300)
    while fleet.queue[0][1] != asker:
        fleet.deliver()
    fleet.now += fleet.options.request_timeout + 0.01
    fleet.deliver_all()
    fleet.run(0.3)
    assert fleet.outcome('late').code is ResultCode.limits_unavailable
    fleet.do(holder, 'reserve', 'next', WORKSPACE, 300)
    assert fleet.is_done('next')


def test_process_drops_its_tokens_after_a_pause():
    fleet = Fleet(size=1)
    fleet.run(12)
    fleet.now += fleet.options.pause + 1
    fleet.do('i0', 'reserve', 'r', WORKSPACE, 5)
    assert fleet.outcome('r').code is ResultCode.limits_unavailable
    assert fleet.lost == {'i0'}


def test_seats_assigned_in_the_first_call_after_a_pause_are_not_used():
    fleet = Fleet(size=1)
    fleet.run(12)
    fleet.now += fleet.options.pause + 1
    fleet.do('i0', 'assign_seats', fleet.seats['i0'])
    fleet.run(12)
    assert fleet.lost == {'i0'}
    fleet.do('i0', 'reserve', 'r', WORKSPACE, 5)
    assert fleet.outcome('r').code is ResultCode.limits_unavailable


def test_first_assignment_right_after_a_pause_is_reported_as_lost():
    fleet = Fleet(size=1)
    fleet.restart('i0')
    fleet.do('i0', 'tick')
    fleet.now += fleet.options.pause + 1
    fleet.do('i0', 'assign_seats', fleet.seats['i0'])
    assert fleet.lost == {'i0'}


def test_restarted_instance_starts_without_tokens():
    fleet = Fleet(size=1)
    fleet.run(12)
    fleet.restart('i0')
    fleet.do('i0', 'assign_seats', fleet.seats['i0'])
    fleet.run(fleet.options.lender_term(fleet.options.term) + 0.1)
    fleet.do('i0', 'reserve', 'r', WORKSPACE, 50)
    assert fleet.outcome('r').code is ResultCode.rate_exceeded


def test_each_side_of_a_partition_serves_from_its_own_seats():
    fleet = Fleet(size=4, seat_count=8)
    fleet.run(12)
    fleet.see(['i0', 'i1'], at=['i0', 'i1'])
    fleet.see(['i2', 'i3'], at=['i2', 'i3'])
    fleet.run(10)
    for name in ('i0', 'i2'):
        fleet.do(name, 'reserve', f'first {name}', WORKSPACE, 150)
        fleet.do(name, 'reserve', f'second {name}', WORKSPACE, 10)
    fleet.run(0.02)
    for name in ('i0', 'i2'):
        assert isinstance(fleet.outcome(f'first {name}'), Done)
        assert not isinstance(fleet.outcome(f'second {name}'), Done)


def test_planned_stop_hands_over_tokens_and_seats():
    fleet = Fleet()
    fleet.run(12)
    holder = fleet.holder()
    fleet.do(holder, 'drain')
    fleet.deliver_all()
    fleet.run(0.2)
    node = fleet.nodes.pop(holder)
    assert node.is_drained()
    held = sum(
        each.pools[WORKSPACE].bucket.level for each in fleet.nodes.values()
    )
    assert held == pytest.approx(300, rel=0.01)
    name = next(iter(fleet.nodes))
    fleet.do(name, 'reserve', 'r', WORKSPACE, 290)
    fleet.run(0.2)
    assert isinstance(fleet.outcome('r'), Done)


def test_late_hand_over_is_rejected():
    fleet = Fleet()
    fleet.run(12)
    fleet.do('i0', 'drain')
    held = []
    for _ in range(100):
        if not fleet.queue:
            break
        names = [type(e).__name__ for e in fleet.queue[0][2].messages]
        if 'HandOver' in names:
            held.append(fleet.queue.pop(0))
        else:
            fleet.deliver()
    assert held
    node = fleet.nodes.pop('i0')
    fleet.run(fleet.options.grace)
    fleet.queue.extend(held)
    fleet.deliver_all()
    owned = [
        seat for each in fleet.nodes.values() for seat in each._state.owned
    ]
    assert sorted(owned) == sorted(
        seat for name in fleet.nodes for seat in fleet.seats[name]
    )
    assert node._state.owned == set()


def test_seats_are_handed_over_within_the_zone_only():
    fleet = Fleet(size=4, seat_count=4, zones=('a', 'b'))
    fleet.run(12)
    fleet.do('i0', 'drain')
    fleet.deliver_all()
    fleet.run(0.2)
    assert fleet.seats['i2'] == {0, 2}
    assert fleet.nodes['i0'].is_drained()


def has(message, kind):
    return any(isinstance(each, kind) for each in message.messages)


def test_hand_over_is_not_repeated_to_the_next_life_of_its_receiver():
    # Guards against: tokens that were spent before a restart come again.
    fleet = Fleet(size=2)
    fleet.run(12)
    fleet.do('i0', 'drain')
    while fleet.queue:
        fleet.deliver(drop=has(fleet.queue[0][2], HandedOver))
    assert fleet.nodes['i1']._state.owned == set(range(6))
    fleet.do('i1', 'reserve', 'first', WORKSPACE, 290)
    assert fleet.is_done('first')
    fleet.restart('i1')
    fleet.see(fleet.names)
    fleet.run(1)
    fleet.do('i1', 'reserve', 'second', WORKSPACE, 140)
    assert fleet.worst_overshoot() <= 0


def test_hand_over_that_bears_no_clock_of_its_receiver_is_void():
    # Guards against: a late hand-over, as the clock before was ahead of it.
    fleet = Fleet(size=2)
    fleet.restart('i1')
    node = fleet.nodes['i1']
    hand_over = HandOver(1, fleet.now, (0,), ())
    envelope = Envelope(1, 1, 2, (hand_over,))
    node.receive(envelope, 'i0', fleet.now - 500)
    assert node._state.owned == set()


def test_late_announcement_does_not_make_hand_overs_void():
    # Guards against: the time of an announcement that was overtaken.
    fleet = Fleet(size=2)
    fleet.run(12)
    fleet.do('i1', 'tick')
    fleet.deliver_all()
    fleet.nodes['i1']._announce_at = fleet.now
    fleet.do('i1', 'tick')
    held = [each for each in fleet.queue if has(each[2], Announce)]
    assert held
    fleet.queue.clear()
    fleet.run(fleet.options.grace / 2 + 1)
    fleet.queue.extend(held)
    fleet.deliver_all()
    fleet.do('i0', 'drain')
    fleet.deliver_all()
    fleet.run(0.2)
    assert fleet.nodes['i0'].is_drained()
    assert fleet.nodes['i1']._state.owned == set(range(6))
