"""Burn rates, alerts and rendered reports of known requests."""

import json
import re

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic import ValidationError

from mintlanding.reports.burn import BurnReport, build_report
from mintlanding.reports.merging import merge
from mintlanding.reports.messages import RequestSample
from mintlanding.reports.models import (
    DEFAULT_OBJECTIVES,
    Indicator,
    Objective,
    ReportSettings,
)
from mintlanding.reports.recorder import OTHERS, Recorder
from mintlanding.reports.rendering import RENDERERS

_HOUR = 3600
_SETTINGS = ReportSettings()


def _recorder(name='i-1', now=0.0, settings=_SETTINGS):
    return Recorder(settings, name, now)


def _sample(**fields):
    fields = {'workspace': 'ws', 'service': 'planner', **fields}
    return RequestSample(adapter='tiles', **fields)


def _burn(report, indicator, workspace='ws'):
    return next(
        each
        for each in report.burns
        if each.indicator == indicator and each.workspace == workspace
    )


def _rates(burn):
    return {each.name: each.rate for each in burn.windows}


def test_burn_rate_is_the_bad_share_over_the_budget():
    recorder = _recorder()
    for number in range(1000):
        ok = number % 50 != 0
        recorder.record(_sample(is_available=ok, first_token=0.1), 100.0)
    report = build_report(recorder.snapshot(100.0), _SETTINGS)
    rates = _rates(_burn(report, 'availability'))
    assert rates == pytest.approx(dict.fromkeys(rates, 20))
    assert _rates(_burn(report, 'first_token'))['1h'] == 0
    assert _burn(report, 'first_token').median == pytest.approx(0.1, rel=0.02)


def test_each_window_counts_its_own_period():
    recorder = _recorder()
    now = 3.0 * 24 * _HOUR
    # One bad and 100 good requests each 1 day, 3 hours and 20 minutes ago.
    for ago in (24 * _HOUR, 3 * _HOUR, 20 * 60):
        for number in range(101):
            recorder.record(_sample(is_available=number > 0), now - ago)
    report = build_report(recorder.snapshot(now), _SETTINGS)
    burn = _burn(report, 'availability')
    bad = {each.name: each.counts.bad for each in burn.windows}
    assert bad == {'5m': 0, '30m': 1, '1h': 1, '6h': 2, '3d': 3}
    assert _rates(burn)['5m'] is None
    assert _rates(burn)['3d'] == pytest.approx(1000 / 101)


@pytest.mark.parametrize(
    ('bad_share', 'alerts'),
    [(0.0005, 0), (0.002, 1), (0.01, 2), (0.05, 3)],
)
def test_alerts_need_both_windows(bad_share, alerts):
    recorder = _recorder()
    total = 10_000
    for number in range(total):
        recorder.record(_sample(is_available=number >= total * bad_share), 1.0)
    report = build_report(recorder.snapshot(2.0), _SETTINGS)
    assert len(_burn(report, 'availability').alerts) == alerts
    later = build_report(recorder.snapshot(_HOUR * 0.75), _SETTINGS)
    assert len(_burn(later, 'availability').alerts) == min(alerts, 1)


def test_justified_refusal_does_not_burn():
    recorder = _recorder()
    recorder.record(_sample(is_refused=True), 1.0)
    report = build_report(recorder.snapshot(1.0), _SETTINGS)
    (only,) = report.burns
    assert only.indicator == 'wrongful_refusal'
    assert _rates(only)['1h'] == 0


def test_most_specific_objective_applies():
    strict = Objective(
        indicator=Indicator.availability,
        target=0.9999,
        workspace='gold',
    )
    settings = ReportSettings(objectives=(strict, *DEFAULT_OBJECTIVES))
    recorder = _recorder(settings=settings)
    for workspace in ('gold', 'ws'):
        for number in range(100):
            sample = _sample(workspace=workspace, is_available=number > 0)
            recorder.record(sample, 1.0)
    report = build_report(recorder.snapshot(1.0), settings)
    gold = _rates(_burn(report, 'availability', 'gold'))['1h']
    plain = _rates(_burn(report, 'availability', 'ws'))['1h']
    assert (gold, plain) == (pytest.approx(100), pytest.approx(10))
    assert report.burns[0].workspace == 'gold'


