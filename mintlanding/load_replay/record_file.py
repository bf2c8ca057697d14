"""Files with records: compressed JSON lines, a header and the requests."""

import gzip
import io
import zlib
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import TypeVar

import msgspec

from mintlanding.load_replay.exceptions import RecordError
from mintlanding.load_replay.models import (
    VERSION,
    LoadRecord,
    LoadRequest,
    RecordHeader,
)

MAX_REQUESTS = 1_000_000
# Bytes of a compressed file.
MAX_FILE_BYTES = 64 << 20
# Bytes of lines; they bound the memory that a small file can expand to.
_MAX_HEADER_BYTES = 1 << 20
_MAX_LINE_BYTES = 4096
_COMPRESSION = 6
_REWRITE = 'make the record again with record-load or generate-load'

_DecodedT = TypeVar('_DecodedT')


class _VersionOnly(msgspec.Struct):
    version: int


def write_record(record: LoadRecord, file: str) -> int:
    """Write a record and return its size in bytes.

    Equal records give equal files. Raise RecordError if a limit is exceeded or
    the file cannot be written.
    """
    encoder = msgspec.json.Encoder()
    _decode(encoder.encode(record.header), RecordHeader, file)
    check_header(record.header, file)
    check_request_count(len(record.requests), file)
    buffer = io.BytesIO()
    with gzip.GzipFile('', 'wb', _COMPRESSION, buffer, mtime=0) as packed:
        packed.write(encoder.encode(record.header) + b'\n')
        for each in record.requests:
            packed.write(encoder.encode(each) + b'\n')
    content = buffer.getvalue()
    if len(content) > MAX_FILE_BYTES:
        raise _too_large(file, len(content))
    try:
        Path(file).write_bytes(content)
    except OSError as exc:
        raise RecordError(
            file, f'cannot be written: {exc.strerror}', 'give another --output'
        ) from exc
    return len(content)


def read_record(file: str) -> LoadRecord:
    """Return the record of a file.

    Raise RecordError if the file cannot be read, is no record, exceeds a limit,
    has an unknown version, names an engine twice or is truncated.
    """
    try:
        return _read(file)
    except (OSError, ValueError) as exc:
        # gzip reports a file of another format as OSError without strerror.
        raise RecordError(file, f'cannot be read: {exc}', _REWRITE) from exc
    except (EOFError, RecursionError, zlib.error) as exc:
        raise RecordError(file, f'is damaged: {exc}', _REWRITE) from exc


def check_header(header: RecordHeader, file: str) -> None:
    """Raise RecordError if the version is unknown or an engine is repeated."""
    place = f'{file}, line 1'
    _check_version(header.version, place)
    if not header.engines:
        raise RecordError(
            f'{place}, engines', 'there is no engine', 'name at least one'
        )
    names = Counter(each.name for each in header.engines)
    for number, engine in enumerate(header.engines):
        if names[engine.name] > 1:
            raise RecordError(
                f'{place}, engines.{number}.name',
                f'the engine {engine.name!r} is named {names[engine.name]} '
                'times',
                'name each engine once',
            )


def _check_version(version: int, place: str) -> None:
    if version != VERSION:
        raise RecordError(
            f'{place}, version',
            f'the version {version} is unknown; known: {VERSION}',
            'replay it with the release that wrote it, or make it again',
        )


def check_request_count(count: int, place: str) -> None:
    """Raise RecordError if a record would have too many requests."""
    if count > MAX_REQUESTS:
        raise RecordError(
            place,
            f'more than {MAX_REQUESTS} requests',
            'record a shorter time or fewer instances',
        )


def _read(file: str) -> LoadRecord:
    path = Path(file)
    size = path.stat().st_size
    if size > MAX_FILE_BYTES:
        raise _too_large(file, size)
    with path.open('rb') as raw, gzip.GzipFile(fileobj=raw) as lines:
        header = _read_header(lines, file)
        requests = tuple(_read_requests(lines, file))
    if len(requests) != header.requests:
        raise RecordError(
            f'{file}, line {len(requests) + 2}',
            f'{len(requests)} requests instead of {header.requests}',
            _REWRITE,
        )
    return LoadRecord(header, requests)


def _read_header(lines: gzip.GzipFile, file: str) -> RecordHeader:
    line = lines.readline(_MAX_HEADER_BYTES)
    place = f'{file}, line 1'
    # A later version may have other fields.
    version = _decode(line, _VersionOnly, place).version
    _check_version(version, place)
    header = _decode(line, RecordHeader, place)
    check_header(header, file)
    check_request_count(header.requests, f'{place}, requests')
    return header


def _read_requests(lines: gzip.GzipFile, file: str) -> Iterator[LoadRequest]:
    decoder = msgspec.json.Decoder(LoadRequest)
    last = 0
    number = 1
    while line := lines.readline(_MAX_LINE_BYTES):
        number += 1
        place = f'{file}, line {number}'
        check_request_count(number - 1, place)
        try:
            found = decoder.decode(line)
        except msgspec.DecodeError as exc:
            raise RecordError(place, str(exc), _REWRITE) from exc
        if found.at_ms < last:
            raise RecordError(
                place, 'arrives before the line above it', _REWRITE
            )
        last = found.at_ms
        yield found


def _decode(line: bytes, kind: type[_DecodedT], place: str) -> _DecodedT:
    try:
        return msgspec.json.decode(line, type=kind)
    except msgspec.DecodeError as exc:
        raise RecordError(place, str(exc), _REWRITE) from exc


def _too_large(file: str, size: int) -> RecordError:
    return RecordError(
        file,
        f'{size} bytes; at most {MAX_FILE_BYTES} are allowed',
        'record a shorter time or fewer instances',
    )
