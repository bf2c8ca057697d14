"""Exclusive stewardship of workers by leases of the key-value service.

An agent holds one lease. For each worker it is steward of it has created one
record under that lease; the index that the service gave the record is the
fencing number. A lease counts from before the call that renewed it was sent,
so it always ends here no later than at the service.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

import xxhash

from mintlanding.membership.models import Member, MemberState

RENEWALS_PER_TERM = 3
RETRIES_PER_TERM = 10


@dataclass(frozen=True, slots=True)
class OpenLease:
    """Ask the service for a lease of `seconds`."""

    seconds: float


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Ask the service to renew a lease."""

    lease: str


@dataclass(frozen=True, slots=True)
class ClaimWorker:
    """Create the steward's record of a worker under the lease."""

    worker: str
    lease: str


@dataclass(frozen=True, slots=True)
class StewardshipWon:
    """This agent is now steward under a fencing number."""

    worker: str
    fencing: int


@dataclass(frozen=True, slots=True)
class StewardshipLapsed:
    """The lease ran out; another agent may be steward by now."""

    worker: str


@dataclass(frozen=True, slots=True)
class StewardshipLost:
    """Another agent is steward."""

    worker: str


LeaseAction = (
    OpenLease
    | RenewLease
    | ClaimWorker
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
    _is_busy: bool = False
    _called_at: float = float('-inf')
    _claims: set[str] = field(default_factory=set)

    def is_valid(self, now: float) -> bool:
        """Tell whether the lease certainly stands at the service."""
        return bool(self.lease) and now < self.expires_at

    def tick(self, wanted: Collection[str], now: float) -> list[LeaseAction]:
        """Renew in time, lapse when too late, claim what is wanted."""
        actions: list[LeaseAction] = []
        if self.lease and not self.is_valid(now):
            actions.extend(self._lapse())
        if not self._is_busy:
            actions.extend(self._keep(wanted, now))
        if self.is_valid(now):
            actions.extend(self._claim(wanted))
        return actions

    def lease_opened(self, lease: str, now: float) -> None:
        """Take the answer to OpenLease, or its absence (empty `lease`)."""
        self._is_busy = False
        if not lease:
            return
        self.lease = lease
        self.expires_at = self._called_at + self.term

    def lease_renewed(self, lease: str, is_kept: bool) -> list[LeaseAction]:
        """Take the answer to RenewLease."""
        self._is_busy = False
        if lease != self.lease:
            return []
        if not is_kept:
            return self._lapse()
        self.expires_at = self._called_at + self.term
        return []

    def renewal_unanswered(self) -> None:
        """Note that RenewLease got no answer; the old term goes on."""
        self._is_busy = False

    def worker_claimed(
        self,
        worker: str,
        lease: str,
        fencing: int,
    ) -> list[LeaseAction]:
        """Take the answer to ClaimWorker; `fencing` 0 means it failed."""
        self._claims.discard(worker)
        is_ours = lease == self.lease and fencing > 0
        if is_ours:
            self.lapsed.pop(worker, None)
            self.held[worker] = fencing
            return [StewardshipWon(worker, fencing)]
        if worker in self.lapsed:
            self.lapsed.pop(worker)
            return [StewardshipLost(worker)]
        return []

    def _keep(
        self,
        wanted: Collection[str],
        now: float,
    ) -> list[LeaseAction]:
        retry_at = self._called_at + self.term / RETRIES_PER_TERM
        if not self.lease:
            if now < retry_at or not (wanted or self.lapsed):
                return []
            self._is_busy = True
            self._called_at = now
            return [OpenLease(self.term)]
        renew_at = self.expires_at - self.term + self.term / RENEWALS_PER_TERM
        if now < max(renew_at, retry_at):
            return []
        self._is_busy = True
        self._called_at = now
        return [RenewLease(self.lease)]

    def _claim(self, wanted: Collection[str]) -> list[LeaseAction]:
        missing = (set(wanted) | set(self.lapsed)) - set(self.held)
        fresh = sorted(missing - self._claims)
        self._claims.update(fresh)
        return [ClaimWorker(worker, self.lease) for worker in fresh]

    def _lapse(self) -> list[LeaseAction]:
        self.lease = ''
        self._claims.clear()
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
