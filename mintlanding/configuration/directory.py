"""The configuration in memory: indexed objects at one revision.

A directory accepts only higher revisions, so that a late response of an
outdated peer or a slow read cannot revert it.
"""

import sys
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, cast

import msgspec

from mintlanding.configuration.indexes import Indexes
from mintlanding.configuration.labels import LabelSelector
from mintlanding.configuration.models import (
    KINDS,
    Adapter,
    AdapterVersion,
    AnyObject,
    Change,
    Delta,
    Key,
    Labels,
    Ref,
    Selector,
    Service,
    Target,
    Workspace,
)

MAX_LOG_CHANGES = 4096
_INTERNED_FIELDS: dict[type, tuple[str, ...]] = {
    Key: ('workspace',),
    Adapter: ('workspace', 'service', 'default_version'),
    Target: ('service', 'zone'),
    Selector: ('workspace',),
}
_SELECTION_KINDS = frozenset(
    ('adapter', 'adapter-version', 'selector', 'target')
)


class Acceptance(StrEnum):
    """Whether a delta was applied, and why not."""

    accepted = 'accepted'
    stale = 'stale'
    gap = 'gap'


@dataclass(frozen=True, slots=True)
class Applied:
    """The result of applying a delta; `changes` are the effective changes.

    After `gap` the caller must fetch the changes since its own revision.
    """

    acceptance: Acceptance
    revision: int
    changes: tuple[Change, ...] = ()

    @property
    def accepted(self) -> bool:
        """Return whether the directory advanced to a higher revision."""
        return self.acceptance is Acceptance.accepted

    @property
    def needs_fetch(self) -> bool:
        """Return whether changes before the delta are missing."""
        return self.acceptance is Acceptance.gap


