"""A reservation that passes through a steward without faults."""

import random

import pytest

from mintlanding.core.results import ResultCode
from mintlanding.placement.messages import (
    AdapterRef,
    EngineReport,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
)
from mintlanding.placement.models import (
    EvictOrder,
    LeaseState,
    LoadOrder,
    RequestPermit,
    ReturnPermit,
    StewardOptions,
    WorkerSpec,
)
from mintlanding.placement.steward import Steward

OPTIONS = StewardOptions()
READY = OPTIONS.report_lag + OPTIONS.start_within


def ref_of(number):
    return AdapterRef(f'adapter-{number}', 'v1')


def request(number, ref, wait=10.0, **fields):
    return ReserveRequest(
        reservation_id=f'r{number}',
        worker='w',
        workspace=fields.pop('workspace', 'one'),
        ref=ref,
        tokens=fields.pop('tokens', 100),
        wait=wait,
        **fields,
    )


def report(*resident, incarnation=1, **fields):
    return EngineReport('w', incarnation, resident=resident, **fields)


def build(slots=2, batch_limit=4, checks_fencing=False, options=OPTIONS):
    spec = WorkerSpec('w', 'zone', slots, batch_limit, checks_fencing)
    return Steward.from_config(spec, options, random.Random(1))


@pytest.fixture
def steward():
    steward = build()
    steward.take_over(7, 0)
    steward.pins_complete(0)
    steward.engine_report(report(), READY)
    assert steward.state is LeaseState.held
    return steward


def only(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def load(steward, ref, number, now):
    (ask,) = only(steward.reserve(request(number, ref), now), RequestPermit)
    actions = steward.permit(ask.order_id, True, 0, now)
    evictions = only(actions, EvictOrder)
    if evictions:
        actions = steward.evict_done(evictions[0].order_id, True, now)
    (order,) = only(actions, LoadOrder)
    assert (order.ref, order.fencing) == (ref, 7)
    return order


def test_a_missing_adapter_is_loaded_then_granted(steward):
    order = load(steward, ref_of(1), 1, READY)
    actions = steward.load_done(order.order_id, True, READY + 0.25)
    (reply,) = only(actions, ReserveReply)
    assert (reply.code, reply.fencing, reply.stalled) == (0, 7, 0.25)
    assert only(actions, ReturnPermit) == [ReturnPermit(order.order_id)]


def test_a_resident_adapter_is_granted_at_once(steward):
    order = load(steward, ref_of(1), 1, READY)
    steward.load_done(order.order_id, True, READY)
    (reply,) = steward.reserve(request(2, ref_of(1)), READY + 1)
    assert (reply.code, reply.stalled) == (0, 0)


def test_a_pinned_adapter_is_kept_until_its_release(steward):
    for number in (1, 2):
        order = load(steward, ref_of(number), number, READY)
        steward.load_done(order.order_id, True, READY)
    assert not steward.reserve(request(3, ref_of(3)), READY)
    actions = steward.release(ReleaseRequest('r1', 'w', 100), READY + 1)
    (ask,) = only(actions, RequestPermit)
    (evict,) = steward.permit(ask.order_id, True, 0, READY + 1)
    assert evict.ref == ref_of(1)


def test_digest_sequence_rises_only_with_a_change(steward):
    first = steward.digest(READY)
    assert steward.digest(READY) is first
    load(steward, ref_of(1), 1, READY)
    later = steward.digest(READY)
    assert later.sequence > first.sequence
    assert later.loading == (ref_of(1),)


def test_a_full_batch_makes_requests_wait(steward):
    order = load(steward, ref_of(1), 0, READY)
    steward.load_done(order.order_id, True, READY)
    for number in range(1, 4):
        assert steward.reserve(request(number, ref_of(1)), READY)
    assert not steward.reserve(request(4, ref_of(1)), READY)
    (reply,) = steward.release(ReleaseRequest('r0', 'w', 100), READY + 1)
    assert (reply.reservation_id, reply.code) == ('r4', 0)


def test_a_request_is_refused_when_its_wait_ends(steward):
    steward.reserve(request(1, ref_of(1), wait=1), READY)
    (reply,) = only(steward.tick(READY + 1), ReserveReply)
    assert reply.code == ResultCode.deadline_unreachable
    assert reply.retry_after > 0
