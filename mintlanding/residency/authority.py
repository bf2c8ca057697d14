"""Who may order at a worker, and until when.

Engines do not compare fencing numbers, so that two instances must never
order in turn within `min_order_gap`. An instance holds a worker by a record in
the store; the record may be taken over only once the lease of the holder's
member entry has ended, and by an instance that has not heard of the holder for
`silence`. The holder orders while either of two things is surely true: its
lease has not ended, or no other member can take over yet, because each has told
that it heard of the holder lately.

Times are seconds of a clock that goes on while the machine is suspended.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash


@dataclass(frozen=True, slots=True)
class AuthorityOptions:
    """How long authority lasts, in seconds.

    `lease`: life of a member's lease. `silence`: how long a holder must be
    unheard of before another takes over. `hold`: how long after its last
    renewal, or the last word that each member has heard, a holder orders.
    `min_order_gap`: least time between orders of two holders; the users' bound.
    `slack`: for the time that an order may spend on its way. `absence`: how
    long a holder's entry must be gone before an instance of another zone, or
    one that has not heard of it for `memory`, takes over; a little more than
    an outage of a zone lasts.
    """

    lease: float = 2
    silence: float = 2
    hold: float = 1.3
    min_order_gap: float = 3
    slack: float = 0.4
    absence: float = 12
    memory: float = 8

    @property
    def zone_hold(self) -> float:
        """Return how long after its lease a holder needs its zone only."""
        return self.lease + self.absence - self.min_order_gap - self.slack

    @property
    def takeover_delay(self) -> float:
        """Return how long a new holder waits after a holder that is gone."""
        unused = min(self.lease, self.silence) - self.hold
        return max(0, self.min_order_gap - unused + self.slack)

    @property
    def handover_wait(self) -> float:
        """Return how long a new holder waits after one that let go."""
        return self.min_order_gap + self.slack


@dataclass(slots=True)
class OrderAuthority:
    """Until when this instance may order at the workers that it holds."""

    options: AuthorityOptions
    _renewed: float = float('-inf')
    _consents: dict[str, float] = field(default_factory=dict)
    _near: frozenset[str] = frozenset()
    _far: frozenset[str] = frozenset()

    def renewed(self, sent_at: float) -> None:
        """Note a renewal of the lease by when its call was sent."""
        self._renewed = max(self._renewed, sent_at)

    def lost(self) -> None:
        """Note that the lease has ended; members may still consent."""
        self._renewed = float('-inf')

    def record_ack(self, member: str, told_at: float) -> None:
        """Note that a member has heard what was told at a time."""
        before = self._consents.get(member, float('-inf'))
        self._consents[member] = max(before, told_at)

    def set_members(self, near: Iterable[str], far: Iterable[str]) -> None:
        """Take everyone who could take over, by zone: the own and others."""
        self._near = frozenset(near)
        self._far = frozenset(far)

    def needs_member_acks(self, now: float) -> bool:
        """Tell whether the lease was not renewed for half of the hold."""
        return now > self._renewed + self.options.hold / 2

    def until(self) -> float:
        """Return when the authority ends."""
        by_lease = self._renewed + self.options.hold
        by_zone = min(
            self._consented(self._near),
            self._renewed + self.options.zone_hold,
        )
        by_all = self._consented(self._near | self._far)
        if not self._near | self._far:
            by_all = by_lease
        return max(by_lease, by_zone, by_all)

    def _consented(self, members: Iterable[str]) -> float:
        """Return until when all of some members let this one order."""
        never = float('-inf')
        told = [self._consents.get(each, never) for each in members]
        return min(told, default=float('inf')) + self.options.hold


@dataclass(frozen=True, slots=True)
class OwnershipRecord:
    """Who holds a worker; an empty holder has let go.

    A settled holder has waited out the one before it, from whom the worker
    was taken.
    """

    holder: str
    revision: int
    is_settled: bool = False
    previous: str = ''


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """A member, its zone and how much its link carries."""

    member: str
    zone: str
    is_leaving: bool = False
    link_mbps: float = 0


@dataclass(frozen=True, slots=True)
class WorkerClaim:
    """A worker to take, and how long to wait before the first order."""

    worker: str
    revision: int
    previous: str
    wait: float


@dataclass(frozen=True, slots=True)
class ClaimContext:
    """What a choice of claims depends on.

    `heard` is when each member was last heard of, `gone` when its entry was
    seen to be missing, `joined` when this instance began to look.
    `unreachable` are workers that this instance cannot reach.
    """

    me: str
    zone: str
    joined: float
    zones: Mapping[str, str]
    records: Mapping[str, OwnershipRecord]
    members: Mapping[str, MemberInfo]
    heard: Mapping[str, float]
    gone: Mapping[str, float]
    unreachable: frozenset[str] = frozenset()


def choose_claims(
    view: ClaimContext,
    options: AuthorityOptions,
    now: float,
) -> list[WorkerClaim]:
    """Return the workers that this instance takes now."""
    claims = []
    for worker, zone in view.zones.items():
        record = view.records.get(worker, OwnershipRecord('', 0))
        is_near = zone == view.zone
        if worker in view.unreachable:
            continue
        if not _is_free(record, view, options, now, is_near=is_near):
            continue
        if preferred_member(worker, zone, view.members.values()) != view.me:
            continue
        wait = (
            options.takeover_delay if record.holder else options.handover_wait
        )
        claims.append(
            WorkerClaim(
                worker,
                record.revision,
                record.holder,
                wait if record.revision else 0,
            ),
        )
    return claims


def preferred_member(
    worker: str,
    zone: str,
    members: Iterable[MemberInfo],
) -> str:
    """Return the member that should hold a worker, by rendezvous hashing."""
    staying = [each for each in members if not each.is_leaving]
    near = [each for each in staying if each.zone == zone]
    return max(
        (each.member for each in near or staying),
        key=lambda member: xxhash.xxh64_intdigest(
            f'{worker}|{member}'.encode(),
        ),
        default='',
    )


def well_connected_members(members: Iterable[MemberInfo]) -> list[MemberInfo]:
    """Return the members whose links carry half of the widest or more.

    A duty for a whole zone would fill the narrowest links.
    """
    found = list(members)
    widest = max((each.link_mbps for each in found), default=0)
    return [each for each in found if each.link_mbps * 2 >= widest]


def _is_free(
    record: OwnershipRecord,
    view: ClaimContext,
    options: AuthorityOptions,
    now: float,
    *,
    is_near: bool,
) -> bool:
    holder = record.holder
    if holder == view.me or holder in view.members:
        return False
    if not holder:
        return True
    heard = view.heard.get(holder, float('-inf'))
    if now < heard + options.silence:
        return False
    # Only who was in touch with the holder lately had a say in its orders.
    if is_near and now < heard + options.memory:
        return True
    gone = max(view.gone.get(holder, view.joined), view.joined)
    return now >= gone + options.absence
