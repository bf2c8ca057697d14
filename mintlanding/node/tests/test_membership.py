"""The lease of an instance, and what a new one allows."""

import random

from mintlanding.coordination.transactions import Committed
from mintlanding.node.clock import boot_seconds
from mintlanding.node.membership import Membership
from mintlanding.node.settings import InstanceFacts, NodeSettings
from mintlanding.node.view import FleetView
from mintlanding.platform import records

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

    async def grant_lease(self, seconds):
        return 7

    async def keep_lease(self, lease):
        return self.is_kept

    async def commit(self, transaction):
        self.revision += 1
        return Committed(self.revision)


def may_order(membership):
    return membership.holds.authority.until() > boot_seconds()


async def test_new_lease_counts_once_the_view_is_as_new_as_the_entry():
    # A frozen holder wakes, registers anew and still sees its old holds.
    store = FakeStore()
    view = FleetView(records, as_of=5)
    membership = Membership(
        NodeSettings(FACTS),
        store,
        view,
        random.Random(1),
    )
    membership.holds.authority.set_members(('other',), ())
    await membership._keep_lease()
    assert not may_order(membership)
    await membership._keep_lease()
    assert not may_order(membership)
    view.as_of = store.revision
    await membership._keep_lease()
    assert may_order(membership)


async def test_lease_that_ended_allows_nothing_until_the_view_is_new():
    store = FakeStore()
    view = FleetView(records, as_of=50)
    membership = Membership(
        NodeSettings(FACTS),
        store,
        view,
        random.Random(1),
    )
    membership.holds.authority.set_members(('other',), ())
    await membership._keep_lease()
    assert may_order(membership)
    store.is_kept = False
    store.revision = 90
    await membership._keep_lease()
    assert not may_order(membership)
