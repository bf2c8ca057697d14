"""The lease of an instance and the authority that it gives."""

import random
import zlib

import msgspec
import pytest

from mintlanding.coordination.store_era import StoreEra
from mintlanding.coordination.transactional_store import (
    Change,
    Committed,
    Item,
    Snapshot,
)
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.links.messages import (
    LINK_VERSION,
    CompressedUpdate,
    Consent,
    Status,
    StoreChange,
    StoreUpdate,
)
from mintlanding.node.clock import boot_seconds
from mintlanding.node.membership import Membership
from mintlanding.node.settings import (
    FleetOptions,
    InstanceFacts,
    NodeSettings,
)
from mintlanding.node.store_watcher import StoreWatcher
from mintlanding.node.view import (
    MEMBERS_PREFIX,
    FleetView,
    MemberRecord,
    OwnershipEntry,
)
from mintlanding.platform import records
from mintlanding.residency.authority import OwnershipRecord

FACTS = InstanceFacts(
    instance='me',
    zone='z1',
    host='10.0.0.1',
    front=('10.0.0.1', 1),
    ready=('10.0.0.1', 2),
    peer_port=3,
    metrics_port=4,
)


class FakeStore:
    """Grants leases, and renews them while `is_kept` is true."""

    def __init__(self):
        self.era = StoreEra()
        self.revision = 10
        self.is_kept = True
        self.is_readable = True
        self.ownership = {}
        self.writes = []

    async def grant_lease(self, seconds):
        return 7

    async def renew_lease(self, lease):
        return self.is_kept

    async def commit(self, transaction):
        self.writes.append(transaction)
        self.revision += 1
        return Committed(self.revision)

    async def snapshot(self, prefix):
        if not self.is_readable:
            raise PlatformUnavailable('no response')
        items = tuple(
            Item(
                prefix + worker,
                msgspec.json.encode(OwnershipEntry(holder, True)),
                rev,
            )
            for worker, (holder, rev) in self.ownership.items()
        )
        return Snapshot(items, self.revision)


def may_order(membership):
    return membership.ownership.authority.until() > boot_seconds()


def make_membership(store, as_of, **ownership):
    """Return a membership whose view has a revision and ownership records."""
    view = FleetView(records, as_of=as_of)
    for worker, (holder, revision) in ownership.items():
        view.ownership[worker] = OwnershipRecord(
            holder, revision, is_settled=True
        )
    cfg = NodeSettings(FACTS)
    membership = Membership(cfg, store, view, random.Random(1))
    membership.ownership.authority.set_members(('other',), ())
    return membership


async def test_new_lease_gives_authority_once_the_view_is_as_new_as_the_entry():
    # A frozen holder wakes, registers again and still sees its old records.
    store = FakeStore()
    store.is_readable = False
    membership = make_membership(store, 5)
    with pytest.raises(PlatformUnavailable):
        await membership._keep_lease()
    assert not may_order(membership)
    await membership._keep_lease()
    assert not may_order(membership)
    membership._view.as_of = store.revision
    await membership._keep_lease()
    assert may_order(membership)


async def test_holder_reads_lost_workers_with_its_new_lease():
    store = FakeStore()
    store.ownership = {'w1': ('other', 9), 'w2': ('me', 4)}
    membership = make_membership(store, 5, w1=('me', 3), w2=('me', 4))
    await membership._keep_lease()
    now = boot_seconds()
    assert membership.ownership.held_workers() == {'w2'}
    assert not membership.ownership.may_order('w1', now)
    assert membership.ownership.may_order('w2', now)


async def test_new_process_reports_authority_with_its_first_lease():
    # After a kill of all processes, orders must resume within tenths of a
    # second.
    membership = make_membership(FakeStore(), 0)
    reported = []
    membership.on_authority = lambda: reported.append(may_order(membership))
    await membership._keep_lease()
    assert reported == [True]


async def test_known_fleet_key_is_used_without_delay():
    membership = make_membership(FakeStore(), 0)
    membership._view.fleet_key = b'key'
    membership._rnd = None
    await membership.ensure_fleet_key()


