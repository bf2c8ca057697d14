"""Test the limits of targets on a simulated clock."""

import random

import pytest

from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionRequest,
    GrantOutcome,
)
from mintlanding.residency.models import StewardOptions
from mintlanding.target_limits.desk import LimitDesk
from mintlanding.target_limits.messages import NO_LIMIT, LimitReport
from mintlanding.target_limits.pacer import Pacer
from mintlanding.target_limits.table import LimitTable, combine_limits

TARGET = ('p1', 7)
WINDOW = 4.0
STEP = 0.01


def request(number, priority=0, objective=1.0, max_wait=1.0):
    return AdmissionRequest(
        request_id=f'r{number}',
        worker='p1',
        model='',
        adapter='',
        workspace='',
        prompt_tokens=0,
        output_tokens=0,
        priority=priority,
        objective=objective,
        max_wait=max_wait,
        deadline=5.0,
        reroute_wait=max_wait,
    )


def desk(limit, now=0.0):
    pacer = None if limit is None else Pacer(limit, now)
    return LimitDesk('p1', pacer, StewardOptions(), random.Random(1))


def granted(replies):
    return [each.request_id for each in replies if each.is_granted]


def refused(replies):
    return [
        each.request_id
        for each in replies
        if not each.is_granted and not each.is_waiting
    ]


def drive(desks, seconds, rate, begin=0.0):
    """Send requests to the desks in turn; return when each was granted."""
    passed, number, now = [], 0, begin
    due = begin
    while now < begin + seconds:
        for each in desks:
            passed.extend([now] * len(granted(each.tick(now))))
        while due <= now:
            replies = desks[number % len(desks)].reserve(request(number), now)
            passed.extend([now] * len(granted(replies)))
            number += 1
            due += 1 / rate
        now += STEP
    return passed


def largest_window(times):
    return max(
        sum(first <= each < first + WINDOW for each in times) for first in times
    )


@pytest.mark.parametrize('limit', [0.5, 3.6, 6.4, 40.0])
def test_limit_is_kept_and_used(limit):
    times = drive([desk(limit)], seconds=30, rate=limit * 5)
    assert largest_window(times) <= limit * WINDOW * 1.5 + 5
    assert len(times) >= limit * 30 * 0.95 - 1


@pytest.mark.parametrize('members', [2, 8, 58])
def test_members_that_all_lose_their_holder_keep_the_limit(members):
    rnd = random.Random(members)
    desks = []
    for _ in range(members):
        pacer = Pacer(10.0 / members, 0, level=rnd.random())
        desks.append(LimitDesk('p1', pacer, StewardOptions(), rnd))
    times = drive(desks, seconds=20, rate=60)
    assert largest_window(times) <= 10.0 * WINDOW * 1.5 + 5
    assert len(times) >= 10.0 * 20 * 0.6


def test_new_holder_starts_with_nothing_saved_up():
    old, new = desk(4.0), desk(4.0, now=10.0)
    times = drive([old], seconds=10, rate=20)
    times += drive([new], seconds=10, rate=20, begin=10.0)
    assert largest_window(times) <= 4.0 * WINDOW * 1.5


def test_most_urgent_request_goes_first():
    found = desk(1.0)
    for number, priority in enumerate((3, 1, 2, 0)):
        found.reserve(request(number, priority, max_wait=9), 0)
    order = []
    for step in range(1, 600):
        order += granted(found.tick(step * STEP))
    assert order == ['r3', 'r1', 'r2', 'r0']


def test_request_whose_turn_comes_too_late_is_refused_at_once():
    found = desk(1.0)
    for number in range(3):
        found.reserve(request(number, max_wait=3.5), 0)
    (reply,) = found.reserve(request(9, max_wait=1.5), 0.1)
    assert refused([reply]) == ['r9']
    assert 3 <= reply.retry_after <= 5.5


def test_request_that_loses_its_turn_to_a_more_urgent_one_is_refused_at_once():
    found = desk(1.0)
    found.reserve(request(0, priority=5, max_wait=1.5), 0)
    replies = found.reserve(request(1, priority=0, max_wait=1.5), 0.1)
    assert refused(replies) == ['r0']


def test_turn_that_was_not_used_is_given_to_the_next():
    found = desk(1.0)
    assert granted(found.reserve(request(0), 2.0)) == ['r0']
    found.reserve(request(1, max_wait=1.5), 2.0)
    found.end(AdmissionEnd('r0', 'p1', GrantOutcome.unused), 2.1)
    assert granted(found.tick(2.1)) == ['r1']


def test_end_of_a_limit_lets_all_pass():
    found = desk(1.0)
    for number in range(5):
        found.reserve(request(number, max_wait=9), 0)
    found.pacer = None
    assert len(granted(found.tick(0.1))) == 5


def test_target_that_accepts_nothing_is_still_asked_for_its_limit():
    times = drive([desk(0.0)], seconds=40, rate=5)
    assert 5 <= len(times) <= 11


def test_limit_counts_until_a_response_names_none():
    table = LimitTable()
    assert table.record(TARGET, 4.0, sent_at=0, now=1)
    assert table.limit(TARGET) == 4.0
    assert not table.record(TARGET, None, sent_at=0.5, now=2)
    assert table.limit(TARGET) == 4.0
    assert table.record(TARGET, None, sent_at=1.5, now=2)
    assert table.limit(TARGET) is None


def test_limit_ends_with_the_incarnation():
    table = LimitTable()
    table.record(TARGET, 4.0, sent_at=0, now=1)
    assert table.limit(('p1', 8)) is None
    table.retain({('p1', 8)}, 2)
    assert table.limit(TARGET) is None


def test_latest_of_several_reports_counts():
    table = LimitTable()
    table.merge([LimitReport(*TARGET, 4.0, age=1)], now=10)
    table.merge([LimitReport(*TARGET, 6.0, age=3)], now=10)
    assert table.limit(TARGET) == 4.0
    table.merge([LimitReport(*TARGET, NO_LIMIT, age=0.5)], now=10)
    assert table.limit(TARGET) is None


def test_reports_of_others_are_not_passed_on():
    table = LimitTable()
    table.merge([LimitReport(*TARGET, 4.0, age=1)], now=10)
    assert table.reports(11) == ()
    table.record(TARGET, 5.0, sent_at=10, now=11)
    assert table.reports(12) == (LimitReport(*TARGET, 5.0, age=1),)


def test_hub_combines_the_latest_reports():
    reports = [
        (LimitReport(*TARGET, 4.0, age=1), 2.0),
        (LimitReport(*TARGET, 6.0, age=2), 0.5),
    ]
    assert combine_limits(reports) == (LimitReport(*TARGET, 6.0, age=2.5),)
