"""Membership of this instance: its lease, the other members and claims."""

import asyncio
import contextlib
import random
import secrets
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from mintlanding.coordination.store_era import NO_ERA
from mintlanding.coordination.transactional_store import (
    NO_REVISION,
    Committed,
    Rejected,
    StoreBusy,
    Transaction,
    TransactionalStore,
    Write,
)
from mintlanding.core.exceptions import MemberDataInvalid, PlatformError
from mintlanding.core.logs import Logger
from mintlanding.http1.client import Address
from mintlanding.links.mesh import Identity, Mesh, Reply
from mintlanding.links.messages import (
    COMPLETE_UPDATES_LINK_VERSION,
    COMPRESSION_LINK_VERSION,
    ERA_LINK_VERSION,
    LINK_VERSION,
    CompressedUpdate,
    Consent,
    Message,
    Status,
    StoreUpdate,
    UseReport,
    ZoneStatus,
)
from mintlanding.node.clock import boot_seconds
from mintlanding.node.ownership import WorkerOwnership
from mintlanding.node.settings import NodeSettings
from mintlanding.node.status_exchange import StatusExchange
from mintlanding.node.view import (
    FLEET_KEY,
    MEMBERS_PREFIX,
    OWNERSHIP_PREFIX,
    FleetView,
    MemberRecord,
    member_info,
)
from mintlanding.residency.authority import (
    ClaimContext,
    WorkerClaim,
    choose_claims,
    free_workers,
    preferred_member,
    well_connected_members,
)
from mintlanding.target_limits.handover import elect
from mintlanding.traffic.homes import Homes
from mintlanding.traffic.reach import MemberContact

# Seconds after joining before workers of others are claimed, so that members
# which start together know each other by then.
_SETTLE_SECONDS = 0.8
_KEY_BYTES = 32
# Seconds over which the members of a large fleet spread their first call.
_KEY_SPREAD_SECONDS = 0.5
# Key that selects the reader of a zone by rendezvous hashing, as the names of
# workers select their holders.
_READER = 'reader'
# Seconds after a loss of the store in which no workers are claimed.
_LAPSING_SECONDS = 2.0
# Bytes of changes from which an update is compressed. A reader with a link of
# 10 Mbit/s takes 0.3 s to send 20 members 20 KB each.
_COMPRESSED_BYTES = 16384
# A loop that stalled for longer has received no statuses meanwhile.
_STALL_SECONDS = 0.6
# Workers released in one round of claims.
_MAX_RELEASES = 10
# Seconds until an entry that could not be written is tried again.
_ENTRY_RETRY_SECONDS = 1.0
# Seconds after its last status for which a member without an entry is dialled.
_FORGET_SECONDS = 15.0


