"""What members tell each other several times a second.

In a small fleet each member speaks to all. In a larger one members speak to
the hub of their zone; hubs exchange what their zones said, and pass it on, so
that neither messages nor bytes grow with the square of the fleet.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from mintlanding.core.logs import Logger
from mintlanding.links.mesh import Mesh
from mintlanding.links.messages import (
    Consent,
    MemberWord,
    Status,
    UseReport,
    ZoneWord,
)
from mintlanding.node.settings import FleetOptions
from mintlanding.node.view import MemberRecord, member_info
from mintlanding.residency.authority import (
    MemberInfo,
    preferred_member,
    well_connected_members,
)
from mintlanding.residency.messages import WorkerDigest

# What the hub of a zone is chosen for, among the names of workers.
_HUB = 'hub'
# Own counters that are kept, to take them out of the sum of the zone.
_KEPT_COUNTERS = 32

Counters = dict[str, float]


@dataclass(slots=True)
class Heard:
    """The last word of a member and when it came."""

    boot: str
    sent_at: float
    at: float


@dataclass(slots=True)
class Sources:
    """Where the parts of an instance's own word come from."""

    digests: Callable[[], tuple[WorkerDigest, ...]] = tuple
    admitted: Callable[[], Counters] = dict
    levels: Callable[[float], Counters] = lambda now: {}
    in_use: Callable[[], tuple[tuple[str, str, str], ...]] = tuple
    asks_consent: Callable[[float], bool] = lambda now: False
    may_consent: Callable[[str], bool] = lambda member: True


@dataclass(slots=True)
class Listeners:
    """Who takes what members told."""

    on_digests: Callable[[str, tuple[WorkerDigest, ...]], None] | None = None
    on_admitted: Callable[[str, Counters, float], None] | None = None
    on_levels: Callable[[Counters], None] | None = None
    on_use: Callable[[str, tuple[tuple[str, str], ...]], None] | None = None
    on_met: Callable[[], None] = lambda: None


@dataclass(slots=True)
class ZoneSum:
    """Counters of a zone, which never fall when members come and go."""

    parts: dict[str, Counters] = field(default_factory=dict)
    past: Counters = field(default_factory=dict)

    def take(self, member: str, boot: str, counters: Counters) -> None:
        """Take the counters of a member's process."""
        self.parts[f'{member}/{boot}'] = counters

    def drop(self, members: set[str]) -> None:
        """Keep the sums of processes that are gone."""
        for name in [each for each in self.parts if each not in members]:
            for workspace, amount in self.parts.pop(name).items():
                self.past[workspace] = self.past.get(workspace, 0) + amount

    def total(self) -> Counters:
        """Return the counters of the whole zone."""
        found = dict(self.past)
        for part in self.parts.values():
            for workspace, amount in part.items():
                found[workspace] = found.get(workspace, 0) + amount
        return found


