"""Samples from entries and snapshots between agents."""

import msgspec

from mintlanding.peers.messages import Empty, Method


class RequestSample(msgspec.Struct, frozen=True, omit_defaults=True):
    """Measurements of one request; times in seconds, None if not measured.

    `between_tokens` is the mean time between tokens of its stream. A request
    with `is_refused` does not count for availability.
    """

    workspace: str
    service: str
    adapter: str = ''
    is_available: bool = True
    is_refused: bool = False
    is_wrongly_refused: bool = False
    first_token: float | None = None
    between_tokens: float | None = None
    load_stall: float | None = None


class SampleBatch(msgspec.Struct, frozen=True, omit_defaults=True):
    """Samples of an entry; `dropped` is how many were lost before."""

    samples: tuple[RequestSample, ...]
    dropped: int = 0


class Counts(msgspec.Struct, frozen=True, array_like=True):
    """Requests that an objective applies to, and the bad ones of them."""

    total: int = 0
    bad: int = 0


class Series(msgspec.Struct, frozen=True, omit_defaults=True):
    """Counts for one indicator of a workspace and service.

    They are of one instance or a sum of several. `windows` are counts by the
    name of the window. `history` are counts of five minutes each, the latest
    first. `histogram` is an encoded HDR histogram in milliseconds of the last
    one to two hours.
    """

    workspace: str
    service: str
    indicator: str
    windows: dict[str, Counts]
    history: tuple[Counts, ...] = ()
    histogram: bytes = b''


class AdapterBurn(msgspec.Struct, frozen=True, omit_defaults=True):
    """Bad requests of an adapter in the last one to two hours.

    `overcount` is how many of them may belong to other adapters.
    """

    workspace: str
    adapter: str
    indicator: str
    bad: int
    overcount: int = 0


class Snapshot(msgspec.Struct, frozen=True, omit_defaults=True):
    """Everything that one instance, or the sum of several, has recorded.

    `remembered` is the length of each instance's history in seconds;
    `missing` are the addresses that did not reply.
    """

    remembered: dict[str, float]
    series: tuple[Series, ...] = ()
    adapters: tuple[AdapterBurn, ...] = ()
    dropped: int = 0
    missing: tuple[str, ...] = ()


RECORD_SAMPLES = Method('Reports', 'RecordSamples', SampleBatch, Empty)
REPORT = Method('Reports', 'Report', Empty, Snapshot)
FLEET_REPORT = Method('Reports', 'FleetReport', Empty, Snapshot)
