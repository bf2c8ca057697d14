import pytest

from mintlanding.limits.options import LimitsOptions
from mintlanding.limits.seats import (
    ReadSeats,
    SeatClaims,
    SeatPlan,
    SeatRecord,
    StoredSeat,
    WriteSeat,
)
from mintlanding.limits.tests.fleet import member

TERMS = LimitsOptions(grace=30)
NOBODY = frozenset()


def build(name='i0', incarnation=1, seats=1, live=('i0',), zones=()):
    plan = SeatPlan(seats, zones)
    claims = SeatClaims.from_config(name, incarnation, 'a', plan, TERMS, 0)
    claims.observe_members([member(each) for each in live], 0)
    return claims


def stored(owner, incarnation=1, epoch=1, index=7):
    return {0: StoredSeat(SeatRecord(owner, incarnation, epoch), index)}


def own(claims, now=10):
    (write,) = claims.take_records({}, NOBODY, now)
    claims.confirm(write.seat)
    assert claims.seats() == {0}
    return write.record


def test_a_seat_without_record_is_created():
    claims = build()
    assert claims.tick(10) == [ReadSeats((0,))]
    write = claims.take_records({}, NOBODY, 10)
    assert write == [WriteSeat(0, SeatRecord('i0', 1, 1, 'a'), 0)]
    assert claims.seats() == NOBODY


def test_seats_without_record_are_shared_out():
    names = [f'i{number}' for number in range(7)]
    writes = [
        write.seat
        for name in names
        for write in build(name, 1, 16, names).take_records({}, NOBODY, 10)
    ]
    assert sorted(writes) == list(range(16))


def test_seats_of_another_zone_are_not_taken():
    claims = build(seats=4, zones=('a', 'b'))
    writes = claims.take_records({}, NOBODY, 10)
    assert [each.seat for each in writes] == [0, 2]


def test_nothing_is_claimed_before_the_members_are_known():
    plan = SeatPlan(1)
    claims = SeatClaims.from_config('i0', 1, 'a', plan, TERMS, 0)
    assert claims.take_records({}, NOBODY, 100) == []


@pytest.mark.parametrize(
    ('present', 'in_use', 'waited', 'is_taken'),
    [
        (True, NOBODY, 1000, False),
        (False, NOBODY, 0, False),
        (False, NOBODY, TERMS.grace, False),
        (False, NOBODY, TERMS.takeover, True),
        (False, frozenset((0,)), 1000, False),
    ],
)
def test_when_the_seat_of_another_is_taken(present, in_use, waited, is_taken):
    claims = build()
    if present:
        claims.observe_members([member('i0'), member('old')], 0)
    claims.take_records(stored('old'), in_use, 100)
    writes = claims.take_records(stored('old'), in_use, 100 + waited)
    expected = [WriteSeat(0, SeatRecord('i0', 1, 2, 'a'), 7)]
    assert writes == (expected if is_taken else [])


def test_an_owner_that_comes_back_is_not_taken_from():
    claims = build()
    claims.take_records(stored('old'), NOBODY, 100)
    claims.observe_members([member('i0'), member('old')], 110)
    claims.observe_members([member('i0')], 130)
    assert claims.take_records(stored('old'), NOBODY, 140) == []


def test_a_write_without_answer_is_settled_by_reading():
    claims = build()
    (write,) = claims.take_records({}, NOBODY, 10)
    claims.leave_open(11)
    assert claims.tick(11) == [ReadSeats((0,))]
    records = {0: StoredSeat(write.record, 3)}
    assert claims.take_records(records, NOBODY, 11) == []
    assert claims.seats() == {0}


def test_a_write_that_lost_the_race_gives_no_seat():
    claims = build(live=('i0', 'i1'))
    for seat in (0,):
        claims.reject(seat, 10)
    claims.take_records(stored('i1'), NOBODY, 11)
    assert claims.seats() == NOBODY


def test_a_seat_that_another_has_taken_is_dropped():
    claims = build(live=('i0', 'i1'))
    claims.accept_hand_over(frozenset((0,)), 10)
    claims.take_records(stored('i1'), NOBODY, 11)
    assert claims.seats() == NOBODY


def test_a_seat_handed_over_is_recorded_when_the_service_is_back():
    claims = build(live=('i0',))
    claims.accept_hand_over(frozenset((0,)), 10)
    writes = claims.take_records(stored('gone'), NOBODY, 5000)
    assert writes == [WriteSeat(0, SeatRecord('i0', 1, 2, 'a'), 7)]
    assert claims.seats() == {0}


def test_seats_are_kept_while_the_service_is_down():
    claims = build(live=('i0', 'i1'))
    claims.accept_hand_over(frozenset((0,)), 0)
    for now in range(0, 7200, 10):
        claims.hear_peer(now)
        claims.tick(now)
    assert claims.seats() == {0}


def test_an_isolated_instance_stops_before_its_seat_can_be_taken():
    claims = build(live=('i0', 'i1'))
    claims.accept_hand_over(frozenset((0,)), 0)
    claims.hear_peer(0)
    claims.tick(TERMS.grace + 0.1)
    assert claims.seats() == NOBODY
    assert TERMS.grace + 0.1 < TERMS.takeover


def test_after_a_pause_the_record_is_written_anew():
    claims = build()
    record = own(claims)
    claims.lose_all(60)
    assert claims.seats() == NOBODY
    records = {0: StoredSeat(record, 4)}
    writes = claims.take_records(records, NOBODY, 61)
    assert writes == [WriteSeat(0, SeatRecord('i0', 1, 2, 'a'), 4)]


def test_a_new_incarnation_waits_for_what_others_say_they_use():
    claims = build(incarnation=2)
    in_use = frozenset((0,))
    assert claims.take_records(stored('i0'), NOBODY, 1) == []
    assert claims.take_records(stored('i0'), in_use, 10) == []
    assert claims.take_records(stored('i0'), NOBODY, 10) != []


def test_a_seat_stays_in_the_zone_of_its_first_owner():
    claims = build()
    record = SeatRecord('old', 1, 1, 'b')
    for now in (100, 1000):
        records = {0: StoredSeat(record, 7)}
        assert claims.take_records(records, NOBODY, now) == []
