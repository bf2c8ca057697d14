"""Which parts of prompts are blamed for crashes, and for how long."""

import pytest

from mintlanding.quarantine.ledger import CrashLedger, QuarantineOptions
from mintlanding.quarantine.messages import EngineCrash, SuspectPart
from mintlanding.quarantine.reports import combine_reports
from mintlanding.quarantine.request_ledger import (
    RequestLedger,
    RequestQuarantineOptions,
)

OPTIONS = QuarantineOptions()
PAUSE = OPTIONS.trial_pauses[0]


def crashed(ledger, times, *prompts, first=0):
    """Record a crash of another engine at each time."""
    for number, at in enumerate(times, first):
        ledger.record_crash(f'e{number}/1', prompts, at)


def answered(ledger, parts, now, times=OPTIONS.min_answers):
    for _ in range(times):
        ledger.record_answer(parts, now)


def quarantine_of_bad(times=(1, 2, 3)):
    """Return a ledger whose part "bad" is in quarantine."""
    ledger = CrashLedger(OPTIONS)
    crashed(ledger, times[:1], ('top', 'bad'), ('top', 'rare'))
    answered(ledger, ('top', 'good'), times[0] + 0.5)
    crashed(ledger, times[1:], ('top', 'bad'), first=1)
    assert ledger.quarantined() == ('bad',)
    return ledger


def test_part_that_recurs_in_crashes_is_quarantined_alone():
    ledger = quarantine_of_bad()
    assert ledger.refusal(('top', 'bad'), 4)[0] == 'bad'
    for sound in (('top', 'good'), ('top', 'rare'), ('top',), ()):
        assert ledger.refusal(sound, 4) == ('', 0)


def test_crashes_of_one_moment_blame_no_part():
    ledger = CrashLedger(OPTIONS)
    crashed(ledger, (1, 1.02, 1.05, 1.08), ('top', 'bad'))
    answered(ledger, ('other',), 2)
    crashed(ledger, (1.1,), ('top', 'bad'), first=9)
    assert not ledger.quarantined()


def test_crashes_in_close_succession_are_not_one():
    ledger = CrashLedger(OPTIONS)
    ledger.record_crash('e0/1', [('top', 'bad')], 1)
    answered(ledger, ('top', 'good'), 1.01)
    times = [1 + 0.09 * number for number in range(1, 12)]
    crashed(ledger, times, ('bad',), first=1)
    assert ledger.quarantined() == ('bad',)


def test_crashes_of_one_engine_run_count_once():
    ledger = CrashLedger(OPTIONS)
    answered(ledger, ('other',), 0.5)
    for at in (1, 2, 3, 4):
        ledger.record_crash('e1/1', [('bad',)], at)
        answered(ledger, ('other',), at)
    assert not ledger.quarantined()


def test_no_part_is_blamed_while_nothing_is_answered():
    ledger = CrashLedger(OPTIONS)
    crashed(ledger, (1, 2, 3, 4, 5), ('top', 'bad'))
    assert not ledger.quarantined()


def test_part_that_is_answered_between_crashes_is_not_blamed():
    ledger = CrashLedger(OPTIONS)
    for number in range(9):
        crashed(ledger, (number,), ('top', 'rare'), first=number)
        if number % 2:
            answered(ledger, ('top', 'rare'), number + 0.5)
    assert not ledger.quarantined()


def test_parts_that_crash_together_are_told_apart():
    # "rare" was under way in three crashes and "bad" in four.
    ledger = CrashLedger(OPTIONS)
    ledger.record_crash('e0/1', [('top', 'bad')], 1)
    answered(ledger, ('other',), 1.5)
    other = CrashLedger(OPTIONS)
    crashed(other, (2, 3, 4), ('top', 'bad'), ('top', 'rare'), first=1)
    ledger.merge(other.reports(4.5), 4.5)
    assert ledger.quarantined() == ('bad',)


def test_all_prompts_of_a_crash_are_known_before_a_part_is_blamed():
    ledger = CrashLedger(OPTIONS)
    ledger.record_crash('e0/1', [('bad',)], 1)
    answered(ledger, ('other',), 1.5)
    crashed(ledger, (2, 3), ('bad',), first=1)
    assert ledger.quarantined() == ('bad',)
    ledger = CrashLedger(OPTIONS)
    crashed(ledger, (1,), ('rare',), ('top', 'bad'))
    answered(ledger, ('other',), 1.5)
    # The prompt with "rare" comes first in the last crash.
    crashed(ledger, (2, 3), ('rare',), ('top', 'bad'), first=1)
    assert ledger.quarantined() == ('bad',)


