"""Resolve the model name of a request to an adapter version.

A model name is `adapter`, `adapter@version` or `selector:<name>`. Objects of
other workspaces are invisible: they fail in the same way as unknown names.
"""

import math
import random
from dataclasses import dataclass
from typing import cast

import xxhash

from mintlanding.configuration.directory import Directory
from mintlanding.configuration.labels import LabelSelector
from mintlanding.configuration.models import Adapter, Selector
from mintlanding.core.results import Done, Failed, Outcome, ResultCode
from mintlanding.placement.messages import AdapterRef

SELECTOR_PREFIX = 'selector:'
_HASH_SPAN = 1 << 64


@dataclass(frozen=True, slots=True)
class Resolution:
    """The adapter version and the targets that a request may use."""

    ref: AdapterRef
    service: str
    targets: LabelSelector | None = None
    rule: str = ''


@dataclass(frozen=True, slots=True)
class CompiledSplit:
    """A split with the sorted names of the versions that it selects.

    `rule` describes the split in explanations. It also enters the hash in
    `pick_split`, so another text would move callers between splits.
    """

    rule: str
    weight: float
    versions: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CompiledSelector:
    """A selector compiled for one state of the directory."""

    name: str
    sticky: bool
    targets: LabelSelector | None
    splits: tuple[CompiledSplit, ...]

    @property
    def eligible_splits(self) -> list[CompiledSplit]:
        """Return the splits that can receive traffic."""
        return [each for each in self.splits if each.versions and each.weight]


class Resolver:
    """Resolve model names against a directory; caches compiled selectors."""

    def __init__(self, directory: Directory) -> None:
        """Resolve against the current state of `directory`."""
        self._directory = directory
        self._epoch = directory.selection_epoch
        self._compiled: dict[str, CompiledSelector] = {}

    def resolve(
        self,
        model: str,
        workspace: str,
        caller: str,
        rng: random.Random,
    ) -> Outcome[Resolution]:
        """Return the adapter version for a request of a workspace.

        `caller` identifies the caller for sticky selectors.
        """
        if model.startswith(SELECTOR_PREFIX):
            name = model.removeprefix(SELECTOR_PREFIX)
            return self._resolve_selector(name, workspace, caller, rng)
        return self._resolve_name(model, workspace)

    def visible_adapter(self, name: str, workspace: str) -> Adapter | None:
        """Return an adapter if the workspace owns it or it is shared."""
        adapter = self._directory.adapter(name)
        if adapter is None:
            return None
        if adapter.workspace == workspace or adapter.shared:
            return adapter
        return None

    def compile_selector(self, selector: Selector) -> CompiledSelector:
        """Return the compiled selector, from the cache if it is current."""
        if self._epoch != self._directory.selection_epoch:
            self._compiled.clear()
            self._epoch = self._directory.selection_epoch
        found = self._compiled.get(selector.name)
        if found is None:
            found = self._compile(selector)
            self._compiled[selector.name] = found
        return found

    def _resolve_name(self, model: str, workspace: str) -> Outcome[Resolution]:
        name, _, number = model.partition('@')
        adapter = self.visible_adapter(name, workspace)
        if adapter is None:
            return Failed.of(ResultCode.adapter_unknown, f'adapter {name!r}')
        full_name = f'{name}@{number}' if number else self._default_of(adapter)
        if self._directory.adapter_version(full_name) is None:
            return Failed.of(
                ResultCode.version_unknown,
                f'adapter {name!r}, version {number or "(default)"!r}',
            )
        return Done(self._resolution(full_name, 'named by the caller'))

    def _default_of(self, adapter: Adapter) -> str:
        """Return the full name of the default or only version, else ''."""
        if adapter.default_version:
            return f'{adapter.name}@{adapter.default_version}'
        versions = self._directory.versions_of(adapter.name)
        return versions[0].name if len(versions) == 1 else ''

    def _resolve_selector(
        self,
        name: str,
        workspace: str,
        caller: str,
        rng: random.Random,
    ) -> Outcome[Resolution]:
        selector = self._directory.selector(name)
        if selector is None or selector.workspace != workspace:
            return Failed.of(ResultCode.adapter_unknown, f'selector {name!r}')
        compiled = self.compile_selector(selector)
        splits = compiled.eligible_splits
        if not splits:
            return Failed.of(ResultCode.selector_empty, f'selector {name!r}')
        salt = f'{name}\n{caller}'
        if not (compiled.sticky and caller):
            salt = f'{name}\n{rng.random()}'
        split = pick_split(splits, salt)
        version = pick_version(split.versions, salt)
        return Done(self._resolution(version, split.rule, compiled.targets))

    def _resolution(
        self,
        full_name: str,
        rule: str,
        targets: LabelSelector | None = None,
    ) -> Resolution:
        name, _, number = full_name.partition('@')
        adapter = cast(Adapter, self._directory.adapter(name))
        ref = AdapterRef(name, number)
        return Resolution(ref, adapter.service, targets, rule)

    def _compile(self, selector: Selector) -> CompiledSelector:
        selected = self._select(selector.match, selector.workspace)
        rule = f'selector {selector.name}'
        if selector.splits:
            splits = tuple(
                CompiledSplit(
                    f'{rule}, split {number} ({split.match})',
                    split.weight,
                    tuple(
                        sorted(
                            selected
                            & self._select(split.match, selector.workspace),
                        ),
                    ),
                )
                for number, split in enumerate(selector.splits, start=1)
            )
        else:
            splits = (CompiledSplit(rule, 1, tuple(sorted(selected))),)
        targets = selector.targets and LabelSelector.parse(selector.targets)
        return CompiledSelector(
            selector.name,
            selector.sticky,
            targets or None,
            splits,
        )

    def _select(self, match: str, workspace: str) -> set[str]:
        selector = LabelSelector.parse(match)
        return self._directory.select_versions(selector, workspace)


def pick_split(splits: list[CompiledSplit], salt: str) -> CompiledSplit:
    """Pick by weighted rendezvous hashing.

    A change of weights moves as few callers as possible.
    """
    if len(splits) == 1:
        return splits[0]
    return max(
        splits,
        key=lambda split: (
            split.weight / -math.log(_fraction(f'{salt}\n{split.rule}'))
        ),
    )


def pick_version(versions: tuple[str, ...], salt: str) -> str:
    """Pick by rendezvous hashing, so that each caller keeps its version."""
    if len(versions) == 1:
        return versions[0]
    seed = _hash(salt)
    return max(
        versions,
        key=lambda name: _hash(name, seed),
    )


def _fraction(text: str) -> float:
    """Hash a text to a number strictly between 0 and 1."""
    return (_hash(text) + 0.5) / (_HASH_SPAN + 1)


def _hash(text: str, seed: int = 0) -> int:
    hashed: int = xxhash.xxh64_intdigest(text.encode(), seed=seed)
    return hashed
