"""What callers declare, what goes on to targets, what these answer."""

from dataclasses import dataclass

from mintlanding.traffic.models import AdapterName, Demand


@dataclass(frozen=True, slots=True)
class CallerFields:
    """What a caller declares; `deadline` is in seconds from now.

    `parts` are the parts of the prompt with their tokens.
    """

    request_id: str
    host: str
    key: str
    deadline: float | None
    adapter: AdapterName
    demand: Demand | None
    parts: tuple[tuple[str, int], ...] = ()
    last_event: str = ''


@dataclass(frozen=True, slots=True)
class HopFields:
    """What the system adds to a request; `time_left` is in seconds.

    `version` is the adapter's version that must run, 0 for any.
    """

    target: str
    workspace: str
    time_left: float
    version: int = 0
    priority: int | None = None
    last_event: str = ''


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """What the head of an answer says; `load` is running, waiting, slots."""

    status: int
    is_ours: bool
    is_stamped: bool
    is_not_run: bool
    is_misdirected: bool
    target: str = ''
    load: tuple[int, int, int] | None = None

    @property
    def is_success(self) -> bool:
        """Tell whether the target answered with success."""
        return 200 <= self.status < 300
