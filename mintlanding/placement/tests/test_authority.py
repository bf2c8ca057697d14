"""The states of a lease."""

import logging

from mintlanding.placement.authority import Authority
from mintlanding.placement.models import LeaseState, StewardOptions, WorkerSpec


def test_renewals_of_a_held_lease_log_nothing(caplog):
    authority = Authority(WorkerSpec('w', 'z', 2, 2), StewardOptions())
    authority.take_over(1, now=0, until=5)
    authority.confirm(0)
    authority.report(10)
    authority.complete_pins()
    with caplog.at_level(logging.WARNING):
        for moment in (10, 11, 12):
            authority.renew(moment + 5, moment)
    assert authority.state is LeaseState.held
    assert not caplog.records
