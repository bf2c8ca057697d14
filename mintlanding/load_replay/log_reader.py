"""Make a record from the structured log lines of instances.

Only requests to engines that were accepted for routing are recorded: requests
to plain targets meet no steward, and of those refused before, such as for an
unknown key or a quota, the lines tell neither route nor size. All lines that
are not recorded are counted by reason.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from mintlanding.load_replay.exceptions import RecordError
from mintlanding.load_replay.models import (
    NO_ADAPTER,
    VERSION,
    EngineRates,
    EngineSpec,
    LoadRecord,
    LoadRequest,
    RecordHeader,
)
from mintlanding.load_replay.record_file import check_request_count

_ENDED = 'request: Request ended.'
_REFUSED = 'request: Request refused.'
# Outcome of a request that no engine admitted.
_NOT_SENT = 'not_sent'
# Slots of engines that no fleet file describes; a busier one had more.
_DEFAULT_SLOTS = 12
_DEFAULT_ADAPTER_SLOTS = 8
_MILLISECONDS = 1000
_DAY = 86_400
# Longest record; arrivals in milliseconds stay below `MAX_COUNT`.
_MAX_DAYS = 10
# Latest time of a line, in seconds since the Unix epoch.
_MAX_TIMESTAMP = 1e11
# Longest line in bytes that is looked at.
_MAX_LINE_BYTES = 1 << 20
_FLEET_HINT = (
    'give a JSON object with engines, services, rates and instance_zones'
)


class FleetFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the log lines do not tell of a fleet.

    `instance_zones` are the zones of instances by name.
    """

    engines: tuple[EngineSpec, ...] = ()
    services: tuple[str, ...] = ()
    rates: EngineRates = EngineRates()
    instance_zones: dict[str, str] = {}


class _EndedLine(msgspec.Struct, frozen=True):
    """The fields of `Request ended.` that a record needs; times in seconds."""

    timestamp: float
    seconds: float
    service: str
    has_engine: bool
    route: str
    outcome: str
    adapter: str
    workspace: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    objective: float
    deadline: float
    target: str = ''
    instance: str = ''
    request: str = ''


@dataclass(slots=True)
class ReadCounts:
    """Lines by what became of them.

    `returns` are refused requests that came again, which a replay repeats.
    """

    recorded: int = 0
    returns: int = 0
    other: int = 0
    unreadable: int = 0
    without_fields: int = 0
    refused_before_routing: int = 0
    plain: int = 0


@dataclass(slots=True)
class LogReader:
    """Lines of all files so far, and the numbers that replace names."""

    fleet: FleetFile = FleetFile()
    counts: ReadCounts = field(default_factory=ReadCounts)
    _lines: list[tuple[float, _EndedLine]] = field(default_factory=list)

    def read_files(self, files: Iterable[str]) -> None:
        """Read files; raise RecordError if one cannot be read."""
        for file in files:
            for line in _read_lines(file):
                self.read_line(line)
                check_request_count(len(self._lines), file)

    def read_line(self, raw: bytes) -> None:
        """Read or count a line; any prefix before its brace is skipped."""
        found = _parse(raw)
        if found is None:
            self.counts.unreadable += 1
            return
        message = found.get('message')
        if message == _REFUSED:
            self.counts.refused_before_routing += 1
        elif message == _ENDED:
            self._add(found)
        else:
            self.counts.other += 1

    def make_record(self) -> LoadRecord:
        """Return the record; raise RecordError if no request was found."""
        if not self._lines:
            raise RecordError(
                'the log lines',
                f'no request to an engine among them: {self.counts}',
                'give logs of instances that log workspace and tokens of '
                'requests',
            )
        self._lines = _without_returns(sorted(self._lines, key=_line_order))
        self.counts.returns += self.counts.recorded - len(self._lines)
        self.counts.recorded = len(self._lines)
        numbers: defaultdict[str, dict[str, int]] = defaultdict(dict)
        first = self._lines[0][0]
        days = (self._lines[-1][0] - first) / _DAY
        if days > _MAX_DAYS:
            raise RecordError(
                'the log lines',
                f'they span {days:.0f} days; at most {_MAX_DAYS} are allowed',
                'give logs of one run; a process may have logged a wrong time',
            )
        requests = tuple(
            self._request(line, at - first, numbers) for at, line in self._lines
        )
        instances = {line.instance for _, line in self._lines}
        header = RecordHeader(
            VERSION,
            self.fleet.services or _seen_services(self._lines),
            self.fleet.engines or self._seen_engines(),
            self.fleet.rates,
            requests=len(requests),
            instances=len(instances),
        )
        return LoadRecord(header, requests)

    def _add(self, found: Mapping[str, Any]) -> None:
        try:
            line = msgspec.convert(found, _EndedLine)
        except msgspec.ValidationError:
            self.counts.without_fields += 1
            return
        if not line.has_engine:
            self.counts.plain += 1
            return
        begun = line.timestamp - line.seconds
        if begun < 0 or line.seconds < 0 or line.timestamp > _MAX_TIMESTAMP:
            self.counts.unreadable += 1
            return
        try:
            # The bounds of a record hold for what it is made of.
            msgspec.convert(
                msgspec.to_builtins(self._request(line, 0, defaultdict(dict))),
                LoadRequest,
            )
        except (ValueError, OverflowError):
            self.counts.unreadable += 1
            return
        self.counts.recorded += 1
        self._lines.append((begun, line))

    def _request(
        self,
        line: _EndedLine,
        at: float,
        numbers: defaultdict[str, dict[str, int]],
    ) -> LoadRequest:
        workspaces, adapters = numbers['workspaces'], numbers['adapters']
        adapter = NO_ADAPTER
        if line.adapter:
            adapter = adapters.setdefault(line.adapter, len(adapters))
        return LoadRequest(
            round(at * _MILLISECONDS),
            self.fleet.instance_zones.get(line.instance, ''),
            line.service,
            line.route,
            line.priority,
            workspaces.setdefault(line.workspace, len(workspaces)),
            adapter,
            line.prompt_tokens,
            line.output_tokens,
            round(line.objective * _MILLISECONDS),
            round(line.deadline * _MILLISECONDS),
            line.outcome,
        )

    def _seen_engines(self) -> tuple[EngineSpec, ...]:
        """Return the targets of the lines, with the slots that they had."""
        peaks = _most_at_once(self._lines)
        if not peaks:
            raise RecordError(
                'the log lines',
                'no line names a target',
                'describe the engines in a file and name it with --fleet',
            )
        services = {line.target: line.service for _, line in self._lines}
        return tuple(
            EngineSpec(
                target,
                max(_DEFAULT_SLOTS, peak),
                _DEFAULT_ADAPTER_SLOTS,
                service=services[target],
            )
            for target, peak in sorted(peaks.items())
        )