@pytest.mark.parametrize(
    'fields',
    [
        {'indicator': 'first_token', 'target': 0.9},
        {'indicator': 'availability', 'target': 0.9, 'threshold': 1},
        {'indicator': 'availability', 'target': 1},
        {'indicator': 'availability', 'target': 0},
        {'indicator': 'unknown', 'target': 0.9},
        {'indicator': 'load_stall', 'target': 0.9, 'threshold': 0},
    ],
)
def test_invalid_objective_is_rejected(fields):
    with pytest.raises(ValidationError):
        Objective(**fields)


_events = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(['a', 'b']),
        st.booleans(),
        st.floats(0, 2),
        st.floats(0, 600),
    ),
    max_size=40,
)


@given(_events)
def test_sum_of_instances_equals_one_instance_with_all_requests(events):
    apart = [_recorder(f'i-{number}') for number in range(3)]
    together = _recorder('all')
    now = 0.0
    for place, workspace, ok, wait, gap in events:
        now += gap
        sample = _sample(
            workspace=workspace,
            is_available=ok,
            first_token=wait,
        )
        apart[place].record(sample, now)
        together.record(sample, now)
    merged = merge(each.snapshot(now) for each in apart)
    again = merge((merged, apart[0].snapshot(now)))
    expected = build_report(together.snapshot(now), _SETTINGS)
    for snapshot in (merged, again):
        report = build_report(snapshot, _SETTINGS)
        assert report.burns == expected.burns
        assert report.instances == 3


def test_memory_stays_bounded():
    settings = ReportSettings(max_series=4, top=50)
    recorder = _recorder(settings=settings)
    for number in range(21_000):
        sample = RequestSample(
            workspace=f'ws-{number % 100}',
            service='planner',
            adapter=f'adapter-{number}',
            is_available=False,
        )
        recorder.record(sample, float(number))
    snapshot = recorder.snapshot(21_000.0)
    assert len({each.workspace for each in snapshot.series}) == 5
    assert OTHERS in {each.workspace for each in snapshot.series}
    assert len(snapshot.adapters) <= 2 * 50
    hour = (1 << 20) * len(snapshot.series)
    assert sum(len(each.histogram) for each in snapshot.series) < hour


def _rendered():
    recorder = _recorder()
    for number in range(200):
        sample = _sample(
            workspace='<b>ws</b>',
            is_available=number % 4 != 0,
            first_token=number / 100,
            between_tokens=0.01,
            load_stall=0.0,
        )
        recorder.record(sample, 20.0 * number)
    return build_report(recorder.snapshot(4000.0), _SETTINGS)


def test_html_page_is_self_contained_and_escapes_names():
    page = RENDERERS.get('html')(_rendered())
    assert '<b>' not in page and '&lt;b&gt;ws' in page
    assert not re.search(r'src=|href=|@import|url\(', page)
    assert page.count('<svg') == 5 and '<polyline' in page
    assert 'class="page"' in page


def test_json_and_table_show_the_same_rates():
    report = _rendered()
    document = json.loads(RENDERERS.get('json')(report))
    first = document['burns'][0]
    assert first['indicator'] == 'availability'
    hour = next(each for each in first['windows'] if each['name'] == '1h')
    total, bad = hour['counts']
    assert hour['rate'] == pytest.approx(bad / total / 0.001)
    assert 40 < bad <= 50
    assert first['windows'][-1]['covered'] == 4000
    assert BurnReport.from_document(document) == report
    table = RENDERERS.get('table')(report)
    assert re.search(r'availability 99.9 % .* 2\d\d.\d+ ', table)
    assert re.search(r' 2\d\d.\d+\* ', table) and 'page' in table


@pytest.mark.parametrize('name', ['table', 'json', 'html'])
def test_empty_report_is_rendered(name):
    empty = build_report(merge(()), _SETTINGS)
    assert RENDERERS.get(name)(empty)
