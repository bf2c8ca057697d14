"""Write ids, by which a write without a response is found in the history."""

import secrets
from dataclasses import dataclass

from mintlanding.configuration.documents import Manifest
from mintlanding.configuration.models import Change
from mintlanding.configuration.reader import ConfigurationReader
from mintlanding.core.results import Done, Failed, Outcome, ResultCode

CLOCK_SKEW_SECONDS = 300
_RANDOM_BYTES = 8
_MILLISECONDS = 1000
_HEX = 16


@dataclass(frozen=True, slots=True)
class Authorship:
    """The author of a write, its write id and its time (wall clock)."""

    author: str
    write_id: str
    at: float


@dataclass(frozen=True, slots=True)
class Committed:
    """An accepted change; `repeated` if an earlier call already made it."""

    revision: int
    write_id: str
    changes: tuple[Change, ...] = ()
    repeated: bool = False


def new_write_id(now: float) -> str:
    """Return a unique write id with timestamp `now` (wall-clock seconds)."""
    milliseconds = int(now * _MILLISECONDS)
    return f'{milliseconds:012x}-{secrets.token_hex(_RANDOM_BYTES)}'


def write_id_time(write_id: str) -> float | None:
    """Return the timestamp of a write id, or None if it is malformed."""
    try:
        return int(write_id.partition('-')[0], _HEX) / _MILLISECONDS
    except ValueError:
        return None


async def find_write(
    reader: ConfigurationReader,
    manifest: Manifest,
    write_id: str,
) -> Outcome[Committed] | None:
    """Return the outcome of an earlier write with this id, or None.

    Fails with `conflict` if the id is older than the retained history.
    """
    for commit in manifest.commits:
        if commit.write_id == write_id:
            return Done(Committed(commit.revision, write_id, repeated=True))
    earliest = (write_id_time(write_id) or 0) - CLOCK_SKEW_SECONDS
    if not manifest.segments or earliest > manifest.commits[0].at:
        return None
    return await _find_in_segments(reader, manifest, write_id, earliest)


async def _find_in_segments(
    reader: ConfigurationReader,
    manifest: Manifest,
    write_id: str,
    earliest: float,
) -> Outcome[Committed] | None:
    for segment in reversed(manifest.segments):
        for commit in await reader.segment(segment.blob):
            if commit.write_id == write_id:
                return Done(Committed(commit.revision, write_id, repeated=True))
        if segment.since < earliest:
            return None
    if manifest.segments[0].first == 1:
        return None
    return Failed.of(
        ResultCode.conflict,
        'the write id is older than the retained history',
    )
