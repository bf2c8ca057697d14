"""The weight store limits the starts of fetches by rate and burst."""

from hypothesis import given
from hypothesis import strategies as st

from mintlanding.standin.weight_store import FetchBucket


@given(
    st.lists(st.floats(0, 0.5), min_size=1, max_size=60),
    st.integers(1, 4),
)
def test_no_window_starts_more_than_rate_and_burst(gaps, burst):
    rate, now, starts = 8.0, 0.0, []
    bucket = FetchBucket(rate, burst)
    for gap in gaps:
        now += gap
        starts.append(now + bucket.reserve(now))
    for first, begin in enumerate(starts):
        for last in range(first, len(starts)):
            started = last - first + 1
            assert started <= burst + rate * (starts[last] - begin) + 1e-6


def test_idle_store_starts_a_burst_at_once():
    bucket = FetchBucket(8, 3)
    waits = [bucket.reserve(100.0) for _ in range(5)]
    assert waits[:3] == [0, 0, 0]
    assert 0 < waits[3] < waits[4]
