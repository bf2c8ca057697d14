"""Plot of replays: requests on time in each second, by policy."""

import importlib
from collections.abc import Sequence
from typing import Any

from mintlanding.load_replay.calls import Outcome
from mintlanding.load_replay.exceptions import PlotError
from mintlanding.load_replay.results import PolicyResult

_SIZE = (9, 5)
_INSTALL = 'install matplotlib (requirements-dev.in), or leave out --plot'


def import_pyplot() -> Any:
    """Return matplotlib's pyplot without a display.

    Raise PlotError if matplotlib is not installed.
    """
    try:
        matplotlib = importlib.import_module('matplotlib')
    except ImportError as exc:
        raise PlotError(
            '--plot', 'matplotlib is not installed', _INSTALL
        ) from exc
    matplotlib.use('Agg')
    return importlib.import_module('matplotlib.pyplot')


def plot_results(
    results: Sequence[PolicyResult], file: str, pyplot: Any
) -> None:
    """Write a plot; its format is that of the file's suffix.

    Raise PlotError if the file cannot be written.
    """
    figure, axes = pyplot.subplots(figsize=_SIZE)
    for each in results:
        seconds = each.groups['second']
        points = sorted((int(name), found) for name, found in seconds.items())
        axes.plot(
            [second for second, _ in points],
            [found[Outcome.on_time] / found.total() for _, found in points],
            label=each.policy,
        )
    axes.set_xlabel('arrival in seconds')
    axes.set_ylabel('share of requests on time')
    axes.set_ylim(0, 1.05)
    axes.legend()
    try:
        figure.savefig(file)
    except (OSError, ValueError) as exc:
        raise PlotError(
            file, f'cannot be written: {exc}', 'name a file such as plot.png'
        ) from exc
    finally:
        pyplot.close(figure)
