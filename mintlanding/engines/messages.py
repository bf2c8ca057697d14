"""Messages of the engine protocol, apart from callers' bodies."""

from typing import Annotated

import msgspec

# Within the range of numbers that messages can hold.
Token = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]


class LoadOrder(msgspec.Struct, frozen=True):
    """Load an adapter at a version."""

    lora_name: str
    lora_path: str
    fencing: int = 0


class UnloadOrder(msgspec.Struct, frozen=True):
    """Evict an adapter."""

    lora_name: str
    fencing: int = 0


class RoleOrder(msgspec.Struct, frozen=True):
    """Change the role of an engine: prefill, decode or mixed."""

    role: str
    fencing: int = 0


class EngineReport(msgspec.Struct, frozen=True):
    """The load of an engine, as old as the engine's reports lag.

    `incarnation` changes when the engine restarts, which empties it.
    `resident`, `loading` and `busy` contain names such as `adapter@version`;
    `busy` are those with requests that run or wait.
    """

    incarnation: int
    resident: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()
    busy: tuple[str, ...] = ()
    running: int = 0
    queued: int = 0
    kv_use: float = 0
    role: str = 'mixed'
    fencing: Token = 0
    steps: int = 0
    batched: int = 0


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix was stored or removed; a gap in the numbers is a lost event."""

    number: int
    kind: str
    prefix: str


class ErrorDetail(msgspec.Struct, frozen=True):
    """Why an engine rejected a call; `ran` is false if it did nothing."""

    code: str = ''
    message: str = ''
    ran: bool = True
    retry_after: float | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of an error response."""

    error: ErrorDetail


class AnswerHead(msgspec.Struct, frozen=True):
    """The part of a response that names its adapter and request."""

    model: str
    id: str = ''  # noqa: WPS125
