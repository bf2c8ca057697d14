"""A stopping instance takes no request that it cannot finish."""

from mintlanding.node.planned_stop import PlannedStop
from mintlanding.traffic.models import Route, RouteKind

STREAM = Route('r', 'h', '/', RouteKind.stream, 15, 0.8, (('s', 1.0),))


def test_nothing_is_refused_before_the_stop():
    assert not PlannedStop().refuses(STREAM, 0)


def test_request_of_an_unknown_length_is_refused_below_its_timeout():
    stop = PlannedStop(ends_at=20)
    assert not stop.refuses(STREAM, 4)
    assert stop.refuses(STREAM, 6)


def test_request_is_refused_if_the_longest_run_would_not_end():
    stop = PlannedStop(ends_at=20)
    for _ in range(10):
        stop.record_run(STREAM, 1.0)
    stop.record_run(STREAM, 5.0)
    stop.record_run(STREAM, 1.0)
    assert not stop.refuses(STREAM, 13.9)
    assert stop.refuses(STREAM, 14.2)
