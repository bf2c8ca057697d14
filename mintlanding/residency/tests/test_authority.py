"""Two holders of a worker never send orders too shortly after each other."""

from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.residency.authority import (
    AuthorityOptions,
    ClaimContext,
    MemberInfo,
    OrderAuthority,
    OwnershipRecord,
    choose_claims,
    preferred_member,
)

OPTIONS = AuthorityOptions()
A = MemberInfo('a', 'z1')
B = MemberInfo('b', 'z1')
C = MemberInfo('c', 'z2')


def view(me='a', **changes):
    given_view = {
        'me': me,
        'zone': {'a': 'z1', 'b': 'z1', 'c': 'z2'}[me],
        'joined': 0,
        'absent_since': {},
        'zones': {'w': 'z2'},
        'records': {},
        'members': {'a': A, 'b': B, 'c': C},
        'last_received': {},
        **changes,
    }
    return ClaimContext(**given_view)


def test_free_worker_goes_to_a_member_of_its_zone():
    assert not choose_claims(view('a'), OPTIONS, 0)
    (claim,) = choose_claims(view('c'), OPTIONS, 0)
    assert claim.wait == 0


def test_leaving_member_claims_no_worker():
    members = {'a': A, 'c': MemberInfo('c', 'z2', is_leaving=True)}
    (claim,) = choose_claims(view('a', members=members), OPTIONS, 0)
    assert claim.worker == 'w'


def test_holder_with_a_membership_record_keeps_its_worker():
    records = {'w': OwnershipRecord('b', 7)}
    assert not choose_claims(view('c', records=records), OPTIONS, 1000)


def test_reachable_holder_keeps_its_worker_without_a_record():
    records = {'w': OwnershipRecord('gone', 7)}
    last_received = {'gone': 100.0}
    silent = view('c', records=records, last_received=last_received)
    assert not choose_claims(
        silent, OPTIONS, 100 + OPTIONS.contact_timeout - 0.1
    )
    (claim,) = choose_claims(silent, OPTIONS, 100 + OPTIONS.contact_timeout)
    assert claim.previous == 'gone'
    assert claim.revision == 7
    assert claim.wait == OPTIONS.takeover_delay


def test_released_worker_waits_for_the_whole_gap():
    records = {'w': OwnershipRecord('', 9)}
    (claim,) = choose_claims(view('c', records=records), OPTIONS, 0)
    assert claim.wait > OPTIONS.min_order_gap


def test_unreachable_worker_is_not_claimed():
    out_of_reach = view('c', unreachable=frozenset(('w',)))
    assert not choose_claims(out_of_reach, OPTIONS, 0)


MANY = {
    **{f'n{number}': MemberInfo(f'n{number}', 'z2') for number in range(6)},
    'far': MemberInfo('far', 'z1'),
}
RELEASED = {'w': OwnershipRecord('', 9, previous='gone')}


def first_claims(members, records, unreachable=()):
    """Return when each member claims a worker that is free since 0."""
    found = {}
    for step in range(100):
        now = step / 10
        for name in members.keys() - found.keys() - set(unreachable):
            given = view(
                members=members,
                records=records,
                free_since={'w': 0},
            )
            given = replace(given, me=name, zone=members[name].zone)
            if choose_claims(given, OPTIONS, now):
                found[name] = now
    return found


def test_members_claim_a_released_worker_one_after_another():
    claims = first_claims(MANY, RELEASED)
    at = sorted(claims.values())
    preferred = preferred_member('w', 'z2', MANY.values())
    assert claims[preferred] == 0
    assert at[1] >= 1
    # Only the last of the zone's members and those of other ones may coincide.
    assert all(after - before > 1 for before, after in pairwise(at[:3]))
    assert claims['far'] >= at[2]


def test_released_worker_is_claimed_soon_though_the_preferred_member_cannot():
    preferred = preferred_member('w', 'z2', MANY.values())
    claims = first_claims(MANY, RELEASED, unreachable=(preferred,))
    assert 1 <= min(claims.values()) <= 2


def test_member_that_released_a_worker_claims_it_last():
    preferred = preferred_member('w', 'z2', MANY.values())
    records = {'w': OwnershipRecord('', 9, previous=preferred)}
    claims = first_claims(MANY, records)
    assert min(claims.values()) == 0
    assert claims[preferred] > 5


def test_only_member_claims_the_worker_that_it_released():
    records = {'w': OwnershipRecord('', 9, previous='a')}
    (claim,) = choose_claims(
        view('a', members={'a': A}, records=records), OPTIONS, 0
    )
    assert claim.wait == OPTIONS.handover_delay


