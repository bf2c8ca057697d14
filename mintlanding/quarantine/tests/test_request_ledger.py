"""Which requests are blamed for crashes, and how often they are tried."""

import pytest

from mintlanding.quarantine.records import RequestRecord
from mintlanding.quarantine.request_ledger import (
    RequestLedger,
    RequestQuarantineOptions,
)

OPTIONS = RequestQuarantineOptions()
FIRST, SECOND = OPTIONS.trial_pauses


def crashed(ledger, times, *digests, first=0):
    """Record a crash of another target at each time."""
    for number, at in enumerate(times, first):
        ledger.record_crash(f't{number}/1', digests, at)


def quarantine_of_bad(times=(1, 2, 3)):
    ledger = RequestLedger(OPTIONS)
    crashed(ledger, times, 'bad')
    assert ledger.quarantined() == ('bad',)
    return ledger


def try_once(ledger, now):
    """Ask for a trial and claim it, as the store grants it; tell if sent."""
    if not ledger.refusal('bad', now):
        ledger.begin_trial('bad')
        return True
    if 'bad' not in ledger.trials.wanted:
        return False
    ledger.trials.wanted.discard('bad')
    ledger.trials.claim('bad', ledger.trials.made('bad') + 1, now)
    return False


def test_request_is_blamed_although_nothing_else_is_answered():
    ledger = quarantine_of_bad()
    assert ledger.refusal('bad', 4) > 0
    assert ledger.refusal('good', 4) == 0


def test_crashes_of_one_moment_all_count():
    quarantine_of_bad(times=(1, 1.01, 1.02))


def test_crashes_of_one_target_run_count_once():
    ledger = RequestLedger(OPTIONS)
    for at in (1, 2, 3, 4):
        ledger.record_crash('t1/1', ['bad'], at)
    assert not ledger.quarantined()


def test_request_lost_beside_the_cause_is_not_blamed():
    ledger = RequestLedger(OPTIONS)
    crashed(ledger, (1, 2), 'bad', 'good')
    crashed(ledger, (3,), 'bad', first=2)
    crashed(ledger, (4,), 'bad', 'good', first=3)
    assert ledger.quarantined() == ('bad',)
    assert ledger.refusal('good', 4, is_repeat=True) == 0


def test_request_that_was_answered_since_is_not_blamed():
    ledger = RequestLedger(OPTIONS)
    crashed(ledger, (1, 2), 'bad', 'good')
    ledger.record_answer('good', 2.5)
    crashed(ledger, (3,), 'bad', 'good', first=2)
    assert ledger.quarantined() == ('bad',)


def test_lost_request_is_not_repeated_after_the_second_crash():
    ledger = RequestLedger(OPTIONS)
    crashed(ledger, (1,), 'bad')
    assert ledger.refusal('bad', 1.1, is_repeat=True) == 0
    crashed(ledger, (2,), 'bad', first=1)
    assert ledger.refusal('bad', 2.1, is_repeat=True) > 0
    assert ledger.refusal('bad', 2.1) == 0


def test_request_without_a_digest_is_never_refused():
    assert RequestLedger(OPTIONS).refusal('', 1) == 0


@pytest.mark.parametrize('hours', [1, 24])
def test_request_is_tried_no_more_than_the_users_allow(hours):
    ledger = quarantine_of_bad()
    sent = 0
    for second in range(4, hours * 3600):
        ledger.reports(second)
        if try_once(ledger, second):
            ledger.record_crash(f't{second}/1', ['bad'], second)
            sent += 1
    assert sent == len(OPTIONS.trial_pauses) <= 3
    assert ledger.refusal('bad', hours * 3600) > 0


def test_restart_of_all_instances_does_not_start_the_trials_again():
    ledger = quarantine_of_bad()
    sent = 0
    for second in range(4, 3600):
        if second % 100 == 0:
            record = ledger.records()['bad']
            ledger = RequestLedger(OPTIONS)
            ledger.restore('bad', record, record.last_crash, second)
        if try_once(ledger, second):
            ledger.record_crash(f't{second}/1', ['bad'], second)
            sent += 1
    assert sent <= 3


def test_crashes_before_a_restart_count():
    ledger = RequestLedger(OPTIONS)
    crashed(ledger, (1, 2), 'bad')
    record = ledger.records()['bad']
    assert record == RequestRecord(('t0/1', 't1/1'), 2)
    ledger = RequestLedger(OPTIONS)
    ledger.restore('bad', record, 2, 3)
    crashed(ledger, (4,), 'bad', first=1)
    assert not ledger.quarantined()
    crashed(ledger, (5,), 'bad', first=2)
    assert ledger.quarantined() == ('bad',)


def test_trial_that_is_answered_releases_the_request():
    ledger = quarantine_of_bad()
    assert not try_once(ledger, 3 + FIRST - 0.1)
    assert not try_once(ledger, 3 + FIRST)
    assert try_once(ledger, 3.5 + FIRST)
    # One claimed trial is one request.
    assert ledger.refusal('bad', 3.6 + FIRST) > 0
    ledger.record_answer('bad', 4 + FIRST)
    assert not ledger.quarantined()
    assert ledger.refusal('bad', 4 + FIRST) == 0


def test_trials_of_others_count():
    ledger = quarantine_of_bad()
    ledger.trials.learn('bad', 1, 20)
    assert not try_once(ledger, 20 + SECOND - 1)
    assert 'bad' not in ledger.trials.wanted
    ledger.refusal('bad', 20 + SECOND)
    assert 'bad' in ledger.trials.wanted


def test_removed_record_releases_the_request():
    ledger = quarantine_of_bad()
    ledger.release('bad', 10)
    assert not ledger.quarantined()
    # Reports that are still under way do not put it back.
    ledger.merge(quarantine_of_bad().reports(10.5), 10.5)
    assert not ledger.quarantined()


def test_instance_without_traffic_adopts_a_quarantine():
    other = RequestLedger(OPTIONS)
    other.merge(quarantine_of_bad().reports(4), 4.2)
    assert other.quarantined() == ('bad',)
    assert other.refusal('bad', 5) > 0


def test_crashes_seen_by_several_instances_add_up():
    one, other = RequestLedger(OPTIONS), RequestLedger(OPTIONS)
    crashed(one, (1, 2), 'bad')
    crashed(other, (2.1, 3), 'bad', first=1)
    one.merge(other.reports(3.5), 3.6)
    assert one.quarantined() == ('bad',)


def test_answer_at_another_instance_ends_the_quarantine():
    ledger, other = quarantine_of_bad(), quarantine_of_bad()
    other.record_answer('bad', 5)
    ledger.merge(other.reports(6), 6)
    assert not ledger.quarantined()


def test_quarantine_is_kept_and_crashes_without_one_are_forgotten():
    ledger = quarantine_of_bad()
    crashed(ledger, (4,), 'other', first=9)
    ledger.reports(5 + OPTIONS.memory)
    assert ledger.quarantined() == ('bad',)
    assert not ledger.is_suspected('other')


def test_requests_are_bounded():
    ledger = quarantine_of_bad()
    for number in range(OPTIONS.max_requests + 100):
        ledger.record_crash('t9/9', [f'r{number}'], 4)
    assert len(ledger.reports(5)) == OPTIONS.max_shared
    assert ledger.quarantined() == ('bad',)


def test_trial_that_another_instance_has_claimed_is_not_wanted_any_more():
    ledger = quarantine_of_bad()
    now = 3 + FIRST
    ledger.refusal('bad', now)
    assert 'bad' in ledger.trials.wanted
    ledger.trials.learn('bad', 1, now)
    assert 'bad' not in ledger.trials.wanted
