"""Decoders of configurations, adapter versions, target entries and reports."""

import re
from typing import Annotated, Any

import msgspec
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)

from mintlanding.core.borders import border
from mintlanding.core.bounds import (
    MAX_AMOUNT,
    MAX_COUNT,
    MAX_NAME_CHARACTERS,
    MAX_WHOLE,
    NAME_PATTERN,
)
from mintlanding.core.numbers import parse_count
from mintlanding.http1.models import MessageLimits
from mintlanding.platform.settings import parse_address
from mintlanding.residency.models import EngineReport
from mintlanding.traffic.models import (
    BaseModel as BaseModelSpec,
)
from mintlanding.traffic.models import (
    EngineSpec,
    Route,
    RouteKind,
    Service,
    ServingConfig,
    Target,
    Workspace,
)

CONFIG_KEY = 'op/config'
VERSIONS_PREFIX = 'op/version/'
EVACUATIONS_PREFIX = 'op/evacuate/'
TARGETS_PREFIX = 'servers/'
_MILLISECONDS = 1000
_TOKENS = 'tokens'
_STATES = frozenset(('ready', 'draining'))
_JSON = msgspec.json.Decoder()
# Milliseconds of a timeout, a day.
_MAX_MILLISECONDS = 86_400_000
# Bytes of the head or body of a request.
_MAX_BYTES = 1 << 30
# Characters of an API key.
_MAX_KEY = 1000
_NAME = re.compile(NAME_PATTERN)


class RecordInvalid(ValueError):
    """Raised for an invalid record; the message says where and why."""


def _check_name(text: str) -> str:
    if len(text) > MAX_NAME_CHARACTERS:
        raise ValueError(
            f'a name has {len(text)} characters, more than '
            f'{MAX_NAME_CHARACTERS}'
        )
    if not _NAME.fullmatch(text):
        raise ValueError(
            f'{text!r} has characters that no header field may have'
        )
    return text


_Text = Annotated[str, AfterValidator(_check_name)]
_Name = Annotated[_Text, Field(min_length=1)]
_Count = Annotated[int, Field(ge=0, le=MAX_COUNT)]
_Whole = Annotated[int, Field(ge=0, le=MAX_WHOLE)]
_Amount = Annotated[float, Field(ge=0, le=MAX_AMOUNT)]
_Milliseconds = Annotated[float, Field(ge=0, le=_MAX_MILLISECONDS)]
_Timeout = Annotated[float, Field(gt=0, le=_MAX_MILLISECONDS)]
_Bytes = Annotated[int, Field(gt=0, le=_MAX_BYTES)]
_Key = Annotated[str, Field(min_length=1, max_length=_MAX_KEY)]


class _Record(BaseModel):
    """Base class of all records; unknown fields are ignored."""

    model_config = ConfigDict(extra='ignore', frozen=True)


class _StrictRecord(BaseModel):
    """Base class of records in which a value of another type is invalid."""

    model_config = ConfigDict(extra='ignore', frozen=True, strict=True)


class _Share(_Record):
    service: _Name
    weight: _Amount


class _Route(_Record):
    name: _Name
    host: _Text
    prefix: _Text
    kind: RouteKind
    timeout_ms: _Timeout
    # The required bound of the latency.
    goal_ms: _Milliseconds = 0
    priority: _Count = 0
    service: _Text = ''
    split: list[_Share] = Field(default_factory=list)
    # Number of targets that may run one request, including the first.
    attempts: _Count = 1
    public: bool = False
    can_resume: bool = False
    gap_aim_ms: _Milliseconds = 0
    allowed_regions: list[_Name] | None = None

    def convert(self) -> Route:
        """Return the route as the internal type."""
        shares = [(each.service, each.weight) for each in self.split]
        return Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            kind=self.kind,
            timeout=self.timeout_ms / _MILLISECONDS,
            objective=(self.goal_ms or self.timeout_ms) / _MILLISECONDS,
            shares=tuple(shares) or ((self.service, 1.0),),
            attempts=max(1, self.attempts),
            priority=self.priority,
            event_gap=self.gap_aim_ms / _MILLISECONDS,
            is_public=self.public,
            is_resumable=self.can_resume,
            regions=frozenset(self.allowed_regions or ()),
        )


class _Model(_Record):
    name: _Name
    # Megabytes of the base model without adapters.
    weights_mb: _Amount
    load_s: _Amount = 1
    # Number of adapters, which are named a1, a2 and so on.
    adapters: _Count = 0
    adapter_mb: _Amount = 0


class _Engine(_Record):
    slots: Annotated[_Count, Field(ge=1)]
    kv_capacity: _Count
    # Megabytes for the base model and its adapters together.
    weights_mb: _Amount = 0
    adapter_slots: _Count = 0
    models: list[_Model] = Field(default_factory=list)

    def convert(self) -> EngineSpec:
        """Return the engine as the internal type."""
        return EngineSpec(
            batch_limit=self.slots,
            token_capacity=self.kv_capacity,
            adapter_slots=self.adapter_slots,
            memory=self.weights_mb,
            models=tuple(
                BaseModelSpec(
                    name=each.name,
                    size=each.weights_mb,
                    adapter_size=each.adapter_mb,
                    adapters=each.adapters,
                    load_time=each.load_s,
                )
                for each in self.models
            ),
        )


class _Service(_Record):
    name: _Name
    max_conns: _Count = 0
    engine: _Engine | None = None
    cold_s: _Amount | None = None
    # Requests per second that a cold target bears, 0 for no bound.
    cold_per_s: _Amount | None = None

    def convert(self) -> Service:
        """Return the service as the internal type."""
        engine = None if self.engine is None else self.engine.convert()
        return Service(
            self.name,
            self.max_conns,
            engine,
            self.cold_per_s or 0,
            self.cold_s or 0,
        )


