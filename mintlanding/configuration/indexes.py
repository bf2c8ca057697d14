"""Secondary indexes of the directory, updated with each change."""

from collections.abc import Mapping
from typing import cast

from mintlanding.configuration.labels import LabelIndex, LabelSelector
from mintlanding.configuration.models import (
    Adapter,
    AdapterVersion,
    AnyObject,
    Labels,
    Target,
)

Objects = Mapping[str, Mapping[str, AnyObject]]


class Indexes:
    """Adapters by workspace, versions by adapter and label, and targets."""

    def __init__(self, objects: Objects) -> None:
        """Start empty; `objects` are the indexed objects by kind and name."""
        self.shared: set[str] = set()
        self._objects = objects
        self._adapters: dict[str, set[str]] = {}
        self._versions: dict[str, tuple[str, ...]] = {}
        self._targets: dict[str, set[str]] = {}
        self._labels = LabelIndex()
        self._visible: dict[str, set[str]] = {}
        self._shared_versions: set[str] = set()

    def update(self, before: AnyObject | None, after: AnyObject | None) -> None:
        """Update the indexes for an object that was put or deleted."""
        match before or after:
            case Adapter(name=name):
                self._change_adapter(
                    name,
                    cast(Adapter | None, before),
                    cast(Adapter | None, after),
                )
            case AdapterVersion():
                self._change_version(
                    cast(AdapterVersion | None, before),
                    cast(AdapterVersion | None, after),
                )
            case Target():
                self._change_target(
                    cast(Target | None, before),
                    cast(Target | None, after),
                )

    def adapters_of(self, workspace: str) -> set[str]:
        """Return the names of a workspace's adapters."""
        return self._adapters.get(workspace, set())

    def versions_of(self, adapter: str) -> tuple[str, ...]:
        """Return the full names of an adapter's versions."""
        return self._versions.get(adapter, ())

    def targets_of(self, service: str) -> set[str]:
        """Return the names of a service's targets."""
        return self._targets.get(service, set())

    def version_labels(self, name: str) -> Labels:
        """Return the labels of a version merged over those of its adapter."""
        own_labels = self._objects['adapter-version'][name].labels
        return _inherit(self._adapter(name.partition('@')[0]), own_labels)

    def select_versions(
        self,
        selector: LabelSelector,
        workspace: str,
    ) -> set[str]:
        """Return the names of matching versions that a workspace may use."""
        found = self._labels.select(selector)
        owned = found & self._visible.get(workspace, set())
        return owned | (found & self._shared_versions)

    def _adapter(self, name: str) -> Adapter | None:
        return cast(Adapter | None, self._objects['adapter'].get(name))

    def _change_adapter(
        self,
        name: str,
        before: Adapter | None,
        after: Adapter | None,
    ) -> None:
        """Reindex an adapter and its versions, which inherit its labels."""
        for version in self.versions_of(name):
            own_labels = self._objects['adapter-version'][version].labels
            self._remove_version(version, before, own_labels)
            self._add_version(version, after, own_labels)
        if before is not None:
            self._adapters[before.workspace].discard(name)
            self.shared.discard(name)
        if after is not None:
            self._adapters.setdefault(after.workspace, set()).add(name)
        if after is not None and after.shared:
            self.shared.add(name)

    def _change_version(
        self,
        before: AdapterVersion | None,
        after: AdapterVersion | None,
    ) -> None:
        if before is not None:
            adapter = self._adapter(before.adapter)
            self._remove_version(before.name, adapter, before.labels)
            siblings = self._versions.pop(before.adapter)
            remaining = tuple(name for name in siblings if name != before.name)
            if remaining:
                self._versions[before.adapter] = remaining
        if after is not None:
            adapter = self._adapter(after.adapter)
            self._add_version(after.name, adapter, after.labels)
            siblings = self.versions_of(after.adapter)
            self._versions[after.adapter] = (*siblings, after.name)

    def _add_version(
        self,
        name: str,
        adapter: Adapter | None,
        own_labels: Labels,
    ) -> None:
        self._labels.add(name, _inherit(adapter, own_labels))
        if adapter is None:
            return
        self._visible.setdefault(adapter.workspace, set()).add(name)
        if adapter.shared:
            self._shared_versions.add(name)

    def _remove_version(
        self,
        name: str,
        adapter: Adapter | None,
        own_labels: Labels,
    ) -> None:
        self._labels.remove(name, _inherit(adapter, own_labels))
        self._shared_versions.discard(name)
        if adapter is not None:
            self._visible[adapter.workspace].discard(name)

    def _change_target(
        self,
        before: Target | None,
        after: Target | None,
    ) -> None:
        if before is not None:
            self._targets[before.service].discard(before.name)
        if after is not None:
            self._targets.setdefault(after.service, set()).add(after.name)


def _inherit(adapter: Adapter | None, own_labels: Labels) -> Labels:
    if adapter is None or not adapter.labels:
        return own_labels
    return {**adapter.labels, **own_labels}
