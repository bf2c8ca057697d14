"""Decoded header fields of callers' requests and targets' responses."""

from dataclasses import dataclass

from mintlanding.traffic.models import AdapterName, Demand


@dataclass(frozen=True, slots=True)
class CallerFields:
    """Fields of a caller's request; `deadline` is in seconds from now.

    `parts` are the parts of the prompt with their numbers of tokens. A caller
    that resumes a stream sends the id of the last event it has in `last_event`
    and the id of the request that brought the first one in `resumes`.
    """

    request_id: str
    host: str
    key: str
    deadline: float | None
    adapter: AdapterName
    demand: Demand | None
    parts: tuple[tuple[str, int], ...] = ()
    last_event: str = ''
    resumes: str = ''


@dataclass(frozen=True, slots=True)
class HopFields:
    """Fields that the relay adds to a request; `time_left` is in seconds.

    `version` is the adapter version that must run, 0 for any.
    """

    target: str
    workspace: str
    time_left: float
    version: int = 0
    priority: int | None = None
    last_event: str = ''


@dataclass(frozen=True, slots=True)
class TargetLoadReport:
    """Load that a target reports on a response.

    `slowdown` is how long work takes on its machine now, as a multiple of the
    usual time; None if the target does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """Fields of a target's response.

    With `has_invalid_load` it reports a load that could not be read.
    `matches_request` is false if it names another request, and `names_request`
    true if it names the one that was sent; refusals may name none.
    `limit` is the number of requests per second that the target accepts from
    all instances together, None if it names no limit. With `has_invalid_limit`
    it names one that could not be read. `is_leaving` says that the target ends
    soon and wants no further requests. A target that turned the request away
    wants none for `pause` seconds. `brittle` is how many refusals per second
    for want of room it bears before it crashes, None if it bears any number.
    """

    status: int
    matches_request: bool
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    target: str = ''
    load: TargetLoadReport | None = None
    limit: float | None = None
    has_invalid_limit: bool = False
    is_leaving: bool = False
    pause: float = 0
    brittle: float | None = None
    has_invalid_brittle: bool = False
    names_request: bool = False
    has_invalid_load: bool = False

    def is_from(self, target: str) -> bool:
        """Return whether a target sent it, as far as the response tells."""
        return self.target in {'', target}

    @property
    def is_success(self) -> bool:
        """Return whether the status is one of success."""
        return 200 <= self.status < 300
