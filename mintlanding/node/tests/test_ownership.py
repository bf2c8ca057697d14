"""Claims with lost and late answers, restarts, and consent meanwhile."""

import msgspec
import pytest

from mintlanding.coordination.transactional_store import Committed, Rejected
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.node import ownership as holds_module
from mintlanding.node.ownership import Holds
from mintlanding.node.view import (
    FleetView,
    MemberRecord,
    OwnershipEntry,
)
from mintlanding.platform import records
from mintlanding.residency.authority import (
    AuthorityOptions,
    OwnershipRecord,
    WorkerClaim,
)

TERMS = AuthorityOptions()


class FakeStore:
    """Commits, rejects or answers nothing, as told."""

    def __init__(self):
        self.revision = 10
        self.outcome = 'commit'
        self.writes = []

    async def commit(self, transaction):
        self.writes.append(transaction)
        if self.outcome == 'lose':
            raise PlatformUnavailable('no answer')
        if self.outcome == 'reject':
            return Rejected()
        self.revision += 1
        return Committed(self.revision)


class World:
    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(holds_module, 'boot_seconds', lambda: self.now)
        self.view = FleetView(records)
        self.store = FakeStore()
        self.restart()

    def restart(self):
        self.holds = Holds('me', self.store, self.view, TERMS)

    def may_order(self):
        self.holds.authority.renewed(self.now)
        return self.holds.may_order('w', self.now)

    def show(self, holder, revision, is_settled=False):
        self.view.holds['w'] = OwnershipRecord(holder, revision, is_settled)


@pytest.fixture
def world(monkeypatch):
    return World(monkeypatch)


FIRST = WorkerClaim('w', 0, '', 0)
TAKEN = WorkerClaim('w', 5, 'other', TERMS.takeover_delay)


async def test_first_holder_orders_at_once(world):
    await world.holds.claim(FIRST)
    assert world.may_order()
    entry = msgspec.json.decode(
        world.store.writes[0].writes[0].content,
        type=OwnershipEntry,
    )
    assert entry == OwnershipEntry('me', is_settled=True)


async def test_taken_worker_is_ordered_at_after_the_wait(world):
    await world.holds.claim(TAKEN)
    assert not world.may_order()
    world.now += TERMS.takeover_delay
    assert world.may_order()


async def test_rejected_claim_holds_nothing(world):
    world.store.outcome = 'reject'
    await world.holds.claim(TAKEN)
    assert not world.may_order()


async def test_claim_that_is_carried_out_late_waits_from_then(world):
    world.store.outcome = 'lose'
    await world.holds.claim(TAKEN)
    world.now += 6
    world.show('me', 12)
    assert not world.may_order()
    world.now += TERMS.takeover_delay - 0.1
    assert not world.may_order()
    world.now += 0.2
    assert world.may_order()


async def test_holder_under_a_claim_gets_no_consent_while_it_may_succeed(world):
    assert world.holds.may_consent('other')
    world.store.outcome = 'lose'
    await world.holds.claim(TAKEN)
    world.now += 6
    assert not world.holds.may_consent('other')
    world.now += 5
    assert world.holds.may_consent('other')


async def test_member_that_lost_a_worker_gets_no_consent_before_it_is_back(
    world,
):
    # It may have been frozen, and know of nothing.
    world.view.holds['w'] = OwnershipRecord('me', 12, True, 'other')
    assert not world.holds.may_consent('other')
    record = MemberRecord('other', 'z', '10.0.0.2', 1, 'b')
    world.view.members['other'] = record
    assert world.holds.may_consent('other')


async def test_restarted_process_goes_on_with_a_settled_hold(world):
    world.show('me', 12, is_settled=True)
    assert world.may_order()


async def test_restarted_process_waits_out_an_unsettled_claim(world):
    world.show('me', 12)
    assert not world.may_order()
    world.now += TERMS.takeover_delay
    assert world.may_order()


async def test_hold_is_settled_once_its_wait_is_over(world):
    await world.holds.claim(TAKEN)
    await world.holds.settle('w', world.now)
    assert len(world.store.writes) == 1
    world.now += TERMS.takeover_delay
    await world.holds.settle('w', world.now)
    assert len(world.store.writes) == 2
    assert world.may_order()


async def test_fencing_number_rises_with_each_hold(world):
    await world.holds.claim(FIRST)
    first = world.holds.fencing('w')
    await world.holds.claim(TAKEN)
    assert world.holds.fencing('w') > first
