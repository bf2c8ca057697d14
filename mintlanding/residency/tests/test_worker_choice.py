"""The choice of a worker for an adapter."""

import random
from collections import Counter

from mintlanding.residency.worker_choice import (
    ChoiceOptions,
    WorkerView,
    choose_worker,
    rank_workers,
)

OPTIONS = ChoiceOptions()
WORKERS = [f'w{number}' for number in range(6)]


def views(**changes):
    found = {}
    for name in WORKERS:
        given = {
            'can_order': True,
            'is_reachable': True,
            **changes.get(name, {}),
        }
        found[name] = WorkerView(name, 'z', **given)
    return found


def choose(adapter, **changes):
    rnd = random.Random(7)
    return choose_worker(adapter, adapter, views(**changes), 'z', OPTIONS, rnd)


def test_rare_adapter_goes_to_its_home_though_others_are_idle():
    home = rank_workers('a7', WORKERS)[0]
    busy = {home: {'running': 20, 'wait': 0.1}}
    assert choose('a7', **busy)[0] == home


def test_rare_adapter_leaves_its_home_when_the_wait_is_long():
    home, second = rank_workers('a7', WORKERS)[:2]
    assert choose('a7', **{home: {'wait': 0.9}})[0] == second


def test_rare_adapter_leaves_its_home_when_all_slots_are_in_use():
    # In a burst of rare adapters the slots run out before the batch.
    home, second = rank_workers('a7', WORKERS)[:2]
    assert choose('a7', **{home: {'load_wait': 0.9}})[0] == second
    held = {'load_wait': 0.9, 'ready': frozenset(('a7',))}
    assert choose('a7', **{home: held})[0] == home


def test_adapter_goes_where_it_is_resident():
    third = rank_workers('a7', WORKERS)[2]
    assert choose('a7', **{third: {'ready': frozenset(('a7',))}})[0] == third


def test_hot_adapter_spreads_over_all_workers_that_have_it():
    first, second = rank_workers('a7', WORKERS)[:2]
    held = frozenset(('a7',))
    changes = {
        first: {'ready': held, 'running': 30},
        second: {'ready': held, 'running': 5},
    }
    assert choose('a7', **changes)[0] == second


def test_hot_adapter_is_loaded_elsewhere_when_its_home_is_full():
    # One adapter gets a fifth of all requests, too many for one batch.
    home = rank_workers('a7', WORKERS)[0]
    full = {'ready': frozenset(('a7',)), 'running': 60}
    assert choose('a7', **{home: full})[0] == home
    hot = {home: {**full, 'hot': frozenset(('a7',))}}
    assert choose('a7', **hot)[0] == rank_workers('a7', WORKERS)[1]


def test_instances_with_the_same_digests_choose_different_workers():
    held = {'ready': frozenset(('a7',)), 'running': 10}
    changes = {name: dict(held) for name in WORKERS}
    changes['w3']['running'] = 9
    rnd = random.Random(3)
    found = Counter(
        choose_worker('a7', 'a7', views(**changes), 'z', OPTIONS, rnd)[0]
        for _ in range(600)
    )
    assert max(found.values()) < 300


def test_worker_without_the_base_model_gets_nothing():
    empty = {name: {'has_model': False} for name in WORKERS[1:]}
    assert choose('a7', **empty) == ['w0']


def test_worker_without_orders_is_skipped():
    home, second = rank_workers('a7', WORKERS)[:2]
    assert choose('a7', **{home: {'can_order': False}})[0] == second


def test_only_the_adapters_of_a_removed_worker_get_a_new_home():
    adapters = [f'a{number}' for number in range(600)]
    before = {each: rank_workers(each, WORKERS)[0] for each in adapters}
    after = {each: rank_workers(each, WORKERS[:-1])[0] for each in adapters}
    moved = [each for each in adapters if before[each] != after[each]]
    assert all(before[each] == WORKERS[-1] for each in moved)
