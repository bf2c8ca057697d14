"""Views of a zone's readers and of the members they forward changes to."""

import asyncio
import random

import msgspec
import pytest

from mintlanding.coordination.transactional_store import (
    Change,
    Changes,
    Item,
    Snapshot,
)
from mintlanding.links.messages import StoreUpdate
from mintlanding.node.clock import boot_seconds
from mintlanding.node.settings import FleetOptions
from mintlanding.node.store_watcher import StoreWatcher
from mintlanding.node.view import OWNERSHIP_PREFIX, FleetView, OwnershipEntry
from mintlanding.platform import records
from mintlanding.platform.tests.samples import ENTRY, encode


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


async def test_member_that_missed_changes_reads_them_at_once():
    store = FakeStore(ownership_change('w1', 6), ownership_change('w2', 7))
    reader, third = watcher(store), watcher(store)
    third.is_reader = lambda: False
    third.apply_update(StoreUpdate(5, 5))
    waiting = asyncio.ensure_future(third._watch())
    await asyncio.sleep(0)
    reader._view.as_of = 6
    reader.forward = third.apply_update
    await reader._read_changes()
    async with asyncio.timeout(FleetOptions().reader_timeout / 2):
        await waiting
        await third._watch()
    assert third._view.as_of == 7
    assert set(third._view.ownership) == {'w1', 'w2'}
    assert third.updates_missed == 1


def target_item(name, revision):
    key = records.TARGETS_PREFIX + name
    return Item(key, encode(ENTRY), revision)


def view_after_an_outage(returned_at):
    """Return a view whose snapshot at that time lacks one target."""
    view = FleetView(records, lapse_grace=2)
    view.store_contact.record(returned_at - 20)
    items = (target_item('w1', 6), target_item('w2', 7))
    view.load(Snapshot(items, 7), returned_at - 20)
    view.store_contact.record(returned_at)
    view.load(Snapshot(items[:1], 9), returned_at)
    return view


def test_lapsed_target_is_kept_until_its_time_to_return_is_over():
    view = view_after_an_outage(100)
    view.remove_lapsed(101.9)
    assert set(view.targets) == {'w1', 'w2'}
    view.remove_lapsed(102)
    assert set(view.targets) == {'w1'}


def test_entry_that_lapses_later_gets_no_longer_grace():
    view = view_after_an_outage(100)
    view.apply(Change(records.TARGETS_PREFIX + 'w1', 10), 101.9)
    assert 'w1' in view.targets
    view.remove_lapsed(102)
    assert not view.targets


def test_member_that_kept_contact_ends_the_grace():
    view = view_after_an_outage(100)
    view.store_contact.record_member(300, 100.2)
    view.remove_lapsed(100.2)
    assert set(view.targets) == {'w1'}


async def test_removal_is_forwarded_while_the_target_is_kept():
    # The other member would keep the target for good.
    removal = Change(records.TARGETS_PREFIX + 'w1', 6)
    reader, other = watcher(FakeStore(removal)), watcher(FakeStore())
    for each in (reader, other):
        each._view.lapse_grace = 60
        each._view.apply(
            Change(records.TARGETS_PREFIX + 'w1', 5, target_item('w1', 5)),
            boot_seconds(),
        )
    reader.forward = other.apply_update
    await reader._read_changes()
    assert reader._view.lapsed == {'w1'}
    assert other._view.lapsed == {'w1'}


def ownership_item(holder, revision):
    content = msgspec.json.encode(OwnershipEntry(holder, is_settled=True))
    return Item(OWNERSHIP_PREFIX + 'w1', content, revision)


@pytest.mark.parametrize(
    ('known', 'listed', 'holder', 'is_unwritten'),
    [
        (('me', 9), None, 'me', True),
        (('me', 9), ('other', 5), 'me', True),
        (('me', 9), ('me', 9), 'me', False),
        # Its token has been in use since.
        (('me', 9), ('me', 5), 'me', True),
        # This instance has missed that another one took the worker.
        (('me', 5), ('other', 9), 'other', False),
    ],
)
def test_last_known_holder_stands_after_a_return(
    known, listed, holder, is_unwritten
):
    # Guards against: a copy's older holder is believed, or a later one is not.
    view = FleetView(records)
    view.load(Snapshot((ownership_item(*known),), 9, era=1), 0)
    items = () if listed is None else (ownership_item(*listed),)
    for era in (2, 3):
        view.load(Snapshot(items, 9, era=era), 0)
        assert view.ownership['w1'].holder == holder
        assert ('w1' in view.unwritten) == is_unwritten


def test_listing_of_the_same_era_replaces_the_holder():
    # Guards against: an instance that was wrong about its revision takes a
    # worker back.
    view = FleetView(records)
    view.load(Snapshot((ownership_item('me', 5),), 9, era=1), 0)
    view.load(Snapshot((ownership_item('other', 4),), 4, era=1), 0, known=9)
    assert view.ownership['w1'].holder == 'other'
    assert not view.unwritten
