"""A stopping instance takes no request that it cannot finish."""

import pytest

from mintlanding.node.planned_stop import PlannedStop, StreamRun
from mintlanding.traffic.models import Demand

SMALL = Demand(100, 50)
LARGE = Demand(100, 250)


def recorded(*runs, count=10, now=0.0):
    """Return the stop of a service with some runs, the first several times."""
    stop = PlannedStop()
    first, *others = runs
    for run in (*[first] * count, *others):
        stop.record_run('s', run, now)
    return stop


def run_of(demand, pace, first_event=0.1):
    return StreamRun(
        demand, first_event, first_event + demand.output_tokens * pace
    )


def test_nothing_is_refused_before_the_stop():
    assert not PlannedStop().refuses('s', LARGE, 1e9, 0)


def test_request_is_taken_if_its_deadline_comes_before_the_end():
    stop = PlannedStop(ends_at=20)
    assert not stop.refuses('s', LARGE, 20, 19)
    assert stop.refuses('s', LARGE, 20.1, 5)


@pytest.mark.parametrize('usual', [10, 1000])
def test_long_request_is_refused_however_many_short_ones_came_before(usual):
    # Guards against: usual runs are taken for the longest possible one.
    stop = recorded(run_of(SMALL, 0.01), count=usual)
    stop.ends_at = 20
    # At half the pace seen it needs 5.2 s.
    assert not stop.refuses('s', LARGE, 99, 14.7)
    assert stop.refuses('s', LARGE, 99, 14.9)


def test_short_request_is_taken_later_than_a_long_one():
    stop = recorded(run_of(LARGE, 0.01))
    stop.ends_at = 20
    assert not stop.refuses('s', SMALL, 99, 18.7)
    assert stop.refuses('s', LARGE, 99, 18.7)


def test_slowest_pace_counts_however_many_faster_runs_follow():
    # Guards against: with each further run the slowest one counts less.
    stop = recorded(run_of(SMALL, 0.04), run_of(SMALL, 0.01))
    for _ in range(1000):
        stop.record_run('s', run_of(SMALL, 0.01), 10)
    stop.ends_at = 20
    assert stop.refuses('s', SMALL, 99, 16)
    assert not stop.refuses('s', SMALL, 99, 15.7)


def test_pace_is_forgotten_after_two_periods():
    stop = recorded(run_of(SMALL, 0.01))
    stop.ends_at = 2000
    assert not stop.refuses('s', SMALL, 9999, 599)
    assert stop.refuses('s', SMALL, 9999, 1001)


def test_longer_prompt_than_any_seen_is_expected_to_begin_later():
    stop = recorded(run_of(Demand(100, 10), 0.0, first_event=0.5))
    stop.ends_at = 20
    assert not stop.refuses('s', Demand(100, 10), 99, 18.9)
    assert stop.refuses('s', Demand(400, 10), 99, 16.1)
    assert not stop.refuses('s', Demand(400, 10), 99, 15.9)


@pytest.mark.parametrize('demand', [Demand(), Demand(100, 0)])
def test_size_that_is_not_named_leaves_only_the_deadline(demand):
    stop = recorded(run_of(SMALL, 0.01))
    stop.ends_at = 20
    assert stop.refuses('s', demand, 20.1, 1)


@pytest.mark.parametrize(('service', 'count'), [('s', 9), ('t', 10)])
def test_few_runs_or_those_of_another_service_tell_nothing(service, count):
    stop = recorded(run_of(SMALL, 0.01), count=count)
    stop.ends_at = 20
    assert stop.refuses(service, SMALL, 20.1, 1)
