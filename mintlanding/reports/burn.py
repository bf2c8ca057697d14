"""Burn rates: how fast the budget of each objective is used up."""

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
    """One window; a rate of 1 uses up the budget exactly.

    `covered` are the seconds of the window that the instance which counts
    longest remembers.
    """

    name: str
    counts: Counts
    rate: float | None
    covered: float
    seconds: int

    @property
    def is_whole(self) -> bool:
        """Tell whether some instance remembers the whole window."""
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
        """Return the rate by which objectives are ranked: the last hour's."""
        rates = {each.name: each.rate for each in self.windows}
        return rates.get('1h') or 0


class BurnReport(msgspec.Struct, frozen=True):
    """What a fleet's instances remember, against the objectives.

    `missing` are the instances that did not answer.
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
        """Read what `as_document` gave, also after a way through JSON."""
        return msgspec.convert(document, cls)

    def as_document(self) -> dict[str, Any]:
        """Return plain dictionaries and lists."""
        document: dict[str, Any] = msgspec.to_builtins(self)
        return document


def burn_rate(counts: Counts, objective: Objective) -> float | None:
    """Return the bad share over the budget; None without requests."""
    if not counts.total:
        return None
    return counts.bad / counts.total / objective.budget


def build_report(snapshot: Snapshot, settings: ReportSettings) -> BurnReport:
    """Work out all burn rates, the fastest first."""
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
    place = (burn.workspace, burn.service, burn.indicator)
    return (-burn.worst, *place)


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
