"""What engines send and take, apart from the callers' own bodies."""

import msgspec


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
    """Change what an engine works on: prefill, decode or mixed."""

    role: str
    fencing: int = 0


class EngineReport(msgspec.Struct, frozen=True):
    """Load of an engine, as old as the engine's reports lag.

    `incarnation` changes when the engine restarts, which empties it.
    `resident`, `loading` and `busy` hold names such as `adapter@version`;
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
    fencing: int = 0
    steps: int = 0
    batched: int = 0


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix stored or removed; numbers rise by one, with gaps if lost."""

    number: int
    kind: str
    prefix: str


class ErrorDetail(msgspec.Struct, frozen=True):
    """Why an engine refused; `ran` tells whether anything was done."""

    code: str = ''
    message: str = ''
    ran: bool = True
    retry_after: float | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of a refusal."""

    error: ErrorDetail


class AnswerHead(msgspec.Struct, frozen=True):
    """The part of an answer that names what it answers."""

    model: str
    id: str = ''  # noqa: WPS125
