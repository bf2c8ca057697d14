"""Views of a zone's readers and of the members they forward changes to."""

import random

import msgspec

from mintlanding.coordination.transactional_store import (
    Change,
    Changes,
    Item,
    Snapshot,
)
from mintlanding.node.settings import FleetOptions
from mintlanding.node.store_watcher import StoreWatcher
from mintlanding.node.view import OWNERSHIP_PREFIX, FleetView, OwnershipEntry
from mintlanding.platform import records


def ownership_change(worker, revision):
    content = msgspec.json.encode(OwnershipEntry('me'))
    key = OWNERSHIP_PREFIX + worker
    return Change(key, revision, Item(key, content, revision))


class FakeStore:
    """Returns given changes; calls `meanwhile` before each response."""

    def __init__(self, *changes):
        self.all = changes
        self.meanwhile = lambda: None

    async def changes(self, prefix, after, wait):
        self.meanwhile()
        found = tuple(each for each in self.all if each.revision > after)
        return Changes(found, self.all[-1].revision)


def watcher(store):
    view = FleetView(records, as_of=5)
    options = FleetOptions(watch_pause=0)
    return StoreWatcher(store, view, options, random.Random(1))


async def test_change_is_forwarded_although_another_reader_forwarded_it():
    # At the start a zone may have two readers, and the other one may not have
    # a link to the third member yet.
    store = FakeStore(ownership_change('w1', 6), ownership_change('w2', 7))
    reader, other, third = watcher(store), watcher(store), watcher(store)
    forwarded = []
    other.forward = forwarded.append
    await other._read_changes()
    store.meanwhile = lambda: reader.apply_update(forwarded[0])
    reader.forward = third.apply_update
    await reader._read_changes()
    assert third._view.as_of == 7
    assert set(third._view.ownership) == {'w1', 'w2'}


async def test_update_after_a_gap_is_not_applied():
    store = FakeStore(ownership_change('w1', 6), ownership_change('w2', 7))
    reader, third = watcher(store), watcher(store)
    reader._view.as_of = 6
    reader.forward = third.apply_update
    await reader._read_changes()
    assert third._view.as_of == 5
    assert not third._view.ownership
