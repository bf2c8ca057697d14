"""What an instance knows from the store: one copy, one place to change it."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

import msgspec

from mintlanding.coordination.transactional_store import Change, Item, Snapshot
from mintlanding.core.logs import Logger
from mintlanding.residency.authority import MemberInfo, OwnershipRecord
from mintlanding.residency.models import EngineReport
from mintlanding.traffic.models import (
    Route,
    Service,
    ServingConfig,
    Target,
    Workspace,
)
from mintlanding.traffic.routes import KeyTable, RouteTable

MEMBERS_PREFIX = 'mintlanding/member/'
HOLDS_PREFIX = 'mintlanding/hold/'
FLEET_KEY = 'mintlanding/fleet-key'


class Records(Protocol):
    """How the operator's and the targets' records are decoded.

    Each raises ValueError with place and reason for what cannot be read.
    """

    CONFIG_KEY: str
    VERSIONS_PREFIX: str
    TARGETS_PREFIX: str

    def decode_config(self, content: bytes) -> ServingConfig:
        """Decode the configuration."""

    def decode_version(self, content: bytes) -> tuple[str, str, int]:
        """Decode model, adapter and version."""

    def decode_target(self, key: str, content: bytes) -> Target:
        """Decode a target's entry."""

    def decode_report(self, content: bytes) -> EngineReport:
        """Decode an engine's report."""


class MemberRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """An instance as it registers itself."""

    instance: str
    zone: str
    host: str
    port: int
    boot: str
    is_leaving: bool = False
    link_mbps: float = 0


class OwnershipEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """Who orders at a worker; nobody when the holder is empty.

    A settled holder has waited out the one before it, from whom the worker
    was taken.
    """

    holder: str
    is_settled: bool = False
    previous: str = ''


def member_info(record: MemberRecord) -> MemberInfo:
    """Return a member as choices among members see it."""
    return MemberInfo(
        record.instance,
        record.zone,
        record.is_leaving,
        record.link_mbps,
    )


def _standing(target: Target) -> Target:
    """Return a target without what it runs."""
    return replace(target, orders_taken=0, adapters=())


@dataclass(slots=True)
class NamedVersion:
    """The newest version of an adapter and when it was seen."""

    version: int
    seen: float


