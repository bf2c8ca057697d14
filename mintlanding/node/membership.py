"""This instance among the others: its lease, the members, its duties."""

import asyncio
import random
import secrets
from collections.abc import Callable
from typing import Any

import msgspec

from mintlanding.coordination.transactional_store import (
    NO_REVISION,
    Committed,
    Rejected,
    StoreBusy,
    Transaction,
    TransactionalStore,
    Write,
)
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.logs import Logger
from mintlanding.links.mesh import Identity, Mesh, Reply
from mintlanding.links.messages import (
    Consent,
    Message,
    Status,
    StoreNews,
    UseReport,
    ZoneWord,
)
from mintlanding.node.clock import boot_seconds
from mintlanding.node.ownership import Holds
from mintlanding.node.settings import NodeSettings
from mintlanding.node.status_exchange import Words
from mintlanding.node.view import (
    FLEET_KEY,
    HOLDS_PREFIX,
    MEMBERS_PREFIX,
    FleetView,
    MemberRecord,
)
from mintlanding.residency.authority import (
    ClaimContext,
    WorkerClaim,
    choose_claims,
    preferred_member,
    well_connected_members,
)

# Seconds after joining before holds of others are looked at, so that the
# members that start together know each other.
_SETTLE_SECONDS = 0.8
_KEY_BYTES = 32
# Seconds over which the members of a large fleet spread a first call.
_KEY_SPREAD_SECONDS = 0.5
# What the reader of a zone is chosen for, among the names of workers.
_READER = 'reader'
# A loop that stood still for longer has heard of nobody meanwhile.
_STALL_SECONDS = 0.6
# Seconds after its last word for which a member without an entry is dialled.
_FORGET_SECONDS = 15.0