def read_fleet_file(file: str) -> FleetFile:
    """Return what a file tells of a fleet; raise RecordError if invalid."""
    try:
        return msgspec.json.decode(Path(file).read_bytes(), type=FleetFile)
    except OSError as exc:
        raise RecordError(
            file, f'cannot be read: {exc.strerror}', _FLEET_HINT
        ) from exc
    except (RecursionError, ValueError) as exc:
        raise RecordError(file, str(exc), _FLEET_HINT) from exc


def _read_lines(file: str) -> Iterator[bytes]:
    try:
        with Path(file).open('rb') as lines:
            while line := lines.readline(_MAX_LINE_BYTES):
                if line.strip():
                    yield line
    except OSError as exc:
        raise RecordError(
            file,
            f'cannot be read: {exc.strerror}',
            'give files with the standard output of instances',
        ) from exc


def _parse(raw: bytes) -> dict[str, Any] | None:
    start = raw.find(b'{')
    if start < 0:
        return None
    try:
        found = msgspec.json.decode(raw[start:])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return found if isinstance(found, dict) else None


def _line_order(entry: tuple[float, _EndedLine]) -> tuple[float, str, str]:
    """Order lines independently of the order of the files."""
    at, line = entry
    return at, line.instance, line.workspace


def _without_returns(
    lines: Iterable[tuple[float, _EndedLine]],
) -> list[tuple[float, _EndedLine]]:
    """Return sorted lines, a request that came again as one with the last end.

    As for retry times, a workspace and its request id tell a request.
    """
    found: list[tuple[float, _EndedLine]] = []
    # The place of a request that was refused at last.
    refused: dict[tuple[str, str], int] = {}
    for at, line in lines:
        key = (line.workspace, line.request)
        place = refused.pop(key, None)
        if (
            place is not None
            and at <= found[place][0] + found[place][1].deadline
        ):
            begun, first = found[place]
            found[place] = (
                begun,
                msgspec.structs.replace(first, outcome=line.outcome),
            )
        else:
            place = len(found)
            found.append((at, line))
        if line.request and line.outcome == _NOT_SENT:
            refused[key] = place
    return found


def _seen_services(
    lines: Iterable[tuple[float, _EndedLine]],
) -> tuple[str, ...]:
    return tuple(sorted({line.service for _, line in lines}))


def _most_at_once(
    lines: Iterable[tuple[float, _EndedLine]],
) -> Counter[str]:
    """Return the most requests in progress at each target."""
    changes: list[tuple[float, int, str]] = []
    for begun, line in lines:
        if line.target:
            changes.append((begun, 1, line.target))
            changes.append((line.timestamp, -1, line.target))
    running: Counter[str] = Counter()
    peaks: Counter[str] = Counter()
    for _, change, target in sorted(changes):
        running[target] += change
        peaks[target] = max(peaks[target], running[target])
    return peaks
