"""What one instance remembers of its requests; plain code, now passed in."""

from mintlanding.reports.histograms import RecentHistogram
from mintlanding.reports.messages import (
    AdapterBurn,
    RequestSample,
    Series,
    Snapshot,
)
from mintlanding.reports.models import (
    LATENCIES,
    PLOT_RING,
    RINGS,
    WINDOWS,
    Indicator,
    Objective,
    ReportSettings,
)
from mintlanding.reports.rings import CountRing
from mintlanding.reports.top_keys import TopKeys

OTHERS = 'others'
_TOP_SECONDS = 3600

_SeriesKey = tuple[str, str]
_AdapterKey = tuple[str, str, Indicator]


class _IndicatorCounts:
    """One indicator of one workspace and service."""

    def __init__(self, objective: Objective) -> None:
        self.objective = objective
        self.rings = {
            seconds: CountRing(seconds, buckets)
            for seconds, buckets in RINGS.items()
        }
        self.histogram = RecentHistogram()

    def add(self, reading: float | bool, now: float) -> bool:
        is_bad = bool(reading)
        threshold = self.objective.threshold
        if threshold is not None:
            is_bad = reading > threshold
            self.histogram.record(float(reading), now)
        for ring in self.rings.values():
            ring.add(is_bad, now)
        return is_bad

    def snapshot(self, workspace: str, service: str, now: float) -> Series:
        windows = {
            window.name: self.rings[window.ring].sum(window.seconds, now)
            for window in WINDOWS
        }
        return Series(
            workspace,
            service,
            self.objective.indicator,
            windows,
            self.rings[PLOT_RING].history(now),
            self.histogram.encode(now),
        )


class Recorder:
    """Count samples against the objectives in bounded memory."""

    def __init__(
        self,
        settings: ReportSettings,
        instance: str,
        now: float,
    ) -> None:
        """Begin to count at `now`, in monotonic seconds."""
        self._settings = settings
        self._instance = instance
        self._began = now
        self._series: dict[_SeriesKey, list[_IndicatorCounts]] = {}
        self._top: TopKeys[_AdapterKey] = TopKeys(settings.top)
        self._old_top: TopKeys[_AdapterKey] = TopKeys(settings.top)
        self._top_hour = int(now // _TOP_SECONDS)
        self._dropped = 0

    def record(self, sample: RequestSample, now: float) -> None:
        """Count one request."""
        self._rotate_top(now)
        for counts in self._find(sample.workspace, sample.service):
            indicator = counts.objective.indicator
            reading = _reading(sample, indicator)
            if reading is None:
                continue
            if counts.add(reading, now) and sample.adapter:
                self._top.add((sample.workspace, sample.adapter, indicator))

    def note_dropped(self, count: int) -> None:
        """Count samples that were lost on the way."""
        self._dropped += count

    def snapshot(self, now: float) -> Snapshot:
        """Return everything that is remembered at `now`."""
        self._rotate_top(now)
        return Snapshot(
            {self._instance: now - self._began},
            tuple(
                counts.snapshot(workspace, service, now)
                for (workspace, service), kept in sorted(self._series.items())
                for counts in kept
            ),
            self._adapters(),
            self._dropped,
        )

    def _find(self, workspace: str, service: str) -> list[_IndicatorCounts]:
        key = (workspace, service)
        found = self._series.get(key)
        if found is not None:
            return found
        if len(self._series) >= self._settings.max_series:
            key = (OTHERS, OTHERS)
        if key not in self._series:
            self._series[key] = self._make(*key)
        return self._series[key]

    def _make(self, workspace: str, service: str) -> list[_IndicatorCounts]:
        objectives = (
            self._settings.find(workspace, service, indicator)
            for indicator in Indicator
        )
        return [_IndicatorCounts(each) for each in objectives if each]

    def _adapters(self) -> tuple[AdapterBurn, ...]:
        return tuple(
            AdapterBurn(
                entry.key[0],
                entry.key[1],
                entry.key[2],
                entry.count,
                entry.overcount,
            )
            for top in (self._top, self._old_top)
            for entry in top.entries()
        )

    def _rotate_top(self, now: float) -> None:
        hour = int(now // _TOP_SECONDS)
        if hour == self._top_hour:
            return
        empty: TopKeys[_AdapterKey] = TopKeys(self._settings.top)
        self._old_top = self._top if hour == self._top_hour + 1 else empty
        self._top = TopKeys(self._settings.top)
        self._top_hour = hour


def _reading(
    sample: RequestSample,
    indicator: Indicator,
) -> float | bool | None:
    if indicator is Indicator.wrongful_refusal:
        return sample.is_wrongly_refused
    if indicator is Indicator.availability:
        if sample.is_refused:
            return None
        return not sample.is_available
    if indicator in LATENCIES:
        seconds: float | None = getattr(sample, indicator)
        return seconds
    return None
