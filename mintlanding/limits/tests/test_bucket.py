import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.limits.bucket import Bucket

RATE, BURST = 10, 100
STEPS = st.lists(
    st.tuples(
        st.sampled_from((0, 0.5, 2, 9, 30)),
        st.sampled_from(('take', 'settle')),
        st.integers(1, 100),
    ),
    max_size=40,
)


def replay(charges, now):
    """Return the level of a bucket that was charged only the used tokens."""
    level, last = BURST, 0
    for at, net in charges:
        level = min(BURST, level + (at - last) * RATE) - net
        last = at
    return min(BURST, level + (now - last) * RATE)


@given(steps=STEPS)
def test_refunds_leave_the_level_of_a_bucket_charged_used_tokens_only(steps):
    bucket = Bucket(0)
    bucket.resize(RATE, BURST, -100)
    bucket.now, bucket.level = 0, BURST
    charges, open_requests, now = [], [], 0
    for wait, kind, amount in steps:
        now += wait
        if kind == 'take':
            name = len(charges)
            if bucket.take(name, amount, now):
                charges.append([now, amount])
                open_requests.append(name)
        elif open_requests:
            name = open_requests.pop(amount % len(open_requests))
            used = charges[name][1] * (amount % 3) / 2
            charges[name][1] = min(used, charges[name][1])
            bucket.settle(name, charges[name][1], now)
        bucket.advance(now)
        assert bucket.level == pytest.approx(replay(charges, now))


@given(steps=STEPS)
def test_tokens_available_and_in_flight_never_exceed_the_burst(steps):
    bucket = Bucket(0)
    bucket.resize(RATE, BURST, 0)
    now = 0
    for place, (wait, kind, amount) in enumerate(steps):
        now += wait / 20
        if kind == 'take':
            bucket.take(place, amount, now, until=now + 0.25)
        else:
            bucket.settle(amount, 0, now)
        bucket.advance(now)
        assert bucket.level + bucket.in_flight <= BURST + 1e-9
