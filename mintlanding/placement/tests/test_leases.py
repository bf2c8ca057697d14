"""Replies about leases and claims that arrive late."""

import pytest

from mintlanding.placement.leases import (
    ClaimWorker,
    DropRecord,
    StewardLeases,
    StewardshipWon,
)

TERM = 6


@pytest.fixture
def leases():
    found = StewardLeases('i0', TERM)
    open_lease(found, 'first', 0)
    found.worker_claimed('w', 'first', 11)
    return found


def open_lease(leases, lease, now):
    leases.tick(['w'], now)
    leases.lease_opened(lease, now)
    return leases.tick(['w'], now)


def claims(actions):
    return [each for each in actions if isinstance(each, ClaimWorker)]


def test_late_refusal_of_an_earlier_claim_ends_no_steward(leases):
    # Guards against: a reply is applied to the claim of another lease.
    assert claims(open_lease(leases, 'second', TERM))
    assert claims(open_lease(leases, 'third', 2 * TERM))
    assert leases.worker_claimed('w', 'second', 0) == []
    assert not claims(leases.tick(['w'], 2 * TERM + 1))
    won = leases.worker_claimed('w', 'third', 15)
    assert won == [StewardshipWon('w', 15)]


def test_late_reply_to_an_earlier_claim_gives_no_token(leases):
    open_lease(leases, 'second', TERM)
    open_lease(leases, 'third', 2 * TERM)
    assert leases.worker_claimed('w', 'second', 13) == []
    assert not leases.held


def test_released_worker_is_claimed_after_its_record_is_gone(leases):
    # Guards against: a token that is used by two stewards in turn.
    leases.release('w')
    dropping = DropRecord('w', 'first')
    assert leases.tick(['w'], 1) == [dropping]
    assert leases.tick(['w'], 1) == []
    leases.record_dropped('w', 'first', False)
    assert leases.tick(['w'], 1) == [dropping]
    leases.record_dropped('w', 'first', True)
    assert claims(leases.tick(['w'], 1))
