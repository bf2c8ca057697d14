"""Exchange status messages between instances several times a second.

In a small fleet each member sends its status to all others. In a larger one,
members send it to the hub of their zone. Hubs exchange the aggregated status
of their zones and forward it to their members, so that neither messages nor
bytes grow with the square of the fleet.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from mintlanding.coordination.store_era import NO_ERA
from mintlanding.core.logs import Logger
from mintlanding.links.mesh import Mesh
from mintlanding.links.messages import (
    Consent,
    MemberStatus,
    Status,
    UseReport,
    ZoneStatus,
)
from mintlanding.node.settings import FleetOptions
from mintlanding.node.view import MemberRecord, member_info
from mintlanding.quarantine.messages import SuspectPart
from mintlanding.quarantine.reports import combine_reports
from mintlanding.residency.authority import (
    MemberInfo,
    preferred_member,
    well_connected_members,
)
from mintlanding.residency.messages import WorkerDigest
from mintlanding.target_limits.messages import LimitReport
from mintlanding.target_limits.table import combine_limits

# Key that selects the hub of a zone by rendezvous hashing, as the names of
# workers select their holders.
_HUB = 'hub'
# Suspect parts, and as many requests, in the status of a zone.
_MAX_SUSPECTS = 50
# Own counters that are remembered, to subtract them from the sum of the zone.
_MAX_OWN_COUNTERS = 32

Counters = dict[str, float]


@dataclass(slots=True)
class ReceivedStatus:
    """The last status of a member: `at` is when it arrived here.

    `unreached` are the members from which it hears nothing.
    """

    incarnation: str
    sent_at: float
    at: float
    unreached: tuple[str, ...] = ()


@dataclass(slots=True)
class StatusSources:
    """Callables that return the parts of this instance's own status."""

    digests: Callable[[], tuple[WorkerDigest, ...]] = tuple
    admitted: Callable[[], Counters] = dict
    levels: Callable[[float], Counters] = lambda now: {}
    in_use: Callable[[], tuple[tuple[str, str, str], ...]] = tuple
    store_contact: Callable[[float], float] = lambda now: 0
    suspects: Callable[[float], tuple[SuspectPart, ...]] = lambda now: ()
    requests: Callable[[float], tuple[SuspectPart, ...]] = lambda now: ()
    limits: Callable[[float], tuple[LimitReport, ...]] = lambda now: ()
    brittle: Callable[[float], tuple[LimitReport, ...]] = lambda now: ()
    unreached: Callable[[float], tuple[str, ...]] = lambda now: ()
    leaving: Callable[[], tuple[tuple[str, int], ...]] = tuple
    asks_consent: Callable[[float], bool] = lambda now: False
    may_consent: Callable[[str], bool] = lambda member: True
    may_consent_in: Callable[[int], bool] = lambda era: True
    store_era: Callable[[float], tuple[int, float]] = lambda now: (0, 0)


@dataclass(slots=True)
class StatusListeners:
    """Callables that receive the parts of other members' statuses."""

    on_digests: Callable[[str, tuple[WorkerDigest, ...]], None] | None = None
    on_admitted: Callable[[str, Counters, float], None] | None = None
    on_levels: Callable[[Counters], None] | None = None
    on_store_contact: Callable[[float, float], None] = lambda seconds, now: None
    on_store_era: Callable[[int, float, float], None] = lambda era, age, now: (
        None
    )
    on_suspects: Callable[[tuple[SuspectPart, ...], float], None] = (
        lambda suspects, now: None
    )
    on_requests: Callable[[tuple[SuspectPart, ...], float], None] = (
        lambda requests, now: None
    )
    on_leaving: Callable[[tuple[str, int]], None] = lambda target: None
    on_limits: Callable[[tuple[LimitReport, ...], float], None] = (
        lambda limits, now: None
    )
    on_brittle: Callable[[tuple[LimitReport, ...], float], None] = (
        lambda brittle, now: None
    )
    on_adapter_use: (
        Callable[[str, tuple[tuple[str, str], ...]], None] | None
    ) = None
    on_new_incarnation: Callable[[], None] = lambda: None