async def test_ended_lease_gives_no_authority_until_the_view_is_current():
    store = FakeStore()
    store.is_readable = False
    membership = make_membership(store, 50)
    await membership._keep_lease()
    assert may_order(membership)
    store.is_kept = False
    store.revision = 90
    with pytest.raises(PlatformUnavailable):
        await membership._keep_lease()
    assert not may_order(membership)


async def test_sender_without_an_entry_must_consent_to_orders():
    # It started while this instance was cut off from the store, and may claim
    # workers once it receives no more statuses.
    membership = make_membership(FakeStore(), 50)
    now = boot_seconds()
    membership.ownership.authority.record_renewal(now - 3)
    membership.update_members()
    assert may_order(membership)
    status = Status('newcomer', 'boot', now)
    membership.receive('newcomer', status, lambda message: True)
    membership.update_members()
    assert not may_order(membership)
    membership.receive('newcomer', Consent(now), lambda message: True)
    assert may_order(membership)


@pytest.mark.parametrize(
    ('held', 'interval'), [(frozenset(), 0.9), (frozenset(('w1',)), 0.6)]
)
def test_lease_is_renewed_less_often_without_workers(
    monkeypatch, held, interval
):
    cfg = NodeSettings(FACTS)
    view = FleetView(records)
    membership = Membership(cfg, FakeStore(), view, random.Random(1))
    monkeypatch.setattr(membership.ownership, 'held_workers', lambda: held)
    assert membership._renew_interval() == interval
    # Two renewals fit into a lease, so that one may be lost.
    assert 2 * 1.1 * interval < cfg.authority.lease


class RecordingMesh:
    """Keeps the messages to each member."""

    def __init__(self):
        self.sent = []

    def send(self, member, message):
        self.sent.append((member, message))

    def set_members(self, addresses):
        """Open no links."""


def member_change(name, revision, *, is_removed=False, **fields):
    key = MEMBERS_PREFIX + name
    if is_removed:
        return Change(key, revision)
    record = MemberRecord(name, FACTS.zone, FACTS.host, 1, 'boot', **fields)
    return Change(
        key, revision, Item(key, msgspec.json.encode(record), revision)
    )


async def test_member_that_lost_the_store_still_gets_its_changes():
    # Its entry has lapsed, but its links to the others are sound.
    membership = make_membership(FakeStore(), 50)
    membership.mesh = RecordingMesh()
    view, now = membership._view, boot_seconds()
    view.listeners.append(lambda topic: membership.update_members())
    view.apply(member_change('near', 51), now)
    membership.receive(
        'near', Status('near', 'boot', now), lambda message: True
    )
    view.apply(member_change('near', 52, is_removed=True), now)
    update = StoreUpdate(52, 53)
    membership.forward(update)
    assert membership.mesh.sent == [('near', update)]


