"""The local copy of the store's records, updated in one place."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from random import Random
from typing import Protocol

import msgspec

from mintlanding.coordination.store_contact import StoreContact
from mintlanding.coordination.store_era import NO_ERA, era_floor
from mintlanding.coordination.transactional_store import Change, Item, Snapshot
from mintlanding.core.borders import ValueBounds, border, decode_with
from mintlanding.core.bounds import (
    MAX_FINITE,
    MAX_RECORD_BYTES,
    MAX_WHOLE,
    Amount,
    Count,
    Port,
    StoreNumber,
)
from mintlanding.core.exceptions import MemberDataInvalid
from mintlanding.core.logs import Logger, describe_exception
from mintlanding.evacuation.zones import EvacuatedZones
from mintlanding.node.record_revisions import RecordRevisions
from mintlanding.quarantine.records import (
    QuarantineRecord,
    RequestRecord,
    decode_quarantine,
    decode_request_record,
)
from mintlanding.residency.authority import MemberInfo, OwnershipRecord
from mintlanding.residency.models import EngineReport
from mintlanding.streams.builds import BuildHistory
from mintlanding.streams.messages import StreamOrigin, decode_origins
from mintlanding.traffic.models import (
    Route,
    Service,
    ServingConfig,
    Target,
    Workspace,
)
from mintlanding.traffic.routes import (
    KeyTable,
    RouteTable,
    choose_service,
)

MEMBERS_PREFIX = 'mintlanding/member/'
OWNERSHIP_PREFIX = 'mintlanding/hold/'
FLEET_KEY = 'mintlanding/fleet-key'
QUARANTINE_PREFIX = 'mintlanding/quarantine/'
REQUEST_QUARANTINE_PREFIX = 'mintlanding/request-quarantine/'
ORIGINS_PREFIX = 'mintlanding/streams/'
_BOUNDS = ValueBounds(MAX_WHOLE, 0, MAX_FINITE, MAX_RECORD_BYTES)
# Runs of targets that are remembered to have left.
_MAX_LEAVING = 4096


class Records(Protocol):
    """Decoders of the operator's and the targets' records.

    Each raises ValueError, with location and reason, for an invalid record.
    """

    CONFIG_KEY: str
    VERSIONS_PREFIX: str
    EVACUATIONS_PREFIX: str
    TARGETS_PREFIX: str

    def decode_config(self, content: bytes) -> ServingConfig:
        """Decode the configuration."""

    def decode_version(self, content: bytes) -> tuple[str, str, int]:
        """Decode a version record into model, adapter and version."""

    def decode_target(self, key: str, content: bytes) -> Target:
        """Decode a target's entry."""

    def decode_report(self, content: bytes) -> EngineReport:
        """Decode an engine's report."""


class MemberRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Entry that an instance registers in the store under its lease.

    `boot` is the incarnation, a random id of the process. `link_version` is
    that of the messages it understands. At `path_port` it opens paths to
    targets for members that do not reach them, 0 for none.
    One that is cut off reaches less than half of the targets itself.
    """

    instance: str
    zone: str
    host: str
    port: Port
    boot: str
    is_leaving: bool = False
    link_mbps: Amount = 0
    link_version: Count = 0
    path_port: Port = 0
    is_cut_off: bool = False


class OwnershipEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored record of the holder of a worker.

    The holder is empty when the previous one has released the worker. The
    record is settled once the holder has waited long enough for orders of
    the previous holder, from whom it took the worker, to have ended. A release
    tells in `order_wait` for how many seconds the next holder sends no orders.
    `fence` is a lower bound of the holder's fencing token, where the revision
    is not above every token that was used before. `claimed_token` is that of
    the claim, in a record that its holder has written again.
    """

    holder: str
    is_settled: bool = False
    previous: str = ''
    order_wait: Amount | None = None
    fence: StoreNumber = 0
    claimed_token: StoreNumber = 0

    def at_revision(self, revision: int) -> OwnershipRecord:
        """Return the record as it stands in the store at a revision."""
        return OwnershipRecord(
            self.holder,
            revision,
            self.is_settled,
            self.previous,
            self.order_wait,
            self.fence,
            self.claimed_token,
        )


