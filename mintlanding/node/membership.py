"""This instance among the others: its lease, its word to them, its holds."""

import asyncio
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from mintlanding.coordination.transactions import (
    MISSING,
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
)
from mintlanding.node.clock import boot_seconds
from mintlanding.node.settings import NodeSettings
from mintlanding.node.view import (
    FLEET_KEY,
    HOLDS_PREFIX,
    MEMBERS_PREFIX,
    FleetView,
    HoldEntry,
    MemberRecord,
)
from mintlanding.residency.authority import (
    Claim,
    ClaimView,
    HoldRecord,
    OrderAuthority,
    choose_claims,
    preferred_member,
)
from mintlanding.residency.messages import WorkerDigest

# Seconds after joining before holds of others are looked at, so that the
# members that start together know each other.
_SETTLE_SECONDS = 0.8
_KEY_BYTES = 32
# What the reader of a zone is chosen for, among the names of workers.
_READER = 'reader'
# A loop that stood still for longer has heard of nobody meanwhile.
_STALL_SECONDS = 0.6
# Seconds after its last word for which a member without an entry is dialled.
_FORGET_SECONDS = 15.0


@dataclass(slots=True)
class Heard:
    """The last word of a member."""

    status: Status
    at: float


@dataclass(slots=True)
class Fleet:
    """What members have told, and what is told to them."""

    heard: dict[str, Heard] = field(default_factory=dict)
    digests: Callable[[], tuple[WorkerDigest, ...]] = tuple
    admitted: Callable[[], dict[str, float]] = dict
    in_use: Callable[[], tuple[tuple[str, str], ...]] = tuple
    levels: Callable[[float], dict[str, float]] | None = None
    on_status: Callable[[Status, float], None] | None = None
    on_news: Callable[[StoreNews], None] | None = None
    on_message: Callable[[str, Message, Reply], None] | None = None


