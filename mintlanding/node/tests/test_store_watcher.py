"""The view of members that read the store for others, or are told."""

import random

import msgspec

from mintlanding.coordination.transactional_store import Change, Changes, Item
from mintlanding.node.settings import FleetOptions
from mintlanding.node.store_watcher import Follower
from mintlanding.node.view import HOLDS_PREFIX, FleetView, OwnershipEntry
from mintlanding.platform import records


def taken(worker, revision):
    content = msgspec.json.encode(OwnershipEntry('me'))
    key = HOLDS_PREFIX + worker
    return Change(key, revision, Item(key, content, revision))


class FakeStore:
    """Has a list of changes; calls `meanwhile` before it answers."""

    def __init__(self, *changes):
        self.all = changes
        self.meanwhile = lambda: None

    async def changes(self, prefix, after, wait):
        self.meanwhile()
        found = tuple(each for each in self.all if each.revision > after)
        return Changes(found, self.all[-1].revision)


def follower(store):
    view = FleetView(records, as_of=5)
    options = FleetOptions(watch_pause=0)
    return Follower(store, view, options, random.Random(1))


async def test_change_is_handed_on_though_another_reader_told_of_it():
    # At a start there are two readers in a zone; the other one has no link to
    # the third member yet.
    store = FakeStore(taken('w1', 6), taken('w2', 7))
    reader, other, third = follower(store), follower(store), follower(store)
    told = []
    other.hand_on = told.append
    await other._read_changes()
    store.meanwhile = lambda: reader.take_news(told[0])
    reader.hand_on = third.take_news
    await reader._read_changes()
    assert third._view.as_of == 7
    assert set(third._view.holds) == {'w1', 'w2'}


async def test_news_with_a_gap_before_them_are_not_taken():
    store = FakeStore(taken('w1', 6), taken('w2', 7))
    reader, third = follower(store), follower(store)
    reader._view.as_of = 6
    reader.hand_on = third.take_news
    await reader._read_changes()
    assert third._view.as_of == 5
    assert not third._view.holds
