"""Requests to targets and their timeouts."""

from dataclasses import dataclass, field

from mintlanding.placement.messages import AdapterRef, Priority

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class TargetTimeouts:
    """Timeouts of a target in seconds.

    `first` is until the first data, `silence` between bytes, `whole` until the
    end of a response that is not streamed.
    """

    connect: float = 1
    first: float = 30
    silence: float = 5
    whole: float = 600
    order: float = 30
    report: float = 2


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A generation; `body` is the caller's with `model` set to the ref."""

    body: bytes
    path: str
    ref: AdapterRef
    request_id: str
    workspace: str = ''
    priority: Priority = Priority.interactive
    is_stream: bool = True
    headers: Headers = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class PlainResponse:
    """The whole response of a plain service."""

    status: int
    headers: Headers
    body: bytes
