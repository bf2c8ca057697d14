"""Tables for people, JSON for programs."""

import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import StrEnum
from typing import Any

from tabulate import tabulate

from mintlanding.cli.exceptions import CommandError, ExitCode

_YES_OR_NO = {True: 'yes', False: 'no'}
_HIDDEN_COLUMNS = frozenset(('kind', 'name', 'version', 'labels'))


class Output(StrEnum):
    """How results are written."""

    table = 'table'
    json = 'json'

    @classmethod
    def parse(cls, text: str) -> 'Output':
        """Read the option; raise CommandError naming the choices."""
        try:
            return cls(text)
        except ValueError as exc:
            raise CommandError(
                ExitCode.usage,
                f'unknown output {text!r}',
                'use --output table or --output json',
            ) from exc


@dataclass(frozen=True, slots=True)
class Result:
    """What a command found: data for programs, lines for people."""

    data: Any
    text: str
    exit_code: ExitCode = ExitCode.done

    def write(self, output: Output) -> None:
        """Write to standard output."""
        text = self.text
        if output is Output.json:
            text = json.dumps(self.data, indent=2)
        sys.stdout.write(f'{text}\n')


def table(rows: Sequence[Sequence[Any]], headers: Sequence[str]) -> str:
    """Write rows; without any, say so."""
    if not rows:
        return 'nothing found'
    return tabulate(rows, headers=headers, disable_numparse=True)


def objects_table(items: Sequence[dict[str, Any]]) -> str:
    """Write objects of one kind with a column for each field."""
    names = [
        name
        for item in items[:1]
        for name in item
        if name not in _HIDDEN_COLUMNS
    ]
    rows = [
        [
            item['name'],
            item['version'],
            *(cell(item[name]) for name in names),
            cell(item['labels']),
        ]
        for item in items
    ]
    return table(rows, ['name', 'version', *names, 'labels'])


def changes_table(changes: Sequence[dict[str, Any]]) -> str:
    """Write what changes, field by field."""
    rows = []
    for change in changes:
        head = [change['action'], change['kind'], change['name']]
        fields = change['fields'] or [{}]
        for number, field in enumerate(fields):
            before = cell(field.get('before'))
            after = cell(field.get('after'))
            shown = head if number == 0 else ['', '', '']
            rows.append([*shown, field.get('field', ''), before, after])
    headers = ['action', 'kind', 'name', 'field', 'before', 'after']
    return table(rows, headers)


def moment(seconds: float) -> str:
    """Write seconds since the Unix epoch in UTC."""
    found = datetime.fromtimestamp(seconds, tz=UTC)
    return found.strftime('%Y-%m-%d %H:%M:%SZ')


def cell(held: Any) -> str:
    """Write one field."""
    if held is None:
        return ''
    if isinstance(held, bool):
        return _YES_OR_NO[held]
    if isinstance(held, dict):
        return ','.join(f'{name}={found}' for name, found in held.items())
    if isinstance(held, list):
        return '; '.join(cell(each) for each in held)
    if isinstance(held, float) and held.is_integer():
        return str(int(held))
    return str(held)