def try_once(ledger, now):
    """Ask for a trial and claim it, as the store grants it; tell if sent."""
    if not ledger.refusal(('bad',), now)[0]:
        ledger.begin_trial(('bad',))
        return True
    if 'bad' not in ledger.trials.wanted:
        return False
    ledger.trials.wanted.discard('bad')
    ledger.trials.claim('bad', ledger.trials.made('bad') + 1, now)
    return False


def test_trial_releases_a_part_that_is_answered_again():
    ledger = quarantine_of_bad()
    assert not try_once(ledger, 3 + PAUSE - 0.1)
    assert ledger.refusal(('bad',), 3 + PAUSE - 0.1)[0] == 'bad'
    assert not try_once(ledger, 3 + PAUSE)
    assert try_once(ledger, 3.5 + PAUSE)
    # Only one request is sent for each claimed trial.
    assert ledger.refusal(('bad',), 3.6 + PAUSE)[0] == 'bad'
    ledger.record_answer(('bad',), 4 + PAUSE)
    assert not ledger.quarantined()


def test_second_trial_waits_for_longer():
    ledger = quarantine_of_bad()
    try_once(ledger, 3 + PAUSE)
    assert try_once(ledger, 3 + PAUSE)
    last = 3 + PAUSE
    crashed(ledger, (last,), ('bad',), first=9)
    second = OPTIONS.trial_pauses[1]
    assert not try_once(ledger, last + second - 1)
    assert 'bad' not in ledger.trials.wanted
    assert not try_once(ledger, last + second)
    assert try_once(ledger, last + second)


def test_trial_that_was_not_claimed_is_not_made():
    ledger = quarantine_of_bad()
    assert ledger.refusal(('bad',), 3 + 3 * PAUSE)[0] == 'bad'
    assert ledger.refusal(('bad',), 3 + 3 * PAUSE)[0] == 'bad'


def test_part_is_tried_no_more_than_the_users_allow_however_long_it_comes():
    ledger = quarantine_of_bad()
    sent = 0
    for second in range(4, 24 * 3600):
        if second % 3600 == 0:
            record = ledger.records()['bad']
            ledger = CrashLedger(OPTIONS)
            ledger.restore('bad', record, record.last_crash, second)
        if try_once(ledger, second):
            crashed(ledger, (second,), ('bad',), first=second)
            sent += 1
    assert sent == len(OPTIONS.trial_pauses) <= 3
    assert ledger.refusal(('bad',), 24 * 3600)[0] == 'bad'


def test_quarantine_without_requests_is_kept():
    ledger = quarantine_of_bad()
    ledger.reports(3 + 100 * PAUSE)
    assert ledger.quarantined() == ('bad',)


def test_crashes_without_quarantine_are_forgotten():
    ledger = CrashLedger(OPTIONS)
    crashed(ledger, (1, 2), ('bad',))
    answered(ledger, ('other',), 2)
    ledger.reports(2 + OPTIONS.memory)
    crashed(ledger, (3 + OPTIONS.memory,), ('bad',), first=5)
    assert not ledger.quarantined()


def test_lost_request_is_not_repeated_after_the_second_crash():
    ledger = CrashLedger(OPTIONS)
    crashed(ledger, (1,), ('bad',))
    assert ledger.refusal(('bad',), 1.5, is_repeat=True) == ('', 0)
    crashed(ledger, (2,), ('bad',), first=1)
    assert ledger.refusal(('bad',), 2.5, is_repeat=True)[0] == 'bad'
    assert ledger.refusal(('bad',), 2.5) == ('', 0)


def test_crashes_by_a_quarantined_part_let_others_be_repeated():
    ledger = CrashLedger(OPTIONS)
    crashed(ledger, (1,), ('bad',))
    answered(ledger, ('other',), 1.5)
    crashed(ledger, (2, 3), ('bad',), ('rare',), first=1)
    assert ledger.quarantined() == ('bad',)
    assert ledger.refusal(('rare',), 3.5, is_repeat=True) == ('', 0)


