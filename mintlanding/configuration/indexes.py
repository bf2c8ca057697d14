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
        visible = self.adapters_of(workspace)
        found = self._labels.select(selector)
        return {
            name
            for name in found
            if (adapter := name.partition('@')[0]) in visible
            or adapter in self.shared
        }

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
            self._labels.remove(version, _inherit(before, own))
            self._labels.add(version, _inherit(after, own))
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
            self._labels.remove(before.name, _inherit(adapter, before.labels))
            self._drop_version(before)
        if after is not None:
            adapter = self._adapter(after.adapter)
            self._labels.add(after.name, _inherit(adapter, after.labels))
            siblings = self.versions_of(after.adapter)
            self._versions[after.adapter] = (*siblings, after.name)

    def _drop_version(self, body: AdapterVersion) -> None:
        siblings = self._versions.pop(body.adapter)
        left = tuple(name for name in siblings if name != body.name)
        if left:
            self._versions[body.adapter] = left

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
