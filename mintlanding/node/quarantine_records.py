"""Keep quarantines in the store, for instances that restart.

Members tell each other of quarantines, but all of them may be killed at once.
"""

import asyncio
import time
from collections.abc import Iterator, Mapping

import msgspec

from mintlanding.coordination.transactional_store import (
    NO_REVISION,
    Committed,
    StoreBusy,
    Transaction,
    TransactionalStore,
    Write,
)
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.logs import Logger
from mintlanding.node.clock import boot_seconds
from mintlanding.node.membership import Membership
from mintlanding.node.view import (
    QUARANTINE_PREFIX,
    REQUEST_QUARANTINE_PREFIX,
    FleetView,
)
from mintlanding.quarantine.ledger import CrashLedger
from mintlanding.quarantine.records import QuarantineRecord, RequestRecord
from mintlanding.quarantine.request_ledger import RequestLedger
from mintlanding.quarantine.trials import Trials

# Seconds between comparisons of the ledgers with the records.
_INTERVAL_SECONDS = 0.25
# Seconds after a failed write, while members know of the quarantine anyway.
_BACKOFF_SECONDS = 2

Record = QuarantineRecord | RequestRecord


class QuarantineRecords:
    """Write the records for which this instance is elected; claim trials."""

    def __init__(
        self,
        store: TransactionalStore,
        view: FleetView,
        membership: Membership,
        parts: CrashLedger,
        requests: RequestLedger,
    ) -> None:
        """Take the ledgers, whose quarantines are recorded."""
        self._store = store
        self._view = view
        self._membership = membership
        self._parts = parts
        self._requests = requests
        # Requests whose records were in the store.
        self._recorded: set[str] = set()
        self._logger = Logger('quarantine')

    def restore(self) -> None:
        """Add the quarantines of the records to the ledgers."""
        now = boot_seconds()
        for part, record in self._view.quarantines.items():
            self._parts.restore(part, record, _boot_time(record), now)
        recorded = self._view.request_records
        for digest, request_record in recorded.items():
            at = _boot_time(request_record)
            self._requests.restore(digest, request_record, at, now)
        for digest in self._recorded - recorded.keys():
            self._requests.release(digest, now)
        self._recorded = set(recorded)

    async def run(self) -> None:
        """Update the records until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_SECONDS)
            try:
                await self._write_changes()
                await self._claim_trials()
            except (PlatformError, StoreBusy) as exc:
                self._logger.warning(
                    'Quarantine not recorded.', reason=str(exc)
                )
                await asyncio.sleep(_BACKOFF_SECONDS)

    async def _write_changes(self) -> None:
        changes = dict(self._changes())
        if not changes:
            return
        writes = tuple(
            Write(key, msgspec.json.encode(record))
            for key, record in changes.items()
            if record is not None
        )
        deletes = tuple(
            key for key, record in changes.items() if record is None
        )
        # Another instance may have claimed a trial meanwhile.
        expected = {key: self._revision(key) for key in changes}
        await self._store.commit(
            Transaction(expected, writes, deletes, self._view.era)
        )

    async def _claim_trials(self) -> None:
        for prefix, ledger, known in (
            (QUARANTINE_PREFIX, self._parts, self._view.quarantines),
            (
                REQUEST_QUARANTINE_PREFIX,
                self._requests,
                self._view.request_records,
            ),
        ):
            trials = ledger.trials
            for name in tuple(trials.wanted):
                record = known.get(name)
                # Another instance may have claimed it during the last call.
                is_wanted = name in trials.wanted
                trials.wanted.discard(name)
                if record is not None and is_wanted:
                    await self._claim_trial(trials, name, prefix, record)

    async def _claim_trial(
        self, trials: Trials, name: str, prefix: str, record: Record
    ) -> None:
        key = prefix + name
        claimed = msgspec.structs.replace(record, trials=record.trials + 1)
        write = Write(key, msgspec.json.encode(claimed))
        reply = await self._store.commit(
            Transaction(
                {key: self._revision(key)}, (write,), era=self._view.era
            )
        )
        if isinstance(reply, Committed):
            trials.claim(name, claimed.trials, boot_seconds())

    def _changes(self) -> Iterator[tuple[str, Record | None]]:
        """Yield the keys that differ, with their records, None to delete."""
        offset = time.time() - boot_seconds()
        for prefix, current, known in self._kinds():
            for name, record in current.items():
                if self._is_due(name, record, known.get(name)):
                    yield (
                        prefix + name,
                        msgspec.structs.replace(
                            record, last_crash=record.last_crash + offset
                        ),
                    )
            for name in known.keys() - current.keys():
                if self._membership.is_elected(name):
                    yield prefix + name, None

    def _kinds(
        self,
    ) -> Iterator[tuple[str, Mapping[str, Record], Mapping[str, Record]]]:
        """Yield each prefix with the wanted records and those in the store."""
        view = self._view
        yield QUARANTINE_PREFIX, self._parts.records(), view.quarantines
        yield (
            REQUEST_QUARANTINE_PREFIX,
            self._requests.records(),
            view.request_records,
        )

    def _is_due(self, name: str, record: Record, known: Record | None) -> bool:
        is_news = known is None or _extent(record) > _extent(known)
        return is_news and self._membership.is_elected(name)

    def _revision(self, key: str) -> int:
        return self._view.quarantine_revisions.get(key, NO_REVISION)


def _extent(record: Record) -> tuple[bool, int]:
    """Return what only grows while a record stands."""
    if isinstance(record, RequestRecord):
        return record.is_quarantined, len(record.targets)
    return True, record.crashes


def _boot_time(record: Record) -> float:
    """Return the last crash of a record in this instance's own time.

    Clocks of instances may differ, so that it is never in the future.
    """
    return boot_seconds() - max(0, time.time() - record.last_crash)
