"""Sums of the snapshots of several instances."""

from collections.abc import Iterable

from mintlanding.reports.histograms import HistogramSum
from mintlanding.reports.messages import AdapterBurn, Counts, Series, Snapshot

_TOP_ADAPTERS = 1000

_SeriesKey = tuple[str, str, str]


class _CountsSum:
    """Sums of counts by index."""

    def __init__(self) -> None:
        self._totals: list[int] = []
        self._bad_counts: list[int] = []

    def add(self, index: int, counts: Counts) -> None:
        while len(self._totals) <= index:
            self._totals.append(0)
            self._bad_counts.append(0)
        self._totals[index] += counts.total
        self._bad_counts[index] += counts.bad

    def result(self) -> tuple[Counts, ...]:
        pairs = zip(self._totals, self._bad_counts, strict=True)
        return tuple(Counts(total, bad) for total, bad in pairs)


class _SeriesSum:
    """The sum of one series over instances."""

    def __init__(self) -> None:
        self._windows: dict[str, _CountsSum] = {}
        self._history = _CountsSum()
        self._histogram = HistogramSum()

    def add(self, series: Series) -> None:
        for name, counts in series.windows.items():
            self._windows.setdefault(name, _CountsSum()).add(0, counts)
        for index, bucket in enumerate(series.history):
            self._history.add(index, bucket)
        self._histogram.add(series.histogram)

    def result(self, key: _SeriesKey) -> Series:
        windows = {
            name: counts.result()[0] for name, counts in self._windows.items()
        }
        return Series(
            *key,
            windows,
            self._history.result(),
            self._histogram.encode(),
        )


class SnapshotSum:
    """The sum of snapshots; an instance that is added twice counts once.

    A snapshot that shares any instance with the sum is ignored as a whole, so
    add snapshots of single instances.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._remembered: dict[str, float] = {}
        self._series: dict[_SeriesKey, _SeriesSum] = {}
        self._adapters: dict[_SeriesKey, AdapterBurn] = {}
        self._missing: list[str] = []
        self._dropped = 0

    def add(self, snapshot: Snapshot) -> None:
        """Add the snapshot of an instance."""
        self._missing.extend(snapshot.missing)
        if snapshot.remembered.keys() & self._remembered.keys():
            return
        self._remembered.update(snapshot.remembered)
        self._dropped += snapshot.dropped
        for series in snapshot.series:
            key = (series.workspace, series.service, series.indicator)
            self._series.setdefault(key, _SeriesSum()).add(series)
        for burn in snapshot.adapters:
            self._add_adapter(burn)

    def result(self) -> Snapshot:
        """Return the sum."""
        burns = sorted(self._adapters.values(), key=_by_bad_count)
        return Snapshot(
            self._remembered,
            tuple(
                summed.result(key)
                for key, summed in sorted(self._series.items())
            ),
            tuple(burns[:_TOP_ADAPTERS]),
            self._dropped,
            tuple(dict.fromkeys(self._missing)),
        )

    def _add_adapter(self, burn: AdapterBurn) -> None:
        key = (burn.workspace, burn.adapter, burn.indicator)
        previous = self._adapters.get(key)
        if previous is not None:
            burn = AdapterBurn(
                *key,
                previous.bad + burn.bad,
                previous.overcount + burn.overcount,
            )
        self._adapters[key] = burn


def merge(snapshots: Iterable[Snapshot]) -> Snapshot:
    """Return the sum of snapshots of single instances."""
    total = SnapshotSum()
    for snapshot in snapshots:
        total.add(snapshot)
    return total.result()


def _by_bad_count(burn: AdapterBurn) -> int:
    return -burn.bad
