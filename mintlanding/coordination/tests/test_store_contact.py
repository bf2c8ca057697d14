"""Times of contact with the store, of one instance and of its members."""

from mintlanding.coordination.store_contact import StoreContact


def contact_until(end, start=0.0):
    found = StoreContact()
    now = start
    while now <= end:
        found.record(now)
        now += 0.5
    return found


def test_outage_ends_with_the_first_contact_of_any_member():
    contact = contact_until(10)
    contact.record(20)
    assert contact.returned_at == 20
    contact.record_member(1.5, 20.5)
    assert contact.returned_at == 19


def test_member_that_kept_contact_shows_a_partition():
    contact = contact_until(10)
    contact.record(20)
    contact.record_member(300, 20.2)
    assert contact.returned_at < 10


def test_reports_from_before_an_outage_are_not_used_after_it():
    contact = contact_until(10)
    contact.record_member(300, 10.5)
    contact.record(20)
    assert contact.returned_at == 20


def test_reports_that_arrive_without_contact_are_ignored():
    contact = contact_until(10)
    contact.record(20)
    contact.record_member(300, 23)
    assert contact.returned_at == 20


def test_interrupted_contact_is_not_reported():
    contact = contact_until(10)
    assert contact.uninterrupted(10.5) == 10
    assert contact.uninterrupted(12.5) == 0
    contact.record(20)
    assert contact.uninterrupted(20.5) == 0


def test_short_gaps_are_no_interruption():
    contact = contact_until(10)
    contact.record(11.9)
    assert contact.uninterrupted(12) == 11.9
