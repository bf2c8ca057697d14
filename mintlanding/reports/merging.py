"""Add up the snapshots of several instances."""

from collections.abc import Iterable
from itertools import zip_longest

from mintlanding.reports.histograms import add_encoded
from mintlanding.reports.messages import AdapterBurn, Counts, Series, Snapshot

_NONE = Counts()


def merge(snapshots: Iterable[Snapshot]) -> Snapshot:
    """Return the sum; an instance that comes twice counts once.

    A sum can't be taken apart again, so pass the instances' own snapshots.
    """
    remembered: dict[str, float] = {}
    series: dict[tuple[str, str, str], Series] = {}
    adapters: dict[tuple[str, str, str], AdapterBurn] = {}
    dropped = 0
    missing: list[str] = []
    for snapshot in snapshots:
        missing.extend(snapshot.missing)
        if snapshot.remembered.keys() & remembered.keys():
            continue
        remembered.update(snapshot.remembered)
        dropped += snapshot.dropped
        for each in snapshot.series:
            key = (each.workspace, each.service, each.indicator)
            series[key] = _add(series[key], each) if key in series else each
        for burn in snapshot.adapters:
            _add_adapter(adapters, burn)
    return Snapshot(
        remembered,
        tuple(series[key] for key in sorted(series)),
        tuple(sorted(adapters.values(), key=_fewer_bad)),
        dropped,
        tuple(dict.fromkeys(missing)),
    )


def _add(first: Series, second: Series) -> Series:
    names = (*first.windows, *second.windows)
    windows = {
        name: first.windows.get(name, _NONE) + second.windows.get(name, _NONE)
        for name in dict.fromkeys(names)
    }
    pairs = zip_longest(first.history, second.history, fillvalue=_NONE)
    return Series(
        first.workspace,
        first.service,
        first.indicator,
        windows,
        tuple(mine + theirs for mine, theirs in pairs),
        add_encoded(first.histogram, second.histogram),
    )


def _add_adapter(
    adapters: dict[tuple[str, str, str], AdapterBurn],
    burn: AdapterBurn,
) -> None:
    key = (burn.workspace, burn.adapter, burn.indicator)
    held = adapters.get(key)
    if held is None:
        adapters[key] = burn
        return
    adapters[key] = AdapterBurn(
        *key,
        held.bad + burn.bad,
        held.overcount + burn.overcount,
    )


def _fewer_bad(burn: AdapterBurn) -> int:
    return -burn.bad
