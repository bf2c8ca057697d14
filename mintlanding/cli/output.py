"""Output of results as tables or JSON."""

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
    """Format of the output."""

    table = 'table'
    json = 'json'

    @classmethod
    def parse(cls, text: str, option: str = 'output') -> 'Output':
        """Parse the option; raise CommandError with the choices."""
        try:
            return cls(text)
        except ValueError as exc:
            raise CommandError(
                ExitCode.usage,
                f'unknown {option} {text!r}',
                f'use --{option} table or --{option} json',
            ) from exc


@dataclass(frozen=True, slots=True)
class Result:
    """Result of a command: data for JSON output, text for people."""

    data: Any
    text: str
    exit_code: ExitCode = ExitCode.done

    def write(self, output: Output) -> None:
        """Write the result to standard output."""
        text = self.text
        if output is Output.json:
            text = json.dumps(self.data, indent=2)
        sys.stdout.write(f'{text}\n')


def table(
    rows: Sequence[Sequence[Any]],
    headers: Sequence[str],
    widths: Sequence[int | None] | None = None,
) -> str:
    """Format rows as a table, or say that there are none.

    Longer cells are wrapped to the widths of their columns, if given.
    """
    if not rows:
        return 'nothing found'
    return tabulate(
        rows, headers=headers, disable_numparse=True, maxcolwidths=widths
    )


def objects_table(items: Sequence[dict[str, Any]]) -> str:
    """Format objects of one kind with a column for each field."""
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
            *(format_cell(item[name]) for name in names),
            format_cell(item['labels']),
        ]
        for item in items
    ]
    return table(rows, ['name', 'version', *names, 'labels'])


def changes_table(changes: Sequence[dict[str, Any]]) -> str:
    """Format changes with a row for each field."""
    rows = []
    for change in changes:
        head = [change['action'], change['kind'], change['name']]
        fields = change['fields'] or [{}]
        for number, field in enumerate(fields):
            before = format_cell(field.get('before'))
            after = format_cell(field.get('after'))
            cells = head if number == 0 else ['', '', '']
            rows.append([*cells, field.get('field', ''), before, after])
    headers = ['action', 'kind', 'name', 'field', 'before', 'after']
    return table(rows, headers)


def format_timestamp(seconds: float) -> str:
    """Format seconds since the Unix epoch in UTC."""
    found = datetime.fromtimestamp(seconds, tz=UTC)
    return found.strftime('%Y-%m-%d %H:%M:%SZ')


def format_cell(field_value: Any) -> str:
    """Format the value of one field."""
    if field_value is None:
        return ''
    if isinstance(field_value, bool):
        return _YES_OR_NO[field_value]
    if isinstance(field_value, dict):
        return ','.join(
            f'{name}={found}' for name, found in field_value.items()
        )
    if isinstance(field_value, list):
        return '; '.join(format_cell(each) for each in field_value)
    if isinstance(field_value, float) and field_value.is_integer():
        return str(int(field_value))
    return str(field_value)
