"""Write ids: how a write whose answer was lost is found again."""

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
    """Who writes, under which id, at which wall-clock second."""

    author: str
    write_id: str
    at: float


@dataclass(frozen=True, slots=True)
class Committed:
    """An accepted change; `repeated` when an earlier call had made it."""

    revision: int
    write_id: str
    changes: tuple[Change, ...] = ()
    repeated: bool = False


def new_write_id(now: float) -> str:
    """Return a unique id of one write, made at wall-clock second `now`."""
    milliseconds = int(now * _MILLISECONDS)
    return f'{milliseconds:012x}-{secrets.token_hex(_RANDOM_BYTES)}'


def write_id_time(write_id: str) -> float | None:
    """Return when a write id was made, if it tells."""
    try:
        return int(write_id.partition('-')[0], _HEX) / _MILLISECONDS
    except ValueError:
        return None


async def find_write(
    reader: ConfigurationReader,
    manifest: Manifest,
    write_id: str,
) -> Outcome[Committed] | None:
    """Return the outcome of a write that was accepted before."""
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
        'the write id is older than the history that is kept',
    )