class Words:
    """Speak and listen."""

    def __init__(
        self,
        instance: str,
        boot: str,
        zone: str,
        options: FleetOptions,
        link_mbps: float = 0,
    ) -> None:
        """Begin without having heard anyone."""
        self.heard: dict[str, Heard] = {}
        self.sources = Sources()
        self.listeners = Listeners()
        self.is_leaving = False
        self.mesh: Mesh | None = None
        self._instance = instance
        self._boot = boot
        self._zone = zone
        self._options = options
        self._link_mbps = link_mbps
        self._members: dict[str, MemberRecord] = {}
        self._hub_at: dict[str, float] = {}
        self._statuses: dict[str, Status] = {}
        self._zones: dict[str, ZoneWord] = {}
        self._sum = ZoneSum()
        self._counters: OrderedDict[float, Counters] = OrderedDict()
        self._logger = Logger('words')

    @property
    def is_large(self) -> bool:
        """Tell whether the fleet speaks through hubs."""
        return len(self._members) >= self._options.hub_members

    def set_members(self, members: dict[str, MemberRecord]) -> None:
        """Take the other members."""
        self._members = dict(members)

    def is_heard(self, member: str, now: float) -> bool:
        """Tell whether a member was heard of lately."""
        heard = self.heard.get(member)
        if heard is None:
            return False
        silence = self._options.silence
        if self.is_large:
            silence = self._options.hub_silence
        return now < heard.at + silence

    def silent_zones(self, now: float) -> frozenset[str]:
        """Return the other zones that nobody was heard of lately.

        None while the own zone is silent as well, since then the fault is
        likelier here or at the hub.
        """
        heard_at: dict[str, float] = {}
        for name, record in self._members.items():
            heard = self.heard.get(name)
            if heard is not None:
                before = heard_at.get(record.zone, heard.at)
                heard_at[record.zone] = max(before, heard.at)
        since = now - self._options.zone_silence
        if heard_at.get(self._zone, now) < since:
            return frozenset()
        return frozenset(
            zone
            for zone, at in heard_at.items()
            if zone != self._zone and at < since
        )

    def boot_of(self, member: str) -> str:
        """Return the process of a member that was heard last."""
        if member == self._instance:
            return self._boot
        heard = self.heard.get(member)
        return '' if heard is None else heard.boot

    def speak(self, now: float) -> None:
        """Tell the own word."""
        if self.mesh is None:
            return
        status = self._status(now)
        self._report_use()
        if not self.is_large:
            self.mesh.broadcast(status)
            return
        hub = self._hub(now)
        if hub != self._instance:
            self.mesh.send(hub, status)
            return
        self._statuses[self._instance] = status
        self._speak_as_hub(now)

    def greet(self, member: str, now: float) -> None:
        """Tell the own word to a member that has just been reached."""
        if self.mesh is not None:
            self.mesh.send(member, self._status(now))

    def hear(self, status: Status, now: float) -> None:
        """Take a member's own word; pass it on if this is its hub."""
        self._note(status.instance, status.boot, status.sent_at, now)
        if status.asks_consent:
            self._consent(status.instance, status.sent_at)
        self._statuses[status.instance] = status
        self._hand_out(status.instance, status.digests)
        if not self.is_large:
            member = f'{status.instance}/{status.boot}'
            self._charge(member, status.admitted, now)
            self._level(status.levels)

    def hear_zone(self, word: ZoneWord, now: float) -> None:
        """Take the word of a zone."""
        known = self._zones.get(word.zone)
        if (
            known is not None
            and known.hub == word.hub
            and known.sent_at >= word.sent_at
        ):
            return
        self._zones[word.zone] = word
        if word.zone == self._zone:
            self._hub_at[word.hub] = now
        for member in word.members:
            if member.instance == self._instance:
                continue
            fresh = self._note(
                member.instance,
                member.boot,
                member.sent_at,
                now,
            )
            if fresh and member.asks_consent:
                self._consent(member.instance, member.sent_at)
        for instance, digest in word.digests:
            if instance != self._instance:
                self._hand_out(instance, (digest,))
        self._charge(word.hub_boot, self._of_others(word), now)
        self._level(word.levels)

    def forgive_silence(self, now: float) -> None:
        """Count nobody as silent for a time in which nobody was listened to."""
        for heard in self.heard.values():
            heard.at = max(heard.at, now - self._options.silence / 2)

    def _status(self, now: float) -> Status:
        admitted = self.sources.admitted()
        self._counters[now] = admitted
        while len(self._counters) > _KEPT_COUNTERS:
            self._counters.popitem(last=False)
        return Status(
            instance=self._instance,
            boot=self._boot,
            sent_at=now,
            asks_consent=self.sources.asks_consent(now),
            digests=self.sources.digests(),
            admitted=admitted,
            levels=self.sources.levels(now),
            is_leaving=self.is_leaving,
        )

    def _report_use(self) -> None:
        """Tell holders of requests that their process has not granted."""
        found: dict[str, list[tuple[str, str]]] = {}
        for holder, worker, adapter in self.sources.in_use():
            found.setdefault(holder, []).append((worker, adapter))
        for holder, uses in found.items():
            if holder == self._instance and self.listeners.on_use:
                self.listeners.on_use(holder, tuple(uses))
            elif self.mesh is not None:
                self.mesh.send(holder, UseReport(self._instance, tuple(uses)))

    def _hub(self, now: float) -> str:
        """Return the hub of the zone, oneself where no better one speaks."""
        near = [
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
        strong = well_connected_members((*near, own))
        return preferred_member(_HUB, self._zone, strong) or self._instance

    def _may_be_hub(self, record: MemberRecord, now: float) -> bool:
        if record.is_leaving:
            return False
        # Each has its chance once, and again when it speaks as a hub.
        spoke_at = self._hub_at.setdefault(record.instance, now)
        return now < spoke_at + self._options.hub_silence

    def _speak_as_hub(self, now: float) -> None:
        """Tell the zone's word to other hubs and everything to the zone."""
        word = self._zone_word(now)
        self._zones[self._zone] = word
        self._charge(word.hub_boot, self._of_others(word), now)
        self._level(word.levels)
        others = [
            each for zone, each in self._zones.items() if zone != self._zone
        ]
        mesh = self.mesh
        if mesh is None:
            return
        for record in self._members.values():
            if record.zone == self._zone:
                for each in (word, *others):
                    mesh.send(record.instance, each)
        for hub in self._other_hubs():
            mesh.send(hub, word)

    def _other_hubs(self) -> set[str]:
        """Return the hubs of other zones: who spoke last, or is preferred."""
        zones: dict[str, list[MemberInfo]] = {}
        for record in self._members.values():
            if record.zone != self._zone:
                zones.setdefault(record.zone, []).append(member_info(record))
        hubs = set()
        for zone, spots in zones.items():
            strong = well_connected_members(spots)
            hubs.add(preferred_member(_HUB, zone, strong))
            known = self._zones.get(zone)
            if known is not None:
                hubs.add(known.hub)
        return hubs - {''}

    def _zone_word(self, now: float) -> ZoneWord:
        live = {
            name: status
            for name, status in self._statuses.items()
            if name == self._instance or self._is_near(name, now)
        }
        self._statuses = live
        for status in live.values():
            self._sum.take(status.instance, status.boot, status.admitted)
        self._sum.drop(
            {f'{each.instance}/{each.boot}' for each in live.values()},
        )
        return ZoneWord(
            zone=self._zone,
            hub=self._instance,
            hub_boot=f'{self._instance}/{self._boot}',
            sent_at=now,
            members=tuple(
                MemberWord(
                    each.instance,
                    each.boot,
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
            admitted=self._sum.total(),
            levels=_mean([each.levels for each in live.values()]),
        )

    def _is_near(self, member: str, now: float) -> bool:
        record = self._members.get(member)
        is_near = record is not None and record.zone == self._zone
        return is_near and self.is_heard(member, now)

    def _of_others(self, word: ZoneWord) -> Counters:
        """Return the counters of a zone without the own part of them."""
        if word.zone != self._zone:
            return word.admitted
        for member in word.members:
            if member.instance == self._instance:
                own = self._counters.get(member.sent_at)
                if member.boot != self._boot or own is None:
                    return {}
                return {
                    name: amount - own.get(name, 0)
                    for name, amount in word.admitted.items()
                }
        return {}

    def _note(
        self,
        member: str,
        boot: str,
        sent_at: float,
        now: float,
    ) -> bool:
        """Note a word; false if it is no newer than the last one."""
        known = self.heard.get(member)
        if known is not None and known.boot == boot:
            if known.sent_at >= sent_at:
                return False
        self.heard[member] = Heard(boot, sent_at, now)
        if known is None or known.boot != boot:
            self.listeners.on_met()
        return True

    def _consent(self, member: str, told_at: float) -> None:
        if self.mesh is not None and self.sources.may_consent(member):
            self.mesh.send(member, Consent(told_at))

    def _hand_out(
        self,
        instance: str,
        digests: tuple[WorkerDigest, ...],
    ) -> None:
        if self.listeners.on_digests is not None and digests:
            self.listeners.on_digests(instance, digests)

    def _charge(self, source: str, counters: Counters, now: float) -> None:
        if self.listeners.on_admitted is not None and counters:
            self.listeners.on_admitted(source, counters, now)

    def _level(self, levels: Counters) -> None:
        if self.listeners.on_levels is not None and levels:
            self.listeners.on_levels(levels)


def _mean(parts: list[Counters]) -> Counters:
    found: dict[str, list[float]] = {}
    for part in parts:
        for name, amount in part.items():
            found.setdefault(name, []).append(amount)
    return {key: sum(each) / len(each) for key, each in found.items()}