def large_update(size=300_000):
    """A configuration with many routes."""
    route = b'{"path": "/orders", "service": "orders", "deadline_ms": 500},'
    content = route * (size // len(route))
    return StoreUpdate(50, 51, (StoreChange('op/config', 51, content),))


async def test_large_update_does_not_fill_a_small_link():
    """Links broke and leases lapsed while a configuration was passed on."""
    membership = make_membership(FakeStore(), 50)
    membership.mesh = RecordingMesh()
    view, now = membership._view, boot_seconds()
    view.listeners.append(lambda topic: membership.update_members())
    view.apply(member_change('old', 51, link_version=3), now)
    view.apply(member_change('new', 52, link_version=LINK_VERSION), now)
    update = large_update()
    membership.forward(update)
    sent = dict(membership.mesh.sent)
    assert sent['old'] == update
    assert len(msgspec.msgpack.encode(sent['new'])) < 30_000
    received = []
    membership.on_store_update = lambda each, is_complete: received.append(each)
    membership.receive('new', sent['new'], lambda message: True)
    assert received == [update]


@pytest.mark.parametrize(
    'content',
    [
        b'not zlib',
        zlib.compress(b'\xc1'),
        zlib.compress(bytes(1 << 22)),
        zlib.compress(msgspec.msgpack.encode(Consent(5.0))),
        CompressedUpdate.of_update(large_update()).content[:-9],
    ],
)
async def test_invalid_compressed_update_is_ignored(content):
    """A member's data could raise or take unbounded memory."""
    membership = make_membership(FakeStore(), 50)
    received = []
    membership.on_store_update = lambda each, is_complete: received.append(each)
    message = CompressedUpdate(content)
    membership.receive('near', message, lambda reply: True)
    assert not received


@pytest.mark.parametrize(('version', 'as_of'), [(1, 51), (LINK_VERSION, 53)])
async def test_updates_of_an_older_build_do_not_make_the_view_newer(
    version, as_of
):
    # Its readers leave out changes that this instance may lack.
    membership = make_membership(FakeStore(), 50)
    view, now = membership._view, boot_seconds()
    watcher = StoreWatcher(None, view, FleetOptions(), random.Random(1))
    membership.on_store_update = watcher.apply_update
    view.listeners.append(lambda topic: membership.update_members())
    view.apply(member_change('reader', 51, link_version=version), now)
    view.as_of = 51
    item = member_change('new', 52).item
    change = StoreChange(item.key, 52, item.content)
    update = StoreUpdate(51, 53, (change,))
    membership.receive('reader', update, lambda message: True)
    assert 'new' in view.members
    assert view.as_of == as_of


async def test_entry_says_once_that_the_instance_is_cut_off():
    store = FakeStore()
    membership = make_membership(store, 50)
    await membership._keep_lease()
    before = store.revision
    membership.is_cut_off = lambda: True
    now = boot_seconds()
    for step in range(100):
        if step == 40:
            membership.is_cut_off = lambda: False
        membership._observe_cuts(now + step / 10)
        await membership._update_entry(now + step / 10)
        if step == 30:
            assert store.revision == before + 1
            assert membership._entry.is_cut_off
    assert store.revision == before + 2
    assert not membership._entry.is_cut_off


async def test_entry_that_could_not_be_written_is_not_repeated_at_once():
    store = FakeStore()
    membership = make_membership(store, 50)
    await membership._keep_lease()
    calls = []

    async def refuse(transaction):
        calls.append(transaction)
        raise PlatformUnavailable('no response')

    store.commit = refuse
    membership.ownership.cuts.is_cut_off = True
    now = boot_seconds()
    for step in range(30):
        await membership._update_entry(now + step / 10)
    assert 2 <= len(calls) <= 3


async def test_entry_whose_write_had_no_response_is_written_again():
    # Else it would say for good that the instance is cut off, and releases,
    # which depend on its revision, would fail.
    store = FakeStore()
    membership = make_membership(store, 50)
    await membership._keep_lease()
    commit = store.commit

    async def lose(transaction):
        await commit(transaction)
        raise PlatformUnavailable('no response')

    now = boot_seconds()
    membership.ownership.cuts.is_cut_off = True
    store.commit = lose
    await membership._update_entry(now)
    store.commit = commit
    membership.ownership.cuts.is_cut_off = False
    await membership._update_entry(now + 2)
    assert membership._stored_revision == store.revision
    assert not membership._entry.is_cut_off
    before = store.revision
    await membership._update_entry(now + 4)
    assert store.revision == before


@pytest.mark.parametrize('is_cut_off', [True, False])
async def test_entry_that_a_late_write_has_replaced_is_written_again(
    is_cut_off,
):
    # Two writes had no response; one is committed after a third was confirmed.
    store = FakeStore()
    membership = make_membership(store, 50)
    membership.ownership.cuts.is_cut_off = is_cut_off
    await membership._keep_lease()
    late = []
    commit = store.commit

    async def delay(transaction):
        late.append(transaction)
        raise PlatformUnavailable('no response')

    now = boot_seconds()
    store.commit = delay
    for step, told in enumerate((not is_cut_off, is_cut_off)):
        membership.ownership.cuts.is_cut_off = told
        await membership._update_entry(now + 2 * step)
    store.commit = commit
    await membership._update_entry(now + 4)
    assert membership._entry.is_cut_off == is_cut_off
    reply = await commit(late[0])
    (write,) = late[0].writes
    item = Item(write.key, write.content, reply.revision)
    membership._view.apply(Change(item.key, item.revision, item), now + 5)
    membership._view.as_of = reply.revision
    before = store.revision
    for step in range(4):
        await membership._update_entry(now + 6 + step)
    assert store.revision == before + 1


async def test_entry_is_written_again_after_a_release_that_depends_on_it_failed():
    membership = make_membership(FakeStore(), 50, w1=('me', 3))
    await membership._keep_lease()

    async def release(worker, entry_revision):
        return entry_revision == 12

    membership.ownership.releasable = lambda now: ['w1']
    membership.ownership.release = release
    now = boot_seconds() + 1
    revisions = []
    for step in range(4):
        await membership.claim_workers(now + 2 * step)
        revisions.append(membership._stored_revision)
    assert revisions == [11, 12, 12, 12]


@pytest.mark.parametrize('seconds', [-5, 1e6])
async def test_consent_to_a_status_of_a_former_process_gives_no_authority(
    seconds,
):
    # Its machine may have been booted earlier: authority would never end.
    membership = make_membership(FakeStore(), 50)
    now = boot_seconds()
    membership.ownership.authority.set_members((), ('far',))
    consent = Consent(now + seconds)
    membership.receive('far', consent, lambda message: True)
    assert membership.ownership.authority.until() < now + seconds


@pytest.mark.parametrize('is_removed', [False, True])
async def test_entry_that_a_former_process_has_replaced_is_written_again(
    is_removed,
):
    # Its write was committed late, under its lease, which then ends.
    store = FakeStore()
    membership = make_membership(store, 50)
    await membership._keep_lease()
    entry = msgspec.json.decode(store.writes[-1].writes[0].content)
    former = msgspec.json.encode({**entry, 'boot': 'former'})
    key = 'mintlanding/member/me'
    late = Item(key, former, store.revision + 1)
    changes = [Change(key, late.revision, late)]
    if is_removed:
        changes.append(Change(key, late.revision + 1))
    for change in changes:
        membership._view.apply(change, boot_seconds())
        store.revision = membership._view.as_of = change.revision
    await membership._update_entry(boot_seconds() + 2)
    assert not may_order(membership)
    await membership._keep_lease()
    written = msgspec.json.decode(store.writes[-1].writes[0].content)
    assert written['boot'] == membership.incarnation
    assert membership._entry_revision == store.revision


@pytest.mark.parametrize('is_removed', [False, True])
async def test_leaving_instance_sends_no_orders_without_its_entry(is_removed):
    # Others may claim its workers, while its lease is renewed.
    store = FakeStore()
    membership = make_membership(store, 50)
    await membership._keep_lease()
    await membership.leave()
    assert may_order(membership)
    entry = msgspec.json.decode(store.writes[-1].writes[0].content)
    former = msgspec.json.encode({**entry, 'boot': 'former'})
    key = 'mintlanding/member/me'
    late = Item(key, former, store.revision + 50)
    changes = [Change(key, late.revision, late)]
    if is_removed:
        changes.append(Change(key, late.revision + 1))
    for change in changes:
        membership._view.apply(change, boot_seconds())
        store.revision = membership._view.as_of = change.revision
    await membership.claim_workers(boot_seconds() + 2)
    await membership._keep_lease()
    assert not may_order(membership)
    written = msgspec.json.decode(store.writes[-1].writes[0].content)
    assert written['boot'] == membership.incarnation
    assert written['is_leaving']
    own = Item(key, store.writes[-1].writes[0].content, store.revision)
    membership._view.apply(Change(key, own.revision, own), boot_seconds())
    membership._view.as_of = store.revision
    await membership._keep_lease()
    assert may_order(membership)
