"""Faults one at a time: each row once let tokens be spent twice."""

import pytest

from mintlanding.core.results import Done, ResultCode
from mintlanding.limits.bucket import Bucket, Transfer
from mintlanding.limits.holders import rendezvous
from mintlanding.limits.messages import Lend, Return
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
def test_a_late_refund_does_not_raise_a_later_burst(seconds_between, left):
    bucket = full_bucket()
    now = 100 + seconds_between
    assert bucket.take('first', 100, 100)
    bucket.advance(now)
    second = bucket.level
    assert bucket.take('second', second, now)
    bucket.settle('first', 0, now)
    assert bucket.level == pytest.approx(left - second if left else 0)


def test_a_refund_after_the_bucket_was_full_is_void_though_it_is_empty_now():
    bucket = full_bucket()
    bucket.take('first', 100, 100)
    bucket.take('second', 100, 110)
    bucket.take('third', 50, 115)
    bucket.settle('first', 0, 115)
    assert bucket.level == 0


def test_a_grant_on_its_way_counts_against_the_burst():
    bucket = full_bucket()
    bucket.take('travels', 60, 100, until=101)
    bucket.advance(100.9)
    assert bucket.level + bucket.flight <= 100
    bucket.land('travels', 100.9)
    bucket.advance(101.9)
    assert bucket.level == pytest.approx(50)


def test_tokens_on_their_way_cost_nothing_after_they_have_arrived():
    bucket = full_bucket()
    bucket.take('travels', 60, 100, until=101)
    bucket.advance(106)
    assert bucket.level == pytest.approx(90)
    bucket.advance(200)
    assert bucket.level == pytest.approx(100)


def test_moved_tokens_above_the_capacity_are_lost():
    bucket = full_bucket()
    bucket.put(Transfer(50, 0), 100, 101)
    assert bucket.level == 100


def test_more_used_than_reserved_is_charged():
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


def test_a_doubled_loan_brings_its_tokens_once():
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


def test_a_return_that_arrives_after_a_newer_ask_is_void():
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


def test_a_loan_that_arrives_after_its_return_is_void():
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


def test_a_grant_under_way_keeps_the_bucket_from_refilling():
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


def test_a_grant_after_the_timeout_is_sent_back():
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


def test_a_paused_process_spends_nothing_of_what_it_held():
    fleet = Fleet(size=1)
    fleet.run(12)
    fleet.now += fleet.options.pause + 1
    fleet.do('i0', 'reserve', 'r', WORKSPACE, 5)
    assert fleet.outcome('r').code is ResultCode.limits_unavailable
    assert fleet.lost == {'i0'}


def test_seats_named_in_the_first_call_after_a_pause_are_not_used():
    fleet = Fleet(size=1)
    fleet.run(12)
    fleet.now += fleet.options.pause + 1
    fleet.do('i0', 'assign_seats', fleet.seats['i0'])
    fleet.run(12)
    assert fleet.lost == {'i0'}
    fleet.do('i0', 'reserve', 'r', WORKSPACE, 5)
    assert fleet.outcome('r').code is ResultCode.limits_unavailable


def test_a_first_claim_right_after_a_pause_is_reported_as_lost():
    fleet = Fleet(size=1)
    fleet.restart('i0')
    fleet.do('i0', 'tick')
    fleet.now += fleet.options.pause + 1
    fleet.do('i0', 'assign_seats', fleet.seats['i0'])
    assert fleet.lost == {'i0'}


def test_a_restart_begins_empty():
    fleet = Fleet(size=1)
    fleet.run(12)
    fleet.restart('i0')
    fleet.do('i0', 'assign_seats', fleet.seats['i0'])
    fleet.run(fleet.options.lender_term(fleet.options.term) + 0.1)
    fleet.do('i0', 'reserve', 'r', WORKSPACE, 50)
    assert fleet.outcome('r').code is ResultCode.rate_exceeded


def test_a_cut_side_serves_from_its_own_seats():
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


def test_a_planned_stop_hands_tokens_and_seats_over():
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


def test_a_hand_over_that_comes_too_late_is_not_taken():
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
        seat for each in fleet.nodes.values() for seat in each._shares.owned
    ]
    assert sorted(owned) == sorted(
        seat for name in fleet.nodes for seat in fleet.seats[name]
    )
    assert node._shares.owned == set()


def test_seats_are_handed_over_inside_the_zone_only():
    fleet = Fleet(size=4, seat_count=4, zones=('a', 'b'))
    fleet.run(12)
    fleet.do('i0', 'drain')
    fleet.deliver_all()
    fleet.run(0.2)
    assert fleet.seats['i2'] == {0, 2}
    assert fleet.nodes['i0'].is_drained()