class Membership:
    """Register this instance, renew its lease, and claim workers."""

    def __init__(
        self,
        cfg: NodeSettings,
        store: TransactionalStore,
        view: FleetView,
        rnd: random.Random,
    ) -> None:
        """Start unregistered."""
        self.incarnation = secrets.token_hex(4)
        self.instance = cfg.facts.instance
        self._started_at = boot_seconds()
        self.ownership = WorkerOwnership(
            self.instance, store, view, cfg.authority
        )
        self.status_exchange = StatusExchange(
            self.instance,
            self.incarnation,
            cfg.facts.zone,
            cfg.fleet,
            cfg.facts.link_mbps,
        )
        self.status_exchange.sources.asks_consent = self._asks_consent
        self.status_exchange.sources.may_consent = self.ownership.may_consent
        self.status_exchange.sources.may_consent_in = (
            self.ownership.may_consent_in
        )
        self.status_exchange.sources.store_era = self._store_era
        self.status_exchange.listeners.on_store_era = self._receive_era
        # Called when the store should be read at once.
        self.on_newer_era: Callable[[], None] = lambda: None
        # Takes an update, and whether it lacks no change up to its end.
        self.on_store_update: Callable[[StoreUpdate, bool], None] | None = None
        self.on_message: Callable[[str, Message, Reply], None] | None = None
        self.on_authority: Callable[[], None] | None = None
        self.is_cut_off: Callable[[], bool] = bool
        self.is_leaving = False
        self.mesh: Mesh | None = None
        self._cfg = cfg
        self._store = store
        self._view = view
        self._rnd = rnd
        self.ownership.cuts.share = rnd.random()
        # Era of the entry, and the latest one that a member has named.
        self._entry_era = NO_ERA
        self._named_era = NO_ERA
        self._lease = 0
        self._registered = False
        # Revision at which the entry of the current lease was written.
        self._entry_revision = 0
        # Stored entry, if it is known, its revision, and when it may be written
        # again.
        self._entry: MemberRecord | None = None
        self._stored_revision = 0
        self._entry_retry_at = float('-inf')
        self._ownership_as_of = 0
        self._joined_at = float('inf')
        # Registered members and those whose entry went missing lately.
        self._recent_members: dict[str, MemberRecord] = {}
        self._missing_since: dict[str, float] = {}
        # When workers without a holder were first found to be free.
        self._free_since: dict[str, float] = {}
        self._worker_released = asyncio.Event()
        self._handlers: dict[type, Callable[[str, Any], None]] = {
            Status: self._receive_status,
            ZoneStatus: self._receive_zone_status,
            Consent: self._receive_consent,
            StoreUpdate: self._receive_store_update,
            CompressedUpdate: self._receive_compressed_update,
            UseReport: self._receive_use_report,
        }
        self._logger = Logger('members')

    def begin_era(self) -> None:
        """Register anew: the store has returned without this lease."""
        self.ownership.begin_era(boot_seconds())
        self._lease = 0
        self._registered = False
        self._entry = None
        self._entry_revision = self._stored_revision = 0
        self._ownership_as_of = 0
        self.on_newer_era()

    def is_reachable(self, member: str, now: float) -> bool:
        """Tell whether a member's last status is recent enough."""
        return self.status_exchange.is_reachable(member, now)

    def unreached_by(self, member: str) -> tuple[str, ...]:
        """Return the members from which a member hears nothing, by itself."""
        return self.status_exchange.unreached_by(member)

    def members(self) -> dict[str, MemberRecord]:
        """Return the other members that are or were lately registered."""
        return self._recent_members

    def is_reader(self) -> bool:
        """Tell whether this instance watches the store for its zone.

        Members ignore updates without an era. Beside a reader of an older
        build, one of those that name it reads for them.
        """
        zone = self._cfg.facts.zone
        near = [
            each for each in self._view.members.values() if each.zone == zone
        ]
        naming = [
            each for each in near if each.link_version >= ERA_LINK_VERSION
        ]
        return any(
            self._is_preferred(_READER, records) for records in (near, naming)
        )

    def _is_preferred(self, name: str, records: list[MemberRecord]) -> bool:
        infos = well_connected_members(member_info(each) for each in records)
        preferred = preferred_member(name, self._cfg.facts.zone, infos)
        return preferred in {'', self.instance}

    def is_elected(self, name: str) -> bool:
        """Tell whether this instance is the elected one."""
        return self.elected(name) == self.instance

    def elected(self, name: str, least_link_version: int = 0) -> str:
        """Return the one of the reachable members that acts for all of them.

        The choice is by rendezvous hashing of a name that all of them know,
        among the members whose messages are not older than a version.
        """
        now = boot_seconds()
        candidates = [self.instance]
        candidates.extend(
            each
            for each, record in self._view.members.items()
            if record.link_version >= least_link_version
            and self.is_reachable(each, now)
        )
        return elect(name, candidates)

    def forward(self, update: StoreUpdate) -> None:
        """Forward changes of the store to the members of the zone.

        One whose entry has lapsed may have lost the store alone.
        """
        if self.mesh is None:
            return
        size = sum(len(each.content) for each in update.changes)
        compressed = None
        if size >= _COMPRESSED_BYTES:
            compressed = CompressedUpdate.of_update(update)
        zone = self._cfg.facts.zone
        for each in self._recent_members.values():
            if each.zone != zone:
                continue
            reads_compressed = each.link_version >= COMPRESSION_LINK_VERSION
            if compressed is not None and reads_compressed:
                self.mesh.send(each.instance, compressed)
            else:
                self.mesh.send(each.instance, update)

    def reach(self, now: float) -> tuple[int, int]:
        """Return the numbers of reachable and of all members, self included."""
        others = set(self._view.members) - {self.instance}
        reachable = sum(self.is_reachable(each, now) for each in others)
        return reachable + 1, len(others) + 1

    def contacts(self, now: float) -> dict[str, MemberContact]:
        """Return when the other members were heard last."""
        received = self.status_exchange.received
        found = {}
        for name, record in self._view.members.items():
            if name == self.instance:
                continue
            last = received.get(name)
            age = float('inf') if last is None else now - last.at
            found[name] = MemberContact(age, record.is_leaving)
        return found

    async def run_lease(self) -> None:
        """Register and renew the lease until cancelled."""
        while True:
            interval = self._cfg.fleet.renew_interval
            try:
                await self._keep_lease()
            except (PlatformError, StoreBusy) as exc:
                self._logger.warning('Lease renewal failed.', reason=str(exc))
            else:
                interval = self._renew_interval()
            await asyncio.sleep(interval * self._rnd.uniform(0.9, 1.1))

    def _asks_consent(self, now: float) -> bool:
        """Tell whether members have to consent to orders, since a lease ends.

        An instance without workers sends none.
        """
        if not self.ownership.held_workers():
            return False
        return self.ownership.authority.needs_member_acks(now)

    def _renew_interval(self) -> float:
        """Return the seconds until the next renewal of a lease that is kept."""
        if self.ownership.held_workers():
            return self._cfg.fleet.renew_interval
        return self._cfg.fleet.idle_renew_interval

    async def run_status_exchange(self) -> None:
        """Send statuses several times a second and detect stalls."""
        last = boot_seconds()
        while True:
            interval = self.status_exchange.interval
            await asyncio.sleep(interval)
            now = boot_seconds()
            if now - last > interval + _STALL_SECONDS:
                self._logger.warning('Process stalled.', at=now)
                self.status_exchange.restart_timers(now)
                self._joined_at = now
            last = now
            self.status_exchange.send_status(now)

    async def run_claims(self) -> None:
        """Claim and release workers until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._cfg.fleet.status_interval):
                    await self._worker_released.wait()
            self._worker_released.clear()
            if self._view.unwritten:
                await self._rewrite_ownership()
            await self.claim_workers(boot_seconds())

    def notify_ownership(self) -> None:
        """Claim at once if a worker has been released."""
        records = self._view.ownership.values()
        if not all(record.holder for record in records):
            self._worker_released.set()

    async def claim_workers(self, now: float) -> None:
        """Claim workers without a holder, settle earlier claims, release."""
        if self.is_leaving or now < self._joined_at + _SETTLE_SECONDS:
            return
        # Entries of members may have lapsed in an outage of the store.
        if now < self._view.store_contact.since + _LAPSING_SECONDS:
            return
        self.update_members()
        self._observe_cuts(now)
        await self._update_entry(now)
        for worker in self.ownership.releasable(now)[:_MAX_RELEASES]:
            if not await self.ownership.release(worker, self._stored_revision):
                # An earlier write of the entry may have been committed late.
                self._entry = None
        for claim in (*self.ownership.new_turns(), *self._claims(now)):
            await self.ownership.claim(claim)
        for held in sorted(self.ownership.held_workers()):
            if not self.ownership.is_releasing(held):
                await self.ownership.settle(held, now)

    async def _rewrite_ownership(self) -> None:
        try:
            await self.ownership.rewrite()
        except (PlatformError, StoreBusy) as exc:
            self._logger.warning(
                'Ownership not written again.', reason=str(exc)
            )

    async def ensure_fleet_key(self) -> None:
        """Write a random key of the fleet unless the store has one."""
        if self._view.fleet_key:
            return
        # Calls are spread, since the first one makes the others unnecessary.
        spread = min(_KEY_SPREAD_SECONDS, len(self._view.members) / 100)
        await asyncio.sleep(self._rnd.uniform(0, spread))
        while not self._view.fleet_key:
            write = Write(FLEET_KEY, secrets.token_bytes(_KEY_BYTES))
            try:
                reply = await self._store.commit(
                    Transaction({FLEET_KEY: NO_REVISION}, (write,)),
                )
            except (PlatformError, StoreBusy) as exc:
                self._logger.warning(
                    'Fleet key not written.',
                    reason=str(exc),
                )
                reply = Rejected()
            if isinstance(reply, Committed):
                self._view.fleet_key = write.content
                return
            await asyncio.sleep(self._cfg.fleet.status_interval)

    def open_mesh(self) -> Mesh:
        """Return the mesh of links to the members, created on first use."""
        if self.mesh is not None:
            return self.mesh
        identity = Identity(
            self.instance, self.incarnation, self._view.fleet_key
        )
        self.mesh = Mesh.from_config(identity, self.receive)
        self.status_exchange.mesh = self.mesh
        self.mesh.on_link_up = self._send_status_to
        return self.mesh

    def update_members(self) -> None:
        """Update the links to members, including those missing in the store."""
        self._recent_members.update(self._view.members)
        self._recent_members.pop(self.instance, None)
        self._forget_members(boot_seconds())
        zone = self._cfg.facts.zone
        near = {
            record.instance
            for record in self._recent_members.values()
            if record.zone == zone
        }
        # A sender without an entry may have started in a store outage.
        near |= self._unregistered_members(boot_seconds())
        self.ownership.authority.set_members(
            near, self._recent_members.keys() - near
        )
        self.status_exchange.set_members(self._recent_members)
        if self.mesh is not None:
            addresses = {
                record.instance: (record.host, record.port)
                for record in self._recent_members.values()
            }
            self.mesh.set_members(addresses)

    def receive(self, peer: str, message: Message, reply: Reply) -> None:
        """Dispatch a message from a member."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(peer, message)
        elif self.on_message is not None:
            self.on_message(peer, message, reply)

    def path_helpers(self, homes: Homes = None) -> list[Address]:
        """Return where to ask for paths to targets, members of the zone first.

        A request that may run in its home regions only goes to no member
        outside of these and of the own region.

        Bytes between zones cost. Members that are cut off themselves come last;
        the order is random otherwise.
        """
        now = boot_seconds()
        members = [
            each
            for each in self._view.members.values()
            if each.path_port
            and not each.is_leaving
            and each.instance != self.instance
            and self.is_reachable(each.instance, now)
            and self._cfg.facts.regions.allows_member(each.zone, homes)
        ]
        self._rnd.shuffle(members)
        zone = self._cfg.facts.zone
        members.sort(key=lambda each: (each.is_cut_off, each.zone != zone))
        return [(each.host, each.path_port) for each in members]

    async def leave(self) -> None:
        """Announce that this instance is leaving, and claim no more workers.

        It remains the holder of its workers: a restarted process can send them
        orders at once, while a new holder would have to wait. If it does not
        return, they are claimed like those of an instance that crashed.
        """
        self.is_leaving = True
        self.status_exchange.is_leaving = True
        self.status_exchange.send_status(boot_seconds())
        try:
            await self._register()
        except (PlatformError, StoreBusy) as exc:
            self._logger.warning(
                'Leaving state not stored.',
                reason=str(exc),
            )

    async def deregister(self) -> None:
        """Revoke the lease of this instance's entry."""
        if not self._lease:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except (PlatformError, StoreBusy) as exc:
            self._logger.warning('Lease not revoked.', reason=str(exc))

    def _send_status_to(self, member: str) -> None:
        self.status_exchange.send_status_to(member, boot_seconds())

    def _receive_status(self, peer: str, status: Status) -> None:
        self.status_exchange.receive_status(status, boot_seconds())

    def _receive_zone_status(self, peer: str, status: ZoneStatus) -> None:
        self.status_exchange.receive_zone_status(status, boot_seconds())

    def _receive_consent(self, peer: str, consent: Consent) -> None:
        """Record a consent, unless it is to a status of a former process.

        That one may have run on another machine, with another clock.
        """
        sent_at = consent.status_sent_at
        if self._started_at < sent_at <= boot_seconds():
            self.ownership.authority.record_ack(peer, sent_at)

    def _store_era(self, now: float) -> tuple[int, float]:
        return self._store.era.number, self.ownership.era_hold.age(now)

    def _receive_era(self, era: int, age: float, now: float) -> None:
        """Send no orders while a member is in a later era of the store."""
        current = self._store.era.number
        if era == current:
            self.ownership.era_hold.learn(age, now)
        if current == NO_ERA or era <= max(current, self._named_era):
            return
        self._named_era = era
        self.ownership.era_hold.hold(now)
        self.on_newer_era()

    def _receive_store_update(self, peer: str, update: StoreUpdate) -> None:
        if self.on_store_update is None:
            return
        sender = self._recent_members.get(peer)
        version = 0 if sender is None else sender.link_version
        is_complete = version >= COMPLETE_UPDATES_LINK_VERSION
        self.on_store_update(update, is_complete)

    def _receive_compressed_update(
        self, peer: str, message: CompressedUpdate
    ) -> None:
        try:
            update = message.update()
        except MemberDataInvalid as exc:
            self._logger.error(
                'Invalid message received.', peer=peer, reason=str(exc)
            )
            return
        self._receive_store_update(peer, update)

    def _receive_use_report(self, peer: str, report: UseReport) -> None:
        if self.status_exchange.listeners.on_adapter_use is not None:
            self.status_exchange.listeners.on_adapter_use(
                report.instance, report.in_use
            )

    def _unregistered_members(self, now: float) -> set[str]:
        return {
            name
            for name, received in self.status_exchange.received.items()
            if name not in self._recent_members
            and now < received.at + _FORGET_SECONDS
        }

    def _forget_members(self, now: float) -> None:
        for name in tuple(self._recent_members):
            if name in self._view.members:
                self._missing_since.pop(name, None)
                continue
            self._missing_since.setdefault(name, now)
            if self._is_forgotten(name, now):
                self._recent_members.pop(name)

    def _is_forgotten(self, member: str, now: float) -> bool:
        """Tell whether a member without an entry has been unreachable for long.

        A member that is cut off from the store alone still needs the statuses
        and consent of the others.
        """
        received = self.status_exchange.received.get(member)
        since = self._missing_since[member] if received is None else received.at
        return now > max(since, self._missing_since[member]) + _FORGET_SECONDS

    async def _keep_lease(self) -> None:
        sent_at = boot_seconds()
        if self._lease and await self._store.renew_lease(self._lease):
            # An instance that leaves does not look at its entry else.
            self._drop_lost_entry()
            if not self._registered:
                await self._register()
            self._renew_authority(sent_at)
            return
        self.ownership.authority.record_lease_end()
        self._registered = False
        sent_at = boot_seconds()
        seconds = max(
            self._cfg.authority.lease,
            self._cfg.bounds.shortest_lease,
        )
        self._lease = await self._store.grant_lease(seconds)
        await self._register()
        await self._read_ownership()
        self._renew_authority(sent_at)
        if self.on_authority is not None:
            self.on_authority()

    async def _read_ownership(self) -> None:
        """Read at once who claimed workers while there was no entry."""
        if self._view.as_of >= self._entry_revision:
            return
        snapshot = await self._store.snapshot(OWNERSHIP_PREFIX)
        if self._view.load_ownership(snapshot):
            self._ownership_as_of = snapshot.revision

    def _renew_authority(self, sent_at: float) -> None:
        """Renew the authority once ownership records are as new as the entry.

        Others claim workers of this instance only while it has no entry, so
        that records from after its registration are final.
        """
        as_of = max(self._view.as_of, self._ownership_as_of)
        if self._entry_era != self._view.era or not self._registered:
            return
        if as_of >= self._entry_revision:
            self.ownership.authority.record_renewal(sent_at)
            self.ownership.era_hold.release(sent_at)

    async def _register(self) -> None:
        facts = self._cfg.facts
        record = MemberRecord(
            instance=self.instance,
            zone=facts.zone,
            host=facts.host,
            port=facts.peer_port,
            boot=self.incarnation,
            is_leaving=self.is_leaving,
            link_mbps=facts.link_mbps,
            link_version=LINK_VERSION,
            path_port=facts.path_port,
            is_cut_off=self.ownership.cuts.is_cut_off,
        )
        key = MEMBERS_PREFIX + self.instance
        write = Write(key, msgspec.json.encode(record), self._lease)
        # Without a response, it is not known which entry is stored.
        self._entry = None
        reply = await self._store.commit(Transaction(writes=(write,)))
        if isinstance(reply, Committed):
            if not self._registered:
                self._entry_revision = reply.revision
            self._entry_era = self._store.era.number
            self._entry = record
            self._stored_revision = max(self._stored_revision, reply.revision)
            self._registered = True
            if self._joined_at == float('inf'):
                self._joined_at = boot_seconds()
            self._logger.info('Instance registered.', lease=self._lease)
        elif reply.lease_ended:
            self._lease = 0

    def _observe_cuts(self, now: float) -> None:
        self.ownership.cuts.observe(
            self.ownership.cut_targets(),
            now,
            is_cut_off=self.is_cut_off(),
            members=len(self._view.members),
        )

    async def _update_entry(self, now: float) -> None:
        """Write the entry again if it is, or may be, wrong about the cuts."""
        is_cut_off = self.ownership.cuts.is_cut_off
        if not self._registered or now < self._entry_retry_at:
            return
        self._drop_lost_entry()
        if self._is_entry_replaced():
            self._entry = None
        before = self._entry
        if before is not None and before.is_cut_off == is_cut_off:
            return
        self._entry_retry_at = now + _ENTRY_RETRY_SECONDS
        try:
            await self._register()
        except (PlatformError, StoreBusy) as exc:
            self._logger.warning('Entry not written.', reason=str(exc))
            return
        self._logger.info(
            'Most targets cut off.' if is_cut_off else 'Targets reached again.',
            cut=len(self.ownership.cut_targets()),
            targets=len(self._view.targets),
        )

    def _drop_lost_entry(self) -> None:
        """End the authority by the lease if the entry is lost.

        Others may claim workers of a member without an entry.
        """
        if self._is_entry_lost():
            self._registered = False
            self._entry = None
            self.ownership.authority.record_lease_end()

    def _is_entry_lost(self) -> bool:
        """Tell whether the entry is removed, or that of a former process.

        A late write of that one is removed when the former lease ends, although
        the lease of this process goes on.
        """
        if self._entry_era != self._view.era:
            return False
        key = MEMBERS_PREFIX + self.instance
        if self._view.revisions.removed_at(key) > self._stored_revision:
            return True
        stored = self._view.members.get(self.instance)
        is_former = stored is not None and stored.boot != self.incarnation
        return is_former and self._view.as_of >= self._stored_revision

    def _is_entry_replaced(self) -> bool:
        """Tell whether an earlier write of the entry was committed late."""
        stored = self._view.members.get(self.instance)
        if stored is None or stored.boot != self.incarnation:
            return False
        is_current = self._view.as_of >= self._stored_revision
        return is_current and stored != self._entry

    def _claims(self, now: float) -> list[WorkerClaim]:
        view = self._view
        context = ClaimContext(
            me=self.instance,
            zone=self._cfg.facts.zone,
            joined=self._joined_at,
            zones={name: each.zone for name, each in view.engines().items()},
            records=view.ownership,
            members=view.member_infos(),
            last_received={
                name: each.at
                for name, each in self.status_exchange.received.items()
            },
            absent_since=self._missing_since,
            unreachable=self.ownership.avoided(),
            unrecorded_wait=self.ownership.era_hold.unrecorded_wait(now),
        )
        free = free_workers(context, self._cfg.authority, now)
        known = self._free_since
        self._free_since = {each: known.get(each, now) for each in free}
        return choose_claims(
            replace(context, free_since=self._free_since),
            self._cfg.authority,
            now,
        )
