"""Requests, routes and attempts, and the options of routing."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from mintlanding.placement.messages import AdapterRef


@dataclass(frozen=True, slots=True)
class RoutingOptions:
    """Bounds in the choice of a target; times in seconds.

    A worker of the same zone with the adapter is preferred while its load is at
    most `zone_slack` of its batch limit above that of the best worker. A plain
    target is over its bound with `plain_bound` requests in flight from here.
    """

    zone_slack: float = 0.15
    plain_bound: int = 32
    retry_after: float = 1


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """A request for an adapter on one of a pool of workers."""

    ref: AdapterRef
    pool: str
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class WorkerRoute:
    """A worker, and the steward to request a reservation from."""

    worker: str
    steward: str
    steward_address: str


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """A request for a plain service.

    One that may not be repeated is not sent to a target under trial.
    """

    service: str
    excluded: frozenset[str] = frozenset()
    is_repeatable: bool = True


@dataclass(frozen=True, slots=True)
class PlainTarget:
    """A configured target of a plain service."""

    name: str
    service: str
    zone: str
    url: str


@dataclass(frozen=True, slots=True)
class TargetRoute:
    """A plain target and its URL."""

    target: str
    url: str


class AttemptProgress(IntEnum):
    """How far an attempt has got; later steps have higher numbers.

    `not_sent`: no byte of the request was sent. `refused`: the target or its
    steward says that it did not run the request. `sent`: it may have run.
    `answering`: part of the response was sent to the caller.
    """

    not_sent = 0
    refused = 1
    sent = 2
    answering = 3


@dataclass(frozen=True, slots=True)
class Attempt:
    """A failed attempt of a request."""

    progress: AttemptProgress
    is_idempotent: bool
    tries: int
    deadline: float
    retry_after: float = 0


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Try another target after `seconds`."""

    seconds: float


Pools = Mapping[str, frozenset[str]]