class Membership:
    """Register, renew, speak to the members, take and let go of workers."""

    def __init__(
        self,
        cfg: NodeSettings,
        store: TransactionalStore,
        view: FleetView,
        rnd: random.Random,
    ) -> None:
        """Start unregistered."""
        self.fleet = Fleet()
        self.boot = secrets.token_hex(4)
        self.instance = cfg.facts.instance
        self.authority = OrderAuthority(cfg.authority)
        self.order_from: dict[str, float] = {}
        self.unreachable: Callable[[], frozenset[str]] = frozenset
        self.is_leaving = False
        self.mesh: Mesh | None = None
        self._cfg = cfg
        self._store = store
        self._view = view
        self._rnd = rnd
        self._lease = 0
        self._registered = False
        self._joined_at = float('inf')
        # Members by the store, and those that it lost sight of lately.
        self._known: dict[str, MemberRecord] = {}
        self._gone: dict[str, float] = {}
        self._logger = Logger('members')

    def held(self) -> set[str]:
        """Return the workers that this instance holds."""
        return {
            worker
            for worker, record in self._view.holds.items()
            if record.holder == self.instance
        }

    def fencing(self, worker: str) -> int:
        """Return the fencing number of a hold, the revision of its record."""
        return self._view.holds[worker].revision

    def may_order(self, worker: str, now: float) -> bool:
        """Tell whether an order may leave for a worker now."""
        record = self._view.holds.get(worker)
        if record is None or record.holder != self.instance:
            return False
        if worker not in self.order_from:
            self._resume(worker, record, now)
        if now < self.order_from[worker]:
            return False
        return now < self.authority.until()

    def is_heard(self, member: str, now: float) -> bool:
        """Tell whether a member was heard of lately."""
        heard = self.fleet.heard.get(member)
        return heard is not None and now < heard.at + self._cfg.fleet.silence

    def _resume(self, worker: str, record: HoldRecord, now: float) -> None:
        """Go on with a hold of this instance's last process."""
        wait = 0 if record.is_settled else self._cfg.authority.takeover_wait
        self.order_from[worker] = now + wait
        self._logger.info('A hold goes on.', worker=worker, wait=wait)

    def is_reader(self) -> bool:
        """Tell whether this instance reads the store for its zone."""
        zone = self._cfg.facts.zone
        near = [
            each for each in self._view.spots().values() if each.zone == zone
        ]
        reader = preferred_member(_READER, zone, near)
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
        interval = self._cfg.fleet.status_interval
        last = boot_seconds()
        while True:
            await asyncio.sleep(interval)
            now = boot_seconds()
            if now - last > interval + _STALL_SECONDS:
                self._forgive_silence(now)
            last = now
            self._speak(now)

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
                await self._claim(claim)
            for worker in sorted(self.held()):
                await self._settle(worker, now)

    async def share_key(self) -> None:
        """Make sure that the fleet has a key."""
        while not self._view.fleet_key:
            write = Write(FLEET_KEY, secrets.token_bytes(_KEY_BYTES))
            try:
                done = await self._store.commit(
                    Transaction({FLEET_KEY: MISSING}, (write,)),
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
        return self.mesh

    def update_members(self) -> None:
        """Dial the members, and those that the store lost sight of lately."""
        members = self._view.members
        self._known.update(members)
        self._known.pop(self.instance, None)
        self._forget_members(boot_seconds())
        zone = self._cfg.facts.zone
        near = {
            record.instance
            for record in self._known.values()
            if record.zone == zone
        }
        self.authority.set_members(near, self._known.keys() - near)
        if self.mesh is not None:
            addresses = {
                record.instance: (record.host, record.port)
                for record in self._known.values()
            }
            self.mesh.set_members(addresses)

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
        heard = self.fleet.heard.get(member)
        since = self._gone[member] if heard is None else heard.at
        return now > max(since, self._gone[member]) + _FORGET_SECONDS

    def receive(self, peer: str, message: Message, reply: Reply) -> None:
        """Take a message of a member."""
        if isinstance(message, Status):
            self._hear(message)
            if message.asks_consent:
                reply(Consent(message.sent_at))
        elif isinstance(message, Consent):
            self.authority.heard_by(peer, message.told_at)
        elif isinstance(message, StoreNews):
            if self.fleet.on_news is not None:
                self.fleet.on_news(message)
        elif self.fleet.on_message is not None:
            self.fleet.on_message(peer, message, reply)

    async def leave(self) -> None:
        """Let go of all workers and tell everyone."""
        self.is_leaving = True
        self._speak(boot_seconds())
        try:
            await self._register()
            for worker in sorted(self.held()):
                await self._release(worker)
        except (PlatformError, StoreBusy) as exc:
            self._logger.warning('Workers were kept.', reason=str(exc))

    async def deregister(self) -> None:
        """End the lease."""
        if not self._lease:
            return
        try:
            await self._store.end_lease(self._lease)
        except (PlatformError, StoreBusy) as exc:
            self._logger.warning('The lease was left.', reason=str(exc))

    def _hear(self, status: Status) -> None:
        now = boot_seconds()
        self.fleet.heard[status.instance] = Heard(status, now)
        if self.fleet.on_status is not None:
            self.fleet.on_status(status, now)

    def _speak(self, now: float) -> None:
        if self.mesh is None:
            return
        self.mesh.broadcast(
            Status(
                instance=self.instance,
                boot=self.boot,
                sent_at=now,
                asks_consent=self.authority.needs_consent(now),
                digests=self.fleet.digests(),
                admitted=self.fleet.admitted(),
                in_use=self.fleet.in_use(),
                levels=self.fleet.levels(now) if self.fleet.levels else {},
                is_leaving=self.is_leaving,
            ),
        )

    def _forgive_silence(self, now: float) -> None:
        """Count nobody as silent for the time in which we did not listen."""
        self._logger.warning('The process stood still.', at=now)
        for heard in self.fleet.heard.values():
            heard.at = max(heard.at, now - self._cfg.fleet.silence / 2)
        self._joined_at = now

    async def _keep_lease(self) -> None:
        sent_at = boot_seconds()
        if self._lease and await self._store.keep_lease(self._lease):
            self.authority.renewed(sent_at)
            if not self._registered:
                await self._register()
            return
        self.authority.lost()
        self._registered = False
        sent_at = boot_seconds()
        seconds = max(
            self._cfg.authority.lease,
            self._cfg.bounds.shortest_lease,
        )
        self._lease = await self._store.grant_lease(seconds)
        await self._register()
        self.authority.renewed(sent_at)

    async def _register(self) -> None:
        facts = self._cfg.facts
        record = MemberRecord(
            instance=self.instance,
            zone=facts.zone,
            host=facts.host,
            port=facts.peer_port,
            boot=self.boot,
            is_leaving=self.is_leaving,
        )
        key = MEMBERS_PREFIX + self.instance
        write = Write(key, msgspec.json.encode(record), self._lease)
        done = await self._store.commit(Transaction(writes=(write,)))
        if isinstance(done, Committed):
            self._registered = True
            if self._joined_at == float('inf'):
                self._joined_at = boot_seconds()
            self._logger.info('Registered.', lease=self._lease)
        elif done.lease_ended:
            self._lease = 0

    def _claims(self, now: float) -> list[Claim]:
        view = self._view
        claim_view = ClaimView(
            me=self.instance,
            zone=self._cfg.facts.zone,
            joined=self._joined_at,
            zones={name: each.zone for name, each in view.engines().items()},
            records=view.holds,
            members=view.spots(),
            heard={name: each.at for name, each in self.fleet.heard.items()},
            gone=self._gone,
            unreachable=self.unreachable(),
        )
        return choose_claims(claim_view, self._cfg.authority, now)

    async def _claim(self, claim: Claim) -> None:
        key = HOLDS_PREFIX + claim.worker
        expected = {key: claim.revision}
        if claim.previous:
            expected[MEMBERS_PREFIX + claim.previous] = MISSING
        is_settled = claim.wait == 0
        entry = HoldEntry(self.instance, is_settled)
        write = Write(key, msgspec.json.encode(entry))
        # Until the answer is known, no order leaves under a lost claim.
        self.order_from[claim.worker] = float('inf')
        try:
            done = await self._store.commit(Transaction(expected, (write,)))
        except (PlatformError, StoreBusy) as exc:
            self._logger.warning(
                'A claim has no answer.',
                worker=claim.worker,
                reason=str(exc),
            )
            self.order_from[claim.worker] = (
                boot_seconds()
                + self._cfg.authority.handover_wait
                + self._cfg.authority.lease
            )
            return
        now = boot_seconds()
        if isinstance(done, Rejected):
            self.order_from.pop(claim.worker, None)
            return
        self.order_from[claim.worker] = now + claim.wait
        self._view.holds[claim.worker] = HoldRecord(
            self.instance,
            done.revision,
            is_settled,
        )
        self._logger.info(
            'A worker was taken.',
            worker=claim.worker,
            previous=claim.previous,
            wait=round(claim.wait, 2),
            revision=done.revision,
        )

    async def _settle(self, worker: str, now: float) -> None:
        """Note in the store that the wait after a claim is over."""
        record = self._view.holds[worker]
        if record.is_settled or now < self.order_from.get(worker, now + 1):
            return
        key = HOLDS_PREFIX + worker
        entry = HoldEntry(self.instance, is_settled=True)
        write = Write(key, msgspec.json.encode(entry))
        try:
            await self._store.commit(
                Transaction({key: record.revision}, (write,)),
            )
        except (PlatformError, StoreBusy) as exc:
            self._logger.info('Not settled.', worker=worker, reason=str(exc))

    async def _release(self, worker: str) -> None:
        record = self._view.holds.get(worker)
        if record is None:
            return
        self.order_from[worker] = float('inf')
        key = HOLDS_PREFIX + worker
        write = Write(key, msgspec.json.encode(HoldEntry('')))
        await self._store.commit(
            Transaction({key: record.revision}, (write,)),
        )
        self._logger.info('A worker was let go.', worker=worker)
