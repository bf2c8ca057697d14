"""Secondary indexes of the directory, kept with each change."""

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
    """Adapters by workspace, versions by adapter and label, targets."""

    def __init__(self, objects: Objects) -> None:
        """Start empty; read objects that are filed from `objects`."""
        self.shared: set[str] = set()
        self._objects = objects
        self._adapters: dict[str, set[str]] = {}
        self._versions: dict[str, tuple[str, ...]] = {}
        self._targets: dict[str, set[str]] = {}
        self._labels = LabelIndex()
        self._visible: dict[str, set[str]] = {}
        self._shared_versions: set[str] = set()

    def change(self, before: AnyObject | None, after: AnyObject | None) -> None:
        """Follow a change from one state of an object to the next."""
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
        """Return the labels of a version over those of its adapter."""
        own = self._objects['adapter-version'][name].labels
        return _inherit(self._adapter(name.partition('@')[0]), own)

    def select_versions(
        self,
        selector: LabelSelector,
        workspace: str,
    ) -> set[str]:
        """Return matching versions of adapters that a workspace may use."""
        found = self._labels.select(selector)
        own = found & self._visible.get(workspace, set())
        return own | (found & self._shared_versions)

    def _adapter(self, name: str) -> Adapter | None:
        return cast(Adapter | None, self._objects['adapter'].get(name))

    def _change_adapter(
        self,
        name: str,
        before: Adapter | None,
        after: Adapter | None,
    ) -> None:
        """Refile an adapter and its versions, which inherit its labels."""
        for version in self.versions_of(name):
            own = self._objects['adapter-version'][version].labels
            self._drop_version(version, before, own)
            self._add_version(version, after, own)
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
            self._drop_version(before.name, adapter, before.labels)
            siblings = self._versions.pop(before.adapter)
            left = tuple(name for name in siblings if name != before.name)
            if left:
                self._versions[before.adapter] = left
        if after is not None:
            adapter = self._adapter(after.adapter)
            self._add_version(after.name, adapter, after.labels)
            siblings = self.versions_of(after.adapter)
            self._versions[after.adapter] = (*siblings, after.name)

    def _add_version(
        self,
        name: str,
        adapter: Adapter | None,
        own: Labels,
    ) -> None:
        self._labels.add(name, _inherit(adapter, own))
        if adapter is None:
            return
        self._visible.setdefault(adapter.workspace, set()).add(name)
        if adapter.shared:
            self._shared_versions.add(name)

    def _drop_version(
        self,
        name: str,
        adapter: Adapter | None,
        own: Labels,
    ) -> None:
        self._labels.remove(name, _inherit(adapter, own))
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


def _inherit(adapter: Adapter | None, own: Labels) -> Labels:
    if adapter is None or not adapter.labels:
        return own
    return {**adapter.labels, **own}
