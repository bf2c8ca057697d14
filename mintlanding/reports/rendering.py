"""Rendering of burn reports as tables, JSON or one HTML page."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import jinja2
import msgspec
from tabulate import tabulate

from mintlanding.core.registry import Registry
from mintlanding.reports.burn import BurnReport, ObjectiveBurn, WindowBurn
from mintlanding.reports.models import WINDOWS
from mintlanding.reports.plots import Plot

Renderer = Callable[[BurnReport], str]
RENDERERS: Registry[Renderer] = Registry('report format')

_MINUTE_SECONDS = 60
_HOUR_SECONDS = 3600
_MILLISECONDS = 1000
_PERCENT = 100
_NOTHING = '-'
_HEADS = (
    'workspace',
    'service',
    'objective',
    *(window.name for window in WINDOWS),
    'p50',
    'p95',
    'alert',
)
_PLOT = Plot()


@dataclass(frozen=True, slots=True)
class _Row:
    """One objective on the HTML page."""

    cells: list[str]
    severity: str
    lines: list[str]
    budget_line: float
    peak: str


def coverage(report: BurnReport) -> str:
    """Return a text that says which instances and periods are covered."""
    youngest = _span_text(report.youngest)
    oldest = _span_text(report.oldest)
    text = (
        f'{report.instances} instances replied. Their records cover the last '
        f'{youngest} to {oldest}; records of stopped instances '
        'are lost.'
    )
    if report.missing:
        text += f' No reply from: {", ".join(report.missing)}.'
    if report.dropped:
        text += f' {report.dropped} samples were dropped.'
    return text


@RENDERERS.register('table')
def render_table(report: BurnReport) -> str:
    """Return text tables."""
    rows = [_cells(burn) for burn in report.burns]
    parts = [coverage(report), '', tabulate(rows, headers=_HEADS)]
    if report.adapters:
        adapters = [
            (each.workspace, each.adapter, each.indicator, each.bad)
            for each in report.adapters
        ]
        heads = ('workspace', 'adapter', 'indicator', 'bad')
        title = 'Adapters that burn the most (last one to two hours)'
        parts.extend(('', title, '', tabulate(adapters, headers=heads)))
    return '\n'.join(parts)


@RENDERERS.register('json')
def render_json(report: BurnReport) -> str:
    """Return the whole report as JSON; times are in seconds."""
    encoded = msgspec.json.encode(report.as_document())
    return msgspec.json.format(encoded, indent=2).decode()


@RENDERERS.register('html')
def render_html(report: BurnReport) -> str:
    """Return a self-contained HTML page."""
    folder = Path(__file__).with_name('templates')
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(folder),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
    )
    return environment.get_template('burn.html').render(
        coverage=coverage(report),
        heads=_HEADS,
        rows=[_row(burn) for burn in report.burns],
        adapters=report.adapters,
        plot=_PLOT,
    )


def _span_text(seconds: float) -> str:
    if seconds < _HOUR_SECONDS:
        return f'{seconds / _MINUTE_SECONDS:.0f} min'
    return f'{seconds / _HOUR_SECONDS:.1f} h'


def _cells(burn: ObjectiveBurn) -> list[str]:
    name = f'{burn.indicator} {burn.target * _PERCENT:g} %'
    if burn.threshold is not None:
        name += f' under {burn.threshold * _MILLISECONDS:g} ms'
    return [
        burn.workspace,
        burn.service,
        name,
        *(_rate_text(window) for window in burn.windows),
        _time_text(burn.median),
        _time_text(burn.high),
        '; '.join(burn.alerts) or _NOTHING,
    ]


def _rate_text(window: WindowBurn) -> str:
    if window.rate is None:
        return _NOTHING
    mark = '' if window.is_whole else '*'
    return f'{window.rate:.2f}{mark}'


def _time_text(seconds: float | None) -> str:
    if seconds is None:
        return _NOTHING
    return f'{seconds * _MILLISECONDS:.0f} ms'


def _row(burn: ObjectiveBurn) -> _Row:
    known = [rate for rate in burn.history if rate is not None]
    peak = max(known, default=0)
    top = max(peak, 2)
    return _Row(
        _cells(burn),
        burn.alerts[0].partition(':')[0] if burn.alerts else '',
        _PLOT.lines(burn.history, top),
        _PLOT.level(1, top),
        f'{peak:.1f}',
    )
