"""Burn rates: how fast the error budget of each objective is used up."""

from typing import Any, Self

import msgspec

from mintlanding.reports.histograms import percentile
from mintlanding.reports.messages import AdapterBurn, Counts, Series, Snapshot
from mintlanding.reports.models import (
    RULES,
    WINDOWS,
    Indicator,
    Objective,
    ReportSettings,
)

_MEDIAN = 50
_HIGH = 95
_TOP_ADAPTERS = 20


class WindowBurn(msgspec.Struct, frozen=True):
    """The burn rate of one window; 1 uses up the error budget exactly.

    `covered` is how many seconds of the window the instance with the longest
    history covers.
    """

    name: str
    counts: Counts
    rate: float | None
    covered: float
    seconds: int

    @property
    def is_whole(self) -> bool:
        """Return whether some instance covers the whole window."""
        return self.covered >= self.seconds


class ObjectiveBurn(msgspec.Struct, frozen=True):
    """One objective of one workspace and service; times in seconds."""

    workspace: str
    service: str
    indicator: str
    target: float
    threshold: float | None
    windows: tuple[WindowBurn, ...]
    alerts: tuple[str, ...]
    median: float | None
    high: float | None
    history: tuple[float | None, ...]

    @property
    def worst(self) -> float:
        """Return the burn rate of the last hour, which ranks objectives."""
        rates = {each.name: each.rate for each in self.windows}
        return rates.get('1h') or 0


class BurnReport(msgspec.Struct, frozen=True):
    """Burn rates of the requests that the instances of a fleet recorded.

    `missing` are the addresses of instances that did not reply. `oldest` and
    `youngest` are the longest and the shortest history, in seconds.
    """

    burns: tuple[ObjectiveBurn, ...]
    adapters: tuple[AdapterBurn, ...]
    instances: int
    missing: tuple[str, ...]
    oldest: float
    youngest: float
    dropped: int

    @classmethod
    def from_document(cls, document: Any) -> Self:
        """Return a report from the result of `as_document`, also via JSON."""
        return msgspec.convert(document, cls)

    def as_document(self) -> dict[str, Any]:
        """Return the report as plain dictionaries and lists."""
        document: dict[str, Any] = msgspec.to_builtins(self)
        return document


def burn_rate(counts: Counts, objective: Objective) -> float | None:
    """Return the bad share over the budget; None if there are no requests."""
    if not counts.total:
        return None
    return counts.bad / counts.total / objective.budget


def build_report(snapshot: Snapshot, settings: ReportSettings) -> BurnReport:
    """Return a report of all burn rates, the fastest first."""
    ages = snapshot.remembered.values()
    oldest = max(ages, default=0)
    burns = [
        _objective_burn(series, objective, oldest)
        for series in snapshot.series
        if _has_requests(series)
        and (objective := _objective_of(series, settings)) is not None
    ]
    burns.sort(key=_by_burn)
    return BurnReport(
        tuple(burns),
        snapshot.adapters[:_TOP_ADAPTERS],
        len(snapshot.remembered),
        snapshot.missing,
        oldest,
        min(ages, default=0),
        snapshot.dropped,
    )


def _has_requests(series: Series) -> bool:
    return any(counts.total for counts in series.windows.values())


def _by_burn(burn: ObjectiveBurn) -> tuple[float, str, str, str]:
    key = (burn.workspace, burn.service, burn.indicator)
    return (-burn.worst, *key)


def _objective_of(
    series: Series,
    settings: ReportSettings,
) -> Objective | None:
    if series.indicator not in set(Indicator):
        return None
    indicator = Indicator(series.indicator)
    return settings.find(series.workspace, series.service, indicator)


def _objective_burn(
    series: Series,
    objective: Objective,
    oldest: float,
) -> ObjectiveBurn:
    windows = tuple(
        WindowBurn(
            window.name,
            series.windows.get(window.name, Counts()),
            burn_rate(series.windows.get(window.name, Counts()), objective),
            min(window.seconds, oldest),
            window.seconds,
        )
        for window in WINDOWS
    )
    return ObjectiveBurn(
        series.workspace,
        series.service,
        objective.indicator.value,
        objective.target,
        objective.threshold,
        windows,
        _alerts({each.name: each.rate or 0 for each in windows}),
        percentile(series.histogram, _MEDIAN),
        percentile(series.histogram, _HIGH),
        tuple(burn_rate(each, objective) for each in series.history),
    )


def _alerts(rates: dict[str, float]) -> tuple[str, ...]:
    return tuple(
        f'{rule.severity}: {rule.short} and {rule.long} over {rule.rate:g}'
        for rule in RULES
        if rates[rule.short] > rule.rate and rates[rule.long] > rule.rate
    )
