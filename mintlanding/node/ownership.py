"""Take, keep and let go of workers through records in the store."""

from collections.abc import Callable

import msgspec

from mintlanding.coordination.transactional_store import (
    NO_REVISION,
    Rejected,
    StoreBusy,
    Transaction,
    TransactionalStore,
    Write,
)
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.logs import Logger
from mintlanding.node.clock import boot_seconds
from mintlanding.node.view import (
    HOLDS_PREFIX,
    MEMBERS_PREFIX,
    FleetView,
    OwnershipEntry,
)
from mintlanding.residency.authority import (
    AuthorityOptions,
    OrderAuthority,
    OwnershipRecord,
    WorkerClaim,
)

# Seconds for which a write without an answer may still be carried out.
_LATE_WRITE_SECONDS = 10.0


class Holds:
    """The workers of this instance, and from when on it orders at them."""

    def __init__(
        self,
        instance: str,
        store: TransactionalStore,
        view: FleetView,
        options: AuthorityOptions,
    ) -> None:
        """Hold what the view says."""
        self.authority = OrderAuthority(options)
        self.unreachable: Callable[[], frozenset[str]] = frozenset
        self._instance = instance
        self._store = store
        self._view = view
        self._options = options
        self._order_from: dict[str, float] = {}
        # The revision of each hold that this process knows it has.
        self._confirmed: dict[str, int] = {}
        # Holders from whom a worker is being taken, and until when.
        self._contested: dict[str, float] = {}
        self._logger = Logger('holds')

    def held(self) -> set[str]:
        """Return the workers that this instance holds."""
        return {
            worker
            for worker, record in self._view.holds.items()
            if record.holder == self._instance
        }

    def fencing(self, worker: str) -> int:
        """Return the fencing number of a hold, the revision of its record."""
        return self._view.holds[worker].revision

    def may_order(self, worker: str, now: float) -> bool:
        """Tell whether an order may leave for a worker now."""
        record = self._view.holds.get(worker)
        if record is None or record.holder != self._instance:
            return False
        if self._confirmed.get(worker) != record.revision:
            self._resume(worker, record, now)
        return self._order_from[worker] <= now < self.authority.until()

    def orders_at(self, worker: str, now: float) -> float:
        """Return from when on orders will go out, inf if that is unknown."""
        record = self._view.holds.get(worker)
        if record is None or record.holder != self._instance:
            return float('inf')
        if now >= self.authority.until():
            return float('inf')
        return max(now, self._order_from.get(worker, float('inf')))

    def may_consent(self, member: str) -> bool:
        """Tell whether a member may order for this instance's part.

        Not while a worker may be taken from it by a write of this process,
        nor after one was, until it has an entry again and thus read of that.
        """
        if boot_seconds() < self._contested.get(member, float('-inf')):
            return False
        if member in self._view.members:
            return True
        return not any(
            record.previous == member and record.holder == self._instance
            for record in self._view.holds.values()
        )

    async def claim(self, claim: WorkerClaim) -> None:
        """Take a worker, unless something has changed."""
        key = HOLDS_PREFIX + claim.worker
        expected = {key: claim.revision}
        if claim.previous:
            expected[MEMBERS_PREFIX + claim.previous] = NO_REVISION
        is_settled = claim.wait == 0
        entry = OwnershipEntry(self._instance, is_settled, claim.previous)
        self._contest(claim.previous)
        try:
            done = await self._write(key, expected, entry)
        except (PlatformError, StoreBusy) as exc:
            self._logger.warning(
                'A claim has no answer.',
                worker=claim.worker,
                reason=str(exc),
            )
            return
        if done is None:
            return
        self._contest(claim.previous)
        now = boot_seconds()
        self._order_from[claim.worker] = now + claim.wait
        self._confirm(claim.worker, done, entry)
        self._logger.info(
            'A worker was taken.',
            worker=claim.worker,
            previous=claim.previous,
            wait=round(claim.wait, 2),
            revision=done,
        )

    async def settle(self, worker: str, now: float) -> None:
        """Note in the store that the wait after a claim is over."""
        record = self._view.holds[worker]
        is_known = self._confirmed.get(worker) == record.revision
        if record.is_settled or not is_known or now < self._order_from[worker]:
            return
        key = HOLDS_PREFIX + worker
        expected = {key: record.revision}
        entry = OwnershipEntry(self._instance, True, record.previous)
        try:
            done = await self._write(key, expected, entry)
        except (PlatformError, StoreBusy) as exc:
            self._logger.info('Not settled.', worker=worker, reason=str(exc))
            return
        if done is not None:
            self._confirm(worker, done, entry)

    async def _write(
        self,
        key: str,
        expected: dict[str, int],
        entry: OwnershipEntry,
    ) -> int | None:
        write = Write(key, msgspec.json.encode(entry))
        done = await self._store.commit(Transaction(expected, (write,)))
        return None if isinstance(done, Rejected) else done.revision

    def _resume(self, worker: str, record: OwnershipRecord, now: float) -> None:
        """Go on with a hold of which this process has no answer.

        It is of the last process, or of a claim that was carried out late.
        """
        wait = 0 if record.is_settled else self._options.takeover_delay
        self._confirmed[worker] = record.revision
        self._order_from[worker] = now + wait
        self._logger.info('A hold goes on.', worker=worker, wait=wait)

    def _confirm(
        self, worker: str, revision: int, entry: OwnershipEntry
    ) -> None:
        self._confirmed[worker] = revision
        self._view.holds[worker] = OwnershipRecord(
            entry.holder,
            revision,
            entry.is_settled,
            entry.previous,
        )

    def _contest(self, holder: str) -> None:
        if holder:
            self._contested[holder] = boot_seconds() + _LATE_WRITE_SECONDS