@dataclass(slots=True)
class FleetView:
    """Configuration, targets, versions, members and holds.

    `as_of` is the revision that all of it is at least as new as, `fresh_at`
    the time at which the store last said so.
    """

    records: Records
    config: ServingConfig | None = None
    routes: RouteTable = field(default_factory=lambda: RouteTable({}))
    keys: KeyTable = field(default_factory=lambda: KeyTable({}))
    targets: dict[str, Target] = field(default_factory=dict)
    versions: dict[tuple[str, str], NamedVersion] = field(default_factory=dict)
    members: dict[str, MemberRecord] = field(default_factory=dict)
    holds: dict[str, OwnershipRecord] = field(default_factory=dict)
    fleet_key: bytes = b''
    as_of: int = 0
    fresh_at: float = float('-inf')
    away_until: float = float('-inf')
    lapse_grace: float = 0
    # Targets whose entry lapsed with the store, and when they are dropped.
    lapsed: dict[str, float] = field(default_factory=dict)
    listeners: list[Callable[[str], None]] = field(default_factory=list)
    logger: Logger = field(default_factory=lambda: Logger('view'))

    @property
    def is_complete(self) -> bool:
        """Tell whether requests can be judged."""
        return self.config is not None

    def service(self, name: str) -> Service | None:
        """Return a service."""
        return None if self.config is None else self.config.services.get(name)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request."""
        return self.routes.find(host, path)

    def workspace(self, key: str) -> Workspace | None:
        """Return the workspace of a key."""
        return self.keys.find(key)

    def workspaces(self) -> dict[str, Workspace]:
        """Return all workspaces by name."""
        return {} if self.config is None else self.config.workspaces

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of a service that take requests."""
        return [
            each
            for each in self.targets.values()
            if each.service == service and not each.is_leaving
        ]

    def engines(self) -> dict[str, Target]:
        """Return the workers that run adapters."""
        return {
            name: each
            for name, each in self.targets.items()
            if self._is_engine(each.service)
        }

    def spots(self) -> dict[str, MemberInfo]:
        """Return members as the choice of holders sees them."""
        return {
            each.instance: member_info(each) for each in self.members.values()
        }

    def version(self, model: str, adapter: str) -> NamedVersion | None:
        """Return the newest version that was named of an adapter."""
        return self.versions.get((model, adapter))

    def load(self, snapshot: Snapshot, now: float) -> None:
        """Take everything anew."""
        keys = {item.key for item in snapshot.items}
        for item in snapshot.items:
            # What stood there before is not news.
            self._put(item, float('-inf'))
        for name in [
            each for each in self.targets if not self._is_in(each, keys)
        ]:
            self._remove(self.records.TARGETS_PREFIX + name, now)
        for name in [
            each for each in self.members if MEMBERS_PREFIX + each not in keys
        ]:
            self._remove(MEMBERS_PREFIX + name, now)
        self.as_of = snapshot.revision
        self.fresh_at = now

    def load_holds(self, snapshot: Snapshot) -> None:
        """Take the holds only, whatever else is older."""
        for item in snapshot.items:
            self._put(item, self.fresh_at)

    def apply(self, change: Change, now: float) -> bool:
        """Take one change; false if nothing but what a target runs changed.

        What it runs is told by its steward, or by itself when asked.
        """
        name = change.key.removeprefix(self.records.TARGETS_PREFIX)
        before = self.targets.get(name)
        if change.item is None:
            self._remove(change.key, now)
        else:
            self._put(change.item, now)
        after = self.targets.get(name)
        if before is None or after is None:
            return True
        return _standing(before) != _standing(after)

    def drop_lapsed(self, now: float) -> None:
        """Drop targets whose entries are still missing after their grace."""
        for name, until in tuple(self.lapsed.items()):
            if now >= until:
                self.lapsed.pop(name)
                self._drop_target(name, 'its entry did not come back')

    def _is_in(self, target: str, keys: set[str]) -> bool:
        return self.records.TARGETS_PREFIX + target in keys

    def _is_engine(self, service: str) -> bool:
        found = self.service(service)
        return found is not None and found.engine is not None

    def _put(self, item: Item, now: float) -> None:
        records = self.records
        handlers: dict[str, Callable[[Item, float], None]] = {
            records.CONFIG_KEY: self._put_config,
            records.VERSIONS_PREFIX: self._put_version,
            records.TARGETS_PREFIX: self._put_target,
            MEMBERS_PREFIX: self._put_member,
            HOLDS_PREFIX: self._put_hold,
            FLEET_KEY: self._put_fleet_key,
        }
        found = [each for each in handlers if item.key.startswith(each)]
        try:
            for prefix in found:
                handlers[prefix](item, now)
        except (ValueError, msgspec.MsgspecError) as exc:
            self.logger.warning(
                'A record cannot be read.',
                record=item.key,
                revision=item.revision,
                reason=str(exc),
            )
            if item.key.startswith(records.TARGETS_PREFIX):
                self._remove(item.key, now)

    def _put_config(self, item: Item, now: float) -> None:
        cfg = self.records.decode_config(item.content)
        if self.config is not None and cfg.version < self.config.version:
            return
        self.config = cfg
        self.routes = RouteTable.from_config(cfg)
        self.keys = KeyTable.from_config(cfg)
        self.logger.info(
            'A configuration is in force.',
            version=cfg.version,
            revision=item.revision,
            routes=len(cfg.routes),
        )
        self._tell('config')

    def _put_version(self, item: Item, now: float) -> None:
        model, adapter, version = self.records.decode_version(item.content)
        known = self.versions.get((model, adapter))
        if known is not None and known.version >= version:
            return
        self.versions[(model, adapter)] = NamedVersion(version, now)
        self.logger.info(
            'A version was named.',
            model=model,
            adapter=adapter,
            version=version,
        )
        self._tell('versions')

    def _put_target(self, item: Item, now: float) -> None:
        target = self.records.decode_target(item.key, item.content)
        before = self.targets.get(target.target)
        self.lapsed.pop(target.target, None)
        self.targets[target.target] = target
        if before is None or before.key != target.key:
            self.logger.info(
                'A target is there.',
                target=target.target,
                service=target.service,
                incarnation=target.incarnation,
            )
        elif target.is_leaving and not before.is_leaving:
            self.logger.info('A target is leaving.', target=target.target)
        self._tell('targets')

    def _put_member(self, item: Item, now: float) -> None:
        record = msgspec.json.decode(item.content, type=MemberRecord)
        self.members[record.instance] = record
        self._tell('members')

    def _put_fleet_key(self, item: Item, now: float) -> None:
        self.fleet_key = item.content

    def _put_hold(self, item: Item, now: float) -> None:
        worker = item.key.removeprefix(HOLDS_PREFIX)
        known = self.holds.get(worker)
        if known is not None and known.revision > item.revision:
            return
        entry = msgspec.json.decode(item.content, type=OwnershipEntry)
        self.holds[worker] = OwnershipRecord(
            entry.holder,
            item.revision,
            entry.is_settled,
            entry.previous,
        )
        self._tell('holds')

    def _remove(self, key: str, now: float) -> None:
        if key.startswith(self.records.TARGETS_PREFIX):
            name = key.removeprefix(self.records.TARGETS_PREFIX)
            target = self.targets.get(name)
            if target is None:
                return
            if now < self.away_until and not target.is_leaving:
                self.lapsed.setdefault(name, now + self.lapse_grace)
                return
            self._drop_target(name, 'its entry was removed')
        elif key.startswith(MEMBERS_PREFIX):
            name = key.removeprefix(MEMBERS_PREFIX)
            if self.members.pop(name, None) is not None:
                self.logger.info('A member is gone.', member=name)
                self._tell('members')
        elif key.startswith(HOLDS_PREFIX):
            self.holds.pop(key.removeprefix(HOLDS_PREFIX), None)

    def _drop_target(self, name: str, reason: str) -> None:
        if self.targets.pop(name, None) is not None:
            self.logger.info('A target is gone.', target=name, reason=reason)
            self._tell('targets')

    def _tell(self, topic: str) -> None:
        for listener in self.listeners:
            listener(topic)
