"""How long a worker must be cut before its holder gives it up."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.residency.cuts import CutHistory, CutOptions

OPTIONS = CutOptions()
STEP = 0.25


def observe(cuts, since, until, worker='w', is_cut_off=False, members=1):
    """Observe four times a second; return the time of the last observation."""
    for step in range(int((until - since) / STEP) + 1):
        now = since + step * STEP
        workers = (worker,) if worker else ()
        cuts.observe(workers, now, is_cut_off=is_cut_off, members=members)
    return now


def test_worker_is_due_after_about_a_second():
    cuts = CutHistory()
    observe(cuts, 0, 1)
    assert not cuts.is_due('w')
    observe(cuts, 1.25, 1.5)
    assert cuts.is_due('w')
    assert cuts.is_cut('w')


def test_worker_is_not_due_once_it_is_reached_again():
    cuts = CutHistory()
    observe(cuts, 0, 3)
    observe(cuts, 3.25, 4, worker='')
    assert not cuts.is_due('w')
    assert cuts.recent() == {'w'}
    observe(cuts, 4.25, 8.5, worker='')
    assert not cuts.recent()


def test_cut_goes_on_over_a_short_gap():
    # The end of one cut casts doubt on the others, until requests try them.
    cuts = CutHistory()
    observe(cuts, 0, 1)
    observe(cuts, 1.25, 1.25, worker='')
    observe(cuts, 1.5, 1.5)
    assert cuts.is_due('w')


@pytest.mark.parametrize('start', [0, 0.1])
def test_paths_that_flap_each_second_have_no_consequence(start):
    cuts = CutHistory()
    for second in range(0, 60, 2):
        observe(cuts, start + second, start + second + 0.75, is_cut_off=True)
        assert not cuts.is_due('w')
        assert not cuts.is_cut_off
        observe(cuts, start + second + 1, start + second + 1.75, worker='')
        assert not cuts.is_due('w')


def test_instance_is_cut_off_until_it_reaches_targets_for_some_seconds():
    cuts = CutHistory()
    changes = []
    now = 0
    # Two seconds cut, then one that is not, many times.
    for step in range(400):
        now = step * STEP
        is_cut_off = step % 12 < 8 if step < 200 else False
        before = cuts.is_cut_off
        cuts.observe((), now, is_cut_off=is_cut_off)
        if cuts.is_cut_off != before:
            changes.append((now, cuts.is_cut_off))
    assert [each for _, each in changes] == [True, False]


def test_observer_that_stalled_starts_anew():
    cuts = CutHistory()
    cuts.observe(('w',), 0)
    cuts.observe(('w',), 3)
    assert not cuts.is_due('w')
    observe(cuts, 3.25, 4.5)
    assert cuts.is_due('w')


def test_releases_of_a_large_fleet_are_spread():
    # All members lose their paths at once.
    rnd = random.Random(1)
    at = []
    for _ in range(400):
        cuts = CutHistory(share=rnd.random())
        now = 0
        while not cuts.is_due('w'):
            cuts.observe(('w',), now, members=400)
            now += STEP
        at.append(now)
    assert (
        max(sum(start <= each < start + 1 for each in at) for start in at) < 150
    )
    assert max(at) < 6


def test_releases_of_a_small_fleet_come_at_once():
    cuts = CutHistory(share=1)
    observe(cuts, 0, 1.5, members=8)
    assert cuts.is_due('w')


@given(
    steps=st.lists(
        st.tuples(st.floats(0.05, 2), st.booleans()), min_size=1, max_size=40
    )
)
def test_due_worker_was_cut_for_the_time_before(steps):
    """A worker is due only if it was not reached for more than a gap."""
    cuts = CutHistory()
    now = 0.0
    observed = []
    for pause, is_cut in steps:
        now += pause
        observed.append((now, is_cut))
        cuts.observe(('w',) if is_cut else (), now)
        if not cuts.is_due('w'):
            continue
        seen = [at for at, was_cut in observed if was_cut]
        assert now - seen[-1] <= OPTIONS.gap
        recent = [each for each in seen if each >= now - OPTIONS.hold]
        before = max(each for each in seen if each <= seen[-1] - OPTIONS.hold)
        chain = [before, *recent]
        assert all(
            later - earlier <= OPTIONS.gap + 1e-9
            for earlier, later in zip(chain, chain[1:], strict=False)
            if earlier >= before
        )
