"""Findings for names that are listed twice, of which decoding keeps the last.

They are not visible in a decoded configuration, so that the text is read again.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from mintlanding.config_check.models import Finding
from mintlanding.config_check.secrets import digest
from mintlanding.core.checks import Level

NAME_CHECK = 'name-repeated'
FIELD_CHECK = 'field-repeated'
# Lists whose entries are kept by name.
_NAMED_LISTS = ('services', 'tenants')
# Names of fields that are shown; any other text may be a misplaced API key.
_FIELD_NAME = re.compile('[a-z_]{1,32}')


@dataclass(frozen=True, slots=True)
class _Object:
    """A JSON object with all its fields, also repeated ones."""

    fields: list[tuple[str, Any]]

    def last(self, name: str) -> Any:
        return dict(self.fields).get(name)


def repeated_names(content: bytes) -> list[Finding]:
    """Return the findings for the text of a valid configuration.

    Raise RecursionError if it is nested too deeply.
    """
    document = json.loads(content.decode(), object_pairs_hook=_Object)
    found = list(_repeated_fields(document, ''))
    for name in _NAMED_LISTS:
        found.extend(_repeated_entries(name, document.last(name) or []))
    return found


def _repeated_fields(node: Any, place: str) -> Iterator[Finding]:
    if isinstance(node, list):
        for position, each in enumerate(node):
            yield from _repeated_fields(each, _join(place, str(position)))
    if not isinstance(node, _Object):
        return
    seen: set[str] = set()
    reported: set[str] = set()
    for name, field in node.fields:
        inner = _join(place, _shown(name))
        if name in seen and name not in reported:
            reported.add(name)
            count = sum(other == name for other, _ in node.fields)
            yield Finding(
                inner,
                f'{count} times',
                'the object has the field more than once; instances use only '
                'the last one',
                'remove the field or give it another name',
                Level.error,
                FIELD_CHECK,
            )
        seen.add(name)
        yield from _repeated_fields(field, inner)


def _repeated_entries(kind: str, entries: list[_Object]) -> Iterator[Finding]:
    positions: dict[str, list[int]] = {}
    for position, each in enumerate(entries):
        positions.setdefault(each.last('name'), []).append(position)
    for name, found in positions.items():
        for position in found[:-1]:
            yield Finding(
                f'{kind}.{position}.name',
                name,
                f'{kind}.{found[-1]} has the same name; instances use only '
                'the last entry',
                'remove the entry or give it another name',
                Level.error,
                NAME_CHECK,
            )


def _join(place: str, part: str) -> str:
    return f'{place}.{part}' if place else part


def _shown(name: str) -> str:
    if _FIELD_NAME.fullmatch(name):
        return name
    return f'(digest {digest(name)})'
