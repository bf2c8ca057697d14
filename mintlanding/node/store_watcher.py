"""Keep the fleet view in step with the store, through outages and lost history.

One member of each zone, its reader, watches the store and forwards the changes
to the others, so that the number of calls does not grow with the fleet. A
member that receives no changes in time reads the store itself, and forwards
what it finds.
"""

import asyncio
import operator
import random
from collections.abc import Callable, Iterator
from contextlib import suppress

from mintlanding.coordination.store_era import NO_ERA
from mintlanding.coordination.transactional_store import (
    Change,
    HistoryLost,
    Item,
    StoreBusy,
    TransactionalStore,
)
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.logs import Logger
from mintlanding.links.messages import (
    MAX_FRAME_BYTES,
    StoreChange,
    StoreUpdate,
)
from mintlanding.node.clock import boot_seconds
from mintlanding.node.settings import FleetOptions
from mintlanding.node.view import FleetView

# Seconds of backoff after a failed call, and its bound.
_FIRST_BACKOFF = 0.1
_MAX_BACKOFF = 0.8
# Consecutive failures after which the store counts as unreachable.
_MAX_FAILURES = 2
# Prefix of all keys: one watch call returns changes of every kind.
_ALL_KEYS = ''
# Bytes of the changes in one update, unless a single one has more.
_UPDATE_BYTES = MAX_FRAME_BYTES // 2
# Bytes of a change besides its key and content.
_CHANGE_BYTES = 40
# Seconds over which the members of a zone spread their listings when the store
# has lost its history; the reader does not wait.
_LISTING_SPREAD_SECONDS = 0.5


