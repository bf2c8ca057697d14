"""Claims with lost or late responses, restarts, and consent meanwhile."""

from types import SimpleNamespace

import msgspec
import pytest

from mintlanding.coordination.store_era import StoreEra, era_floor
from mintlanding.coordination.transactional_store import (
    Change,
    Committed,
    Item,
    Rejected,
    Snapshot,
)
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.node import ownership as holds_module
from mintlanding.node.ownership import WorkerOwnership
from mintlanding.node.view import (
    OWNERSHIP_PREFIX,
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

OPTIONS = AuthorityOptions()


class FakeStore:
    """Commits, rejects or does not respond, depending on `outcome`."""

    def __init__(self):
        self.era = StoreEra()
        self.revision = 10
        self.outcome = 'commit'
        self.writes = []

    async def commit(self, transaction):
        self.writes.append(transaction)
        if self.outcome == 'lose':
            raise PlatformUnavailable('no response')
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
        self.ownership = WorkerOwnership('me', self.store, self.view, OPTIONS)

    def may_order(self):
        self.ownership.authority.record_renewal(self.now)
        return self.ownership.may_order('w', self.now)

    def set_record(self, holder, revision, is_settled=False, previous='other'):
        self.view.ownership['w'] = OwnershipRecord(
            holder, revision, is_settled, previous
        )


@pytest.fixture
def world(monkeypatch):
    return World(monkeypatch)


FIRST_CLAIM = WorkerClaim('w', 0, '', 0)
TAKEOVER = WorkerClaim('w', 5, 'other', OPTIONS.takeover_delay)


async def test_first_holder_may_order_at_once(world):
    await world.ownership.claim(FIRST_CLAIM)
    assert world.may_order()
    entry = msgspec.json.decode(
        world.store.writes[0].writes[0].content,
        type=OwnershipEntry,
    )
    assert entry == OwnershipEntry('me', is_settled=True)


async def test_new_holder_may_order_after_the_takeover_delay(world):
    await world.ownership.claim(TAKEOVER)
    assert not world.may_order()
    world.now += OPTIONS.takeover_delay
    assert world.may_order()


async def test_rejected_claim_gives_no_ownership(world):
    world.store.outcome = 'reject'
    await world.ownership.claim(TAKEOVER)
    assert not world.may_order()


async def test_delay_of_a_claim_committed_late_starts_at_the_commit(world):
    world.store.outcome = 'lose'
    await world.ownership.claim(TAKEOVER)
    world.now += 6
    world.set_record('me', 12)
    assert not world.may_order()
    world.now += OPTIONS.takeover_delay - 0.1
    assert not world.may_order()
    world.now += 0.2
    assert world.may_order()


async def test_holder_gets_no_consent_while_a_claim_on_its_worker_may_succeed(
    world,
):
    assert world.ownership.may_consent('other')
    world.store.outcome = 'lose'
    await world.ownership.claim(TAKEOVER)
    world.now += 6
    assert not world.ownership.may_consent('other')
    world.now += 5
    assert world.ownership.may_consent('other')


async def test_member_that_lost_a_worker_gets_no_consent_until_registered(
    world,
):
    # It may have been frozen and not know that it lost the worker.
    world.view.ownership['w'] = OwnershipRecord('me', 12, True, 'other')
    assert not world.ownership.may_consent('other')
    record = MemberRecord('other', 'z', '10.0.0.2', 1, 'b')
    world.view.members['other'] = record
    assert world.ownership.may_consent('other')


async def test_restarted_process_may_order_with_a_settled_record(world):
    world.set_record('me', 12, is_settled=True)
    assert world.may_order()


async def test_restarted_process_waits_with_an_unsettled_record(world):
    world.set_record('me', 12)
    assert not world.may_order()
    world.now += OPTIONS.takeover_delay
    assert world.may_order()


async def test_restarted_process_waits_longer_for_a_worker_that_was_released(
    world,
):
    # The one that released it may have sent an order just before; nothing of
    # its lease had run out.
    world.set_record('me', 12, previous='')
    assert not world.may_order()
    world.now += OPTIONS.handover_delay - 0.1
    assert not world.may_order()
    world.now += 0.2
    assert world.may_order()


async def test_record_is_settled_after_the_takeover_delay(world):
    await world.ownership.claim(TAKEOVER)
    await world.ownership.settle('w', world.now)
    assert len(world.store.writes) == 1
    world.now += OPTIONS.takeover_delay
    await world.ownership.settle('w', world.now)
    assert len(world.store.writes) == 2
    assert world.may_order()


async def test_fencing_token_rises_with_each_claim(world):
    await world.ownership.claim(FIRST_CLAIM)
    first = world.ownership.fencing_token('w')
    await world.ownership.claim(TAKEOVER)
    assert world.ownership.fencing_token('w') > first


def cut(world, seconds=2.0):
    """Let only other members reach the worker for some seconds."""
    for step in range(int(seconds * 10) + 1):
        world.ownership.cuts.observe(('w',), world.now + step / 10)
    world.now += seconds


def add_engine(world, monkeypatch, is_leaving=False):
    engine = SimpleNamespace(target='w', is_leaving=is_leaving)
    monkeypatch.setattr(FleetView, 'engines', lambda view: {'w': engine})


async def test_cut_worker_is_released_and_gets_no_more_orders(
    world, monkeypatch
):
    add_engine(world, monkeypatch)
    await world.ownership.claim(FIRST_CLAIM)
    assert not world.ownership.releasable(world.now)
    cut(world, seconds=1.0)
    assert not world.ownership.releasable(world.now)
    assert world.may_order()
    cut(world)
    assert not world.may_order()
    assert world.ownership.orders_from('w', world.now) == float('inf')
    assert world.ownership.releasable(world.now) == ['w']
    await world.ownership.release('w', entry_revision=3)
    transaction = world.store.writes[-1]
    assert transaction.expected['mintlanding/member/me'] == 3
    assert transaction.expected['mintlanding/hold/w'] == 11
    released = OwnershipRecord('', 12, previous='me', wait=0)
    assert world.view.ownership['w'] == released
    assert not world.ownership.held_workers()
    assert not world.ownership.releasable(world.now)
    assert 'w' in world.ownership.avoided()


async def released_wait(world):
    """Release the worker; return the wait that the next holder is told."""
    await world.ownership.release('w', entry_revision=3)
    entry = msgspec.json.decode(world.store.writes[-1].writes[0].content)
    assert world.view.ownership['w'].wait == entry['order_wait']
    return entry['order_wait']


@pytest.mark.parametrize('seconds', [0.0, 1.5, 4.0])
async def test_next_holder_waits_only_for_orders_that_were_sent_lately(
    world, seconds
):
    await world.ownership.claim(FIRST_CLAIM)
    world.ownership.record_order('w', is_answered=True)
    world.now += seconds
    left = max(0, OPTIONS.handover_delay - seconds)
    assert await released_wait(world) == pytest.approx(left)


async def test_next_holder_need_not_wait_where_no_order_was_sent(world):
    await world.ownership.claim(FIRST_CLAIM)
    assert await released_wait(world) == 0


async def test_next_holder_waits_in_full_after_an_order_without_an_answer(
    world,
):
    # It may be carried out seconds later.
    await world.ownership.claim(FIRST_CLAIM)
    world.ownership.record_order('w', is_answered=False)
    world.ownership.record_order('w', is_answered=True)
    world.now += 5
    assert await released_wait(world) == OPTIONS.handover_delay


async def test_next_holder_waits_for_the_holder_before_this_one(world):
    await world.ownership.claim(TAKEOVER)
    world.now += 1
    left = OPTIONS.takeover_delay - 1
    assert await released_wait(world) == pytest.approx(left)


async def test_next_holder_waits_in_full_for_orders_of_an_earlier_process(
    world,
):
    world.set_record('me', 5, is_settled=True)
    assert world.may_order()
    world.now += 4
    assert await released_wait(world) == OPTIONS.handover_delay


@pytest.mark.parametrize('state', ['leaving', 'lapsed', 'gone', 'ordering'])
async def test_worker_that_may_be_at_fault_itself_is_not_released(
    world, monkeypatch, state
):
    await world.ownership.claim(FIRST_CLAIM)
    if state != 'gone':
        add_engine(world, monkeypatch, is_leaving=state == 'leaving')
    if state == 'lapsed':
        world.view.lapsed.add('w')
    if state == 'ordering':
        world.ownership.has_order_under_way = lambda worker: True
    cut(world)
    assert not world.ownership.releasable(world.now)


@pytest.mark.parametrize('outcome', ['lose', 'reject'])
async def test_no_order_follows_a_release_that_may_have_been_committed(
    world, monkeypatch, outcome
):
    add_engine(world, monkeypatch)
    await world.ownership.claim(FIRST_CLAIM)
    cut(world)
    world.store.outcome = outcome
    is_current = await world.ownership.release('w', entry_revision=3)
    assert is_current == (outcome == 'lose')
    # The paths are back, but a member may have claimed the worker.
    world.now += 6
    world.ownership.cuts.observe((), world.now)
    assert not world.may_order()
    assert world.ownership.releasable(world.now) == ['w']
    world.store.outcome = 'commit'
    await world.ownership.release('w', entry_revision=3)
    assert not world.ownership.held_workers()


async def test_release_that_was_not_confirmed_is_not_repeated_at_once(
    world, monkeypatch
):
    add_engine(world, monkeypatch)
    await world.ownership.claim(FIRST_CLAIM)
    cut(world)
    world.store.outcome = 'lose'
    await world.ownership.release('w', entry_revision=3)
    assert not world.ownership.releasable(world.now + 0.5)
    assert world.ownership.releasable(world.now + 1.5)


async def test_claim_seen_before_the_response_to_a_release_stays(
    world, monkeypatch
):
    await world.ownership.claim(FIRST_CLAIM)
    commit = world.store.commit

    async def commit_and_see_a_claim(transaction):
        reply = await commit(transaction)
        world.set_record('other', reply.revision + 1)
        return reply

    monkeypatch.setattr(world.store, 'commit', commit_and_see_a_claim)
    await world.ownership.release('w', entry_revision=3)
    assert world.view.ownership['w'].holder == 'other'
    assert not world.may_order()


@pytest.mark.parametrize('is_removed', [False, True])
async def test_worker_that_another_one_has_claimed_meanwhile_is_not_released(
    world, monkeypatch, is_removed
):
    # Other releases, with their own calls, come between choice and release.
    add_engine(world, monkeypatch)
    await world.ownership.claim(FIRST_CLAIM)
    cut(world, seconds=3.0)
    (worker,) = world.ownership.releasable(world.now)
    writes = len(world.store.writes)
    if is_removed:
        world.view.ownership.pop('w')
    else:
        world.set_record('other', 15, is_settled=True, previous='me')
    assert await world.ownership.release(worker, entry_revision=14)
    assert len(world.store.writes) == writes


async def test_worker_with_an_order_since_it_was_chosen_is_not_released(
    world, monkeypatch
):
    add_engine(world, monkeypatch)
    await world.ownership.claim(FIRST_CLAIM)
    cut(world, seconds=3.0)
    (worker,) = world.ownership.releasable(world.now)
    world.ownership.has_order_under_way = lambda name: name == 'w'
    assert await world.ownership.release(worker, entry_revision=3)
    assert not world.ownership.is_releasing('w')
    assert len(world.store.writes) == 1


@pytest.mark.parametrize('is_removed', [False, True])
async def test_record_that_another_one_has_written_is_not_written_again(
    world, is_removed
):
    for worker in ('v', 'w'):
        world.view.ownership[worker] = OwnershipRecord('me', 3, claimed_token=9)
        world.view.unwritten.add(worker)
    commit = world.store.commit

    async def commit_late(transaction):
        world.view.unwritten.discard('w')
        world.view.ownership.pop('w')
        if not is_removed:
            world.set_record('other', 5, is_settled=True)
        return await commit(transaction)

    world.store.commit = commit_late
    await world.ownership.rewrite()
    (transaction,) = world.store.writes
    assert transaction.writes[0].key == OWNERSHIP_PREFIX + 'v'


async def test_settling_a_worker_whose_record_was_removed_does_nothing(world):
    await world.ownership.claim(TAKEOVER)
    world.ownership._view.ownership.pop('w')
    before = len(world.ownership._store.writes)
    await world.ownership.settle('w', world.now + 100)
    assert len(world.ownership._store.writes) == before


@pytest.mark.parametrize('written_again', ['settled', 'lost and rewritten'])
async def test_holder_keeps_its_token_when_it_writes_its_record_again(
    world, written_again
):
    # Orders that were given up may still arrive after those that follow.
    world.view.era = 1
    await world.ownership.claim(TAKEOVER)
    world.now += OPTIONS.takeover_delay
    assert world.may_order()
    token = world.ownership.fencing_token('w')
    if written_again == 'settled':
        await world.ownership.settle('w', world.now)
    else:
        world.view.load(Snapshot((), 2, 2), world.now)
        world.store.revision = 2
        await world.ownership.rewrite()
    assert world.ownership.fencing_token('w') == token
    world.restart()
    assert world.ownership.fencing_token('w') == token


async def test_next_turn_has_a_higher_token_than_one_that_was_settled(world):
    await world.ownership.claim(TAKEOVER)
    world.now += OPTIONS.takeover_delay
    await world.ownership.settle('w', world.now)
    token = world.ownership.fencing_token('w')
    assert await world.ownership.release('w', 1)
    released = world.view.ownership['w']
    assert released.token > token
    claim = WorkerClaim('w', released.revision, '', released.wait)
    await world.ownership.claim(claim)
    assert world.ownership.fencing_token('w') > released.token


async def test_late_response_to_a_claim_leaves_a_later_record_in_force(world):
    # Guards against: two holders, after a stall in which another one claimed.
    commit = world.store.commit

    async def commit_and_stall(transaction):
        reply = await commit(transaction)
        later = msgspec.json.encode(OwnershipEntry('other', True, 'me'))
        item = Item('mintlanding/hold/w', later, reply.revision + 3)
        world.view.apply(Change(item.key, item.revision, item), world.now)
        return reply

    world.store.commit = commit_and_stall
    await world.ownership.claim(TAKEOVER)
    assert world.view.ownership['w'].holder == 'other'
    assert not world.ownership.held_workers()
    world.now += 10
    assert not world.may_order()


async def test_late_response_to_a_claim_brings_no_removed_record_back(world):
    commit = world.store.commit

    async def commit_and_remove(transaction):
        reply = await commit(transaction)
        change = Change('mintlanding/hold/w', reply.revision + 1)
        item = Item(change.key, transaction.writes[0].content, reply.revision)
        world.view.apply(Change(item.key, item.revision, item), world.now)
        world.view.apply(change, world.now)
        return reply

    world.store.commit = commit_and_remove
    await world.ownership.claim(TAKEOVER)
    assert not world.ownership.held_workers()


@pytest.mark.parametrize('era', [2, 3, 8192])
async def test_token_of_a_later_era_is_above_all_of_earlier_ones(world, era):
    # Nobody remembers the time before.
    world.view.era = era
    await world.ownership.claim(FIRST_CLAIM)
    highest_revision = 2**40 - 1
    before = era_floor(era - 1) + highest_revision
    assert before < world.ownership.fencing_token('w') < 2**53


@pytest.mark.parametrize('era', [0, 1, 8193, 2**62])
async def test_tokens_are_revisions_in_eras_without_a_range(world, era):
    world.view.era = era
    await world.ownership.claim(FIRST_CLAIM)
    assert world.ownership.fencing_token('w') == world.store.revision


async def test_holder_that_restarts_in_a_later_era_waits_as_a_new_one(world):
    world.view.era = 2
    world.set_record('me', 12, is_settled=True)
    assert not world.may_order()
    assert world.ownership.orders_from('w', world.now) == float('inf')
    (claim,) = world.ownership.new_turns()
    assert claim == WorkerClaim('w', 12, '', OPTIONS.takeover_delay)
    world.store.revision = 12
    await world.ownership.claim(claim)
    assert not world.ownership.new_turns()
    assert world.ownership.fencing_token('w') > era_floor(2)
    assert not world.may_order()
    world.now += OPTIONS.takeover_delay
    assert world.may_order()


@pytest.mark.parametrize('has_authority', [True, False])
async def test_holder_keeps_a_turn_on_which_nobody_can_have_followed(
    world, has_authority
):
    world.view.era = 1
    await world.ownership.claim(FIRST_CLAIM)
    assert world.may_order()
    if not has_authority:
        world.now += OPTIONS.zone_hold
    world.ownership.begin_era(world.now)
    world.view.era = 2
    assert bool(world.ownership.new_turns()) is not has_authority


async def test_turn_ends_in_an_era_whose_records_its_holder_did_not_read(world):
    # Its members consented, as one that claimed a lost record's worker does.
    world.view.era = 1
    await world.ownership.claim(FIRST_CLAIM)
    assert world.may_order()
    authority = world.ownership.authority
    authority.set_members(('other',), ())
    world.ownership.begin_era(world.now)
    world.now += OPTIONS.zone_hold + OPTIONS.handover_delay + 1
    authority.record_ack('other', world.now)
    world.now += 0.1
    world.ownership.begin_era(world.now)
    world.view.era = 3
    assert world.ownership.new_turns()


async def test_member_that_lost_a_worker_gets_no_consent_after_a_new_turn(
    world,
):
    # It has no store, and does not know that its worker was taken over.
    world.view.era = 2
    world.set_record('me', 12, is_settled=True, previous='other')
    assert not world.ownership.may_consent('other')
    world.store.revision = 12
    (claim,) = world.ownership.new_turns()
    await world.ownership.claim(claim)
    world.now += 20
    assert not world.ownership.may_consent('other')


def listing(era, revision, entry):
    content = msgspec.json.encode(entry)
    item = Item(f'{OWNERSHIP_PREFIX}w', content, revision)
    return Snapshot((item,), revision, era)


@pytest.mark.parametrize('eras', [[2], [2, 3]])
async def test_claim_is_above_tokens_that_the_store_has_forgotten(world, eras):
    # Guards against: only the token of the listed record counts.
    entry = OwnershipEntry('other', is_settled=True, fence=90)
    world.view.load(listing(1, 5, entry), world.now)
    for era in eras:
        later = OwnershipEntry('third', is_settled=True)
        world.view.load(listing(era, 9, later), world.now)
    assert world.view.ownership['w'].holder == 'third'
    claim = WorkerClaim('w', 9, 'third', OPTIONS.takeover_delay)
    await world.ownership.claim(claim)
    assert world.ownership.fencing_token('w') > 90


async def test_earlier_record_of_the_same_holder_is_written_again(world):
    # Guards against: a holder takes its token from the record of a former turn.
    entry = OwnershipEntry('me', is_settled=True)
    world.view.load(listing(1, 9, entry), world.now)
    world.view.load(listing(2, 5, entry), world.now)
    assert not world.may_order()
    await world.ownership.rewrite()
    assert world.ownership.fencing_token('w') == 9
