"""Messages between entries, stewards and other instances."""

from enum import IntEnum

import msgspec


class Priority(IntEnum):
    """Class of a request; a lower number goes first."""

    interactive = 0
    batch = 1


class AdapterRef(msgspec.Struct, frozen=True, order=True):
    """An adapter and its version, which every engine call names."""

    adapter: str
    version: str

    def __str__(self) -> str:
        """Return the name by which engines know the adapter."""
        return f'{self.adapter}@{self.version}'


class WorkerDigest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A steward's summary of one worker, gossiped within the region.

    `queued` and `running` count requests, `queued_tokens` tokens. `sequence`
    increases with each change under one `fencing` token; a digest with a lower
    pair of the two is stale. `can_load` is false while no slot is free and the
    steward may not evict.
    """

    worker: str
    zone: str
    steward: str
    steward_address: str
    fencing: int
    sequence: int
    slots: int
    batch_limit: int
    resident: tuple[AdapterRef, ...] = ()
    loading: tuple[AdapterRef, ...] = ()
    queued: int = 0
    queued_tokens: float = 0
    running: int = 0
    can_load: bool = True
    silent: bool = False
    leaving: bool = False


class ReserveRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """An entry's request to run one request on one worker.

    `tokens` is the expected work, `weight` the workspace's weight. `wait` is
    how many seconds the request may be queued (for batch: until the latest
    start that meets its deadline). `prefix` is a hash of the start of the
    prompt, `entry` the instance that sends this message.
    """

    reservation_id: str
    worker: str
    workspace: str
    ref: AdapterRef
    tokens: float
    weight: float = 1
    priority: Priority = Priority.interactive
    wait: float = 0
    prefix: int = 0
    entry: str = ''


class ReserveReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """A grant (`code` 0) or a refusal with its result code.

    A grant pins the adapter until it is released. The request must be sent
    within `start_within` seconds or not at all. `stalled` is the part of the
    wait, in seconds, that was spent on loading the adapter.
    """

    reservation_id: str
    code: int = 0
    detail: str = ''
    retry_after: float = 0
    start_within: float = 0
    fencing: int = 0
    stalled: float = 0


class ReleaseRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """The end of a granted reservation, with the number of tokens it used."""

    reservation_id: str
    worker: str
    used: float = 0
    ok: bool = True


class PinReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """All reservations that an entry has on one worker, for a new steward.

    `fencing` is the steward's token, 0 from older builds.
    """

    worker: str
    entry: str
    pins: tuple[tuple[str, AdapterRef], ...] = ()
    fencing: int = 0


class EngineReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """An engine's state, which lags by up to `StewardOptions.report_lag`.

    `incarnation` increases when the engine restarts. `busy` are the adapters
    with requests that run or wait on the engine.
    """

    worker: str
    incarnation: int
    resident: tuple[AdapterRef, ...] = ()
    loading: tuple[AdapterRef, ...] = ()
    busy: tuple[AdapterRef, ...] = ()
    running: int = 0