def test_instance_without_traffic_adopts_a_quarantine():
    ledger = quarantine_of_bad()
    other = CrashLedger(OPTIONS)
    other.merge(ledger.reports(3.2), 53.2)
    assert other.quarantined() == ('bad',)
    assert not try_once(other, 53 + PAUSE)
    assert try_once(other, 53 + PAUSE)


def test_answer_at_another_instance_ends_the_quarantine():
    ledger = quarantine_of_bad()
    other = CrashLedger(OPTIONS)
    other.merge(ledger.reports(3.2), 3.2)
    other.record_answer(('bad',), 5)
    ledger.merge(other.reports(5.1), 5.1)
    assert not ledger.quarantined()


def test_reports_travel_back_and_forth_without_change():
    # The age of a crash must not shrink with each exchange.
    ledger, other = quarantine_of_bad(), CrashLedger(OPTIONS)
    now = 3.0
    for _ in range(40):
        now += 0.25
        other.merge(ledger.reports(now), now + 0.05)
        ledger.merge(other.reports(now), now + 0.05)
    assert not try_once(ledger, 3 + PAUSE)
    assert try_once(ledger, 3 + PAUSE)
    assert not try_once(other, 3.06 + PAUSE)
    assert try_once(other, 3.06 + PAUSE)


def test_sound_parts_are_not_reported_for_long():
    ledger = CrashLedger(OPTIONS)
    crashed(ledger, (1,), ('top', 'bad'))
    assert len(ledger.reports(1)) == 2
    assert not ledger.reports(1 + OPTIONS.share_time)


def test_parts_are_bounded():
    ledger = CrashLedger(OPTIONS)
    for number in range(2 * OPTIONS.max_parts):
        ledger.record_crash(f'e{number}/1', [(f'p{number}',)], number / 100)
    reports = ledger.reports(10)
    assert len(reports) == OPTIONS.max_shared_parts
    assert len(ledger._suspects) == OPTIONS.max_parts


@pytest.mark.parametrize('ages', [(3.0, -1.0), (-1.0, 3.0), (3.0, 7.0)])
def test_reports_of_a_zone_are_combined(ages):
    first, second = (
        SuspectPart('bad', 1, (EngineCrash(f'e{n}/1', 2.0),), age)
        for n, age in enumerate(ages)
    )
    (found,) = combine_reports([(first, 0.5), (second, 0.5)], 9)
    assert {each.engine for each in found.crashes} == {'e0/1', 'e1/1'}
    assert {each.age for each in found.crashes} == {2.5}
    assert found.answered_age == 3.5


def test_part_is_not_blamed_for_crashes_by_a_whole_request():
    requests = RequestLedger(RequestQuarantineOptions())
    ledger = CrashLedger(OPTIONS)
    ledger.explained_elsewhere = requests.explained
    for number in range(6):
        requests.record_crash(f'e{number}/1', ['bad request'], number)
        crashed(ledger, (number,), ('top', 'shared'), first=number)
        answered(ledger, ('other',), number + 0.5)
    assert requests.quarantined() == ('bad request',)
    assert not ledger.quarantined()


def test_part_is_released_once_a_whole_request_explains_its_crashes():
    requests = RequestLedger(RequestQuarantineOptions())
    ledger = quarantine_of_bad()
    ledger.explained_elsewhere = requests.explained
    reports = ledger.reports(4)
    for number, at in enumerate((1, 2, 3)):
        requests.record_crash(f'e{number}/1', ['bad request'], at)
    ledger.merge((), 4)
    assert not ledger.quarantined()
    # Others that do not know yet must not put it back.
    ledger.merge(reports, 4.1)
    assert not ledger.quarantined()


def test_part_is_blamed_for_crashes_under_different_requests():
    requests = RequestLedger(RequestQuarantineOptions())
    ledger = CrashLedger(OPTIONS)
    ledger.explained_elsewhere = requests.explained
    answered(ledger, ('other',), 0.5)
    for number in range(3):
        requests.record_crash(f'e{number}/1', [f'request {number}'], number)
        crashed(ledger, (number,), ('top', 'bad'), first=number)
        answered(ledger, ('other',), number + 0.5)
    assert ledger.quarantined() == ('bad',)