_MEMBER_DECODER = msgspec.json.Decoder(MemberRecord)
_OWNERSHIP_DECODER = msgspec.json.Decoder(OwnershipEntry)


@border('member', MemberDataInvalid, _BOUNDS)
def decode_member(key: str, content: bytes) -> MemberRecord:
    """Decode a member's entry; raise MemberDataInvalid."""
    record = decode_with(_MEMBER_DECODER.decode, content, MemberDataInvalid)
    if key != MEMBERS_PREFIX + record.instance:
        raise MemberDataInvalid(f'it names member {record.instance!r}')
    return record


@border('ownership', MemberDataInvalid, _BOUNDS)
def decode_ownership(content: bytes) -> OwnershipEntry:
    """Decode the record of a worker's holder; raise MemberDataInvalid."""
    return decode_with(_OWNERSHIP_DECODER.decode, content, MemberDataInvalid)


def member_info(record: MemberRecord) -> MemberInfo:
    """Return what the choice among members depends on."""
    return MemberInfo(
        record.instance,
        record.zone,
        record.is_leaving,
        record.link_mbps,
        record.is_cut_off,
    )


def _shared_state(target: Target, service: Service | None) -> Target:
    """Return what all members have to know of a target's entry.

    How long it stays cold matters only where that bounds its requests.
    """
    is_bounded = service is not None and service.cold_rate > 0
    cold_time = target.cold_time if is_bounded else 0
    return replace(target, orders_taken=0, adapters=(), cold_time=cold_time)


@dataclass(slots=True)
class NewestVersion:
    """Newest version of an adapter and when it was first seen here."""

    version: int
    seen_at: float