class Directory:
    """All objects by kind and name, with the lookups that requests need.

    `selection_epoch` changes whenever the outcome of a selector may change.
    """

    def __init__(self, log_changes: int = MAX_LOG_CHANGES) -> None:
        """Start empty at revision 0; log up to `log_changes` changes."""
        self.revision = 0
        self.selection_epoch = 0
        self._log: deque[Change] = deque()
        self._log_limit = log_changes
        self._log_base = 0
        self._shared_labels: dict[str, Labels] = {}
        self._objects: dict[str, dict[str, AnyObject]] = {}
        self._reset()

    def apply(self, delta: Delta) -> Applied:
        """Apply a delta if it leads to a higher revision without a gap."""
        if delta.revision <= self.revision:
            return Applied(Acceptance.stale, self.revision)
        if delta.base > self.revision:
            return Applied(Acceptance.gap, self.revision)
        if delta.base == 0:
            return self._apply_snapshot(delta)
        return self._apply_changes(delta)

    def get(self, kind: str, name: str) -> AnyObject | None:
        """Return an object, or None if it does not exist."""
        return self._objects[kind].get(name)

    def list(self, kind: str) -> tuple[AnyObject, ...]:
        """Return the objects of a kind, sorted by name."""
        named = self._objects[kind]
        return tuple(named[name] for name in sorted(named))

    def count(self, kind: str) -> int:
        """Return the number of objects of a kind."""
        return len(self._objects[kind])

    def objects(self) -> Iterator[tuple[Ref, AnyObject]]:
        """Iterate over all objects."""
        for kind, named in self._objects.items():
            for name, body in named.items():
                yield (kind, name), body

    def find_key(self, public_id: str) -> Key | None:
        """Return a key by its public id."""
        return cast(Key | None, self.get('key', public_id))

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace."""
        return cast(Workspace | None, self.get('workspace', name))

    def adapter(self, name: str) -> Adapter | None:
        """Return an adapter."""
        return cast(Adapter | None, self.get('adapter', name))

    def adapter_version(self, name: str) -> AdapterVersion | None:
        """Return a version by its full name `adapter@version`."""
        return cast(AdapterVersion | None, self.get('adapter-version', name))

    def service(self, name: str) -> Service | None:
        """Return a service."""
        return cast(Service | None, self.get('service', name))

    def selector(self, name: str) -> Selector | None:
        """Return a selector."""
        return cast(Selector | None, self.get('selector', name))

    def adapters_of(self, workspace: str) -> tuple[Adapter, ...]:
        """Return the adapters that a workspace owns, sorted by name."""
        names = sorted(self._indexes.adapters_of(workspace))
        return tuple(cast(Adapter, self.get('adapter', name)) for name in names)

    def shared_adapters(self) -> tuple[Adapter, ...]:
        """Return the shared adapters, sorted by name."""
        names = sorted(self._indexes.shared)
        return tuple(cast(Adapter, self.get('adapter', name)) for name in names)

    def versions_of(self, adapter: str) -> tuple[AdapterVersion, ...]:
        """Return the versions of an adapter, sorted by name."""
        names = sorted(self._indexes.versions_of(adapter))
        named = self._objects['adapter-version']
        return tuple(cast(AdapterVersion, named[name]) for name in names)

    def targets_of(
        self,
        service: str,
        selector: LabelSelector | None = None,
    ) -> tuple[Target, ...]:
        """Return the targets of a service that match the selector, if any."""
        named = self._objects['target']
        names = self._indexes.targets_of(service)
        found = tuple(cast(Target, named[name]) for name in sorted(names))
        if selector is None:
            return found
        return tuple(each for each in found if selector.matches(each.labels))

    def select_versions(
        self,
        selector: LabelSelector,
        workspace: str,
    ) -> set[str]:
        """Return the names of matching versions that the workspace may use."""
        return self._indexes.select_versions(selector, workspace)

    def version_labels(self, name: str) -> Labels:
        """Return the labels of a version merged over those of its adapter."""
        return self._indexes.version_labels(name)

    def delta_since(self, revision: int) -> Delta:
        """Return the changes after a revision, or a snapshot if too old."""
        if revision >= self.revision:
            return Delta(base=self.revision, revision=self.revision)
        if revision < self._log_base or revision == 0:
            return self.snapshot()
        latest = {
            (change.kind, change.name): change
            for change in self._log
            if change.revision > revision
        }
        return Delta(
            base=revision,
            revision=self.revision,
            changes=tuple(latest.values()),
        )

    def snapshot(self) -> Delta:
        """Return all objects as a delta with base 0."""
        changes = (
            Change(revision=self.revision, kind=kind, name=name, body=body)
            for (kind, name), body in self.objects()
        )
        return Delta(base=0, revision=self.revision, changes=tuple(changes))

    def share(self, change: Change) -> Change:
        """Return an equal change that shares memory with existing objects."""
        if change.body is None:
            return change
        existing = self._objects[change.kind].get(change.name)
        body = (
            existing
            if existing == change.body
            else self._share_memory(change.body)
        )
        return _with_body(change, body)

    def _apply_changes(self, delta: Delta) -> Applied:
        new_changes = [
            change
            for change in delta.changes
            if change.revision > self.revision
        ]
        applied = tuple(self._apply_change(change) for change in new_changes)
        self._log.extend(applied)
        self.revision = delta.revision
        self._trim_log()
        return Applied(Acceptance.accepted, self.revision, applied)

    def _apply_snapshot(self, delta: Delta) -> Applied:
        """Replace all objects by a snapshot; reuse objects that are equal."""
        before = self._objects
        self._reset()
        for change in delta.changes:
            existing = before[change.kind].get(change.name)
            if existing is not None and existing == change.body:
                self._store(change.kind, existing)
            else:
                self._apply_change(change)
        self.selection_epoch += 1
        self.revision = delta.revision
        self._log.clear()
        self._log_base = delta.revision
        changes = tuple(_differences(before, self._objects, delta.revision))
        return Applied(Acceptance.accepted, self.revision, changes)

    def _apply_change(self, change: Change) -> Change:
        if change.kind in _SELECTION_KINDS:
            self.selection_epoch += 1
        if change.body is not None:
            body = self._share_memory(change.body)
            self._store(change.kind, body)
            return _with_body(change, body)
        before = self._objects[change.kind].get(change.name)
        if before is not None:
            self._indexes.update(before, None)
            self._objects[change.kind].pop(change.name)
        return change

    def _store(self, kind: str, body: AnyObject) -> None:
        named = self._objects[kind]
        self._indexes.update(named.pop(body.name, None), body)
        named[body.name] = body

    def _share_memory(self, body: AnyObject) -> AnyObject:
        """Share equal label maps and repeated strings to save memory."""
        labels = body.labels
        identity = '\0'.join((*labels, '', *labels.values()))
        fields: dict[str, Any] = {
            name: sys.intern(getattr(body, name))
            for name in _INTERNED_FIELDS.get(type(body), ())
        }
        fields['labels'] = self._shared_labels.setdefault(identity, labels)
        if all(
            getattr(body, name) is shared for name, shared in fields.items()
        ):
            return body
        return msgspec.structs.replace(body, **fields)

    def _reset(self) -> None:
        self._objects = {kind: {} for kind in KINDS}
        self._shared_labels = {}
        self._indexes = Indexes(self._objects)

    def _trim_log(self) -> None:
        while len(self._log) > self._log_limit:
            self._log_base = self._log.popleft().revision


def _with_body(change: Change, body: AnyObject | None) -> Change:
    if body is change.body:
        return change
    return msgspec.structs.replace(change, body=body)


def _differences(
    before: dict[str, dict[str, AnyObject]],
    after: dict[str, dict[str, AnyObject]],
    revision: int,
) -> Iterator[Change]:
    for kind, named in after.items():
        for name, body in named.items():
            if before[kind].get(name) != body:
                yield Change(
                    revision=revision,
                    kind=kind,
                    name=name,
                    body=body,
                )
        for removed in before[kind].keys() - named.keys():
            yield Change(revision=revision, kind=kind, name=removed)
