"""Timeline of a request, joined from the logs of several processes."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.cli.output import Result, table

# Lines of a request's instances and workers belong to its timeline from
# _BEFORE_SECONDS before it until _AFTER_SECONDS after it.
_BEFORE_SECONDS = 3.0
_AFTER_SECONDS = 0.5
# Fields that every line has.
_STANDARD_FIELDS = frozenset(
    ('timestamp', 'task_uuid', 'task_level', 'message_type', 'message'),
)
_HIDDEN_FIELDS = frozenset((*_STANDARD_FIELDS, 'level', 'instance', 'request'))
_DECODER = msgspec.json.Decoder()


@dataclass(frozen=True, slots=True)
class Line:
    """One structured log line."""

    at: float
    instance: str
    message: str
    fields: dict[str, Any]

    def get(self, name: str) -> str:
        """Return a field as text, empty when it is missing."""
        return str(self.fields.get(name, ''))


@dataclass(slots=True)
class RequestTimeline:
    """Log lines of a request, and the number of unreadable lines."""

    request: str
    lines: list[Line] = field(default_factory=list)
    unread_count: int = 0


def explain_request(request: str, files: Iterable[str]) -> Result:
    """Return the timeline of a request.

    Raise CommandError if no line mentions the request.
    """
    unread_count = 0
    lines: list[Line] = []
    for file in files:
        for raw in _read(file):
            line = _parse(raw)
            if line is None:
                unread_count += 1
            else:
                lines.append(line)
    request_lines = [line for line in lines if _belongs_to(line, request)]
    if not request_lines:
        raise CommandError(
            ExitCode.unknown_object,
            f'no log line mentions the request {request!r}',
            'give the logs of all instances; lines may have been dropped',
            [f'{unread_count} line(s) could not be read']
            if unread_count
            else [],
        )
    timeline = sorted(
        {
            id(line): line
            for line in (*request_lines, *_find_context(request_lines, lines))
        }.values(),
        key=lambda line: line.at,
    )
    rows = [
        [
            f'{line.at - request_lines[0].at:+.3f}',
            line.instance,
            line.message,
            _format_fields(line),
        ]
        for line in timeline
    ]
    found = {
        'request': request,
        'unread_lines': unread_count,
        'lines': [
            {
                'at': line.at,
                'instance': line.instance,
                'message': line.message,
                **_event_fields(line),
            }
            for line in timeline
        ],
    }
    text = table(rows, ['seconds', 'instance', 'event', 'inputs and outcome'])
    if unread_count:
        text = f'{text}\n\n{unread_count} line(s) could not be read'
    return Result(found, text)


def _read(file: str) -> Iterator[str]:
    try:
        text = Path(file).read_text(encoding='utf-8', errors='replace')
    except OSError as exc:
        raise CommandError(
            ExitCode.usage,
            f'{file} cannot be read: {exc.strerror}',
            'give files with the standard output of instances',
        ) from exc
    yield from text.splitlines()


def _parse(text: str) -> Line | None:
    """Parse a line; any prefix before the opening brace is skipped."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = _DECODER.decode(text[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(fields, dict) or 'message' not in fields:
        return None
    timestamp = fields.get('timestamp', 0)
    at = float(timestamp) if isinstance(timestamp, int | float) else 0.0
    instance = str(fields.get('instance', ''))
    return Line(at, instance, str(fields['message']), fields)


def _belongs_to(line: Line, request: str) -> bool:
    line_request = line.get('request')
    return line_request == request or line_request.startswith(f'{request}.')


def _find_context(request_lines: list[Line], lines: list[Line]) -> list[Line]:
    """Return events of the request's instances and workers around it."""
    last = max(line.at for line in request_lines)
    first = min(line.at for line in request_lines)
    longest = max(
        float(line.fields.get('seconds', 0)) for line in request_lines
    )
    begin = min(first, last - longest) - _BEFORE_SECONDS
    instances = {line.instance for line in request_lines}
    workers = {line.get('target') for line in request_lines}
    workers |= {line.get('worker') for line in request_lines}
    workers.discard('')
    adapters = {line.get('adapter') for line in request_lines} - {''}
    found = []
    for line in lines:
        if not begin <= line.at <= last + _AFTER_SECONDS:
            continue
        if line.get('request'):
            continue
        worker = line.get('worker') or line.get('target')
        adapter = line.get('adapter')
        if worker:
            if worker in workers and (not adapter or adapter in adapters):
                found.append(line)
        elif line.instance in instances:
            found.append(line)
    return found


def _event_fields(line: Line) -> dict[str, Any]:
    return {
        name: field_value
        for name, field_value in line.fields.items()
        if name not in _HIDDEN_FIELDS and not _is_empty(field_value)
    }


def _is_empty(field_value: Any) -> bool:
    """Return whether a field says nothing; numbers and flags always do."""
    return field_value is None or field_value in ('', [])


def _format_fields(line: Line) -> str:
    return ' '.join(
        f'{name}={each}' for name, each in _event_fields(line).items()
    )