@pytest.mark.parametrize(('told', 'wait'), [(0, 0), (1.5, 1.5), (60, 3.4)])
def test_next_holder_waits_as_long_as_it_is_told(told, wait):
    records = {'w': OwnershipRecord('', 9, previous='b', wait=told)}
    (claim,) = choose_claims(
        view('a', members={'a': A}, records=records), OPTIONS, 0
    )
    assert claim.wait == wait


def test_claims_do_not_wait_for_members_that_are_cut_off():
    members = {
        name: replace(each, is_cut_off=each.zone == 'z2')
        for name, each in MANY.items()
    }
    claims = first_claims(members, RELEASED)
    assert claims['far'] == 0
    assert min(claims[name] for name in claims if name != 'far') >= 1


def test_leaving_member_never_claims():
    members = {
        name: replace(each, is_leaving=name == 'n0')
        for name, each in MANY.items()
    }
    assert 'n0' not in first_claims(members, RELEASED)


def test_preferred_member_is_the_same_for_all():
    members = [A, B, C]
    assert preferred_member('w', 'z1', members) == preferred_member(
        'w',
        'z1',
        reversed(members),
    )


def test_authority_ends_with_the_lease_without_acks():
    authority = OrderAuthority(OPTIONS)
    authority.set_members(('b',), ())
    authority.record_renewal(10)
    assert authority.until() == 10 + OPTIONS.validity


def test_acks_of_all_members_replace_the_lease():
    authority = OrderAuthority(OPTIONS)
    authority.set_members(('b', 'c'), ())
    authority.record_renewal(10)
    authority.record_ack('b', 20)
    assert authority.until() == 10 + OPTIONS.validity
    authority.record_ack('c', 21)
    assert authority.until() == 20 + OPTIONS.validity


def test_acks_of_the_zone_suffice_for_a_while():
    authority = OrderAuthority(OPTIONS)
    authority.set_members(('b',), ('c',))
    authority.record_renewal(10)
    for sent_at in range(11, 40):
        authority.record_ack('b', sent_at)
    assert authority.until() == 10 + OPTIONS.zone_hold


def test_worker_of_another_zone_is_claimed_after_a_long_absence():
    members = {'a': A}
    records = {'w': OwnershipRecord('gone', 7)}
    far = view(
        'a', members=members, records=records, absent_since={'gone': 100.0}
    )
    assert not choose_claims(far, OPTIONS, 100 + OPTIONS.absence_timeout - 0.1)
    (claim,) = choose_claims(far, OPTIONS, 100 + OPTIONS.absence_timeout)
    assert claim.previous == 'gone'


def test_new_member_without_contact_waits_for_the_absence():
    records = {'w': OwnershipRecord('gone', 7)}
    new = view('c', records=records, joined=50.0)
    assert not choose_claims(new, OPTIONS, 50 + OPTIONS.absence_timeout - 0.1)
    assert choose_claims(new, OPTIONS, 50 + OPTIONS.absence_timeout)


@given(absent=st.floats(0, 20), renewal=st.floats(0, 5))
def test_other_zone_orders_a_gap_after_a_zone_that_was_cut_off(absent, renewal):
    holder = OrderAuthority(OPTIONS)
    holder.set_members(('near',), ('far',))
    holder.record_renewal(renewal)
    for step in range(400):
        holder.record_ack('near', renewal + step * 0.1)
    gone_at = renewal + OPTIONS.lease + absent
    first_order = gone_at + OPTIONS.absence_timeout + OPTIONS.takeover_delay
    assert first_order >= holder.until() + OPTIONS.min_order_gap


times = st.floats(0, 5, allow_nan=False)


@given(
    renewals=st.lists(times, max_size=6),
    words=st.lists(st.tuples(times, times), max_size=6),
    claim_after=times,
)
def test_orders_of_two_holders_are_a_gap_apart(renewals, words, claim_after):
    """Replay renewals, and status messages that arrive with delays.

    The other member claims as early as the store and its own contact timeout
    allow. Its first order must then be at least the minimum gap after the
    last order that the first holder could send.
    """
    holder = OrderAuthority(OPTIONS)
    holder.set_members(('other',), ())
    for sent_at in renewals:
        holder.record_renewal(sent_at)
    heard_at = 0.0
    for sent_at, delay in words:
        holder.record_ack('other', sent_at)
        heard_at = max(heard_at, sent_at + delay)
    lapses_at = max(renewals, default=0.0) + OPTIONS.lease
    claimed_at = (
        max(lapses_at, heard_at + OPTIONS.contact_timeout) + claim_after
    )
    first_order = claimed_at + OPTIONS.takeover_delay
    last_order = holder.until()
    assert first_order >= last_order + OPTIONS.min_order_gap
