"""Test the pauses that targets ask for."""

from mintlanding.traffic.pauses import TargetPauses

TARGET = 'p1'


def test_pause_ends_after_its_time():
    pauses = TargetPauses()
    pauses.record(TARGET, 2, 10)
    assert pauses.wait(TARGET, 11) == 1
    assert pauses.wait(TARGET, 12) == 0


def test_later_pause_does_not_shorten_an_earlier_one():
    pauses = TargetPauses()
    pauses.record(TARGET, 5, 10)
    pauses.record(TARGET, 1, 11)
    assert pauses.wait(TARGET, 11) == 4


def test_pause_concerns_one_target():
    pauses = TargetPauses()
    pauses.record(TARGET, 5, 10)
    assert pauses.wait('p2', 11) == 0


def test_pause_outlasts_an_entry_that_is_missing_for_a_moment():
    pauses = TargetPauses()
    pauses.record(TARGET, 5, 10)
    pauses.join(TARGET, 10)
    pauses.prune(11)
    assert pauses.wait(TARGET, 11) == 4
    assert pauses.join(TARGET, 11) > 4
    pauses.prune(16)
    assert not pauses._until
    assert not pauses._next


def test_pause_without_end_is_bounded():
    pauses = TargetPauses()
    pauses.record(TARGET, 1e300, 10)
    assert pauses.wait(TARGET, 10) == 600


def test_requests_that_wait_are_sent_one_after_another():
    pauses = TargetPauses()
    pauses.record(TARGET, 2, 10)
    waits = [pauses.join(TARGET, 11) for _ in range(4)]
    assert waits[0] == 1
    assert waits == sorted(set(waits))
