"""Keep the view as new as the store, through cuts, silence, lost history."""

import asyncio
import random

from mintlanding.coordination.transactions import (
    HistoryLost,
    StoreBusy,
    TransactionalStore,
)
from mintlanding.core.exceptions import PlatformError, PlatformUnavailable
from mintlanding.core.logs import Logger
from mintlanding.node.clock import boot_seconds
from mintlanding.node.settings import FleetTerms
from mintlanding.node.view import FleetView

# Seconds before the next try after a failed call, and their bound.
_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 0.8
# Failures in a row after which the store counts as away.
_AWAY_AFTER = 2
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
        terms: FleetTerms,
        rnd: random.Random,
    ) -> None:
        """Take the store and the view to keep."""
        self.is_store_reached = False
        self._store = store
        self._view = view
        self._terms = terms
        self._rnd = rnd
        self._failures = 0
        self._logger = Logger('store')

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                await self._read_all()
                while True:
                    await self._read_changes()
            except HistoryLost as exc:
                self._logger.warning('Reading everything.', reason=str(exc))
            except (PlatformUnavailable, StoreBusy, PlatformError) as exc:
                await self._pause(exc)

    async def _read_all(self) -> None:
        snapshot = await self._store.snapshot(_EVERYTHING)
        self._note_success()
        self._view.load(snapshot, boot_seconds())

    async def _read_changes(self) -> None:
        view = self._view
        try:
            found = await self._store.changes(
                _EVERYTHING,
                view.as_of,
                self._terms.watch_wait,
            )
        except (PlatformUnavailable, StoreBusy) as exc:
            await self._pause(exc)
            return
        self._note_success()
        now = boot_seconds()
        for change in found.changes:
            view.apply(change, now)
        view.as_of = max(view.as_of, found.revision)
        view.fresh_at = now
        if found.changes:
            # What comes meanwhile is read by one call.
            await asyncio.sleep(self._terms.watch_pause)

    async def _pause(self, exc: Exception) -> None:
        self._failures += 1
        if self._failures >= _AWAY_AFTER:
            self._view.away_until = boot_seconds() + _AFTERMATH
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
        if self._failures >= _AWAY_AFTER:
            self._view.away_until = boot_seconds() + _AFTERMATH
        self._failures = 0
        self.is_store_reached = True
