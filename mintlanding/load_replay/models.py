"""The record of a load, as it is stored; validated when it is decoded."""

from typing import Annotated

import msgspec

from mintlanding.core.bounds import (
    MAX_COUNT,
    MAX_NAME_CHARACTERS,
    Count,
    Whole,
)

VERSION = 1
# Number of an adapter that is none: the base model is requested.
NO_ADAPTER = -1
MAX_INSTANCES = 10_000

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
# Bounds keep a run at the model engines finite.
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
_Span = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]


class EngineSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An engine; from `lost_at_ms` on it does not respond, -1 for never.

    Without a `service` it serves those of all services.
    """

    name: _Name
    slots: _Slots
    adapter_slots: _Slots
    zone: _Name = ''
    service: _Name = ''
    lost_at_ms: Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNT)] = -1


class EngineRates(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How fast the model engines work; the defaults are those of the tests.

    `prefill_rate` is in prompt tokens per second. One token of each running
    request takes `token_time` seconds, and `token_growth` more for each running
    request. `load_time` is that of an adapter from the weight store,
    `reload_time` that of one that was on the engine recently; with more than
    `full_speed_loads` in progress on all engines, loads slow down
    proportionally. `token_capacity` bounds the tokens of running requests.
    """

    prefill_rate: Annotated[float, msgspec.Meta(ge=1, le=1e9)] = 30_000
    token_time: Annotated[float, msgspec.Meta(gt=0, le=10)] = 0.012
    token_growth: _Seconds = 0
    load_time: _Seconds = 0.25
    reload_time: _Seconds = 0.03
    full_speed_loads: _Slots = 88
    token_capacity: Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)] = 1_000_000


class RecordHeader(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """First line of a record: the fleet that the load meets.

    `instances` are those that receive requests, `requests` the lines that
    follow. Callers of the workspaces in `impatient` retry immediately and
    often.
    """

    version: int
    services: tuple[_Name, ...]
    engines: tuple[EngineSpec, ...]
    rates: EngineRates
    requests: Whole
    instances: Annotated[int, msgspec.Meta(ge=1, le=MAX_INSTANCES)] = 1
    impatient: tuple[Count, ...] = ()


class LoadRequest(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True
):
    """A request; `at_ms` is its arrival after the first one.

    `zone` is that of the instance. `workspace` and `adapter` are numbers,
    `NO_ADAPTER` for none. `objective_ms` is the time to the first event,
    `deadline_ms` that to the end, `outcome` how it ended in the recorded run,
    empty if it was generated.
    """

    at_ms: Count
    zone: _Name
    service: _Name
    route: _Name
    priority: Annotated[int, msgspec.Meta(ge=0, le=100)]
    workspace: Count
    adapter: Annotated[int, msgspec.Meta(ge=NO_ADAPTER, le=MAX_COUNT)]
    prompt_tokens: _Tokens
    output_tokens: _Tokens
    objective_ms: _Span
    deadline_ms: _Span
    outcome: _Name = ''


class LoadRecord(msgspec.Struct, frozen=True):
    """A header with its requests in the order of their arrivals."""

    header: RecordHeader
    requests: tuple[LoadRequest, ...]
