"""The serving configuration and the targets; times in seconds."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Self

from mintlanding.http1.models import MessageLimits


class RouteKind(StrEnum):
    """Kind of a route's requests, which decides whether retries are safe."""

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


@dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for requests of a host and path prefix.

    `attempts` bounds the targets that may run one request. `objective` is the
    latency objective of a response or of the first event of a stream,
    `event_gap` that of the pause between events. A lower `priority` is more
    urgent. `shares` are services with their weights. `regions` are those in
    which requests may run, empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    objective: float
    shares: tuple[tuple[str, float], ...]
    attempts: int = 1
    priority: int = 0
    event_gap: float = 0
    is_public: bool = False
    is_resumable: bool = False
    regions: frozenset[str] = frozenset()

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.stream:
            return self.is_resumable
        return self.kind is RouteKind.safe


@dataclass(frozen=True, slots=True)
class BaseModel:
    """A base model; sizes are in megabytes.

    `load_time` is the time in seconds to load an adapter from the weight
    store.
    """

    name: str
    size: float
    adapter_size: float = 0
    adapters: int = 0
    load_time: float = 1


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of each engine of a service.

    `memory` is shared by models and adapters, in megabytes. `token_capacity`
    bounds the tokens of running requests and cached prompts.
    """

    batch_limit: int
    token_capacity: int
    adapter_slots: int
    memory: float
    models: tuple[BaseModel, ...] = ()

    def adapter_limit(self, model: str) -> int:
        """Return how many adapters of a model can be resident with it."""
        for each in self.models:
            if each.name == model and each.adapter_size > 0:
                capacity = int((self.memory - each.size) // each.adapter_size)
                return max(0, min(self.adapter_slots, capacity))
        return self.adapter_slots


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of targets; a plain service has no `engine`.

    Each of its targets bears `cold_rate` requests per second while it is cold,
    0 for no bound, and is cold for `cold_time` seconds after its start.
    """

    name: str
    connection_limit: int = 0
    engine: EngineSpec | None = None
    cold_rate: float = 0
    cold_time: float = 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with its API keys and its quota over the whole fleet.

    `rate` (per second) and `burst` are in tokens if `counts_tokens`, else in
    requests; a rate of 0 means no quota. A request that declares no tokens is
    charged `plain_tokens`. `regions` are those in which requests may run, empty
    for all.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    rate: float = 0
    burst: float = 0
    counts_tokens: bool = False
    plain_tokens: float = 1
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServingConfig:
    """One version of the configuration that operators set."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    limits: MessageLimits = MessageLimits()


@dataclass(frozen=True, slots=True)
class Target:
    """A target as described by its entry in the store.

    `incarnation` changes with each start. `orders_taken` counts the orders
    that this incarnation has accepted, `adapters` are names with versions.
    `build` is the version of the target's software: a stream may only be
    resumed at the build that began it. `cold_time` is for how many seconds it
    said to stay cold.
    """

    target: str
    service: str
    address: tuple[str, int]
    zone: str
    slots: int
    is_leaving: bool = False
    incarnation: int = 0
    orders_taken: int = 0
    model: str = ''
    adapters: tuple[tuple[str, int], ...] = ()
    build: str = ''
    cold_time: float = 0

    @property
    def key(self) -> tuple[str, int]:
        """Return the name and incarnation, unique to one run of a target."""
        return self.target, self.incarnation


@dataclass(frozen=True, slots=True)
class AdapterName:
    """The model that a request names: a base model, or an adapter of it."""

    model: str
    adapter: str = ''

    @classmethod
    def parse(cls, text: str) -> Self:
        """Split `model/adapter`."""
        model, _, adapter = text.partition('/')
        return cls(model, adapter)

    def __str__(self) -> str:
        """Return the name as `model` or `model/adapter`."""
        return f'{self.model}/{self.adapter}' if self.adapter else self.model


@dataclass(frozen=True, slots=True)
class Demand:
    """The size of a request as declared by its caller, in tokens."""

    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def total(self) -> int:
        """Return the largest number of tokens of prompt and output."""
        return self.prompt_tokens + self.output_tokens
