"""Silent members keep their share of the quotas, soon and for a while."""

from mintlanding.traffic.models import Workspace
from mintlanding.traffic.quotas import FleetQuotas
from mintlanding.traffic.reach import FleetReach, MemberContact

INTERVAL = 0.25
LIMITED = Workspace('w', frozenset(), rate=100, burst=800)


def contacts(*ages):
    return {f'm{number}': MemberContact(age) for number, age in enumerate(ages)}


def test_members_heard_in_time_count_in_full():
    reach = FleetReach()
    assert reach.update(contacts(0, 0.1, 0.3), INTERVAL, 0) == (4, 4)


def test_member_whose_status_is_late_counts_in_part():
    reach = FleetReach()
    heard, members = reach.update(contacts(0, 0.4), INTERVAL, 0)
    assert 2 < heard < 3
    assert members == 3
    assert reach.update(contacts(0, 0.5), INTERVAL, 0) == (2, 3)


def test_member_that_was_never_heard_does_not_count():
    reach = FleetReach()
    assert reach.update(contacts(float('inf')), INTERVAL, 0) == (1, 2)


def test_member_whose_record_ends_keeps_its_share_for_a_while():
    """It may be cut off from the store and serve its callers."""
    reach = FleetReach()
    reach.update(contacts(0, 1), INTERVAL, 0)
    assert reach.update(contacts(0), INTERVAL, 1) == (2, 3)
    assert reach.update(contacts(0), INTERVAL, 40) == (2, 2)


def test_member_that_has_left_keeps_no_share():
    reach = FleetReach()
    reach.update({'m0': MemberContact(0, is_leaving=True)}, INTERVAL, 0)
    assert reach.update({}, INTERVAL, 1) == (1, 1)


def test_member_that_comes_back_counts_once():
    reach = FleetReach()
    reach.update(contacts(0), INTERVAL, 0)
    reach.update({}, INTERVAL, 1)
    assert reach.update(contacts(0), INTERVAL, 2) == (2, 2)


def spend(quotas, now, amount=10):
    admitted = 0
    while not quotas.admit(LIMITED, amount, now):
        admitted += amount
    return admitted


def test_tokens_left_to_a_silent_member_return_with_it():
    quotas = FleetQuotas()
    quotas.set_reachable(2, 2)
    quotas.admit(LIMITED, 10, 0)
    quotas.set_reachable(1, 2)
    assert spend(quotas, 0) < 0.6 * LIMITED.burst
    quotas.set_reachable(2, 2)
    assert spend(quotas, 0) > 0.4 * LIMITED.burst


def test_what_others_admit_is_assumed_until_they_report():
    """One that is cut off does not take silence for tokens left to it."""
    silent, quotas = FleetQuotas(), FleetQuotas()
    for each in (silent, quotas):
        for step in range(20):
            counters = {'w': 20.0 * step, 'w\0asked': 20.0 * step}
            each.add_remote_counters(
                'm1', counters, {'w': LIMITED}, step * INTERVAL
            )
    quotas.add_remote_counters('m1', {'w': 380.0}, {'w': LIMITED}, 6)
    quotas.add_remote_counters('m1', {'w': 380.0}, {'w': LIMITED}, 6.2)
    assert spend(silent, 6.2) < spend(quotas, 6.2)
