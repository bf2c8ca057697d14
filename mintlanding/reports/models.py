"""Service-level objectives, their indicators, windows and alert rules."""

from enum import StrEnum
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

ANY = '*'
_MINUTE = 60
_HOUR = 3600
_DAY = 86400


class Indicator(StrEnum):
    """The property by which an objective rates a request as good or bad.

    `availability`: good unless the system or a target failed.
    `wrongful_refusal`: good unless refused while the workspace was within its
    rate. The others: good if at most the threshold of the objective.
    """

    availability = 'availability'
    first_token = 'first_token'  # noqa: S105
    between_tokens = 'between_tokens'  # noqa: S105
    load_stall = 'load_stall'
    wrongful_refusal = 'wrongful_refusal'


LATENCIES = (
    Indicator.first_token,
    Indicator.between_tokens,
    Indicator.load_stall,
)


class Objective(BaseModel):
    """A share of requests, `target`, that must be good.

    `threshold` is in seconds.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    indicator: Indicator
    target: Annotated[float, Field(gt=0, lt=1)]
    threshold: Annotated[float, Field(gt=0)] | None = None
    workspace: str = ANY
    service: str = ANY

    @model_validator(mode='after')
    def _check_threshold(self) -> Self:
        if (self.threshold is None) == (self.indicator in LATENCIES):
            needed = 'needs' if self.threshold is None else 'takes no'
            raise ValueError(f'{self.indicator} {needed} threshold')
        return self

    @property
    def budget(self) -> float:
        """Return the share of requests that may be bad."""
        return 1 - self.target

    def rank(self, workspace: str, service: str) -> int:
        """Return how specific this objective is; -1 if it does not apply."""
        if self.workspace not in {ANY, workspace}:
            return -1
        if self.service not in {ANY, service}:
            return -1
        return 2 * (self.workspace != ANY) + (self.service != ANY)


DEFAULT_OBJECTIVES = (
    Objective(indicator=Indicator.availability, target=0.999),
    Objective(indicator=Indicator.first_token, target=0.95, threshold=0.36),
    Objective(
        indicator=Indicator.between_tokens,
        target=0.95,
        threshold=0.028,
    ),
    Objective(indicator=Indicator.load_stall, target=0.99, threshold=0.25),
    Objective(indicator=Indicator.wrongful_refusal, target=0.999),
)


class ReportSettings(BaseModel):
    """Objectives of the fleet; the most specific one applies to a request.

    Without any, those of docs/how-to/read-the-burn-report.md apply.

    At most `max_series` pairs of workspace and service are recorded
    separately; further ones are recorded as one. `top` is the number of
    adapters to record.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    objectives: tuple[Objective, ...] = ()
    max_series: Annotated[int, Field(ge=1)] = 64
    top: Annotated[int, Field(ge=1)] = 200

    def find(
        self,
        workspace: str,
        service: str,
        indicator: Indicator,
    ) -> Objective | None:
        """Return the objective that applies, or None."""
        fitting = [
            each
            for each in self.objectives or DEFAULT_OBJECTIVES
            if each.indicator is indicator
            and each.rank(workspace, service) >= 0
        ]
        if not fitting:
            return None
        return max(fitting, key=lambda each: each.rank(workspace, service))


class Window(BaseModel):
    """A period up to now and the seconds of the buckets it is read from."""

    model_config = ConfigDict(frozen=True)

    name: str
    seconds: int
    ring: int


# Number of buckets of each ring, by the seconds of one bucket.
RINGS: dict[int, int] = {30: 120, 300: 72, _HOUR: 72}
WINDOWS = (
    Window(name='5m', seconds=5 * _MINUTE, ring=30),
    Window(name='1h', seconds=_HOUR, ring=30),
    Window(name='30m', seconds=30 * _MINUTE, ring=30),
    Window(name='6h', seconds=6 * _HOUR, ring=300),
    Window(name='3d', seconds=3 * _DAY, ring=_HOUR),
)
PLOT_RING = 300


class AlertRule(BaseModel):
    """An alert that is active while both windows burn faster than `rate`."""

    model_config = ConfigDict(frozen=True)

    severity: str
    short: str
    long: str
    rate: float


RULES = (
    AlertRule(severity='page', short='5m', long='1h', rate=14.4),
    AlertRule(severity='page', short='30m', long='6h', rate=6),
    AlertRule(severity='ticket', short='6h', long='3d', rate=1),
)
