from mintlanding.core.results import Done, ResultCode
from mintlanding.limits.tests.fleets import WORKSPACE, Fleet


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
