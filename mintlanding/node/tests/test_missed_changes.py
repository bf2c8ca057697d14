"""Changes of the store reach each member, whatever its reader believes."""

from mintlanding.coordination.transactional_store import (
    Change,
    Item,
    Snapshot,
)
from mintlanding.links.messages import StoreUpdate
from mintlanding.node.clock import boot_seconds
from mintlanding.node.tests.test_store_watcher import FakeStore, watcher
from mintlanding.platform import records
from mintlanding.platform.tests.samples import ENTRY, encode

TARGET = 'w1'
KEY = records.TARGETS_PREFIX + TARGET
# Seconds for which targets without an entry are kept.
GRACE = 60


def written(revision, **changed):
    """Return the change that writes the entry of the target."""
    item = Item(KEY, encode({**ENTRY, **changed}), revision)
    return Change(KEY, revision, item)


def removed(revision):
    return Change(KEY, revision)


class Zone:
    """A reader and a member that gets its updates; both know the target."""

    def __init__(self, *changes):
        self.store = FakeStore(*changes)
        self.reader = watcher(self.store)
        self.member = watcher(FakeStore())
        self.reader.forward = self.member.apply_update
        for each in (self.reader, self.member):
            each._view.apply(written(5), boot_seconds())

    async def read(self):
        """Let the reader read and forward all changes of the store."""
        await self.reader._read_changes()
        assert self.member._view.as_of == self.store.all[-1].revision

    def states(self):
        return [
            each._view.entry_state(TARGET)
            for each in (self.reader, self.member)
        ]


async def test_member_hears_of_a_leaving_that_its_reader_heard_in_a_response():
    zone = Zone(written(6, state='draining'))
    view = zone.reader._view
    view.mark_leaving(view.targets[TARGET].key)
    await zone.read()
    assert zone.states() == ['leaving', 'leaving']


async def test_member_keeps_a_lapsed_target_whose_entry_is_written_again():
    zone = Zone(removed(6))
    for each in (zone.reader, zone.member):
        each._view.lapse_grace = GRACE
        each._view.store_contact.record(boot_seconds())
    await zone.read()
    assert zone.states() == ['lapsed', 'lapsed']
    zone.store.all = (written(7),)
    await zone.read()
    assert zone.states() == ['ready', 'ready']
    zone.member._view.remove_lapsed(boot_seconds() + GRACE)
    assert zone.states() == ['ready', 'ready']


async def test_member_without_a_target_gets_it_back_from_a_reader_that_kept_it():
    zone = Zone(removed(6))
    zone.reader._view.lapse_grace = GRACE
    zone.reader._view.store_contact.record(boot_seconds())
    await zone.read()
    assert zone.states() == ['lapsed', 'none']
    zone.store.all = (written(7),)
    await zone.read()
    assert zone.states() == ['ready', 'ready']


async def test_reader_takes_from_the_store_what_another_reader_left_out():
    # Its update arrives while the second reader waits for the store.
    reports = written(6, seq=7)
    reader = watcher(FakeStore(reports))
    reader._view.apply(written(5), boot_seconds())
    update = StoreUpdate(5, 6)
    reader._store.meanwhile = lambda: reader.apply_update(update)
    await reader._read_changes()
    expected = records.decode_target(KEY, reports.item.content)
    assert reader._view.targets[TARGET] == expected


class SlowListing:
    """Store whose listing was made before an update that arrives meanwhile."""

    def __init__(self, items, revision, meanwhile):
        self.found = Snapshot(items, revision)
        self.meanwhile = meanwhile

    async def snapshot(self, prefix):
        self.meanwhile()
        return self.found


async def states_while_listing(before, during, listed):
    """Return the states of the target while a member loads a snapshot.

    It knows some changes up to revision 5, gets others in an update of a reader
    that ends at 8, and the listing as of 5 has these items.
    """
    member = watcher(FakeStore())
    view = member._view
    for change in before:
        view.apply(change, boot_seconds())
    reader = watcher(FakeStore(*during, removed(8)))
    states = []
    view.listeners.append(lambda topic: states.append(view.entry_state(TARGET)))
    updates = []
    reader.forward = updates.append
    await reader._read_changes()
    changes = updates[0].changes[: len(during)]
    update = StoreUpdate(5, 8, changes)
    member._store = SlowListing(listed, 5, lambda: member.apply_update(update))
    await member._load_snapshot()
    assert view.as_of == 8
    return [*states, view.entry_state(TARGET)]


async def test_leaving_target_is_not_ready_again_after_a_listing():
    states = await states_while_listing(
        [written(5)], [written(6, state='draining')], (written(5).item,)
    )
    assert set(states) == {'leaving'}


async def test_removed_target_is_not_back_after_a_listing():
    states = await states_while_listing(
        [written(5)], [removed(6)], (written(5).item,)
    )
    assert set(states) == {'none'}


async def test_new_target_is_not_removed_by_a_listing():
    states = await states_while_listing([], [written(6)], ())
    assert set(states) == {'ready'}


async def test_listing_removes_what_the_store_no_longer_has():
    member = watcher(FakeStore())
    member._view.apply(written(5), boot_seconds())
    member._store = SlowListing((), 9, lambda: None)
    await member._load_snapshot()
    assert not member._view.targets
    assert member._view.as_of == 9


async def test_listing_of_an_older_store_replaces_what_is_newer():
    # A store may come back from a copy that lacks its last changes.
    member = watcher(FakeStore())
    member._view.as_of = 9
    member._view.apply(written(8, state='draining'), boot_seconds())
    member._store = SlowListing((written(5).item,), 6, lambda: None)
    await member._load_snapshot()
    assert member._view.entry_state(TARGET) == 'ready'
    assert member._view.as_of == 6


def returned_store(*items):
    """Return the listing of a store that is back from an older copy."""
    return Snapshot(items, 6, era=2)


def test_target_that_left_is_not_ready_when_an_older_copy_has_its_entry():
    # Guards against: the mark of a response is forgotten with the entry.
    view = watcher(FakeStore())._view
    view.load(Snapshot((written(5).item,), 5, era=1), boot_seconds() - 60)
    view.mark_leaving(view.targets[TARGET].key)
    view.apply(removed(6), boot_seconds())
    assert not view.leaving_targets()
    view.load(returned_store(written(5).item), boot_seconds())
    assert view.entry_state(TARGET) == 'leaving'
    assert view.leaving_targets()


def test_target_whose_leaving_the_store_has_lost_is_not_ready():
    # Guards against: an older copy has its entry from before.
    view = watcher(FakeStore())._view
    view.load(Snapshot((written(5).item,), 5, era=1), boot_seconds() - 60)
    view.apply(written(6, state='draining'), boot_seconds())
    view.load(returned_store(written(5).item), boot_seconds())
    assert view.entry_state(TARGET) == 'leaving'


def test_next_run_of_a_target_that_left_is_ready_after_a_return():
    view = watcher(FakeStore())._view
    view.load(Snapshot((written(5).item,), 5, era=1), boot_seconds() - 60)
    view.mark_leaving(view.targets[TARGET].key)
    started = written(5, born=ENTRY['born'] + 1).item
    view.load(returned_store(started), boot_seconds())
    assert view.entry_state(TARGET) == 'ready'
