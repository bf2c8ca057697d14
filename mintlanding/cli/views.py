"""Text output for responses of the administration API."""

from typing import Any

from mintlanding.cli.exceptions import ExitCode
from mintlanding.cli.output import Result, changes_table, table

STALE_NOTE = (
    'the key-value service does not respond; a newer revision may exist'
)


def change_result(found: dict[str, Any]) -> Result:
    changes = found['changes']
    if found['repeated']:
        verdict = f'accepted before, at revision {found["revision"]}'
    elif not changes:
        verdict = f'nothing to change at revision {found["revision"]}'
    elif found['dry_run']:
        verdict = (
            f'dry run: nothing was changed at revision {found["revision"]}'
        )
    else:
        verdict = f'accepted at revision {found["revision"]}'
    shown = f'{changes_text(found)}\n\n' if changes else ''
    return Result(found, f'{shown}{verdict}')


def edits_text(commit: dict[str, Any]) -> str:
    edits = [
        f'{edit["action"]} {edit["kind"]} {edit["name"]}'
        for edit in commit['edits']
    ]
    if commit['unlisted_edits']:
        edits.append(f'and {commit["unlisted_edits"]} more')
    return '\n'.join(edits)


def status_result(found: dict[str, Any]) -> Result:
    rows = [
        [
            daemon['instance'],
            daemon['zone'],
            daemon['state'],
            daemon['revision'],
            'yes' if daemon['is_current'] else 'no',
            _format_seconds(daemon['stale_seconds']),
        ]
        for daemon in found['daemons']
    ]
    headers = ['instance', 'zone', 'state', 'revision', 'current', 'stale s']
    verdict = 'in force everywhere' if found['in_force'] else 'not yet in force'
    if found['stale']:
        verdict = f'is the newest known here; {STALE_NOTE}'
    after = ''
    if found['in_force'] and found['seconds'] is not None:
        after = f' after {found["seconds"]:.2f} s'
    head = f'revision {found["revision"]} {verdict}{after}'
    exit_code = ExitCode.done if found['in_force'] else ExitCode.not_in_force
    return Result(found, f'{head}\n\n{table(rows, headers)}', exit_code)


def _format_seconds(found: float | None) -> str:
    return '' if found is None else f'{found:.1f}'


def changes_text(found: dict[str, Any]) -> str:
    """Format the listed changes and the number of others."""
    shown = changes_table(found['changes'])
    if found['unlisted_changes']:
        shown = f'{shown}\nand {found["unlisted_changes"]} more'
    return shown
