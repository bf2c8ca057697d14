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
    (write,) = claims.handle_records({}, NOBODY, now)
    claims.handle_written(write.seat)
    assert claims.seats() == {0}
    return write.record


def test_record_is_created_for_a_seat_without_one():
    claims = build()
    assert claims.tick(10) == [ReadSeats((0,))]
    write = claims.handle_records({}, NOBODY, 10)
    assert write == [WriteSeat(0, SeatRecord('i0', 1, 1, 'a'), 0)]
    assert claims.seats() == NOBODY


def test_seats_without_records_are_divided_among_instances():
    names = [f'i{number}' for number in range(7)]
    writes = [
        write.seat
        for name in names
        for write in build(name, 1, 16, names).handle_records({}, NOBODY, 10)
    ]
    assert sorted(writes) == list(range(16))


def test_seats_of_another_zone_are_not_claimed():
    claims = build(seats=4, zones=('a', 'b'))
    writes = claims.handle_records({}, NOBODY, 10)
    assert [each.seat for each in writes] == [0, 2]


def test_nothing_is_claimed_before_the_members_are_known():
    plan = SeatPlan(1)
    claims = SeatClaims.from_config('i0', 1, 'a', plan, TERMS, 0)
    assert claims.handle_records({}, NOBODY, 100) == []


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
def test_seat_of_another_instance_is_claimed_after_takeover_time(
    present, in_use, waited, is_taken
):
    claims = build()
    if present:
        claims.observe_members([member('i0'), member('old')], 0)
    claims.handle_records(stored('old'), in_use, 100)
    writes = claims.handle_records(stored('old'), in_use, 100 + waited)
    expected = [WriteSeat(0, SeatRecord('i0', 1, 2, 'a'), 7)]
    assert writes == (expected if is_taken else [])


def test_seat_is_not_claimed_when_its_owner_returns():
    claims = build()
    claims.handle_records(stored('old'), NOBODY, 100)
    claims.observe_members([member('i0'), member('old')], 110)
    claims.observe_members([member('i0')], 130)
    assert claims.handle_records(stored('old'), NOBODY, 140) == []


def test_unknown_write_is_resolved_by_reading():
    claims = build()
    (write,) = claims.handle_records({}, NOBODY, 10)
    claims.handle_unknown_write(11)
    assert claims.tick(11) == [ReadSeats((0,))]
    records = {0: StoredSeat(write.record, 3)}
    assert claims.handle_records(records, NOBODY, 11) == []
    assert claims.seats() == {0}


def test_rejected_write_gives_no_seat():
    claims = build(live=('i0', 'i1'))
    for seat in (0,):
        claims.handle_conflict(seat, 10)
    claims.handle_records(stored('i1'), NOBODY, 11)
    assert claims.seats() == NOBODY


def test_seat_is_dropped_when_another_instance_owns_it():
    claims = build(live=('i0', 'i1'))
    claims.accept_hand_over(frozenset((0,)), 10)
    claims.handle_records(stored('i1'), NOBODY, 11)
    assert claims.seats() == NOBODY


def test_handed_over_seat_is_recorded_when_the_service_recovers():
    claims = build(live=('i0',))
    claims.accept_hand_over(frozenset((0,)), 10)
    writes = claims.handle_records(stored('gone'), NOBODY, 5000)
    assert writes == [WriteSeat(0, SeatRecord('i0', 1, 2, 'a'), 7)]
    assert claims.seats() == {0}


def test_seats_are_kept_while_the_service_is_down():
    claims = build(live=('i0', 'i1'))
    claims.accept_hand_over(frozenset((0,)), 0)
    for now in range(0, 7200, 10):
        claims.note_peer_contact(now)
        claims.tick(now)
    assert claims.seats() == {0}


def test_isolated_instance_drops_its_seat_before_it_can_be_claimed():
    claims = build(live=('i0', 'i1'))
    claims.accept_hand_over(frozenset((0,)), 0)
    claims.note_peer_contact(0)
    claims.tick(TERMS.grace + 0.1)
    assert claims.seats() == NOBODY
    assert TERMS.grace + 0.1 < TERMS.takeover


def test_record_is_written_again_after_a_pause():
    claims = build()
    record = own(claims)
    claims.drop_all(60)
    assert claims.seats() == NOBODY
    records = {0: StoredSeat(record, 4)}
    writes = claims.handle_records(records, NOBODY, 61)
    assert writes == [WriteSeat(0, SeatRecord('i0', 1, 2, 'a'), 4)]


def test_new_incarnation_does_not_claim_seats_in_use():
    claims = build(incarnation=2)
    in_use = frozenset((0,))
    assert claims.handle_records(stored('i0'), NOBODY, 1) == []
    assert claims.handle_records(stored('i0'), in_use, 10) == []
    assert claims.handle_records(stored('i0'), NOBODY, 10) != []


def test_seat_stays_in_the_zone_of_its_first_owner():
    claims = build()
    record = SeatRecord('old', 1, 1, 'b')
    for now in (100, 1000):
        records = {0: StoredSeat(record, 7)}
        assert claims.handle_records(records, NOBODY, now) == []