@dataclass(slots=True)
class ZoneCounters:
    """Sum of a zone's counters, which stays monotonic when members change.

    `by_member` holds incarnation and counters of the last process of each
    member, also while it is silent; `ended` the sum of those before.
    """

    by_member: dict[str, tuple[str, Counters]] = field(default_factory=dict)
    ended: Counters = field(default_factory=dict)

    def update(self, member: str, incarnation: str, counters: Counters) -> None:
        """Replace the counters of a member's process."""
        before, last = self.by_member.get(member, (incarnation, {}))
        if before != incarnation:
            for workspace, amount in last.items():
                self.ended[workspace] = self.ended.get(workspace, 0) + amount
        self.by_member[member] = (incarnation, counters)

    def total(self) -> Counters:
        """Return the counters of the whole zone."""
        total = dict(self.ended)
        for _, counters in self.by_member.values():
            for workspace, amount in counters.items():
                total[workspace] = total.get(workspace, 0) + amount
        return total


class StatusExchange:
    """Send the status of this instance and track those of the others."""

    def __init__(
        self,
        instance: str,
        incarnation: str,
        zone: str,
        options: FleetOptions,
        link_mbps: float = 0,
    ) -> None:
        """Start without a status of any member."""
        self.received: dict[str, ReceivedStatus] = {}
        self.sources = StatusSources()
        self.listeners = StatusListeners()
        self.is_leaving = False
        self.mesh: Mesh | None = None
        self._instance = instance
        self._incarnation = incarnation
        self._zone = zone
        self._options = options
        self._link_mbps = link_mbps
        self._members: dict[str, MemberRecord] = {}
        self._hub_seen_at: dict[str, float] = {}
        self._statuses: dict[str, Status] = {}
        self._zones: dict[str, ZoneStatus] = {}
        self._zone_counters = ZoneCounters()
        self._own_counters: OrderedDict[float, Counters] = OrderedDict()
        self._logger = Logger('words')

    @property
    def uses_hubs(self) -> bool:
        """Tell whether statuses are exchanged through hubs."""
        return len(self._members) >= self._options.hub_threshold

    @property
    def interval(self) -> float:
        """Return the seconds between two statuses of a member."""
        if self.uses_hubs:
            return self._options.hub_interval
        return self._options.status_interval

    def set_members(self, members: dict[str, MemberRecord]) -> None:
        """Replace the other members."""
        self._members = dict(members)

    def is_reachable(self, member: str, now: float) -> bool:
        """Tell whether a member's last status is recent enough."""
        received = self.received.get(member)
        if received is None:
            return False
        timeout = self._options.member_timeout
        if self.uses_hubs:
            timeout = self._options.hub_timeout
        return now < received.at + timeout

    def unreached_by(self, member: str) -> tuple[str, ...]:
        """Return the members from which a member hears nothing, by itself."""
        received = self.received.get(member)
        return () if received is None else received.unreached

    def unreachable_zones(self, now: float) -> frozenset[str]:
        """Return the other zones none of whose members is reachable.

        Return none while the own zone is unreachable as well: then the fault
        is more likely here or at the hub.
        """
        received_at: dict[str, float] = {}
        for name, record in self._members.items():
            received = self.received.get(name)
            if received is not None:
                latest = received_at.get(record.zone, received.at)
                received_at[record.zone] = max(latest, received.at)
        since = now - self._options.zone_timeout
        if received_at.get(self._zone, now) < since:
            return frozenset()
        return frozenset(
            zone
            for zone, at in received_at.items()
            if zone != self._zone and at < since
        )

    def incarnation_of(self, member: str) -> str:
        """Return the latest known incarnation of a member."""
        if member == self._instance:
            return self._incarnation
        received = self.received.get(member)
        return '' if received is None else received.incarnation

    def send_status(self, now: float) -> None:
        """Send the own status to all members, or to the hub."""
        if self.mesh is None:
            return
        status = self._status(now)
        self._send_use_reports()
        if not self.uses_hubs:
            self.mesh.broadcast(status)
            return
        hub = self._hub(now)
        if hub != self._instance:
            self.mesh.send(hub, status)
            return
        self._statuses[self._instance] = status
        self._send_as_hub(now)

    def send_status_to(self, member: str, now: float) -> None:
        """Send the own status to a member whose link has just come up."""
        if self.mesh is not None:
            self.mesh.send(member, self._status(now))

    def receive_status(self, status: Status, now: float) -> None:
        """Process the status of a member and keep it for the zone's status.

        One that a later one has overtaken, on another link, tells nothing.
        """
        is_newer = self._record(
            MemberStatus(
                status.instance,
                status.incarnation,
                status.sent_at,
            ),
            status.unreached,
            now,
        )
        if not is_newer:
            return
        self.listeners.on_store_era(status.store_era, status.era_age, now)
        if status.asks_consent:
            self._send_consent(
                status.instance, status.sent_at, status.store_era
            )
        self._statuses[status.instance] = status
        self._notify_digests(status.instance, status.digests)
        self.listeners.on_store_contact(status.store_contact, now)
        self.listeners.on_suspects(status.suspects, now)
        self.listeners.on_limits(status.limits, now)
        self.listeners.on_brittle(status.brittle, now)
        self.listeners.on_requests(status.requests, now)
        self._notify_leaving(status.leaving)
        if not self.uses_hubs:
            member = f'{status.instance}/{status.incarnation}'
            self._notify_admitted(member, status.admitted, now)
            self._notify_levels(status.levels)

    def receive_zone_status(self, zone_status: ZoneStatus, now: float) -> None:
        """Process the aggregated status of a zone."""
        known = self._zones.get(zone_status.zone)
        if (
            known is not None
            and known.hub_incarnation == zone_status.hub_incarnation
            and known.sent_at >= zone_status.sent_at
        ):
            return
        self._zones[zone_status.zone] = zone_status
        if zone_status.zone == self._zone:
            self._hub_seen_at[zone_status.hub] = now
        self.listeners.on_store_era(
            zone_status.store_era, zone_status.era_age, now
        )
        for member in zone_status.members:
            if member.instance == self._instance:
                continue
            unreached = zone_status.unreached.get(member.instance, ())
            is_newer = self._record(member, unreached, now)
            if is_newer and member.asks_consent:
                era = zone_status.asking_eras.get(member.instance, NO_ERA)
                self._send_consent(member.instance, member.sent_at, era)
        self.listeners.on_store_contact(zone_status.store_contact, now)
        self.listeners.on_suspects(zone_status.suspects, now)
        self.listeners.on_limits(zone_status.limits, now)
        self.listeners.on_brittle(zone_status.brittle, now)
        self.listeners.on_requests(zone_status.requests, now)
        self._notify_leaving(zone_status.leaving)
        for instance, digest in zone_status.digests:
            if instance != self._instance:
                self._notify_digests(instance, (digest,))
        self._notify_admitted(
            zone_status.hub_incarnation, self._without_own(zone_status), now
        )
        self._notify_levels(zone_status.levels)

    def restart_timers(self, now: float) -> None:
        """Keep members reachable after a stall in which nothing was read."""
        for received in self.received.values():
            received.at = max(
                received.at, now - self._options.member_timeout / 2
            )

    def _status(self, now: float) -> Status:
        admitted = self.sources.admitted()
        self._own_counters[now] = admitted
        while len(self._own_counters) > _MAX_OWN_COUNTERS:
            self._own_counters.popitem(last=False)
        store_era, era_age = self.sources.store_era(now)
        return Status(
            instance=self._instance,
            incarnation=self._incarnation,
            sent_at=now,
            asks_consent=self.sources.asks_consent(now),
            digests=self.sources.digests(),
            admitted=admitted,
            levels=self.sources.levels(now),
            is_leaving=self.is_leaving,
            store_contact=self.sources.store_contact(now),
            suspects=self.sources.suspects(now),
            limits=self.sources.limits(now),
            requests=self.sources.requests(now),
            leaving=self.sources.leaving(),
            brittle=self.sources.brittle(now),
            unreached=self.sources.unreached(now),
            store_era=store_era,
            era_age=era_age,
        )

    def _send_use_reports(self) -> None:
        """Tell holders which of their adapters requests use without a grant."""
        found: dict[str, list[tuple[str, str]]] = {}
        for holder, worker, adapter in self.sources.in_use():
            found.setdefault(holder, []).append((worker, adapter))
        for holder, uses in found.items():
            if holder == self._instance and self.listeners.on_adapter_use:
                self.listeners.on_adapter_use(holder, tuple(uses))
            elif self.mesh is not None:
                self.mesh.send(holder, UseReport(self._instance, tuple(uses)))

    def _hub(self, now: float) -> str:
        """Return the hub of the zone; this instance, if there is no other."""
        candidates = [
            member_info(each)
            for each in self._members.values()
            if each.zone == self._zone and self._may_be_hub(each, now)
        ]
        own = MemberInfo(
            self._instance,
            self._zone,
            self.is_leaving,
            self._link_mbps,
        )
        connected = well_connected_members((*candidates, own))
        return preferred_member(_HUB, self._zone, connected) or self._instance

    def _may_be_hub(self, record: MemberRecord, now: float) -> bool:
        if record.is_leaving:
            return False
        # Each candidate is tried for one timeout, and while it sends as a hub.
        seen_at = self._hub_seen_at.setdefault(record.instance, now)
        return now < seen_at + self._options.hub_timeout

    def _send_as_hub(self, now: float) -> None:
        """Send the zone's status to other hubs and all statuses to the zone."""
        zone_status = self._zone_status(now)
        self._zones[self._zone] = zone_status
        self._notify_admitted(
            zone_status.hub_incarnation, self._without_own(zone_status), now
        )
        self._notify_levels(zone_status.levels)
        others = [
            each for zone, each in self._zones.items() if zone != self._zone
        ]
        mesh = self.mesh
        if mesh is None:
            return
        for record in self._members.values():
            if record.zone == self._zone:
                for each in (zone_status, *others):
                    mesh.send(record.instance, each)
        for hub in self._other_hubs():
            mesh.send(hub, zone_status)

    def _other_hubs(self) -> set[str]:
        """Return the hubs of other zones: the last known and the preferred."""
        zones: dict[str, list[MemberInfo]] = {}
        for record in self._members.values():
            if record.zone != self._zone:
                zones.setdefault(record.zone, []).append(member_info(record))
        hubs = set()
        for zone, infos in zones.items():
            connected = well_connected_members(infos)
            hubs.add(preferred_member(_HUB, zone, connected))
            known = self._zones.get(zone)
            if known is not None:
                hubs.add(known.hub)
        return hubs - {''}

    def _zone_status(self, now: float) -> ZoneStatus:
        live = {
            name: status
            for name, status in self._statuses.items()
            if name == self._instance or self._is_reachable_in_zone(name, now)
        }
        self._statuses = live
        for status in live.values():
            self._zone_counters.update(
                status.instance, status.incarnation, status.admitted
            )
        store_era, era_age = self.sources.store_era(now)
        return ZoneStatus(
            zone=self._zone,
            hub=self._instance,
            hub_incarnation=f'{self._instance}/{self._incarnation}',
            sent_at=now,
            members=tuple(
                MemberStatus(
                    each.instance,
                    each.incarnation,
                    each.sent_at,
                    each.asks_consent,
                )
                for each in live.values()
            ),
            digests=tuple(
                (each.instance, digest)
                for each in live.values()
                for digest in each.digests
            ),
            admitted=self._zone_counters.total(),
            levels=_mean([each.levels for each in live.values()]),
            store_contact=max(each.store_contact for each in live.values()),
            suspects=combine_reports(
                (
                    (report, self._delay(each.instance, now))
                    for each in live.values()
                    for report in each.suspects
                ),
                _MAX_SUSPECTS,
            ),
            limits=combine_limits(
                (report, self._delay(each.instance, now))
                for each in live.values()
                for report in each.limits
            ),
            requests=combine_reports(
                (
                    (report, self._delay(each.instance, now))
                    for each in live.values()
                    for report in each.requests
                ),
                _MAX_SUSPECTS,
            ),
            leaving=tuple(
                sorted({key for each in live.values() for key in each.leaving})
            ),
            brittle=combine_limits(
                (report, self._delay(each.instance, now))
                for each in live.values()
                for report in each.brittle
            ),
            unreached={
                each.instance: each.unreached
                for each in live.values()
                if each.unreached
            },
            store_era=store_era,
            era_age=era_age,
            asking_eras={
                each.instance: each.store_era
                for each in live.values()
                if each.asks_consent
            },
        )

    def _delay(self, member: str, now: float) -> float:
        """Return the seconds since the last status of a member arrived."""
        received = self.received.get(member)
        return 0 if received is None else max(0, now - received.at)

    def _is_reachable_in_zone(self, member: str, now: float) -> bool:
        record = self._members.get(member)
        is_in_zone = record is not None and record.zone == self._zone
        return is_in_zone and self.is_reachable(member, now)

    def _without_own(self, zone_status: ZoneStatus) -> Counters:
        """Return the counters of a zone without those of this instance."""
        if zone_status.zone != self._zone:
            return zone_status.admitted
        for member in zone_status.members:
            if member.instance == self._instance:
                own = self._own_counters.get(member.sent_at)
                if member.incarnation != self._incarnation or own is None:
                    return {}
                return {
                    name: amount - own.get(name, 0)
                    for name, amount in zone_status.admitted.items()
                }
        return {}

    def _record(
        self, status: MemberStatus, unreached: tuple[str, ...], now: float
    ) -> bool:
        """Record a status; return false if it is no newer than the last one."""
        known = self.received.get(status.instance)
        if known is not None and not self._is_later(known, status, now):
            return False
        self.received[status.instance] = ReceivedStatus(
            status.incarnation, status.sent_at, now, unreached
        )
        if known is None or known.incarnation != status.incarnation:
            self.listeners.on_new_incarnation()
        return True

    def _is_later(
        self, known: ReceivedStatus, status: MemberStatus, now: float
    ) -> bool:
        """Tell whether a status was sent after the last known one.

        Clocks of processes on one machine can be compared. Elsewhere a new
        process may have an earlier time, but then the former one is silent.
        """
        if status.sent_at > known.sent_at:
            return True
        if status.incarnation == known.incarnation:
            return False
        return now >= known.at + self._options.member_timeout

    def _send_consent(self, member: str, sent_at: float, era: int) -> None:
        sources = self.sources
        if self.mesh is None or not sources.may_consent_in(era):
            return
        if sources.may_consent(member):
            self.mesh.send(member, Consent(sent_at))

    def _notify_leaving(self, targets: tuple[tuple[str, int], ...]) -> None:
        for target in targets:
            self.listeners.on_leaving(target)

    def _notify_digests(
        self,
        instance: str,
        digests: tuple[WorkerDigest, ...],
    ) -> None:
        if self.listeners.on_digests is not None and digests:
            self.listeners.on_digests(instance, digests)

    def _notify_admitted(
        self, source: str, counters: Counters, now: float
    ) -> None:
        if self.listeners.on_admitted is not None and counters:
            self.listeners.on_admitted(source, counters, now)

    def _notify_levels(self, levels: Counters) -> None:
        if self.listeners.on_levels is not None and levels:
            self.listeners.on_levels(levels)


def _mean(parts: list[Counters]) -> Counters:
    found: dict[str, list[float]] = {}
    for part in parts:
        for name, amount in part.items():
            found.setdefault(name, []).append(amount)
    return {key: sum(each) / len(each) for key, each in found.items()}
