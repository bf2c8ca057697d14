"""A stopping instance takes no request that it may not finish."""

import pytest

from mintlanding.node.planned_stop import PlannedStop


def test_nothing_is_refused_before_the_stop():
    assert not PlannedStop().refuses(1e9)


@pytest.mark.parametrize(
    ('deadline', 'is_refused'), [(12, False), (20, False), (20.1, True)]
)
def test_request_is_refused_if_its_deadline_comes_after_the_end(
    deadline, is_refused
):
    # Guards against: anything but its deadline bounds a request.
    assert PlannedStop(ends_at=20).refuses(deadline) is is_refused
