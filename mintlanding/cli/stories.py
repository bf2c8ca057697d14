"""Join the log lines of several processes into the story of a request."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.cli.output import Result, table

# Seconds before a request in which what its instance and its worker believed
# is still part of its story.
_BEFORE_SECONDS = 3.0
_AFTER_SECONDS = 0.5
# Fields of every line that say nothing about the event.
_FRAME = frozenset(
    ('timestamp', 'task_uuid', 'task_level', 'message_type', 'message'),
)
_PLAIN = frozenset((*_FRAME, 'level', 'instance', 'request'))
_DECODER = msgspec.json.Decoder()


@dataclass(frozen=True, slots=True)
class Line:
    """One structured line."""

    at: float
    instance: str
    message: str
    fields: dict[str, Any]

    def get(self, name: str) -> str:
        """Return a field as text, empty when it is missing."""
        return str(self.fields.get(name, ''))


@dataclass(slots=True)
class Story:
    """What is known about a request, and the lines that cannot be read."""

    request: str
    lines: list[Line] = field(default_factory=list)
    unread: int = 0


def explain_request(request: str, files: Iterable[str]) -> Result:
    """Tell the story of a request; raise CommandError if no line names it."""
    unread = 0
    lines: list[Line] = []
    for file in files:
        for raw in _read(file):
            line = _parse(raw)
            if line is None:
                unread += 1
            else:
                lines.append(line)
    own = [line for line in lines if _is_about(line, request)]
    if not own:
        raise CommandError(
            ExitCode.unknown_object,
            f'no line names the request {request!r}',
            'give the files of all instances; lines may have been left out',
            [f'{unread} line(s) could not be read'] if unread else [],
        )
    story = sorted(
        {id(line): line for line in (*own, *_context(own, lines))}.values(),
        key=lambda line: line.at,
    )
    rows = [
        [
            f'{line.at - own[0].at:+.3f}',
            line.instance,
            line.message,
            _rest(line),
        ]
        for line in story
    ]
    found = {
        'request': request,
        'unread_lines': unread,
        'lines': [
            {
                'at': line.at,
                'instance': line.instance,
                'message': line.message,
                **_shown(line),
            }
            for line in story
        ],
    }
    text = table(rows, ['seconds', 'instance', 'event', 'inputs and outcome'])
    if unread:
        text = f'{text}\n\n{unread} line(s) could not be read'
    return Result(found, text)


def _read(file: str) -> Iterator[str]:
    try:
        text = Path(file).read_text(encoding='utf-8', errors='replace')
    except OSError as exc:
        raise CommandError(
            ExitCode.usage,
            f'{file} cannot be read: {exc.strerror}',
            'name files with the standard output of instances',
        ) from exc
    yield from text.splitlines()


def _parse(text: str) -> Line | None:
    """Return a line; what stands before its brace is left out."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = _DECODER.decode(text[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(fields, dict) or 'message' not in fields:
        return None
    stamp = fields.get('timestamp', 0)
    at = float(stamp) if isinstance(stamp, int | float) else 0.0
    instance = str(fields.get('instance', ''))
    return Line(at, instance, str(fields['message']), fields)


def _is_about(line: Line, request: str) -> bool:
    named = line.get('request')
    return named == request or named.startswith(f'{request}.')


def _context(own: list[Line], lines: list[Line]) -> list[Line]:
    """Return what the instances and workers of the request went through."""
    last = max(line.at for line in own)
    first = min(line.at for line in own)
    longest = max(float(line.fields.get('seconds', 0)) for line in own)
    begin = min(first, last - longest) - _BEFORE_SECONDS
    instances = {line.instance for line in own}
    workers = {line.get('target') for line in own}
    workers |= {line.get('worker') for line in own}
    workers.discard('')
    adapters = {line.get('adapter') for line in own} - {''}
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


def _shown(line: Line) -> dict[str, Any]:
    return {
        name: setting
        for name, setting in line.fields.items()
        if name not in _PLAIN and setting not in {'', None}
    }


def _rest(line: Line) -> str:
    return ' '.join(f'{name}={each}' for name, each in _shown(line).items())
