"""Routes, caps over the fleet, and the budget of repeats."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.traffic.models import (
    AdapterName,
    BaseModel,
    EngineSpec,
    Route,
    RouteKind,
    ServingConfig,
    Workspace,
)
from mintlanding.traffic.quotas import FleetQuotas
from mintlanding.traffic.retries import FleetRetryBudget, FleetRetryOptions
from mintlanding.traffic.routes import KeyTable, RouteTable, choose_service


def route(prefix, host='h.example', **changes):
    given_route = {
        'kind': RouteKind.safe,
        'timeout': 1,
        'objective': 0.5,
        'shares': (('s', 1.0),),
        **changes,
    }
    return Route(name=prefix, host=host, prefix=prefix, **given_route)


def test_longest_prefix_of_the_host_wins():
    cfg = ServingConfig(1, (route('/a/'), route('/a/b/'), route('/', 'other')))
    table = RouteTable.from_config(cfg)
    assert table.find('h.example', '/a/b/c').prefix == '/a/b/'
    assert table.find('H.example:80', '/a/x').prefix == '/a/'
    assert table.find('h.example', '/a') is None
    assert table.find('other', '/a/b/c').prefix == '/'
    assert table.find('third', '/a/b/c') is None


def test_key_belongs_to_one_workspace():
    workspace = Workspace('w', frozenset(('k1', 'k2')))
    table = KeyTable.from_config(ServingConfig(1, workspaces={'w': workspace}))
    assert table.find('k2') is workspace
    assert table.find('') is None


def test_service_is_chosen_by_weight():
    split = route('/', shares=(('s1', 90.0), ('s2', 10.0)))
    rnd = random.Random(1)
    chosen = [choose_service(split, rnd) for _ in range(1000)]
    assert 50 < chosen.count('s2') < 150


def test_only_safe_routes_and_resumable_streams_may_repeat():
    assert route('/').is_idempotent
    assert not route('/', kind=RouteKind.unsafe).is_idempotent
    assert not route('/', kind=RouteKind.stream).is_idempotent
    resumable = route('/', kind=RouteKind.stream, is_resumable=True)
    assert resumable.is_idempotent


def test_adapter_places_are_bounded_by_memory_too():
    model = BaseModel('m', size=100, adapter_size=10)
    assert EngineSpec(1, 1, 17, 150, (model,)).adapter_places('m') == 5
    assert EngineSpec(1, 1, 3, 150, (model,)).adapter_places('m') == 3


def test_adapter_name_is_split_at_the_slash():
    assert AdapterName.parse('m/a1') == AdapterName('m', 'a1')
    assert str(AdapterName.parse('m')) == 'm'


CAPPED = Workspace('w', frozenset(), rate=1000, burst=2000)


class Fleet:
    """Instances that tell each other their counters every `interval`."""

    def __init__(self, members, interval=0.25):
        self.quotas = [FleetQuotas() for _ in range(members)]
        self.interval = interval
        self.told = 0.0
        for quotas in self.quotas:
            quotas.set_reach(members, members)

    def tell(self, now):
        if now < self.told + self.interval:
            return
        self.told = now
        counters = [quotas.counters() for quotas in self.quotas]
        for index, quotas in enumerate(self.quotas):
            for other, told in enumerate(counters):
                if other != index:
                    quotas.add_remote_counters(
                        f'm{other}', told, {'w': CAPPED}, now
                    )


@pytest.mark.parametrize('members', [1, 8])
def test_flood_over_all_instances_stays_near_the_cap(members):
    # One workspace sends eight times its rate, evenly to all instances.
    fleet = Fleet(members)
    rnd = random.Random(2)
    admitted = 0
    for step in range(8000):
        now = step * 0.001
        fleet.tell(now)
        quotas = rnd.choice(fleet.quotas)
        if not quotas.admit(CAPPED, 8, now):
            admitted += 8
    allowed = CAPPED.rate * 8 + CAPPED.burst
    told_late = CAPPED.rate * 8 * fleet.interval
    assert admitted <= allowed * 1.1 + told_late
    assert admitted >= allowed * 0.9


class LargeFleet:
    """Instances that hear of the others' counters late, through hubs.

    The cut ones hear of nobody; everyone notices after `silence` seconds.
    """

    interval = 0.4
    lag = 0.8
    silence = 1.6

    def __init__(self, members, cut, cut_at):
        self.quotas = [FleetQuotas() for _ in range(members)]
        self.cut = cut
        self.cut_at = cut_at
        self.sums = []
        self.heard_last = [{} for _ in range(members)]
        for quotas in self.quotas:
            quotas.set_reach(members, members)

    def step(self, now):
        is_cut = now >= self.cut_at
        own = [quotas.counters() for quotas in self.quotas]
        self.sums.append((now, own))
        due = [each for each in self.sums if each[0] <= now - self.lag]
        if due:
            self.sums = self.sums[len(due) - 1 :]
            self._tell(due[-1][1], now, is_cut=is_cut)
        if now >= self.cut_at + self.silence:
            members = len(self.quotas)
            for index, quotas in enumerate(self.quotas):
                heard = 1 if index < self.cut else members - self.cut
                quotas.set_reach(heard, members)

    def _tell(self, told, now, *, is_cut):
        """Tell each the sum over all others, as far as hubs hear them."""
        first = self.cut if is_cut else 0
        self.heard_last[first:] = told[first:]
        total = Counter()
        for each in self.heard_last:
            total.update(each)
        for index in range(first, len(self.quotas)):
            words = {
                name: amount - self.heard_last[index].get(name, 0)
                for name, amount in total.items()
            }
            self.quotas[index].add_remote_counters(
                'hub', words, {'w': CAPPED}, now
            )


@pytest.mark.parametrize(
    ('cut', 'cut_at'),
    [(0, 0), (25, 3.5), (25, 5.0), (25, 6.0), (25, 8.0)],
)
def test_flood_while_a_third_of_the_instances_is_cut_off(cut, cut_at):
    # One workspace sends half of its cap, and three times as much from the
    # fourth second on, evenly to 73 instances.
    fleet = LargeFleet(73, cut, cut_at)
    rnd = random.Random(4)
    amount, slack = 9.0, 0.7 * CAPPED.rate
    admitted = []
    for step in range(20000):
        now = step * 0.001
        if step % 400 == 0:
            fleet.step(now)
        load = 3 if now > 4 else 0.5
        if rnd.random() < load * CAPPED.rate / 1000 / amount:
            quotas = rnd.choice(fleet.quotas)
            if not quotas.admit(CAPPED, amount, now):
                admitted.append(now)
    windows = [
        sum(start / 2 <= at < start / 2 + 8 for at in admitted)
        for start in range(25)
    ]
    most = (CAPPED.rate * 8 + CAPPED.burst) * 1.1 + slack
    assert max(windows) * amount <= most
    assert windows[-1] * amount >= CAPPED.rate * 8 * 0.9


def test_workspace_below_its_cap_is_never_refused():
    fleet = Fleet(8)
    rnd = random.Random(3)
    for step in range(8000):
        now = step * 0.001
        fleet.tell(now)
        if step % 8 == 0:
            assert not rnd.choice(fleet.quotas).admit(CAPPED, 7, now)


def test_large_request_does_not_hold_up_small_ones_over_a_cap():
    # A cap far below what comes: a few requests are 15 times as large.
    fleet = Fleet(8)
    rnd = random.Random(5)
    asked, refused = 0, 0
    for step in range(16000):
        now = step * 0.001
        fleet.tell(now)
        is_large = step % 200 == 0
        if step % 4 and not is_large:
            continue
        amount = 120 if is_large else 8
        is_refused = rnd.choice(fleet.quotas).admit(CAPPED, amount, now)
        if now > 8 and not is_large:
            asked += 1
            refused += bool(is_refused)
    small, large = 2000, 600
    fair = 1 - CAPPED.rate / (small + large)
    assert refused / asked <= fair


def test_buckets_that_drifted_apart_come_together():
    # A cap changed in one zone half a second sooner than in the others.
    early, late = FleetQuotas(), FleetQuotas()
    early.admit(CAPPED, 2000, 0)
    late.admit(CAPPED, 10, 0)
    for _ in range(40):
        early.approach(late.levels(0))
        late.approach(early.levels(0))
    gap = late.levels(0)['w'] - early.levels(0)['w']
    assert abs(gap) < 20


def test_refused_request_is_told_when_tokens_will_be_there():
    quotas = FleetQuotas()
    while not quotas.admit(CAPPED, 500, 0):
        continue
    wait = quotas.admit(CAPPED, 500, 0)
    assert 0 < wait < 1
    assert not quotas.admit(CAPPED, 500, wait + 0.01)


def test_instance_that_hears_nobody_uses_only_its_share():
    quotas = FleetQuotas()
    quotas.set_reach(1, 8)
    admitted = sum(
        10 for step in range(1000) if not quotas.admit(CAPPED, 10, step * 0.01)
    )
    assert admitted < CAPPED.burst * 1.1 + CAPPED.rate * 10 / 8 * 1.1


def test_member_that_starts_anew_is_counted_from_its_first_word():
    quotas = FleetQuotas()
    quotas.add_remote_counters('m/1', {'w': 500}, {'w': CAPPED}, 0)
    quotas.add_remote_counters('m/1', {'w': 900}, {'w': CAPPED}, 0)
    quotas.add_remote_counters('m/2', {'w': 10}, {'w': CAPPED}, 0)
    admitted = sum(10 for _ in range(400) if not quotas.admit(CAPPED, 10, 0))
    assert 1500 <= admitted <= 1700


@given(st.lists(st.booleans(), max_size=400), st.integers(1, 8))
def test_repeats_stay_within_the_budget_of_the_fleet(arrivals, members):
    options = FleetRetryOptions(ratio=0.2, window=10, slack=56)
    budgets = [FleetRetryBudget(options) for _ in range(members)]
    requests = repeats = 0
    for index, is_repeat in enumerate(arrivals):
        budget = budgets[index % members]
        budget.members = members
        if is_repeat:
            repeats += budget.take('s', 0)
        else:
            budget.note_request('s', 0)
            requests += 1
    assert repeats <= options.ratio * requests + options.slack
