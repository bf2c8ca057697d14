"""Findings of checks and differences between two configurations."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from mintlanding.core.checks import Level


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault of a configuration.

    `place` is a path in the configuration, `value` the value found there in
    printable form; it never holds an API key.
    """

    place: str
    value: str
    message: str
    remedy: str
    level: Level = Level.warning
    check: str = ''


class Action(StrEnum):
    """What happened to an entry between two configurations."""

    added = 'added'
    removed = 'removed'
    changed = 'changed'


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field with its values; None where it is missing."""

    field: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True)
class Change:
    """A difference of one named entry, field by field."""

    action: Action
    kind: str
    name: str
    fields: tuple[FieldChange, ...]
