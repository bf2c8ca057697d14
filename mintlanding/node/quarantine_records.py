"""Keep quarantined parts of prompts in the store, for instances that restart.

Members tell each other of quarantines, but all of them may be killed at once.
"""

import asyncio
import time

import msgspec

from mintlanding.coordination.transactional_store import (
    StoreBusy,
    Transaction,
    TransactionalStore,
    Write,
)
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.logs import Logger
from mintlanding.node.clock import boot_seconds
from mintlanding.node.membership import Membership
from mintlanding.node.view import QUARANTINE_PREFIX, FleetView
from mintlanding.quarantine.ledger import CrashLedger
from mintlanding.quarantine.records import QuarantineRecord

# Seconds between comparisons of the ledger with the records.
_INTERVAL_SECONDS = 0.25
# Seconds after a failed write, while members know of the quarantine anyway.
_BACKOFF_SECONDS = 2


class QuarantineRecords:
    """Write and remove the records of parts for which this one is elected."""

    def __init__(
        self,
        store: TransactionalStore,
        view: FleetView,
        membership: Membership,
        ledger: CrashLedger,
    ) -> None:
        """Take the ledger, whose quarantines are recorded."""
        self._store = store
        self._view = view
        self._membership = membership
        self._ledger = ledger
        self._logger = Logger('quarantine')

    def restore(self) -> None:
        """Add the quarantines of the records to the ledger."""
        now = boot_seconds()
        # Clocks of instances may differ.
        for part, record in self._view.quarantines.items():
            age = max(0, time.time() - record.last_crash)
            self._ledger.restore(part, record, now - age)

    async def run(self) -> None:
        """Update the records until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_SECONDS)
            transaction = self._changes()
            if transaction is None:
                continue
            try:
                await self._store.commit(transaction)
            except (PlatformError, StoreBusy) as exc:
                self._logger.warning(
                    'Quarantine not recorded.', reason=str(exc)
                )
                await asyncio.sleep(_BACKOFF_SECONDS)

    def _changes(self) -> Transaction | None:
        """Return the writes and deletions that are due, None for none."""
        current = self._records()
        known = self._view.quarantines
        writes = tuple(
            Write(QUARANTINE_PREFIX + part, msgspec.json.encode(record))
            for part, record in current.items()
            if _is_news(record, known.get(part))
            and self._membership.is_elected(part)
        )
        deletes = tuple(
            QUARANTINE_PREFIX + part
            for part in known
            if part not in current and self._membership.is_elected(part)
        )
        if not (writes or deletes):
            return None
        return Transaction(writes=writes, deletes=deletes)

    def _records(self) -> dict[str, QuarantineRecord]:
        offset = time.time() - boot_seconds()
        return {
            part: msgspec.structs.replace(
                record, last_crash=record.last_crash + offset
            )
            for part, record in self._ledger.records().items()
        }


def _is_news(record: QuarantineRecord, known: QuarantineRecord | None) -> bool:
    return known is None or known.crashes < record.crashes
