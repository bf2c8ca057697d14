"""The choice of plain targets, by all policies."""

import random

import pytest

from mintlanding.core.results import Done, Failed, Ran
from mintlanding.routing.models import (
    PlainRequest,
    PlainTarget,
    RoutingOptions,
)
from mintlanding.routing.plain import PLAIN_CHOICES, PlainRouter


def make_router(policy='two-choices', count=6, **options):
    router = PlainRouter.from_config('z0', RoutingOptions(**options), policy)
    router.set_targets(make_targets(count))
    return router


def make_targets(count):
    return [
        PlainTarget(f't{each}', 'orders', f'z{each % 3}', f'http://t{each}')
        for each in range(count)
    ]


def choose(router, seed=1, excluded=()):
    req = PlainRequest('orders', frozenset(excluded))
    return router.choose(req, 0, random.Random(seed))


def chosen(router, excluded=()):
    found = [choose(router, seed, excluded) for seed in range(30)]
    assert all(isinstance(each, Done) for each in found)
    return {each.value.target for each in found}


@pytest.mark.parametrize('policy', PLAIN_CHOICES.names())
def test_targets_of_the_same_zone_are_preferred(policy):
    assert chosen(make_router(policy)) == {'t0', 't3'}


@pytest.mark.parametrize('policy', PLAIN_CHOICES.names())
def test_leaving_and_excluded_targets_are_not_chosen(policy):
    router = make_router(policy, count=4)
    router.set_leaving('t0', is_leaving=True)
    assert chosen(router) == {'t3'}
    assert chosen(router, excluded=('t3',)) <= {'t1', 't2'}
    router.set_leaving('t0', is_leaving=False)
    assert 't0' in chosen(router, excluded=('t3',))


@pytest.mark.parametrize('policy', PLAIN_CHOICES.names())
def test_requests_above_the_bound_go_to_other_zones(policy):
    router = make_router(policy, count=3, plain_bound=2)
    router.started('t0')
    router.started('t0')
    assert chosen(router) - {'t0'}
    router.ended('t0')
    assert chosen(router) == {'t0'}


def test_only_target_is_used_beyond_its_bound():
    router = make_router(count=1, plain_bound=1)
    router.started('t0')
    assert chosen(router) == {'t0'}


def test_lagging_report_is_corrected_by_own_requests():
    router = make_router('least-loaded', count=4)
    router.report('t0', 2)
    router.report('t3', 3)
    assert chosen(router) == {'t0'}
    router.started('t0')
    router.started('t0')
    assert chosen(router) == {'t3'}
    router.ended('t0')
    router.ended('t0')
    assert chosen(router) == {'t0'}


def test_target_without_reports_is_not_full():
    router = make_router(count=3, plain_bound=2)
    for _ in range(9):
        router.started('t0')
        router.ended('t0')
    assert chosen(router) == {'t0'}


def test_two_choices_avoid_the_most_loaded():
    router = make_router('two-choices', count=9)
    router.report('t0', 9)
    assert chosen(router) == {'t3', 't6'}


def test_failing_target_is_avoided():
    router = make_router(count=4)
    for _ in range(3):
        router.circuits.failed('t0', 0, random.Random(1))
    assert chosen(router) == {'t3'}


def test_unrepeatable_request_avoids_a_half_open_circuit():
    router = make_router(count=4)
    for _ in range(3):
        router.circuits.failed('t0', 0, random.Random(1))
    order = PlainRequest('orders', is_repeatable=False)
    seen = {
        router.choose(order, now, random.Random(now)).value.target
        for now in range(1, 12)
    }
    assert seen == {'t3'}
    assert router.circuits.probes(12) == ['t0']
    assert router.circuits.probes(12) == []
    router.circuits.succeeded('t0')
    seen = {
        router.choose(order, 12, random.Random(each)).value.target
        for each in range(20)
    }
    assert seen == {'t0', 't3'}


def test_failed_target_returns_without_a_probe():
    router = make_router(count=1)
    for _ in range(3):
        router.circuits.failed('t0', 0, random.Random(1))
    order = PlainRequest('orders', is_repeatable=False)
    rnd = random.Random(1)
    assert isinstance(router.choose(order, 10, rnd), Failed)
    assert isinstance(router.choose(order, 30, rnd), Done)
    assert isinstance(router.choose(order, 30, rnd), Failed)


def test_without_a_usable_target_not_run_has_a_retry_time():
    outcome = choose(make_router(count=0))
    assert isinstance(outcome, Failed)
    assert outcome.ran == Ran.not_run
    assert outcome.retry_after > 0


def test_removed_target_loses_its_load_and_leaving_state():
    router = make_router(count=1)
    router.set_leaving('t0', is_leaving=True)
    router.set_targets([])
    router.started('t0')
    router.report('t0', 4)
    router.ended('t0')
    router.set_targets(make_targets(1))
    assert chosen(router) == {'t0'}
