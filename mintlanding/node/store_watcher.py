"""Keep the view as new as the store, through cuts, silence, lost history.

One member of each zone reads the store and hands the changes on, so that the
number of calls does not grow with the fleet. A member that hears no news
reads for itself, and hands on what it finds.
"""

import asyncio
import random
from collections.abc import Callable

from mintlanding.coordination.transactional_store import (
    Change,
    HistoryLost,
    Item,
    StoreBusy,
    TransactionalStore,
)
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.logs import Logger
from mintlanding.links.messages import StoreChange, StoreNews
from mintlanding.node.clock import boot_seconds
from mintlanding.node.settings import FleetOptions
from mintlanding.node.view import FleetView

# Seconds before the next try after a failed call, and their bound.
_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 0.8
# Failures in a row after which the store counts as away.
_AWAY_AFTER = 2
# Seconds without news after which the store counts as having been away.
_GAP_SECONDS = 2.0
# Seconds after its return in which entries may still lapse.
_AFTERMATH = 2.0
# Everything is watched at once: a call a change, whatever it concerns.
_EVERYTHING = ''


class Follower:
    """Read everything once, then follow the changes."""

    def __init__(
        self,
        store: TransactionalStore,
        view: FleetView,
        options: FleetOptions,
        rnd: random.Random,
    ) -> None:
        """Take the store and the view to keep."""
        self.is_store_reached = False
        self.is_reader: Callable[[], bool] = lambda: True
        self.hand_on: Callable[[StoreNews], None] = lambda news: None
        self._store = store
        self._view = view
        self._options = options
        self._rnd = rnd
        self._failures = 0
        self._news_at = float('-inf')
        self._logger = Logger('store')

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                await self._read_all()
                while True:
                    await self._follow()
            except HistoryLost as exc:
                self._logger.warning('Reading everything.', reason=str(exc))
            except (PlatformError, StoreBusy) as exc:
                await self._pause(exc)

    def take_news(self, news: StoreNews) -> None:
        """Take what another member has read, unless something is missing."""
        view = self._view
        if not view.as_of or news.after > view.as_of:
            return
        now = boot_seconds()
        self._note_fresh(now)
        self._news_at = now
        for each in news.changes:
            if each.revision > view.as_of:
                view.apply(_change(each), now)
        view.as_of = max(view.as_of, news.as_of)

    async def _follow(self) -> None:
        left = self._news_at + self._options.news_silence - boot_seconds()
        if left > 0 and not self.is_reader():
            await asyncio.sleep(left)
            return
        await self._read_changes()

    async def _read_all(self) -> None:
        snapshot = await self._store.snapshot(_EVERYTHING)
        self._note_success()
        now = boot_seconds()
        self._note_fresh(now)
        self._view.load(snapshot, now)

    async def _read_changes(self) -> None:
        view = self._view
        after = view.as_of
        try:
            found = await self._store.changes(
                _EVERYTHING,
                after,
                self._options.watch_wait,
            )
        except (HistoryLost, PlatformError, StoreBusy) as exc:
            if isinstance(exc, HistoryLost):
                raise
            await self._pause(exc)
            return
        self._note_success()
        now = boot_seconds()
        self._note_fresh(now)
        # What came as news meanwhile may not have come to all members.
        news = [
            _news(change)
            for change in found.changes
            if change.revision <= view.as_of or view.apply(change, now)
        ]
        view.as_of = max(view.as_of, found.revision)
        self.hand_on(StoreNews(after, found.revision, tuple(news)))
        if found.changes:
            # What comes meanwhile is read by one call.
            await asyncio.sleep(self._options.watch_pause)

    async def _pause(self, exc: Exception) -> None:
        self._failures += 1
        if self._failures >= _AWAY_AFTER:
            if self.is_store_reached:
                self._logger.warning(
                    'The store is away.',
                    reason=str(exc),
                    as_of=self._view.as_of,
                )
            self.is_store_reached = False
        pause = min(_LONGEST_PAUSE, _FIRST_PAUSE * 2**self._failures)
        await asyncio.sleep(pause * self._rnd.uniform(0.5, 1))

    def _note_success(self) -> None:
        if not self.is_store_reached:
            self._logger.info('The store is reached.', as_of=self._view.as_of)
        self._failures = 0
        self.is_store_reached = True

    def _note_fresh(self, now: float) -> None:
        """Note that the view is new; entries may have lapsed in a gap."""
        if now > self._view.fresh_at + _GAP_SECONDS:
            self._view.away_until = now + _AFTERMATH
        self._view.fresh_at = now


def _news(change: Change) -> StoreChange:
    item = change.item
    if item is None:
        return StoreChange(change.key, change.revision, is_removed=True)
    return StoreChange(item.key, item.revision, item.content, item.lease)


def _change(news: StoreChange) -> Change:
    if news.is_removed:
        return Change(news.key, news.revision)
    item = Item(news.key, news.content, news.revision, news.lease)
    return Change(news.key, news.revision, item)
