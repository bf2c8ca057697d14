"""Check of a file with the operators' configuration, without a server."""

from collections import Counter
from dataclasses import asdict
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.cli.output import Result, changes_table, format_cell, table
from mintlanding.config_check.checker import run_config_checks
from mintlanding.config_check.differences import compare
from mintlanding.config_check.models import Finding
from mintlanding.config_check.repeated_names import repeated_names
from mintlanding.config_check.validity import validity_findings
from mintlanding.core.checks import Level
from mintlanding.platform.records import RecordInvalid, decode_config
from mintlanding.traffic.models import ServingConfig

_COLUMNS = ('level', 'check', 'place', 'value', 'message', 'remedy')
# Characters of the columns; only long texts are wrapped.
_WIDTHS = (None, None, None, 30, 40, 40)
_FILE_HINT = 'give the JSON file that is sent to the platform'


def check_config_file(file: str, against: str | bool | None = None) -> Result:
    """Return the findings of a file and its differences from another one.

    Fire passes True for an option that is given without a value. Raise
    CommandError if a file cannot be read or is not JSON, or if the other one
    is invalid.
    """
    if isinstance(against, bool):
        raise CommandError(
            ExitCode.usage, '--against has no value', 'write --against FILE'
        )
    earlier = None if against is None else _read_valid(against)
    cfg, findings = _read(file)
    if cfg is not None:
        findings.extend(run_config_checks(cfg))
    changes = None
    if cfg is not None and earlier is not None:
        changes = [asdict(each) for each in compare(earlier, cfg)]
    return _result(file, against, findings, changes)


def _read_valid(file: str) -> ServingConfig:
    cfg, findings = _read(file)
    if cfg is None:
        raise CommandError(
            ExitCode.usage,
            f'{file} is not a valid configuration to compare with',
            'correct it, or give another version',
            [
                f'  {each.place}: {each.message} (value: {each.value})'
                for each in findings
            ],
        )
    return cfg


def _read(file: str) -> tuple[ServingConfig | None, list[Finding]]:
    """Return the configuration and what its text repeats.

    Of an invalid one, return what makes it invalid.
    """
    content = _read_bytes(file)
    try:
        return decode_config(content), repeated_names(content)
    except RecursionError as exc:
        raise CommandError(
            ExitCode.usage, f'{file}: nested too deeply', _FILE_HINT
        ) from exc
    except RecordInvalid as exc:
        if isinstance(exc.__cause__, ValidationError):
            return None, validity_findings(exc.__cause__)
        raise CommandError(
            ExitCode.usage, f'{file}: {exc}', _FILE_HINT
        ) from exc


def _read_bytes(file: str) -> bytes:
    try:
        return Path(file).read_bytes()
    except (OSError, ValueError) as exc:
        raise CommandError(
            ExitCode.usage, f'cannot read {file!r}: {exc}', _FILE_HINT
        ) from exc


def _result(
    file: str,
    against: str | None,
    findings: list[Finding],
    changes: list[dict[str, Any]] | None,
) -> Result:
    counts = Counter(each.level for each in findings)
    errors, warnings = counts[Level.error], counts[Level.warning]
    found: dict[str, Any] = {
        'file': file,
        'errors': errors,
        'warnings': warnings,
        'findings': [
            {name: getattr(each, name) for name in _COLUMNS}
            for each in findings
        ],
    }
    parts = [f'{file}: {errors} error(s), {warnings} warning(s)']
    if findings:
        rows = [list(each.values()) for each in found['findings']]
        parts.insert(0, table(rows, _COLUMNS, _WIDTHS))
    if against is not None:
        found['against'] = against
        found['changes'] = changes
        parts.append(_changes_text(against, changes))
    return Result(found, '\n\n'.join(parts), _exit_code(errors, warnings))


def _changes_text(against: str, changes: list[dict[str, Any]] | None) -> str:
    if changes is None:
        return f'not compared with {against}, as the configuration is invalid'
    if not changes:
        return f'no differences from {against}'
    shown = changes_table([_shown(change) for change in changes])
    return f'differences from {against}:\n\n{shown}'


def _shown(change: dict[str, Any]) -> dict[str, Any]:
    """Return a change with the pairs of lists, such as shares, as texts."""
    found = [
        {name: _join_pairs(content) for name, content in field.items()}
        for field in change['fields']
    ]
    return {**change, 'fields': found}


def _join_pairs(content: Any) -> Any:
    if not isinstance(content, list):
        return content
    return [
        '='.join(format_cell(part) for part in each)
        if isinstance(each, list)
        else each
        for each in content
    ]


def _exit_code(errors: int, warnings: int) -> ExitCode:
    if errors:
        return ExitCode.has_errors
    return ExitCode.has_warnings if warnings else ExitCode.done