class _Tenant(_Record):
    name: _Name
    api_keys: list[_Key] = Field(default_factory=list)
    priority: _Count | None = None
    # Unit of rate and burst.
    unit: str = ''
    plain_tokens: _Amount = 0
    rate_per_s: _Amount = 0
    burst: _Amount = 0
    allowed_regions: list[_Name] | None = None

    def convert(self) -> Workspace:
        """Return the workspace as the internal type."""
        is_tokens = self.unit == _TOKENS
        return Workspace(
            name=self.name,
            keys=frozenset(self.api_keys),
            priority=self.priority,
            rate=self.rate_per_s,
            burst=self.burst,
            counts_tokens=is_tokens,
            plain_tokens=self.plain_tokens if is_tokens else 1,
            regions=frozenset(self.allowed_regions or ()),
        )


class _Limits(_Record):
    header_bytes: _Bytes = 16384
    body_bytes: _Bytes = 4 << 20
    header_ms: _Timeout = 3000
    idle_ms: _Timeout = 15000

    def convert(self) -> MessageLimits:
        """Return the limits as the internal type."""
        return MessageLimits(
            header_bytes=self.header_bytes,
            body_bytes=self.body_bytes,
            header_timeout=self.header_ms / _MILLISECONDS,
            idle_timeout=self.idle_ms / _MILLISECONDS,
        )


class _Config(_Record):
    version: _Whole
    routes: list[_Route] = Field(default_factory=list)
    services: list[_Service] = Field(default_factory=list)
    tenants: list[_Tenant] | None = None
    limits: _Limits = _Limits()


class _Version(_StrictRecord):
    model: _Name
    adapter: _Text = ''
    version: _Whole


class _HeldModel(_StrictRecord):
    name: _Name
    version: _Whole = 0
    # Adapters as name@version.
    adapters: list[_Text] = Field(default_factory=list)


class _Entry(_StrictRecord):
    service: _Name
    addr: str
    zone: _Text
    state: str
    slots: _Count = 0
    # Version of the target's software, not of its weights.
    version: _Text = ''
    # Number of orders accepted since the start, not a revision of the entry.
    seq: _Whole = 0
    # Start of the target in milliseconds since the epoch.
    born: _Whole = 0
    models: list[_HeldModel] = Field(default_factory=list)
    # How much longer the target stays cold.
    cold_ms: _Milliseconds | None = None


class _Report(_StrictRecord):
    seq: _Whole
    born: _Whole = 0
    models: list[_HeldModel] = Field(default_factory=list)
    # Adapters being loaded, as model/adapter@version.
    coming: list[_Text] = Field(default_factory=list)
    inflight: _Count | None = None
    queued: _Count = 0


@border('configuration', RecordInvalid)
def decode_config(content: bytes) -> ServingConfig:
    """Decode the operators' configuration; raise RecordInvalid."""
    raw = _validate(_Config, content)
    tenants = raw.tenants or []
    return ServingConfig(
        version=raw.version,
        routes=tuple(each.convert() for each in raw.routes),
        services={each.name: each.convert() for each in raw.services},
        workspaces={each.name: each.convert() for each in tenants},
        limits=raw.limits.convert(),
    )


@border('version', RecordInvalid)
def decode_version(content: bytes) -> tuple[str, str, int]:
    """Decode a version record into model, adapter and version."""
    raw = _validate(_Version, content)
    return raw.model, raw.adapter, raw.version


@border('target', RecordInvalid)
def decode_target(key: str, content: bytes) -> Target:
    """Decode a target's entry; raise RecordInvalid."""
    raw = _validate(_Entry, content)
    if raw.state not in _STATES:
        raise RecordInvalid(f'state: unknown value {raw.state!r}')
    name = key.removeprefix(TARGETS_PREFIX)
    if not name:
        raise RecordInvalid('the key names no target')
    try:
        _check_name(name)
        address = parse_address(raw.addr)
    except ValueError as exc:
        raise RecordInvalid(str(exc)) from exc
    model = raw.models[0] if raw.models else None
    return Target(
        target=name,
        service=raw.service,
        address=address,
        zone=raw.zone,
        slots=raw.slots,
        is_leaving=raw.state == 'draining',
        incarnation=raw.born,
        orders_taken=raw.seq,
        model=model.name if model else '',
        adapters=_versions(model.adapters) if model else (),
        build=raw.version,
        cold_time=(raw.cold_ms or 0) / _MILLISECONDS,
    )


@border('report', RecordInvalid)
def decode_report(content: bytes) -> EngineReport:
    """Decode the report of an engine; raise RecordInvalid."""
    raw = _validate(_Report, content)
    adapters = [name for model in raw.models for name in model.adapters]
    coming = [name.rpartition('/')[2] for name in raw.coming]
    return EngineReport(
        incarnation=raw.born,
        orders_taken=raw.seq,
        requests=None if raw.inflight is None else raw.inflight + raw.queued,
        models=tuple(model.name for model in raw.models),
        adapters=_versions(adapters),
        coming=_versions(coming),
    )


def _versions(names: list[str]) -> tuple[tuple[str, int], ...]:
    found = []
    for each in names:
        name, _, version = each.partition('@')
        found.append((name, parse_count(version) or 0))
    return tuple(found)


def _validate(model: type[Any], content: bytes) -> Any:
    try:
        return model.model_validate(_JSON.decode(content))
    except ValidationError as exc:
        first = exc.errors()[0]
        place = '.'.join(str(part) for part in first['loc'])
        raise RecordInvalid(f'{place}: {first["msg"]}') from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise RecordInvalid(f'the record is not JSON: {exc}') from exc
    except RecursionError as exc:
        raise RecordInvalid('the record is nested too deeply') from exc
