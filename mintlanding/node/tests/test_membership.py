"""The lease of an instance, and what a new one allows."""

import random

import msgspec
import pytest

from mintlanding.coordination.transactional_store import (
    Committed,
    Item,
    Snapshot,
)
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.links.messages import Consent, Status
from mintlanding.node.clock import boot_seconds
from mintlanding.node.membership import Membership
from mintlanding.node.settings import InstanceFacts, NodeSettings
from mintlanding.node.view import FleetView, OwnershipEntry
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
    """Grants and renews leases until it is told that they have ended."""

    def __init__(self):
        self.revision = 10
        self.is_kept = True
        self.is_readable = True
        self.holds = {}

    async def grant_lease(self, seconds):
        return 7

    async def renew_lease(self, lease):
        return self.is_kept

    async def commit(self, transaction):
        self.revision += 1
        return Committed(self.revision)

    async def snapshot(self, prefix):
        if not self.is_readable:
            raise PlatformUnavailable('no answer')
        items = tuple(
            Item(
                prefix + worker,
                msgspec.json.encode(OwnershipEntry(holder, True)),
                rev,
            )
            for worker, (holder, rev) in self.holds.items()
        )
        return Snapshot(items, self.revision)


def may_order(membership):
    return membership.holds.authority.until() > boot_seconds()


def joining(store, as_of, **holds):
    """Return an instance whose view is of `as_of` and shows some holds."""
    view = FleetView(records, as_of=as_of)
    for worker, (holder, revision) in holds.items():
        view.holds[worker] = OwnershipRecord(holder, revision, is_settled=True)
    cfg = NodeSettings(FACTS)
    membership = Membership(cfg, store, view, random.Random(1))
    membership.holds.authority.set_members(('other',), ())
    return membership


async def test_new_lease_counts_once_the_view_is_as_new_as_the_entry():
    # A frozen holder wakes, registers anew and still sees its old holds.
    store = FakeStore()
    store.is_readable = False
    membership = joining(store, 5)
    with pytest.raises(PlatformUnavailable):
        await membership._keep_lease()
    assert not may_order(membership)
    await membership._keep_lease()
    assert not may_order(membership)
    membership._view.as_of = store.revision
    await membership._keep_lease()
    assert may_order(membership)


async def test_woken_holder_learns_what_was_taken_with_its_new_lease():
    store = FakeStore()
    store.holds = {'w1': ('other', 9), 'w2': ('me', 4)}
    membership = joining(store, 5, w1=('me', 3), w2=('me', 4))
    await membership._keep_lease()
    now = boot_seconds()
    assert membership.holds.held() == {'w2'}
    assert not membership.holds.may_order('w1', now)
    assert membership.holds.may_order('w2', now)


async def test_authority_of_a_new_process_is_told_with_its_first_lease():
    # After a kill of all processes each tenth of a second counts.
    membership = joining(FakeStore(), 0)
    told = []
    membership.on_authority = lambda: told.append(may_order(membership))
    await membership._keep_lease()
    assert told == [True]


async def test_key_that_is_known_is_not_waited_for():
    membership = joining(FakeStore(), 0)
    membership._view.fleet_key = b'key'
    membership._rnd = None
    await membership.share_key()


async def test_lease_that_ended_allows_nothing_until_the_view_is_new():
    store = FakeStore()
    store.is_readable = False
    membership = joining(store, 50)
    await membership._keep_lease()
    assert may_order(membership)
    store.is_kept = False
    store.revision = 90
    with pytest.raises(PlatformUnavailable):
        await membership._keep_lease()
    assert not may_order(membership)


async def test_member_that_speaks_without_an_entry_has_a_say_in_orders():
    # It came while this instance was cut off from the store, and may take
    # workers once it hears nothing more.
    membership = joining(FakeStore(), 50)
    now = boot_seconds()
    membership.holds.authority.renewed(now - 3)
    membership.update_members()
    assert may_order(membership)
    status = Status('newcomer', 'boot', now)
    membership.receive('newcomer', status, lambda answer: True)
    membership.update_members()
    assert not may_order(membership)
    membership.receive('newcomer', Consent(now), lambda answer: True)
    assert may_order(membership)