class Membership:
    """Register, renew, know the members, look after holds."""

    def __init__(
        self,
        cfg: NodeSettings,
        store: TransactionalStore,
        view: FleetView,
        rnd: random.Random,
    ) -> None:
        """Start unregistered."""
        self.boot = secrets.token_hex(4)
        self.instance = cfg.facts.instance
        self.holds = Holds(self.instance, store, view, cfg.authority)
        self.words = Words(
            self.instance,
            self.boot,
            cfg.facts.zone,
            cfg.fleet,
            cfg.facts.link_mbps,
        )
        self.words.sources.asks_consent = self.holds.authority.needs_member_acks
        self.words.sources.may_consent = self.holds.may_consent
        self.on_news: Callable[[StoreNews], None] | None = None
        self.on_message: Callable[[str, Message, Reply], None] | None = None
        self.on_authority: Callable[[], None] | None = None
        self.is_leaving = False
        self.mesh: Mesh | None = None
        self._cfg = cfg
        self._store = store
        self._view = view
        self._rnd = rnd
        self._lease = 0
        self._registered = False
        # The revision at which the entry of the present lease was written.
        self._entry_revision = 0
        self._holds_as_of = 0
        self._joined_at = float('inf')
        # Members by the store, and those that it lost sight of lately.
        self._known: dict[str, MemberRecord] = {}
        self._gone: dict[str, float] = {}
        self._handlers: dict[type, Callable[[str, Any], None]] = {
            Status: self._take_status,
            ZoneWord: self._take_zone,
            Consent: self._take_consent,
            StoreNews: self._take_news,
            UseReport: self._take_use,
        }
        self._logger = Logger('members')

    def is_heard(self, member: str, now: float) -> bool:
        """Tell whether a member was heard of lately."""
        return self.words.is_heard(member, now)

    def is_reader(self) -> bool:
        """Tell whether this instance reads the store for its zone."""
        zone = self._cfg.facts.zone
        spots = self._view.spots().values()
        near = [each for each in spots if each.zone == zone]
        reader = preferred_member(_READER, zone, well_connected_members(near))
        return reader in {'', self.instance}

    def hand_on(self, news: StoreNews) -> None:
        """Tell the members of the zone what changed in the store."""
        if self.mesh is None:
            return
        zone = self._cfg.facts.zone
        for each in self._view.members.values():
            if each.zone == zone and each.instance != self.instance:
                self.mesh.send(each.instance, news)

    def reach(self, now: float) -> tuple[int, int]:
        """Return how many members are heard of, and how many there are."""
        others = set(self._view.members) - {self.instance}
        heard = sum(self.is_heard(each, now) for each in others)
        return heard + 1, len(others) + 1

    async def run_lease(self) -> None:
        """Register and renew for ever."""
        while True:
            try:
                await self._keep_lease()
            except (PlatformError, StoreBusy) as exc:
                self._logger.warning('No renewal.', reason=str(exc))
            interval = self._cfg.fleet.renew_interval
            await asyncio.sleep(interval * self._rnd.uniform(0.9, 1.1))

    async def run_words(self) -> None:
        """Tell the members several times a second; notice stalls."""
        options = self._cfg.fleet
        last = boot_seconds()
        while True:
            interval = options.status_interval
            if self.words.is_large:
                interval = options.hub_interval
            await asyncio.sleep(interval)
            now = boot_seconds()
            if now - last > interval + _STALL_SECONDS:
                self._logger.warning('The process stood still.', at=now)
                self.words.forgive_silence(now)
                self._joined_at = now
            last = now
            self.words.speak(now)

    async def run_claims(self) -> None:
        """Take workers that nobody holds."""
        while True:
            await asyncio.sleep(self._cfg.fleet.status_interval)
            now = boot_seconds()
            if self.is_leaving or now < self._joined_at + _SETTLE_SECONDS:
                continue
            if now < self._view.away_until:
                continue
            self.update_members()
            for claim in self._claims(now):
                await self.holds.claim(claim)
            for worker in sorted(self.holds.held()):
                await self.holds.settle(worker, now)

    async def share_key(self) -> None:
        """Make sure that the fleet has a key."""
        if self._view.fleet_key:
            return
        # Whoever comes first spares the others the call.
        spread = min(_KEY_SPREAD_SECONDS, len(self._view.members) / 100)
        await asyncio.sleep(self._rnd.uniform(0, spread))
        while not self._view.fleet_key:
            write = Write(FLEET_KEY, secrets.token_bytes(_KEY_BYTES))
            try:
                done = await self._store.commit(
                    Transaction({FLEET_KEY: NO_REVISION}, (write,)),
                )
            except (PlatformError, StoreBusy) as exc:
                self._logger.warning('No key of the fleet.', reason=str(exc))
                done = Rejected()
            if isinstance(done, Committed):
                self._view.fleet_key = write.content
                return
            await asyncio.sleep(self._cfg.fleet.status_interval)

    def open_mesh(self) -> Mesh:
        """Build the links to the members."""
        identity = Identity(self.instance, self.boot, self._view.fleet_key)
        self.mesh = Mesh.from_config(identity, self.receive)
        self.words.mesh = self.mesh
        self.mesh.on_up = self._greet
        return self.mesh

    def update_members(self) -> None:
        """Dial the members, and those that the store lost sight of lately."""
        self._known.update(self._view.members)
        self._known.pop(self.instance, None)
        self._forget_members(boot_seconds())
        zone = self._cfg.facts.zone
        near = {
            record.instance
            for record in self._known.values()
            if record.zone == zone
        }
        # Who speaks without an entry may have come while the store was away.
        near |= self._strangers(boot_seconds())
        self.holds.authority.set_members(near, self._known.keys() - near)
        self.words.set_members(self._known)
        if self.mesh is not None:
            addresses = {
                record.instance: (record.host, record.port)
                for record in self._known.values()
            }
            self.mesh.set_members(addresses)

    def receive(self, peer: str, message: Message, reply: Reply) -> None:
        """Take a message of a member."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(peer, message)
        elif self.on_message is not None:
            self.on_message(peer, message, reply)

    async def leave(self) -> None:
        """Tell everyone, and take no more workers.

        Those that it holds are kept: a process that is restarted goes on with
        them at once, while another holder would have to wait out the turn. If
        it stays away, they are taken like those of one that has crashed.
        """
        self.is_leaving = True
        self.words.is_leaving = True
        self.words.speak(boot_seconds())
        try:
            await self._register()
        except (PlatformError, StoreBusy) as exc:
            self._logger.warning('Leaving was not noted.', reason=str(exc))

    async def deregister(self) -> None:
        """End the lease."""
        if not self._lease:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except (PlatformError, StoreBusy) as exc:
            self._logger.warning('The lease was left.', reason=str(exc))

    def _greet(self, member: str) -> None:
        self.words.greet(member, boot_seconds())

    def _take_status(self, peer: str, status: Status) -> None:
        self.words.hear(status, boot_seconds())

    def _take_zone(self, peer: str, word: ZoneWord) -> None:
        self.words.hear_zone(word, boot_seconds())

    def _take_consent(self, peer: str, consent: Consent) -> None:
        self.holds.authority.record_ack(peer, consent.told_at)

    def _take_news(self, peer: str, news: StoreNews) -> None:
        if self.on_news is not None:
            self.on_news(news)

    def _take_use(self, peer: str, report: UseReport) -> None:
        if self.words.listeners.on_use is not None:
            self.words.listeners.on_use(report.instance, report.in_use)

    def _strangers(self, now: float) -> set[str]:
        return {
            name
            for name, heard in self.words.heard.items()
            if name not in self._known and now < heard.at + _FORGET_SECONDS
        }

    def _forget_members(self, now: float) -> None:
        for name in tuple(self._known):
            if name in self._view.members:
                self._gone.pop(name, None)
                continue
            self._gone.setdefault(name, now)
            if self._is_forgotten(name, now):
                self._known.pop(name)

    def _is_forgotten(self, member: str, now: float) -> bool:
        """Tell whether a member without an entry is silent for long.

        One that only the store cannot reach still needs the others' word.
        """
        heard = self.words.heard.get(member)
        since = self._gone[member] if heard is None else heard.at
        return now > max(since, self._gone[member]) + _FORGET_SECONDS

    async def _keep_lease(self) -> None:
        sent_at = boot_seconds()
        if self._lease and await self._store.renew_lease(self._lease):
            if not self._registered:
                await self._register()
            self._note_renewal(sent_at)
            return
        self.holds.authority.lost()
        self._registered = False
        sent_at = boot_seconds()
        seconds = max(
            self._cfg.authority.lease,
            self._cfg.bounds.shortest_lease,
        )
        self._lease = await self._store.grant_lease(seconds)
        await self._register()
        await self._read_holds()
        self._note_renewal(sent_at)
        if self.on_authority is not None:
            self.on_authority()

    async def _read_holds(self) -> None:
        """Learn at once who took workers while there was no entry."""
        if self._view.as_of >= self._entry_revision:
            return
        snapshot = await self._store.snapshot(HOLDS_PREFIX)
        self._view.load_holds(snapshot)
        self._holds_as_of = snapshot.revision

    def _note_renewal(self, sent_at: float) -> None:
        """Order again once it is known who took workers meanwhile.

        While the entry stands nobody takes any; before, while there was
        none, somebody may have.
        """
        as_of = max(self._view.as_of, self._holds_as_of)
        if self._registered and as_of >= self._entry_revision:
            self.holds.authority.renewed(sent_at)

    async def _register(self) -> None:
        facts = self._cfg.facts
        record = MemberRecord(
            instance=self.instance,
            zone=facts.zone,
            host=facts.host,
            port=facts.peer_port,
            boot=self.boot,
            is_leaving=self.is_leaving,
            link_mbps=facts.link_mbps,
        )
        key = MEMBERS_PREFIX + self.instance
        write = Write(key, msgspec.json.encode(record), self._lease)
        done = await self._store.commit(Transaction(writes=(write,)))
        if isinstance(done, Committed):
            if not self._registered:
                self._entry_revision = done.revision
            self._registered = True
            if self._joined_at == float('inf'):
                self._joined_at = boot_seconds()
            self._logger.info('Registered.', lease=self._lease)
        elif done.lease_ended:
            self._lease = 0

    def _claims(self, now: float) -> list[WorkerClaim]:
        view = self._view
        claim_view = ClaimContext(
            me=self.instance,
            zone=self._cfg.facts.zone,
            joined=self._joined_at,
            zones={name: each.zone for name, each in view.engines().items()},
            records=view.holds,
            members=view.spots(),
            heard={name: each.at for name, each in self.words.heard.items()},
            gone=self._gone,
            unreachable=self.holds.unreachable(),
        )
        return choose_claims(claim_view, self._cfg.authority, now)
