from dataclasses import asdict

import pytest

from mintlanding.core.exceptions import ConfigurationError
from mintlanding.core.results import Done, ResultCode
from mintlanding.limits.options import LimitsOptions, Rate
from mintlanding.limits.tests.fleet import RATE, WORKSPACE, Fleet


def test_the_holder_gathers_the_whole_burst():
    fleet = Fleet()
    fleet.run(12)
    fleet.do('i0', 'reserve', 'r', WORKSPACE, 300)
    fleet.run(0.1)
    assert isinstance(fleet.outcome('r'), Done)


def test_a_single_instance_serves_alone():
    fleet = Fleet(size=1)
    fleet.run(12)
    fleet.do('i0', 'reserve', 'r', WORKSPACE, 300)
    assert isinstance(fleet.outcome('r'), Done)


def test_a_request_above_the_burst_is_refused_at_once():
    fleet = Fleet()
    fleet.do('i0', 'reserve', 'r', WORKSPACE, 301)
    assert fleet.outcome('r').code is ResultCode.larger_than_burst


def test_retry_after_is_the_time_of_the_refill():
    fleet = Fleet()
    fleet.run(12)
    for name in ('first', 'second'):
        fleet.do('i0', 'reserve', name, WORKSPACE, 300)
        fleet.deliver_all()
    assert fleet.outcome('second').code is ResultCode.rate_exceeded
    wait = fleet.outcome('second').retry_after
    fleet.run(wait + 0.05)
    fleet.do('i1', 'reserve', 'third', WORKSPACE, 300)
    fleet.deliver_all()
    assert isinstance(fleet.outcome('third'), Done)


def test_what_was_not_used_comes_back():
    fleet = Fleet()
    fleet.run(12)
    fleet.do('i0', 'reserve', 'first', WORKSPACE, 300)
    fleet.deliver_all()
    fleet.do('i0', 'settle', 'first', WORKSPACE, 300, 0)
    fleet.run(0.1)
    fleet.do('i0', 'reserve', 'second', WORKSPACE, 300)
    fleet.deliver_all()
    assert isinstance(fleet.outcome('second'), Done)


def test_a_lost_draw_ends_as_not_run_and_leaves_nothing_charged():
    fleet = Fleet()
    fleet.run(12)
    asker = next(name for name in fleet.names if name != fleet.holder())
    fleet.do(asker, 'reserve', 'lost', WORKSPACE, 300)
    while fleet.queue:
        fleet.deliver(drop=True)
    fleet.run(0.3)
    assert fleet.outcome('lost').code is ResultCode.limits_unavailable
    fleet.run(1)
    fleet.do(asker, 'reserve', 'next', WORKSPACE, 300)
    fleet.deliver_all()
    assert isinstance(fleet.outcome('next'), Done)


def test_a_workspace_may_go_and_come_back():
    fleet = Fleet(rates={WORKSPACE: RATE, 'store/weights': Rate(8, 3)})
    fleet.run(12)
    for name in fleet.names:
        fleet.do(name, 'configure', {'store/weights': Rate(8, 3)}, 6)
    fleet.run(5)
    fleet.do('i0', 'reserve', 'gone', WORKSPACE, 5)
    assert fleet.outcome('gone').code is ResultCode.limits_unavailable
    for name in fleet.names:
        fleet.do(name, 'configure', fleet.rates, 6)
    fleet.run(12)
    fleet.do('i0', 'reserve', 'back', WORKSPACE, 300)
    fleet.run(0.1)
    assert isinstance(fleet.outcome('back'), Done)


def test_permits_of_the_weight_store_are_a_workspace_of_small_numbers():
    fleet = Fleet(rates={'store/weights': Rate(8, 3)})
    fleet.run(12)
    for number in range(60):
        name = fleet.names[number % 3]
        fleet.do(name, 'reserve', f'load {number}', 'store/weights', 1)
    fleet.run(0.02)
    done = [each for each in fleet.answers if fleet.is_done(each)]
    assert len(done) == 3
    assert fleet.worst_overshoot(Rate(8, 3)) <= 1e-9


def test_a_request_that_the_refill_allows_in_a_moment_waits_for_it():
    fleet = Fleet(size=1)
    fleet.run(12)
    fleet.do('i0', 'reserve', 'first', WORKSPACE, 300)
    fleet.do('i0', 'reserve', 'second', WORKSPACE, 4)
    fleet.do('i0', 'reserve', 'third', WORKSPACE, 4)
    assert 'second' not in fleet.answers
    assert fleet.outcome('third').code is ResultCode.rate_exceeded
    fleet.run(0.06)
    assert isinstance(fleet.outcome('second'), Done)


def test_negative_tokens_add_nothing():
    fleet = Fleet(size=1)
    fleet.run(12)
    fleet.do('i0', 'reserve', 'first', WORKSPACE, -50)
    fleet.do('i0', 'reserve', 'second', WORKSPACE, 300)
    fleet.do('i0', 'reserve', 'third', WORKSPACE, 20)
    assert not fleet.is_done('first')
    assert not fleet.is_done('third')


def test_a_large_fleet_lends_through_its_zones():
    options = LimitsOptions(term=12, zone_term=4, flat_members=4)
    fleet = Fleet(size=9, seat_count=9, options=options, zones=('a', 'b', 'c'))
    fleet.run(30)
    fleet.do('i0', 'reserve', 'r', WORKSPACE, 300)
    fleet.run(0.1)
    assert isinstance(fleet.outcome('r'), Done)


def test_a_new_holder_gets_the_tokens_whoever_sees_it_first():
    fleet = Fleet(size=4, seat_count=8)
    new = fleet.holder()
    others = [name for name in fleet.names if name != new]
    fleet.see(others)
    fleet.run(15)
    old = fleet.nodes[others[0]]._view.holder(WORKSPACE)
    before = fleet.level()
    fleet.see(fleet.names, at=[old])
    fleet.deliver_all()
    fleet.run(0.02)
    fleet.see(fleet.names)
    fleet.deliver_all()
    fleet.run(0.02)
    assert fleet.level() >= before
    assert fleet.nodes[new].pools[WORKSPACE].bucket.level >= before


@pytest.mark.parametrize(
    'values', [{'terms': 1}, {'renew': 3}, {'pause': 30}, {'patience': 1}]
)
def test_terms_that_cannot_hold_are_refused(values):
    with pytest.raises(ConfigurationError):
        LimitsOptions.from_config(values)


def test_the_terms_of_a_large_fleet_hold():
    options = LimitsOptions.for_fleet()
    assert LimitsOptions.from_config(asdict(options)) == options