@dataclass(slots=True)
class FleetView:
    """Configuration, targets, versions, members and ownership records.

    All of it is at least as new as the revision `as_of` of the store's `era`;
    `fresh_at` is when that was last known to be the newest one. Targets whose
    entries lapsed in an outage of the store are kept for `lapse_grace` seconds
    after its return.
    """

    records: Records
    revisions: RecordRevisions = field(default_factory=RecordRevisions)
    config: ServingConfig | None = None
    routes: RouteTable = field(default_factory=lambda: RouteTable({}))
    keys: KeyTable = field(default_factory=lambda: KeyTable({}))
    # Entries of targets as the store has them.
    entries: dict[str, Target] = field(default_factory=dict)
    # Targets as this instance takes them to be.
    targets: dict[str, Target] = field(default_factory=dict)
    versions: dict[tuple[str, str], NewestVersion] = field(default_factory=dict)
    members: dict[str, MemberRecord] = field(default_factory=dict)
    ownership: dict[str, OwnershipRecord] = field(default_factory=dict)
    # Workers whose record here was lost by the store and is not written again.
    unwritten: set[str] = field(default_factory=set)
    # Highest fencing tokens of holders in earlier eras, by worker.
    former_tokens: dict[str, int] = field(default_factory=dict)
    # Zones whose targets get no requests.
    evacuated: EvacuatedZones = field(default_factory=EvacuatedZones)
    # Records of parts of prompts in quarantine.
    quarantines: dict[str, QuarantineRecord] = field(default_factory=dict)
    # Records of requests under which targets crashed, by digest.
    request_records: dict[str, RequestRecord] = field(default_factory=dict)
    # Revisions of both kinds of records, by key.
    quarantine_revisions: dict[str, int] = field(default_factory=dict)
    # Origins of streams, by the key of their record.
    stream_origins: dict[str, tuple[StreamOrigin, ...]] = field(
        default_factory=dict
    )
    fleet_key: bytes = b''
    as_of: int = 0
    era: int = NO_ERA
    fresh_at: float = float('-inf')
    store_contact: StoreContact = field(default_factory=StoreContact)
    lapse_grace: float = 0
    builds: BuildHistory = field(default_factory=BuildHistory)
    # Targets whose entry may have lapsed in an outage of the store.
    lapsed: set[str] = field(default_factory=set)
    # Runs of targets that are known to leave, also those whose entry is gone: a
    # store that returns from an older copy has it again.
    leaving: dict[tuple[str, int], None] = field(default_factory=dict)
    listeners: list[Callable[[str], None]] = field(default_factory=list)
    # Topics to notify of when a listing has been applied, in their order.
    _pending: dict[str, None] | None = None
    logger: Logger = field(default_factory=lambda: Logger('view'))

    @property
    def is_complete(self) -> bool:
        """Tell whether a configuration is known, so requests can be routed."""
        return self.config is not None

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        return None if self.config is None else self.config.services.get(name)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route for a host and path."""
        return self.routes.find(host, path)

    def choose_service(self, route: Route, rnd: Random) -> Service | None:
        """Return one of a route's services, by their weights."""
        return self.service(choose_service(route, rnd))

    def workspace(self, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to."""
        return self.keys.find(key)

    def workspaces(self) -> dict[str, Workspace]:
        """Return all workspaces by name."""
        return {} if self.config is None else self.config.workspaces

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of a service that accept requests."""
        return [
            each
            for each in self.targets.values()
            if each.service == service and not each.is_leaving
        ]

    def only_build(self, service: str, since: float) -> str | None:
        """Return the one build that a service has had since a time."""
        present = [
            each.build
            for each in self.targets.values()
            if each.service == service
        ]
        return self.builds.only_build(service, present, since)

    def has_several_builds(self, service: str, since: float) -> bool:
        """Tell whether a service is known to have had several builds."""
        present = [
            each.build
            for each in self.targets.values()
            if each.service == service
        ]
        return len(self.builds.recent(service, present, since)) > 1

    def is_engine(self, target: Target) -> bool:
        """Tell whether a target runs an engine."""
        return self._is_engine(target.service)

    def engines(self) -> dict[str, Target]:
        """Return the workers, targets that run an engine, by name."""
        return {
            name: each
            for name, each in self.targets.items()
            if self._is_engine(each.service)
        }

    def member_infos(self) -> dict[str, MemberInfo]:
        """Return what the choice of holders depends on, by member."""
        return {
            each.instance: member_info(each) for each in self.members.values()
        }

    def version(self, model: str, adapter: str) -> NewestVersion | None:
        """Return the newest version of an adapter."""
        return self.versions.get((model, adapter))

    def load(self, snapshot: Snapshot, now: float, known: int = 0) -> None:
        """Load a listing of the store, unless newer changes are known by now.

        `known` is the revision of the view when the listing began. A listing
        of a lower one, or of another era, shows that the store has lost
        changes.
        """
        with self._one_notification():
            self._load(snapshot, now, known)
        self.fresh_at = now

    def _load(self, snapshot: Snapshot, now: float, known: int) -> None:
        self.builds.restart(now)
        former: dict[str, OwnershipRecord] = {}
        if self.era not in {NO_ERA, snapshot.era}:
            self._remember_leaving_targets()
            former = self.ownership
        if snapshot.era != self.era or snapshot.revision < known:
            self._rewind(snapshot)
        for change in self.revisions.removals(snapshot):
            self.apply(change, now)
        for item in snapshot.items:
            # Versions in a snapshot may be old: they count as seen long ago.
            self._apply_item(item, float('-inf'))
        for worker, record in former.items():
            self._keep_lost_record(worker, record)
        self.as_of = max(self.as_of, snapshot.revision)

    def load_ownership(self, snapshot: Snapshot) -> bool:
        """Load ownership records only, ahead of the rest of the view.

        Return false if the view is of another era of the store.
        """
        if not self.as_of and self.era == NO_ERA:
            self.era = snapshot.era
        if snapshot.era != self.era:
            return False
        for item in snapshot.items:
            self._apply_item(item, self.fresh_at)
        return True

    def apply(self, change: Change, now: float) -> bool:
        """Apply a change, unless a newer state of its record is known.

        Return false if other members need not hear of it. The adapters of a
        target are reported by its steward, or by the target itself on request;
        origins of streams by members. Entries as stored decide, since other
        members may not believe what this one does, nor know what it knows.
        """
        is_shared = not change.key.startswith(ORIGINS_PREFIX)
        if not self.revisions.record(change):
            return is_shared
        before = self._entry(change.key)
        if change.item is None:
            self._remove(change.key, now)
        else:
            self._put(change.item, now)
        after = self._entry(change.key)
        if not is_shared:
            return False
        if before is None or after is None:
            return True
        service = self.service(after.service)
        is_bounded = service is not None and service.cold_rate > 0
        if is_bounded and after.cold_time > 0:
            # The time counts from the arrival of each entry.
            return True
        return _shared_state(before, service) != _shared_state(after, service)

    def apply_write(self, key: str, content: bytes, revision: int) -> None:
        """Apply a write of this instance, unless a newer state is known.

        Its response may be processed after changes that followed it.
        """
        self._apply_item(Item(key, content, revision), self.fresh_at)

    def entry_state(self, name: str) -> str:
        """Return the state of a target's entry, as requests are routed by."""
        target = self.targets.get(name)
        if target is None:
            return 'none'
        if name in self.lapsed:
            return 'lapsed'
        return 'leaving' if target.is_leaving else 'ready'

    def remove_lapsed(self, now: float) -> None:
        """Remove targets whose entries are missing after the grace period.

        The period ends at once when another member reports that it has reached
        the store all the time, so that the entries did not lapse in an outage.
        """
        if not self.lapsed or self._may_lapse(now):
            return
        for name in tuple(self.lapsed):
            self._remove_target(name, 'entry not written again', now)
        self.lapsed.clear()

    def _rewind(self, snapshot: Snapshot) -> None:
        """Let a listing replace what is known, whatever its revisions."""
        self.revisions.rewind()
        self.as_of = 0
        self.era = snapshot.era
        for worker, record in self.ownership.items():
            token = max(record.token, self.former_tokens.get(worker, 0))
            self.former_tokens[worker] = token
        self.ownership = {}
        self.unwritten.clear()

    def _remember_leaving_targets(self) -> None:
        """Keep the targets that leave from being ready in an older copy."""
        for target in self.targets.values():
            if target.is_leaving:
                self._remember_leaving(target.key)

    def _keep_lost_record(self, worker: str, record: OwnershipRecord) -> None:
        """Keep a record that the store has lost until it is written again.

        Until then its holder is the last one that is known, unless the copy
        has a later record, which this instance has missed. An earlier record of
        the same holder has a lower fencing token, so it is written again, too.
        """
        listed = self.ownership.get(worker, OwnershipRecord('', 0))
        is_same = listed.holder == record.holder
        if is_same and listed.token >= self.former_tokens[worker]:
            return
        revision = listed.revision
        if revision > record.revision:
            return
        self.ownership[worker] = replace(
            record, revision=revision, claimed_token=record.token
        )
        self.unwritten.add(worker)

    def put_ownership(self, worker: str, record: OwnershipRecord) -> None:
        """Replace the record of a worker's holder by one that is stored."""
        self.unwritten.discard(worker)
        self.ownership[worker] = record
        self._notify('ownership')

    def next_fence(self, worker: str) -> int:
        """Return a bound for the token of a new turn, 0 if none is needed.

        The token is above all earlier ones: the revision of the write will do,
        unless revisions went back when the store returned from an older copy.
        Tokens of earlier eras may be those of turns that nobody remembers.
        """
        record = self.ownership.get(worker, OwnershipRecord('', 0))
        reached = max(self.as_of, record.revision)
        token = max(
            record.token,
            self.former_tokens.get(worker, 0),
            era_floor(self.era) + reached,
        )
        return token + 1 if token > reached else 0

    def _entry(self, key: str) -> Target | None:
        return self.entries.get(key.removeprefix(self.records.TARGETS_PREFIX))

    def _apply_item(self, item: Item, now: float) -> None:
        self.apply(Change(item.key, item.revision, item), now)

    def _is_engine(self, service: str) -> bool:
        found = self.service(service)
        return found is not None and found.engine is not None

    def _put(self, item: Item, now: float) -> None:
        records = self.records
        handlers: dict[str, Callable[[Item, float], None]] = {
            records.CONFIG_KEY: self._put_config,
            records.VERSIONS_PREFIX: self._put_version,
            records.TARGETS_PREFIX: self._put_target,
            records.EVACUATIONS_PREFIX: self._put_evacuation,
            MEMBERS_PREFIX: self._put_member,
            OWNERSHIP_PREFIX: self._put_ownership,
            FLEET_KEY: self._put_fleet_key,
            QUARANTINE_PREFIX: self._put_quarantine,
            REQUEST_QUARANTINE_PREFIX: self._put_request_quarantine,
            ORIGINS_PREFIX: self._put_origins,
        }
        found = [each for each in handlers if item.key.startswith(each)]
        try:
            for prefix in found:
                handlers[prefix](item, now)
        except ValueError as exc:
            self.logger.warning(
                'Invalid record.',
                record=item.key,
                revision=item.revision,
                reason=str(exc),
            )
            if item.key.startswith(records.TARGETS_PREFIX):
                self._remove(item.key, now)
        except Exception as exc:
            self._log_unforeseen_error(item.key, exc)

    def _put_config(self, item: Item, now: float) -> None:
        cfg = self.records.decode_config(item.content)
        if self.config is not None and cfg.version < self.config.version:
            return
        routes, keys = RouteTable.from_config(cfg), KeyTable.from_config(cfg)
        self.config, self.routes, self.keys = cfg, routes, keys
        self.logger.info(
            'Configuration in force.',
            version=cfg.version,
            revision=item.revision,
            routes=len(cfg.routes),
        )
        self._notify('config')

    def _put_version(self, item: Item, now: float) -> None:
        model, adapter, version = self.records.decode_version(item.content)
        known = self.versions.get((model, adapter))
        if known is not None and known.version >= version:
            return
        self.versions[(model, adapter)] = NewestVersion(version, now)
        self.logger.info(
            'New adapter version.',
            model=model,
            adapter=adapter,
            version=version,
        )
        self._notify('versions')

    def mark_leaving(self, key: tuple[str, int]) -> None:
        """Send nothing more to one run of a target, whatever its entry says."""
        if key in self.leaving:
            return
        self._remember_leaving(key)
        target = self.targets.get(key[0])
        if target is None or target.key != key or target.is_leaving:
            return
        self.targets[key[0]] = replace(target, is_leaving=True)
        self.logger.info('Target leaving.', target=target.target)
        self._notify('targets')

    def leaving_targets(self) -> tuple[tuple[str, int], ...]:
        """Return the known targets that have said that they leave."""
        current = {each.key for each in self.targets.values()}
        return tuple(sorted(self.leaving.keys() & current))

    def _remember_leaving(self, key: tuple[str, int]) -> None:
        self.leaving[key] = None
        if len(self.leaving) > _MAX_LEAVING:
            self.leaving.pop(next(iter(self.leaving)))

    def _put_target(self, item: Item, now: float) -> None:
        target = self.records.decode_target(item.key, item.content)
        self.entries[target.target] = target
        if target.key in self.leaving:
            target = replace(target, is_leaving=True)
        before = self.targets.get(target.target)
        self.lapsed.discard(target.target)
        self.targets[target.target] = target
        if before is not None and before.build != target.build:
            self.builds.record_removed(before.service, before.build, now)
        if before is None or before.key != target.key:
            self.logger.info(
                'Target registered.',
                target=target.target,
                service=target.service,
                incarnation=target.incarnation,
                build=target.build,
            )
        elif target.is_leaving and not before.is_leaving:
            self.logger.info('Target leaving.', target=target.target)
        self._notify('targets')
        if target.cold_time > 0:
            self._notify('cold targets')

    def _put_evacuation(self, item: Item, now: float) -> None:
        zone = item.key.removeprefix(self.records.EVACUATIONS_PREFIX)
        if self.evacuated.begin(zone):
            self.logger.info(
                'Zone evacuated.', zone=zone, revision=item.revision
            )
            self._notify('evacuations')

    def _end_evacuation(self, zone: str, now: float) -> None:
        if self.evacuated.end(zone, now):
            self.logger.info('Evacuation ended.', zone=zone)
            self._notify('evacuations')

    def _put_member(self, item: Item, now: float) -> None:
        record = decode_member(item.key, item.content)
        self.members[record.instance] = record
        self._notify('members')

    def _put_fleet_key(self, item: Item, now: float) -> None:
        self.fleet_key = item.content

    def _put_quarantine(self, item: Item, now: float) -> None:
        part = item.key.removeprefix(QUARANTINE_PREFIX)
        self.quarantines[part] = decode_quarantine(item.content)
        self.quarantine_revisions[item.key] = item.revision
        self._notify('quarantines')

    def _put_request_quarantine(self, item: Item, now: float) -> None:
        digest = item.key.removeprefix(REQUEST_QUARANTINE_PREFIX)
        self.request_records[digest] = decode_request_record(item.content)
        self.quarantine_revisions[item.key] = item.revision
        self._notify('quarantines')

    def _put_origins(self, item: Item, now: float) -> None:
        self.stream_origins[item.key] = decode_origins(item.content)
        self._notify('streams')

    def _put_ownership(self, item: Item, now: float) -> None:
        worker = item.key.removeprefix(OWNERSHIP_PREFIX)
        known = self.ownership.get(worker)
        if known is not None and known.revision > item.revision:
            return
        entry = decode_ownership(item.content)
        self.put_ownership(worker, entry.at_revision(item.revision))

    def _remove(self, key: str, now: float) -> None:
        self.stream_origins.pop(key, None)
        if key.startswith(self.records.TARGETS_PREFIX):
            name = key.removeprefix(self.records.TARGETS_PREFIX)
            self.entries.pop(name, None)
            target = self.targets.get(name)
            if target is None:
                return
            if self._may_lapse(now) and not target.is_leaving:
                self._keep_lapsed(name)
                return
            self._remove_target(name, 'entry removed', now)
            return
        if key.startswith(self.records.EVACUATIONS_PREFIX):
            zone = key.removeprefix(self.records.EVACUATIONS_PREFIX)
            self._end_evacuation(zone, now)
            return
        if key.startswith(MEMBERS_PREFIX):
            name = key.removeprefix(MEMBERS_PREFIX)
            if self.members.pop(name, None) is not None:
                self.logger.info('Member removed.', member=name)
                self._notify('members')
        elif self.quarantine_revisions.pop(key, None) is not None:
            self.quarantines.pop(key.removeprefix(QUARANTINE_PREFIX), None)
            self.request_records.pop(
                key.removeprefix(REQUEST_QUARANTINE_PREFIX), None
            )
            self._notify('quarantines')
        elif key.startswith(OWNERSHIP_PREFIX):
            worker = key.removeprefix(OWNERSHIP_PREFIX)
            self.ownership.pop(worker, None)
            self.unwritten.discard(worker)

    def _may_lapse(self, now: float) -> bool:
        """Tell whether a missing entry may have lapsed in an outage."""
        return now < self.store_contact.returned_at + self.lapse_grace

    def _keep_lapsed(self, name: str) -> None:
        if name in self.lapsed:
            return
        self.lapsed.add(name)
        self.logger.info(
            'Target kept without an entry.',
            target=name,
            seconds=self.lapse_grace,
            store_gap=round(self.store_contact.gap, 2),
        )

    def _remove_target(self, name: str, reason: str, now: float) -> None:
        target = self.targets.pop(name, None)
        if target is not None:
            self.builds.record_removed(target.service, target.build, now)
            self.logger.info('Target removed.', target=name, reason=reason)
            self._notify('targets')

    @contextmanager
    def _one_notification(self) -> Iterator[None]:
        """Notify of each topic once, when all of a listing is applied."""
        self._pending = {}
        try:
            yield
        finally:
            topics, self._pending = self._pending or {}, None
            for topic in topics:
                self._notify(topic)

    def _notify(self, topic: str) -> None:
        if self._pending is not None:
            self._pending[topic] = None
            return
        for listener in self.listeners:
            try:
                listener(topic)
            except Exception as exc:
                self._log_unforeseen_error(topic, exc)

    def _log_unforeseen_error(self, place: str, exc: Exception) -> None:
        """Log an exception that costs one record or one listener its turn."""
        self.logger.error(
            'Applying a change failed.', place=place, **describe_exception(exc)
        )
