"""Exclusive stewardship of workers by leases of the key-value service.

An agent has one lease. For each worker whose steward it runs it has created a
record under that lease. The index that the service assigned to the record is
the fencing token, unless the record names a higher one: a service that returned
from an older copy assigns lower indexes again. The duration of a lease is
counted from before the call that renewed it was sent, so the lease never ends
later here than at the service.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

import xxhash

from mintlanding.membership.models import Member, MemberState

RENEWALS_PER_TERM = 3
RETRIES_PER_TERM = 10


@dataclass(frozen=True, slots=True)
class OpenLease:
    """Request a lease of `seconds` from the service."""

    seconds: float


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Request the renewal of a lease from the service."""

    lease: str


@dataclass(frozen=True, slots=True)
class ClaimWorker:
    """Create the steward's record of a worker under the lease.

    A record that exists `may_be_own`: of a claim without an answer, or of the
    previous lease.
    """

    worker: str
    lease: str
    may_be_own: bool = False


@dataclass(frozen=True, slots=True)
class DropRecord:
    """Delete the record of a worker that this agent does not run any more."""

    worker: str
    lease: str


@dataclass(frozen=True, slots=True)
class StewardshipWon:
    """This agent is now the steward, with a fencing token."""

    worker: str
    fencing: int


@dataclass(frozen=True, slots=True)
class StewardshipLapsed:
    """The lease has ended; another agent may be the steward by now."""

    worker: str


@dataclass(frozen=True, slots=True)
class StewardshipLost:
    """Another agent is the steward."""

    worker: str


LeaseAction = (
    OpenLease
    | RenewLease
    | ClaimWorker
    | DropRecord
    | StewardshipWon
    | StewardshipLapsed
    | StewardshipLost
)


@dataclass(slots=True)
class StewardLeases:
    """The lease of one agent and the workers claimed under it."""

    instance: str
    term: float
    lease: str = ''
    expires_at: float = 0
    held: dict[str, int] = field(default_factory=dict)
    lapsed: dict[str, int] = field(default_factory=dict)
    _is_call_pending: bool = False
    _called_at: float = float('-inf')
    # Workers with a call under way for their record.
    _calls: set[str] = field(default_factory=set)
    # Workers whose record may have been created under this lease.
    _unanswered: set[str] = field(default_factory=set)
    _released: set[str] = field(default_factory=set)

    def is_valid(self, now: float) -> bool:
        """Return whether the lease is certain to be valid at the service."""
        return bool(self.lease) and now < self.expires_at

    def tick(self, wanted: Collection[str], now: float) -> list[LeaseAction]:
        """Renew or end the lease in time, and claim the wanted workers."""
        actions: list[LeaseAction] = []
        if self.lease and not self.is_valid(now):
            actions.extend(self._lapse())
        if not self._is_call_pending:
            actions.extend(self._renew_or_open(wanted, now))
        if self.is_valid(now):
            actions.extend(self._drop_released())
            actions.extend(self._claim(wanted))
        return actions

    def release(self, worker: str) -> None:
        """Stop holding a worker; its next claim has another token."""
        self.lapsed.pop(worker, None)
        if self.held.pop(worker, None) is not None:
            self._released.add(worker)

    def lease_opened(self, lease: str, now: float) -> None:
        """Apply the reply to OpenLease; `lease` is empty if there was none."""
        self._is_call_pending = False
        if not lease:
            return
        self.lease = lease
        self.expires_at = self._called_at + self.term

    def lease_renewed(self, lease: str, is_renewed: bool) -> list[LeaseAction]:
        """Apply the reply to RenewLease."""
        self._is_call_pending = False
        if lease != self.lease:
            return []
        if not is_renewed:
            return self._lapse()
        self.expires_at = self._called_at + self.term
        return []

    def renewal_unanswered(self) -> None:
        """Record that RenewLease got no reply; the current term continues."""
        self._is_call_pending = False

    def worker_claimed(
        self,
        worker: str,
        lease: str,
        fencing: int,
    ) -> list[LeaseAction]:
        """Apply the reply to ClaimWorker; 0 if another agent has the worker.

        A reply for an earlier lease tells nothing about this one.
        """
        if lease != self.lease:
            return []
        self._calls.discard(worker)
        self._unanswered.discard(worker)
        was_lapsed = self.lapsed.pop(worker, None) is not None
        if fencing:
            self.held[worker] = fencing
            return [StewardshipWon(worker, fencing)]
        return [StewardshipLost(worker)] if was_lapsed else []

    def claim_unanswered(self, worker: str, lease: str) -> None:
        """Record that ClaimWorker may take effect, now or later.

        The claim is repeated until it is answered, also if the worker is not
        wanted any more: its record would keep all others from it.
        """
        if lease == self.lease:
            self._calls.discard(worker)
            self._unanswered.add(worker)

    def record_dropped(self, worker: str, lease: str, is_done: bool) -> None:
        """Apply the reply to DropRecord, or that there was none."""
        if lease != self.lease:
            return
        self._calls.discard(worker)
        if is_done:
            self._released.discard(worker)

    def _renew_or_open(
        self,
        wanted: Collection[str],
        now: float,
    ) -> list[LeaseAction]:
        retry_at = self._called_at + self.term / RETRIES_PER_TERM
        if not self.lease:
            if now < retry_at or not (wanted or self.lapsed):
                return []
            self._is_call_pending = True
            self._called_at = now
            return [OpenLease(self.term)]
        renew_at = self.expires_at - self.term + self.term / RENEWALS_PER_TERM
        if now < max(renew_at, retry_at):
            return []
        self._is_call_pending = True
        self._called_at = now
        return [RenewLease(self.lease)]

    def _claim(self, wanted: Collection[str]) -> list[LeaseAction]:
        unsettled = self._unanswered.union(self.lapsed)
        missing = unsettled.union(wanted).difference(self.held, self._released)
        new_claims = sorted(missing - self._calls)
        self._calls.update(new_claims)
        return [
            ClaimWorker(worker, self.lease, worker in unsettled)
            for worker in new_claims
        ]

    def _drop_released(self) -> list[LeaseAction]:
        due = sorted(self._released - self._calls)
        self._calls.update(due)
        return [DropRecord(worker, self.lease) for worker in due]

    def _lapse(self) -> list[LeaseAction]:
        self.lease = ''
        self._calls.clear()
        self._unanswered.clear()
        self._released.clear()
        self.lapsed.update(self.held)
        self.held.clear()
        return [StewardshipLapsed(worker) for worker in sorted(self.lapsed)]


def choose_steward(
    worker: str,
    zone: str,
    members: Collection[Member],
) -> str | None:
    """Return the live instance of the zone that should claim the worker."""
    candidates = [
        each.instance
        for each in members
        if each.zone == zone and each.state is MemberState.live
    ]
    if not candidates:
        return None
    return max(candidates, key=lambda name: _score(worker, name))


def _score(worker: str, instance: str) -> tuple[int, str]:
    text = f'{worker}\n{instance}'
    return (xxhash.xxh64_intdigest(text.encode()), instance)
