"""Which instance may send orders to a worker, and until when.

Engines do not compare fencing tokens, so orders of two instances must be at
least `min_order_gap` apart. An instance holds a worker by an ownership record
in the store. Another instance may take the record over only after the lease of
the holder's membership record has ended, and only if it has received nothing
from the holder for `contact_timeout`. The holder may send orders while one of
two things is certain: its lease has not ended, or no other member can take over
yet, because each has acknowledged a recent status message of the holder.

Times are seconds of a clock that goes on while the machine is suspended.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import xxhash

# Seconds for which a member that should claim a worker may take to do so before
# the next one does, more than a record needs to reach all members.
_CLAIM_PAUSE = 1.5
# Members of one zone, or of the other ones, that are waited for.
_MAX_CLAIMANTS = 3


@dataclass(frozen=True, slots=True)
class AuthorityOptions:
    """How long authority lasts, in seconds.

    `lease`: duration of a member's lease. `contact_timeout`: how long a member
    must have received nothing from the holder before it takes over. `validity`:
    how long a holder may send orders after its last renewal, or after the last
    status message that each member has acknowledged. `min_order_gap`: least
    time between orders of two holders, as the users require. `slack`: for the
    time that an order may be in transit. `absence_timeout`: how long a holder's
    membership record must be gone before an instance takes over that is in
    another zone, or that has received nothing from the holder for
    `contact_memory`; a little more than an outage of a zone lasts.
    """

    lease: float = 2
    contact_timeout: float = 2
    validity: float = 1.3
    min_order_gap: float = 3
    slack: float = 0.4
    absence_timeout: float = 12
    contact_memory: float = 8

    @property
    def zone_hold(self) -> float:
        """Return how long after a renewal the acks of the zone suffice."""
        return (
            self.lease + self.absence_timeout - self.min_order_gap - self.slack
        )

    @property
    def takeover_delay(self) -> float:
        """Return the wait before the first order after an absent holder."""
        unused = min(self.lease, self.contact_timeout) - self.validity
        return max(0, self.min_order_gap - unused + self.slack)

    @property
    def era_delay(self) -> float:
        """Return the pause of orders after the store's era has changed.

        Members that consented just before it was seen here may let another
        holder send orders for as long as a consent is valid.
        """
        return self.min_order_gap + self.validity + self.slack

    @property
    def handover_delay(self) -> float:
        """Return the wait before the first order after a released worker."""
        return self.min_order_gap + self.slack


@dataclass(slots=True)
class OrderAuthority:
    """Until when this instance may send orders to the workers it holds."""

    options: AuthorityOptions
    _renewed: float = float('-inf')
    _restarted: float = float('-inf')
    _consents: dict[str, float] = field(default_factory=dict)
    _zone_members: frozenset[str] = frozenset()
    _other_members: frozenset[str] = frozenset()

    def record_renewal(self, sent_at: float) -> None:
        """Record a renewal of the lease, by the time its call was sent."""
        self._renewed = max(self._renewed, sent_at)

    def record_lease_end(self) -> None:
        """Record that the lease has ended; members may still consent."""
        self._renewed = float('-inf')

    def restart(self, now: float) -> None:
        """Forget the lease and all consents to statuses sent until now."""
        self._restarted = now
        self._consents.clear()
        self.record_lease_end()

    def record_ack(self, member: str, sent_at: float) -> None:
        """Record that a member acknowledged the status sent at `sent_at`."""
        if sent_at <= self._restarted:
            return
        before = self._consents.get(member, float('-inf'))
        self._consents[member] = max(before, sent_at)

    def set_members(self, near: Iterable[str], far: Iterable[str]) -> None:
        """Set the members that could take over, in this zone and in others."""
        self._zone_members = frozenset(near)
        self._other_members = frozenset(far)

    def needs_member_acks(self, now: float) -> bool:
        """Return whether the lease was not renewed for half of `validity`."""
        return now > self._renewed + self.options.validity / 2

    def until(self) -> float:
        """Return when the authority ends."""
        by_lease = self._renewed + self.options.validity
        by_zone = min(
            self._consented(self._zone_members),
            self._renewed + self.options.zone_hold,
        )
        by_all = self._consented(self._zone_members | self._other_members)
        if not self._zone_members | self._other_members:
            by_all = by_lease
        return max(by_lease, by_zone, by_all)

    def _consented(self, members: Iterable[str]) -> float:
        """Return until when all the given members consent to orders."""
        never = float('-inf')
        sent = [self._consents.get(each, never) for each in members]
        return min(sent, default=float('inf')) + self.options.validity


@dataclass(frozen=True, slots=True)
class OwnershipRecord:
    """The holder of a worker; with an empty one, `previous` has released it.

    A settled holder has waited as long as it must after the previous holder,
    from which it took the worker. `wait`: seconds that the next holder must let
    pass after a release, None if that is unknown. `fence`: lower bound of the
    holder's fencing token. `claimed_token`: that token itself, if the holder
    has written the record again since it took the worker.
    """

    holder: str
    revision: int
    is_settled: bool = False
    previous: str = ''
    wait: float | None = None
    fence: int = 0
    claimed_token: int = 0

    @property
    def token(self) -> int:
        """Return the fencing token of the holder's orders.

        It rises with each claim, also when revisions do not, and stays the same
        until the next one: orders may reach a worker in any order.
        """
        return self.claimed_token or max(self.revision, self.fence)


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """A member, its zone and the bandwidth of its link.

    One that is cut off reaches less than half of the targets.
    """

    member: str
    zone: str
    is_leaving: bool = False
    link_mbps: float = 0
    is_cut_off: bool = False


@dataclass(frozen=True, slots=True)
class WorkerClaim:
    """A worker to take, and how long to wait before the first order to it."""

    worker: str
    revision: int
    previous: str
    wait: float


@dataclass(frozen=True, slots=True)
class ClaimContext:
    """What the choice of workers to claim depends on.

    `last_received`: when something was last received from each member.
    `absent_since`: when its membership record was found to be missing.
    `joined`: when this instance started to watch. `unreachable`: workers that
    this instance cannot reach. `free_since`: when workers were first found to
    be free to claim. `unrecorded_wait`: seconds before the first order to a
    worker without a record.
    """

    me: str
    zone: str
    joined: float
    zones: Mapping[str, str]
    records: Mapping[str, OwnershipRecord]
    members: Mapping[str, MemberInfo]
    last_received: Mapping[str, float]
    absent_since: Mapping[str, float]
    unreachable: frozenset[str] = frozenset()
    free_since: Mapping[str, float] = field(default_factory=dict)
    unrecorded_wait: float = 0


def free_workers(
    view: ClaimContext,
    options: AuthorityOptions,
    now: float,
) -> list[str]:
    """Return the workers that any member may claim now."""
    return [
        worker
        for worker, zone in view.zones.items()
        if _is_free(
            _record(view, worker),
            view,
            options,
            now,
            is_near=zone == view.zone,
        )
    ]


def choose_claims(
    view: ClaimContext,
    options: AuthorityOptions,
    now: float,
) -> list[WorkerClaim]:
    """Return the workers that this instance should claim now.

    The preferred member of a worker claims it at once. It may be unable to,
    since it does not reach the worker; the next ones do after a pause each.
    """
    claims = []
    claimants = _Claimants.from_members(view.members.values())
    for worker in free_workers(view, options, now):
        if worker in view.unreachable:
            continue
        record = _record(view, worker)
        released_by = '' if record.holder else record.previous
        free_for = now - view.free_since.get(worker, now)
        if not claimants.is_turn(
            view.me, worker, view.zones[worker], released_by, free_for
        ):
            continue
        wait = view.unrecorded_wait
        if worker in view.records:
            wait = _wait_after(record, options)
        claims.append(WorkerClaim(worker, record.revision, record.holder, wait))
    return claims


def _wait_after(record: OwnershipRecord, options: AuthorityOptions) -> float:
    """Return how long the next holder waits before its first order."""
    if record.holder:
        return options.takeover_delay
    if record.wait is None:
        return options.handover_delay
    return min(record.wait, options.handover_delay)


def _record(view: ClaimContext, worker: str) -> OwnershipRecord:
    return view.records.get(worker, OwnershipRecord('', 0))


@dataclass(frozen=True, slots=True)
class _Claimants:
    """The members that may claim workers, in the order in which they should.

    Those of the worker's zone come first, then those of other zones, at last
    those that are cut off and the one that has released the worker.
    """

    by_zone: dict[str, list[str]]
    cut_off: list[str]

    @classmethod
    def from_members(cls, members: Iterable[MemberInfo]) -> '_Claimants':
        """Leave out the members that are leaving."""
        found = cls({}, [])
        for each in members:
            if each.is_cut_off and not each.is_leaving:
                found.cut_off.append(each.member)
            elif not each.is_leaving:
                found.by_zone.setdefault(each.zone, []).append(each.member)
        return found

    def is_turn(
        self,
        member: str,
        worker: str,
        zone: str,
        released_by: str,
        free_for: float,
    ) -> bool:
        """Tell whether those before a member had time to claim a worker."""
        ahead = 0
        for tier in self._tiers(zone, released_by):
            if ahead * _CLAIM_PAUSE > free_for:
                return False
            if member in tier:
                weight = _rendezvous_weight(worker, member)
                ahead += sum(
                    _rendezvous_weight(worker, each) > weight for each in tier
                )
                return ahead * _CLAIM_PAUSE <= free_for
            ahead += min(len(tier), _MAX_CLAIMANTS)
        return False

    def _tiers(self, zone: str, released_by: str) -> Iterator[list[str]]:
        """Yield the members of each rank; the later ones are rarely needed."""
        near = self.by_zone.get(zone, [])
        yield [each for each in near if each != released_by]
        far = [
            member
            for name, members in self.by_zone.items()
            for member in members
            if name != zone
        ]
        yield [each for each in far if each != released_by]
        sound = {*near, *far}
        yield [*self.cut_off, *sound.intersection((released_by,))]


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
        key=lambda member: _rendezvous_weight(worker, member),
        default='',
    )


def _rendezvous_weight(worker: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f'{worker}|{member}'.encode())


def well_connected_members(members: Iterable[MemberInfo]) -> list[MemberInfo]:
    """Return the members with at least half of the widest link's bandwidth.

    Work for a whole zone would saturate the narrowest links.
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
    last_received = view.last_received.get(holder, float('-inf'))
    if now < last_received + options.contact_timeout:
        return False
    # The holder needed the consent only of members it was recently in
    # contact with; any other member has to wait for the long absence.
    if is_near and now < last_received + options.contact_memory:
        return True
    absent_since = max(view.absent_since.get(holder, view.joined), view.joined)
    return now >= absent_since + options.absence_timeout
