"""Add up the snapshots of several instances."""

from collections.abc import Iterable

from mintlanding.reports.histograms import HistogramSum
from mintlanding.reports.messages import AdapterBurn, Counts, Series, Snapshot

_TOP_ADAPTERS = 1000

_SeriesKey = tuple[str, str, str]


class _CountsSum:
    """Totals and bad ones of many places, added up in place."""

    def __init__(self) -> None:
        self._totals: list[int] = []
        self._bads: list[int] = []

    def add(self, place: int, counts: Counts) -> None:
        while len(self._totals) <= place:
            self._totals.append(0)
            self._bads.append(0)
        self._totals[place] += counts.total
        self._bads[place] += counts.bad

    def result(self) -> tuple[Counts, ...]:
        pairs = zip(self._totals, self._bads, strict=True)
        return tuple(Counts(total, bad) for total, bad in pairs)


class _SeriesSum:
    """One indicator of a workspace and service over instances."""

    def __init__(self) -> None:
        self._windows: dict[str, _CountsSum] = {}
        self._history = _CountsSum()
        self._histogram = HistogramSum()

    def add(self, series: Series) -> None:
        for name, counts in series.windows.items():
            self._windows.setdefault(name, _CountsSum()).add(0, counts)
        for place, bucket in enumerate(series.history):
            self._history.add(place, bucket)
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
    """Add up snapshots one by one; an instance that comes twice counts once.

    A sum can't be taken apart again, so add the instances' own snapshots.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._remembered: dict[str, float] = {}
        self._series: dict[_SeriesKey, _SeriesSum] = {}
        self._adapters: dict[_SeriesKey, AdapterBurn] = {}
        self._missing: list[str] = []
        self._dropped = 0

    def add(self, snapshot: Snapshot) -> None:
        """Add one instance."""
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
        burns = sorted(self._adapters.values(), key=_fewer_bad)
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
        held = self._adapters.get(key)
        if held is not None:
            burn = AdapterBurn(
                *key,
                held.bad + burn.bad,
                held.overcount + burn.overcount,
            )
        self._adapters[key] = burn


def merge(snapshots: Iterable[Snapshot]) -> Snapshot:
    """Return the sum of several instances' own snapshots."""
    total = SnapshotSum()
    for snapshot in snapshots:
        total.add(snapshot)
    return total.result()


def _fewer_bad(burn: AdapterBurn) -> int:
    return -burn.bad