class StoreWatcher:
    """Load a snapshot of the store, then watch for changes."""

    def __init__(
        self,
        store: TransactionalStore,
        view: FleetView,
        options: FleetOptions,
        rnd: random.Random,
    ) -> None:
        """Take the store and the view to update."""
        self.is_store_reachable = False
        self.is_reader: Callable[[], bool] = lambda: True
        self.forward: Callable[[StoreUpdate], None] = lambda update: None
        self._store = store
        self._view = view
        self._options = options
        self._rnd = rnd
        self._failures = 0
        self._last_update_at = float('-inf')
        # Set while changes are known to be missing.
        self._is_behind = asyncio.Event()
        self.updates_missed = 0
        self._logger = Logger('store')

    @property
    def revision(self) -> int:
        """Return the revision up to which the view has all changes."""
        return self._view.as_of

    @property
    def era(self) -> int:
        """Return the era of the store that the view is of."""
        return self._view.era

    def age(self, now: float) -> float:
        """Return the seconds since the view was last known to be the newest."""
        return now - self._view.fresh_at

    async def run(self) -> None:
        """Watch the store until cancelled."""
        while True:
            try:
                await self._load_snapshot()
                while True:
                    await self._watch()
            except HistoryLost as exc:
                self._logger.warning(
                    'Store history lost; loading a snapshot.',
                    reason=str(exc),
                )
                if not self.is_reader():
                    spread = self._rnd.uniform(0, _LISTING_SPREAD_SECONDS)
                    await asyncio.sleep(spread)
            except (PlatformError, StoreBusy) as exc:
                await self._back_off(exc)

    def read_soon(self) -> None:
        """Read the store without waiting for updates of the reader."""
        self._is_behind.set()

    def apply_update(
        self, update: StoreUpdate, is_complete: bool = True
    ) -> None:
        """Apply a reader's changes, or read those that are missing before.

        An update of an older build may not be complete: what it holds is true,
        but does not show that the view is as new as its end. Revisions of
        another era, or of one that the sender does not name, tell nothing.
        """
        view = self._view
        if not view.as_of:
            return
        if update.era != view.era:
            if update.era > view.era:
                self.read_soon()
            return
        if update.after > view.as_of:
            if is_complete:
                self._record_gap(update)
            return
        now = boot_seconds()
        # One that ends before the view tells nothing about the store now.
        if is_complete and update.as_of >= view.as_of:
            self._mark_fresh(now)
            self._last_update_at = now
        for each in update.changes:
            if each.revision > view.as_of:
                view.apply(_decode_change(each), now)
        if is_complete:
            view.as_of = max(view.as_of, update.as_of)

    async def _watch(self) -> None:
        left = (
            self._last_update_at + self._options.reader_timeout - boot_seconds()
        )
        if left > 0 and not self.is_reader() and not self._is_behind.is_set():
            with suppress(TimeoutError):
                await asyncio.wait_for(self._is_behind.wait(), left)
            return
        await self._read_changes()

    async def _load_snapshot(self) -> None:
        known = self._view.as_of
        snapshot = await self._store.snapshot(_ALL_KEYS)
        self._mark_reachable()
        now = boot_seconds()
        self._mark_fresh(now)
        self._view.load(snapshot, now, known)

    async def catch_up(self) -> bool:
        """Read what changed up to now; return false if the store is lost."""
        try:
            await self._fetch_changes(0)
        except (PlatformError, StoreBusy) as exc:
            if isinstance(exc, HistoryLost):
                self.read_soon()
            self._logger.info('Store not read on request.', reason=str(exc))
            return False
        return True

    async def _read_changes(self) -> None:
        try:
            has_changes = await self._fetch_changes(self._options.watch_wait)
        except (HistoryLost, PlatformError, StoreBusy) as exc:
            if isinstance(exc, HistoryLost):
                raise
            await self._back_off(exc)
            return
        if has_changes:
            # Changes of this pause are collected by the next call.
            await asyncio.sleep(self._options.watch_pause)

    async def _fetch_changes(self, wait: float) -> bool:
        """Apply and forward what changed; return whether anything did."""
        view = self._view
        after, era = view.as_of, view.era
        found = await self._store.changes(_ALL_KEYS, after, wait)
        self._mark_reachable()
        if not found.era == era == view.era:
            raise HistoryLost(
                f'the store is in era {found.era}, the view was in era {era}',
            )
        if found.revision < after:
            raise HistoryLost(
                f'the store is at {found.revision}, the view at {after}',
            )
        now = boot_seconds()
        self._mark_fresh(now)
        self._is_behind.clear()
        # Changes that another reader forwarded meanwhile may not have reached
        # all members, so they are forwarded again.
        reached = view.as_of
        forwarded = [
            _encode_change(change)
            for change in found.changes
            if view.apply(change, now) or change.revision <= reached
        ]
        view.as_of = max(view.as_of, found.revision)
        for update in split_changes(after, found.revision, forwarded, era):
            self.forward(update)
        return bool(found.changes)

    def _record_gap(self, update: StoreUpdate) -> None:
        self.updates_missed += 1
        if not self._is_behind.is_set():
            self._logger.warning(
                'Changes of the store missed.',
                as_of=self._view.as_of,
                after=update.after,
            )
        self._is_behind.set()

    async def _back_off(self, exc: Exception) -> None:
        self._failures += 1
        if self._failures >= _MAX_FAILURES:
            if self.is_store_reachable:
                self._logger.warning(
                    'Store unreachable.',
                    reason=str(exc),
                    as_of=self._view.as_of,
                )
            self.is_store_reachable = False
        pause = min(_MAX_BACKOFF, _FIRST_BACKOFF * 2**self._failures)
        await asyncio.sleep(pause * self._rnd.uniform(0.5, 1))

    def _mark_reachable(self) -> None:
        if not self.is_store_reachable:
            self._logger.info('Store reachable.', as_of=self._view.as_of)
        self._failures = 0
        self.is_store_reachable = True

    def _mark_fresh(self, now: float) -> None:
        """Record that the view is as new as the store."""
        self._view.store_contact.record(now)
        self._view.fresh_at = now


def split_changes(
    after: int, as_of: int, changes: list[StoreChange], era: int = NO_ERA
) -> Iterator[StoreUpdate]:
    """Yield updates that fit into frames; those of one revision stay together.

    After an outage of the store hundreds of records change at once.
    """
    part: list[StoreChange] = []
    size = 0
    for change in sorted(changes, key=operator.attrgetter('revision')):
        added = len(change.key) + len(change.content) + _CHANGE_BYTES
        reached = part[-1].revision if part else change.revision
        if size + added > _UPDATE_BYTES and change.revision > reached:
            yield StoreUpdate(after, reached, tuple(part), era)
            after, part, size = reached, [], 0
        part.append(change)
        size += added
    yield StoreUpdate(after, as_of, tuple(part), era)


def _encode_change(change: Change) -> StoreChange:
    item = change.item
    if item is None:
        return StoreChange(change.key, change.revision, is_removed=True)
    return StoreChange(item.key, item.revision, item.content, item.lease)


def _decode_change(message: StoreChange) -> Change:
    if message.is_removed:
        return Change(message.key, message.revision)
    item = Item(message.key, message.content, message.revision, message.lease)
    return Change(message.key, message.revision, item)
