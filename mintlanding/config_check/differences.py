"""Comparison of two configurations, entry by entry and field by field.

Entries and fields are found by the data classes, so that new fields are
compared without a change here.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields, is_dataclass
from typing import Any

from mintlanding.config_check.models import Action, Change, FieldChange
from mintlanding.config_check.secrets import digest, is_secret
from mintlanding.traffic.models import ServingConfig

_Path = tuple[str, ...]
_CONFIG_KIND = 'configuration'


@dataclass(frozen=True, slots=True)
class _Leaf:
    """A value that is compared as a whole."""

    content: Any
    is_hidden: bool


_Fields = dict[_Path, _Leaf]
_MISSING = _Leaf(None, is_hidden=False)


def compare(before: ServingConfig, after: ServingConfig) -> list[Change]:
    """Return what was added, removed and changed, by kind and name."""
    earlier, later = _entries(before), _entries(after)
    found = []
    for kind, name in sorted(earlier.keys() | later.keys()):
        old = earlier.get((kind, name))
        new = later.get((kind, name))
        changes = tuple(_field_changes(old or {}, new or {}))
        if changes or old is None or new is None:
            found.append(Change(_action(old, new), kind, name, changes))
    return found


def _action(old: _Fields | None, new: _Fields | None) -> Action:
    if old is None:
        return Action.added
    return Action.removed if new is None else Action.changed


def _entries(cfg: ServingConfig) -> dict[tuple[str, str], _Fields]:
    """Return the fields of all entries by kind and name."""
    found: dict[tuple[str, str], _Fields] = {(_CONFIG_KIND, ''): {}}
    for field in fields(cfg):
        content = getattr(cfg, field.name)
        is_hidden = is_secret((field.name,))
        if is_dataclass(content):
            found[field.name, ''] = dict(_flatten(content, (), is_hidden))
        elif _has_entries(content):
            for name, entry in _named(content):
                leaves = _flatten(entry, (), is_hidden)
                found[field.name, name] = dict(leaves)
        elif not _is_empty(content):
            leaf = _Leaf(content, is_hidden)
            found[_CONFIG_KIND, ''][field.name,] = leaf
    return found


def _is_empty(content: Any) -> bool:
    return isinstance(content, Mapping | tuple) and not content


def _has_entries(content: Any) -> bool:
    """Return whether a collection consists of data classes."""
    if isinstance(content, Mapping):
        content = tuple(content.values())
    if not isinstance(content, tuple) or not content:
        return False
    return all(is_dataclass(each) for each in content)


def _named(content: Any) -> Iterator[tuple[str, Any]]:
    """Yield entries with names, which are numbered where they repeat."""
    if isinstance(content, Mapping):
        yield from content.items()
        return
    names = [getattr(each, 'name', type(each).__name__) for each in content]
    plain, taken = set(names), set[str]()
    counts: Counter[str] = Counter()
    for name, entry in zip(names, content, strict=True):
        shown = name
        # A numbered name may be the name of another entry.
        while shown in taken or (shown != name and shown in plain):
            counts[name] += 1
            shown = f'{name}#{counts[name] + 1}'
        taken.add(shown)
        yield shown, entry


def _flatten(
    content: Any, path: _Path, is_hidden: bool
) -> Iterator[tuple[_Path, _Leaf]]:
    """Yield the fields of nested data classes with their paths."""
    if is_dataclass(content):
        for field in fields(content):
            inner = getattr(content, field.name)
            is_inner_hidden = is_hidden or is_secret((field.name,))
            yield from _flatten(inner, (*path, field.name), is_inner_hidden)
    elif _has_entries(content):
        for name, entry in _named(content):
            yield from _flatten(entry, (*path, name), is_hidden)
    else:
        yield path, _Leaf(content, is_hidden)


def _field_changes(old: _Fields, new: _Fields) -> Iterator[FieldChange]:
    for path in dict.fromkeys((*old, *new)):
        before, after = old.get(path, _MISSING), new.get(path, _MISSING)
        if before.content != after.content:
            yield FieldChange(
                '.'.join(path), _printable(before), _printable(after)
            )


def _printable(leaf: _Leaf) -> Any:
    return _encode(leaf.content, leaf.is_hidden)


def _encode(content: Any, is_hidden: bool) -> Any:
    """Return a value for JSON; hidden texts and numbers become digests."""
    if isinstance(content, frozenset | set):
        return sorted(str(_encode(each, is_hidden)) for each in content)
    if isinstance(content, tuple | list):
        return [_encode(each, is_hidden) for each in content]
    if isinstance(content, Mapping):
        return {
            str(_encode(name, is_hidden)): _encode(each, is_hidden)
            for name, each in content.items()
        }
    if content is None or isinstance(content, bool):
        return content
    if is_hidden:
        return f'digest {digest(content)}'
    return content if isinstance(content, int | float) else str(content)
