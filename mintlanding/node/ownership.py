"""Claim workers through ownership records in the store.

The holder of a worker has the exclusive right to send it orders.
"""

from collections.abc import Callable

import msgspec

from mintlanding.coordination.store_era import era_floor
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
    MEMBERS_PREFIX,
    OWNERSHIP_PREFIX,
    FleetView,
    OwnershipEntry,
)
from mintlanding.residency.authority import (
    AuthorityOptions,
    OrderAuthority,
    OwnershipRecord,
    WorkerClaim,
)
from mintlanding.residency.cuts import CutHistory
from mintlanding.residency.era_hold import EraHold
from mintlanding.traffic.models import Target

# Seconds for which a write without a response may still be committed.
_LATE_WRITE_SECONDS = 10.0
# Seconds for which an order without an answer may still be carried out.
_LATE_ORDER_SECONDS = 10.0
# Seconds until a release that was not confirmed is tried again.
_RELEASE_RETRY_SECONDS = 1.0


class WorkerOwnership:
    """Workers that this instance holds, and when it may send them orders."""

    def __init__(
        self,
        instance: str,
        store: TransactionalStore,
        view: FleetView,
        options: AuthorityOptions,
    ) -> None:
        """Take the view, which has the ownership records."""
        self.authority = OrderAuthority(options)
        self.unreachable: Callable[[], frozenset[str]] = frozenset
        # Targets that only other members reach.
        self.cut_targets: Callable[[], frozenset[str]] = frozenset
        self.has_order_under_way: Callable[[str], bool] = lambda worker: False
        self.cuts = CutHistory()
        self.era_hold = EraHold(options)
        self._instance = instance
        self._store = store
        self._view = view
        self._options = options
        self._order_from: dict[str, float] = {}
        # Until when orders of this instance may have reached each worker.
        self._ordered_until: dict[str, float] = {}
        # Revisions of the ownership records that this process has confirmed.
        self._confirmed: dict[str, int] = {}
        # Fencing tokens under which this process was allowed to send orders.
        self._turns: dict[str, int] = {}
        # Workers to which it was allowed to send orders in the current era.
        self._allowed: set[str] = set()
        # Holders from whom this process may be taking a worker, and until when.
        self._contested: dict[str, float] = {}
        # Revisions of the records for which a release may have been committed.
        self._releasing: dict[str, int] = {}
        self._release_at = float('-inf')
        self._logger = Logger('holds')

    def held_workers(self) -> set[str]:
        """Return the workers that this instance holds."""
        return {
            worker
            for worker, record in self._view.ownership.items()
            if record.holder == self._instance
        }

    def fencing_token(self, worker: str) -> int:
        """Return the fencing token of an ownership record."""
        return self._view.ownership[worker].token

    def begin_era(self, now: float) -> None:
        """Send no orders until this instance is registered in the new era.

        Nobody can have followed on the turns that have authority until now. In
        an era whose records this instance has not read, consents tell nothing.
        """
        held = self.held_workers() if now < self.authority.until() else set()
        held &= self._allowed
        self._allowed.clear()
        self._turns = {
            worker: token
            for worker, token in self._turns.items()
            if worker in held and token == self.fencing_token(worker)
        }
        self.authority.restart(now)
        self.era_hold.begin(now)
        self._confirmed.clear()
        self._releasing.clear()

    def may_order(self, worker: str, now: float) -> bool:
        """Tell whether an order may be sent to a worker now."""
        record = self._view.ownership.get(worker)
        if record is None or record.holder != self._instance:
            return False
        if worker in self._view.unwritten or now < self.era_hold.orders_from:
            return False
        if self._may_have_followers(worker, record):
            return False
        if self._confirmed.get(worker) != record.revision:
            self._resume(worker, record, now)
        if self._is_given_up(worker):
            return False
        if not self._order_from[worker] <= now < self.authority.until():
            return False
        self._turns[worker] = record.token
        self._allowed.add(worker)
        return True

    def orders_from(self, worker: str, now: float) -> float:
        """Return the time from which orders may be sent, inf if unknown."""
        record = self._view.ownership.get(worker)
        if record is None or record.holder != self._instance:
            return float('inf')
        if now >= self.authority.until() or self._is_given_up(worker):
            return float('inf')
        if worker in self._view.unwritten:
            return float('inf')
        if self._may_have_followers(worker, record):
            return float('inf')
        begin = self._order_from.get(worker, float('inf'))
        return max(now, begin, self.era_hold.orders_from)

    def record_order(self, worker: str, *, is_answered: bool) -> None:
        """Record that an order was, or may have been, sent to a worker."""
        late = 0 if is_answered else _LATE_ORDER_SECONDS
        before = self._ordered_until.get(worker, float('-inf'))
        self._ordered_until[worker] = max(before, boot_seconds() + late)

    def may_consent(self, member: str) -> bool:
        """Tell whether this instance consents to a member's sending orders.

        It does not while a write of this process may take a worker from the
        member. Nor does it after one did, until the member is registered
        again and has thus read the ownership records.
        """
        if boot_seconds() < self._contested.get(member, float('-inf')):
            return False
        if member in self._view.members:
            return True
        return not any(
            record.previous == member and record.holder == self._instance
            for record in self._view.ownership.values()
        )

    def may_consent_in(self, era: int) -> bool:
        """Tell whether this instance consents to orders of an era's members.

        One that has not seen the current era may not know who holds its workers
        by now. Older builds name none.
        """
        is_current = era == self._store.era.number
        return is_current or not self.era_hold.has_seen_change

    async def claim(self, claim: WorkerClaim) -> None:
        """Write an ownership record, unless a record it depends on changed."""
        key = OWNERSHIP_PREFIX + claim.worker
        expected = {key: claim.revision}
        if claim.previous:
            expected[MEMBERS_PREFIX + claim.previous] = NO_REVISION
        is_settled = claim.wait == 0
        entry = OwnershipEntry(
            self._instance,
            is_settled,
            claim.previous or self._kept_previous(claim.worker),
            fence=self._view.next_fence(claim.worker),
        )
        self._mark_contested(claim.previous)
        try:
            revision = await self._write(key, expected, entry)
        except (PlatformError, StoreBusy) as exc:
            self._logger.warning(
                'Claim not confirmed.',
                worker=claim.worker,
                reason=str(exc),
            )
            return
        if revision is None:
            return
        self._mark_contested(claim.previous)
        now = boot_seconds()
        self._order_from[claim.worker] = now + claim.wait
        self._confirm(claim.worker, revision, entry)
        self._logger.info(
            'Worker claimed.',
            worker=claim.worker,
            previous=claim.previous,
            wait=round(claim.wait, 2),
            revision=revision,
            fencing=entry.at_revision(revision).token,
        )

    async def rewrite(self) -> None:
        """Write the records of held workers that the store has lost.

        The revision that was listed is expected, so that a claim of another
        member in the meantime stands.
        """
        for worker in sorted(self._view.unwritten & self.held_workers()):
            record = self._view.ownership.get(worker)
            is_unwritten = worker in self._view.unwritten
            if record is None or not is_unwritten or not self._holds(record):
                continue
            entry = _continued(record)
            key = OWNERSHIP_PREFIX + worker
            revision = await self._write(key, {key: record.revision}, entry)
            if revision is None:
                continue
            # Orders are held back in the new era for as long as is needed.
            self._order_from[worker] = boot_seconds()
            self._confirm(worker, revision, entry)
            self._logger.info(
                'Ownership written again.',
                worker=worker,
                revision=revision,
                fencing=entry.at_revision(revision).token,
            )

    def new_turns(self) -> list[WorkerClaim]:
        """Return the claims of held workers that need another token.

        The store has returned from a copy that names this instance, and what
        followed in the earlier era may be lost: the holder waits as a new one.
        """
        records = self._view.ownership
        wait = self._options.takeover_delay
        return [
            WorkerClaim(worker, records[worker].revision, '', wait)
            for worker in sorted(self.held_workers() - self._view.unwritten)
            if self._may_have_followers(worker, records[worker])
            and not self.is_releasing(worker)
        ]

    def avoided(self) -> frozenset[str]:
        """Return the workers that this instance does not claim now."""
        return self.unreachable() | self.cuts.recent()

    def releasable(self, now: float) -> list[str]:
        """Return the workers to release, which only other members reach.

        A release without a response is repeated until the record has changed.
        """
        if now < self._release_at:
            return []
        engines = self._view.engines()
        return [
            worker
            for worker in sorted(self.held_workers() & engines.keys())
            if worker not in self._view.unwritten
            and not self.has_order_under_way(worker)
            and (
                self.is_releasing(worker) or self._may_release(engines[worker])
            )
        ]

    def is_releasing(self, worker: str) -> bool:
        """Tell whether a release of a worker may have been committed."""
        record = self._view.ownership.get(worker)
        if record is None:
            return False
        return self._releasing.get(worker) == record.revision

    async def release(self, worker: str, entry_revision: int) -> bool:
        """Release a worker; return false if a record it depends on has changed.

        That is its record or this instance's entry, which a new process writes
        anew. No order is sent once the release may have been committed. Nothing
        is done if the worker has a record of another one, or an order that has
        begun since it was chosen.
        """
        record = self._view.ownership.get(worker)
        if record is None or not self._holds(record):
            return True
        if self.has_order_under_way(worker):
            return True
        self._releasing[worker] = record.revision
        key = OWNERSHIP_PREFIX + worker
        expected = {
            key: record.revision,
            MEMBERS_PREFIX + self._instance: entry_revision,
        }
        wait = self._next_wait(worker, record, boot_seconds())
        entry = OwnershipEntry(
            '',
            previous=self._instance,
            order_wait=wait,
            fence=self._view.next_fence(worker),
        )
        try:
            revision = await self._write(key, expected, entry)
        except (PlatformError, StoreBusy) as exc:
            self._postpone_release(worker, str(exc))
            return True
        if revision is None:
            self._postpone_release(worker, 'a record has changed')
            return False
        self._record_release(worker, revision, entry)
        self._logger.info(
            'Worker released.',
            worker=worker,
            revision=revision,
            wait=round(wait, 2),
            reason='only other members reach it',
        )
        return True

    async def settle(self, worker: str, now: float) -> None:
        """Mark a claimed worker's record as settled once the wait is over."""
        record = self._view.ownership.get(worker)
        if record is None:
            return
        is_known = self._confirmed.get(worker) == record.revision
        if record.is_settled or not is_known:
            return
        if now < max(self._order_from[worker], self.era_hold.orders_from):
            return
        key = OWNERSHIP_PREFIX + worker
        expected = {key: record.revision}
        entry = _continued(record, is_settled=True)
        try:
            revision = await self._write(key, expected, entry)
        except (PlatformError, StoreBusy) as exc:
            self._logger.info(
                'Ownership record not settled.',
                worker=worker,
                reason=str(exc),
            )
            return
        if revision is None:
            return
        self._confirm(worker, revision, entry)
        self._logger.info(
            'Ownership record settled.',
            worker=worker,
            revision=revision,
            fencing=entry.at_revision(revision).token,
        )

    async def _write(
        self,
        key: str,
        expected: dict[str, int],
        entry: OwnershipEntry,
    ) -> int | None:
        write = Write(key, msgspec.json.encode(entry))
        txn = Transaction(expected, (write,), era=self._view.era)
        reply = await self._store.commit(txn)
        return None if isinstance(reply, Rejected) else reply.revision

    def _resume(self, worker: str, record: OwnershipRecord, now: float) -> None:
        """Continue with a record that this process has not confirmed.

        It was written by an earlier incarnation, or by a claim without a
        response that was committed late.
        """
        wait = self._options.takeover_delay
        if not record.previous:
            wait = self._options.handover_delay
        if record.is_settled:
            wait = 0
        self._confirmed[worker] = record.revision
        self._order_from[worker] = now + wait
        # The earlier incarnation may have sent orders.
        self.record_order(worker, is_answered=False)
        self._logger.info(
            'Ownership resumed.',
            worker=worker,
            wait=wait,
            revision=record.revision,
            fencing=record.token,
        )

    def _holds(self, record: OwnershipRecord) -> bool:
        return record.holder == self._instance

    def _kept_previous(self, worker: str) -> str:
        """Return from whom this instance took a worker that it claims anew.

        That one may not know of it yet, and gets no consent until then.
        """
        record = self._view.ownership.get(worker)
        if record is None or not self._holds(record):
            return ''
        return record.previous

    def _may_have_followers(self, worker: str, record: OwnershipRecord) -> bool:
        """Tell whether others may have followed on a turn, in a lost record."""
        is_former = record.token < era_floor(self._view.era)
        return is_former and self._turns.get(worker) != record.token

    def _is_given_up(self, worker: str) -> bool:
        """Tell whether a held worker is cut, or may have been released."""
        return self.is_releasing(worker) or self.cuts.is_cut(worker)

    def _may_release(self, target: Target) -> bool:
        """Tell whether a worker was cut for long, while its entry is kept."""
        if target.is_leaving or target.target in self._view.lapsed:
            return False
        return self.cuts.is_due(target.target)

    def _next_wait(
        self, worker: str, record: OwnershipRecord, now: float
    ) -> float:
        """Return how long the next holder has to wait after a release.

        This instance sends no orders from now on. Those that it has sent, and
        those of the holder before, have to be long enough ago.
        """
        longest = self._options.handover_delay
        if self._confirmed.get(worker) != record.revision:
            return longest
        last = self._ordered_until.get(worker, float('-inf'))
        begin = max(last + longest, self._order_from[worker])
        return min(longest, max(0, begin - now))

    def _postpone_release(self, worker: str, reason: str) -> None:
        self._release_at = boot_seconds() + _RELEASE_RETRY_SECONDS
        self._logger.warning(
            'Release not confirmed.', worker=worker, reason=reason
        )

    def _record_release(
        self, worker: str, revision: int, entry: OwnershipEntry
    ) -> None:
        self._confirmed.pop(worker, None)
        self._order_from.pop(worker, None)
        self._ordered_until.pop(worker, None)
        self._view.apply_write(
            OWNERSHIP_PREFIX + worker, msgspec.json.encode(entry), revision
        )

    def _confirm(
        self, worker: str, revision: int, entry: OwnershipEntry
    ) -> None:
        self._confirmed[worker] = revision
        self._view.apply_write(
            OWNERSHIP_PREFIX + worker, msgspec.json.encode(entry), revision
        )

    def _mark_contested(self, holder: str) -> None:
        if holder:
            self._contested[holder] = boot_seconds() + _LATE_WRITE_SECONDS


def _continued(
    record: OwnershipRecord, *, is_settled: bool = False
) -> OwnershipEntry:
    """Return the entry by which a holder goes on under its fencing token.

    Older builds take the greater one of revision and `fence` for the token.
    """
    token = record.token
    return OwnershipEntry(
        record.holder,
        is_settled,
        record.previous,
        fence=token if token > record.revision else 0,
        claimed_token=token,
    )
