import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.configuration.explanations import explain
from mintlanding.configuration.labels import (
    LabelIndex,
    LabelSelector,
    SelectorSyntaxError,
)
from mintlanding.configuration.models import Selector, Split
from mintlanding.configuration.resolver import Resolver
from mintlanding.configuration.tests.samples import delta_of, small_directory
from mintlanding.core.results import Done, Failed, ResultCode

_LABELS = {'app': 'layout', 'tier': 'gold'}


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('', True),
        ('app=layout', True),
        ('app == layout', True),
        ('app=quotes', False),
        ('app!=quotes', True),
        ('other!=x', True),
        ('app in (layout, quotes)', True),
        ('app notin (layout)', False),
        ('other notin (x)', True),
        ('app', True),
        ('other', False),
        ('!other', True),
        ('!app', False),
        ('app=layout,tier=gold', True),
        ('app=layout, tier=silver', False),
        ('in=x', False),
    ],
)
def test_label_selector_matches(text, expected):
    assert LabelSelector.parse(text).matches(_LABELS) is expected
    index = LabelIndex()
    index.add('name', _LABELS)
    assert bool(index.select(LabelSelector.parse(text))) is expected


@pytest.mark.parametrize(
    ('text', 'position'),
    [
        ('app=', 5),
        ('=x', 1),
        ('app in', 7),
        ('app in (', 9),
        ('app in ()', 9),
        ('app in (a b)', 11),
        ('app=a tier=b', 7),
        ('app=a,', 7),
        ('app=a;b', 6),
        ('!', 2),
        ('a' * 3000, 2049),
    ],
)
def test_syntax_error_has_position_and_hint(text, position):
    with pytest.raises(SelectorSyntaxError) as raised:
        LabelSelector.parse(text)
    assert raised.value.position == position
    assert raised.value.hint


@given(text=st.text(alphabet='ab=!,() in\t\x00é', max_size=30))
def test_any_text_parses_or_tells_the_place(text):
    try:
        selector = LabelSelector.parse(text)
    except SelectorSyntaxError as exc:
        assert 1 <= exc.position <= len(text) + 1
    else:
        assert LabelSelector.parse(str(selector)) == selector


def _resolve(model, workspace='north', caller='c', directory=None):
    resolver = Resolver(directory or small_directory())
    return resolver.resolve(model, workspace, caller, random.Random(1))


@pytest.mark.parametrize(
    ('model', 'workspace', 'expected'),
    [
        ('layout', 'north', 'layout@1'),
        ('layout@2', 'north', 'layout@2'),
        ('quotes', 'south', 'quotes@7'),
        ('common', 'north', 'common@1'),
    ],
)
def test_names_resolve(model, workspace, expected):
    found = _resolve(model, workspace)
    assert isinstance(found, Done)
    assert str(found.value.ref) == expected
    assert found.value.service == 'planner-models'


@pytest.mark.parametrize(
    ('model', 'workspace', 'code'),
    [
        ('layout', 'south', ResultCode.adapter_unknown),
        ('layout@1', 'south', ResultCode.adapter_unknown),
        ('nothing', 'north', ResultCode.adapter_unknown),
        ('', 'north', ResultCode.adapter_unknown),
        ('layout@9', 'north', ResultCode.version_unknown),
        ('selector:layouts', 'south', ResultCode.adapter_unknown),
        ('selector:none', 'north', ResultCode.adapter_unknown),
        ('selector:', 'north', ResultCode.adapter_unknown),
    ],
)
def test_unresolvable_model_fails_with_its_code(model, workspace, code):
    found = _resolve(model, workspace)
    assert isinstance(found, Failed)
    assert found.code is code


def _counts(directory, callers):
    resolver = Resolver(directory)
    rng = random.Random(3)
    return Counter(
        resolver.resolve('selector:layouts', 'north', each, rng).value.ref
        for each in callers
    )


def test_sticky_split_is_stable_and_follows_the_weights():
    callers = [f'caller-{number}' for number in range(4000)]
    counts = _counts(small_directory(), callers)
    shares = {ref.version: count / 4000 for ref, count in counts.items()}
    assert shares['2'] == pytest.approx(0.05, abs=0.015)
    assert _counts(small_directory(), callers) == counts


def test_more_canary_weight_moves_callers_one_way_only():
    callers = [f'caller-{number}' for number in range(1000)]
    before = Resolver(small_directory())
    wider = small_directory()
    selector = wider.selector('layouts')
    splits = (
        Split(match='channel=stable', weight=80),
        Split(match='channel=canary', weight=20),
    )
    wider.apply(
        delta_of(
            1,
            Selector(
                name='layouts',
                workspace='north',
                match=selector.match,
                splits=splits,
                sticky=True,
            ),
        ),
    )
    after = Resolver(wider)
    rng = random.Random(0)
    for caller in callers:
        args = ('selector:layouts', 'north', caller, rng)
        old = before.resolve(*args).value.ref.version
        new = after.resolve(*args).value.ref.version
        assert (old, new) != ('2', '1')


def test_resolver_follows_changes_of_the_directory():
    directory = small_directory()
    resolver = Resolver(directory)
    rng = random.Random(0)
    resolver.resolve('selector:layouts', 'north', 'c', rng)
    directory.apply(
        delta_of(1, Selector(name='layouts', workspace='north', match='app=x')),
    )
    found = resolver.resolve('selector:layouts', 'north', 'c', rng)
    assert found.code is ResultCode.selector_empty


def test_split_without_versions_leaves_its_traffic_to_the_others():
    directory = small_directory()
    splits = (Split(match='channel=none'), Split(match='channel=stable'))
    directory.apply(
        delta_of(
            1,
            Selector(
                name='layouts',
                workspace='north',
                match='app=layout',
                splits=splits,
                targets='gpu=big',
            ),
        ),
    )
    found = _resolve('selector:layouts', directory=directory)
    assert found.value.ref.version == '1'
    assert found.value.targets == LabelSelector.parse('gpu=big')


def test_explanation_names_taken_rule_and_reasons():
    directory = small_directory()
    outcome = _resolve('selector:layouts', directory=directory)
    shown = explain(directory, 'selector:layouts', 'north', outcome)
    assert [each.taken for each in shown.rules].count(True) == 1
    assert any('does not meet' in each.reason for each in shown.rules)
    refused = _resolve('layout', 'south', directory=directory)
    shown = explain(directory, 'layout', 'south', refused)
    assert not shown.rules[0].taken
    assert 'nor is it shared' in shown.rules[0].reason
