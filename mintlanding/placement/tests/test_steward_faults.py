"""What a steward does when something fails, one test for each fault."""

import math
from collections import deque

import pytest

from mintlanding.core.results import ResultCode
from mintlanding.placement.messages import PinReport, ReleaseRequest
from mintlanding.placement.models import (
    EvictOrder,
    FenceOrder,
    LeaseState,
    LoadOrder,
    RequestPermit,
    ReserveReply,
    ReturnPermit,
    StewardOptions,
)
from mintlanding.placement.tests.test_steward import (
    OPTIONS,
    READY,
    build,
    load,
    only,
    ref_of,
    report,
    request,
)

LATE = READY + OPTIONS.order_timeout + 0.1


@pytest.fixture
def steward():
    steward = build()
    steward.take_over(7, 0)
    steward.pins_complete(0)
    steward.engine_report(report(), READY)
    return steward


def fill(steward, now=READY, count=2):
    for number in range(1, count + 1):
        order = load(steward, ref_of(number), number, now)
        steward.load_done(order.order_id, True, now)


def replies(actions):
    return [
        (reply.reservation_id, ResultCode(reply.code) if reply.code else 0)
        for reply in only(actions, ReserveReply)
    ]


def test_failed_load_is_tried_again_after_a_backoff():
    options = StewardOptions(report_timeout=1e9)
    steward = build(options=options)
    steward.take_over(7, 0)
    steward.engine_report(report(), READY)
    order = load(steward, ref_of(1), 1, READY)
    actions = steward.load_done(order.order_id, False, READY)
    assert actions == [ReturnPermit(order.order_id)]
    assert not only(steward.tick(READY + 0.1), RequestPermit)
    assert only(steward.tick(READY + 1), RequestPermit)


def test_last_failed_load_refuses_all_queued_requests():
    options = StewardOptions(load_tries=1)
    steward = build(options=options)
    steward.take_over(7, 0)
    steward.engine_report(report(), READY)
    order = load(steward, ref_of(1), 1, READY)
    steward.reserve(request(2, ref_of(1)), READY)
    actions = steward.load_done(order.order_id, False, READY)
    code = ResultCode.adapter_load_failed
    assert replies(actions) == [('r1', code), ('r2', code)]
    (reply,) = steward.reserve(request(3, ref_of(1)), READY + 0.1)
    assert reply.code == code
    assert 0 < reply.retry_after <= options.load_backoff * 1.2
    assert only(
        steward.reserve(request(4, ref_of(1)), READY + 1), RequestPermit
    )


def test_adapter_that_is_resident_after_all_is_granted():
    steward = build(options=StewardOptions(load_tries=1, load_backoff=20))
    steward.take_over(7, 0)
    steward.engine_report(report(), READY)
    order = load(steward, ref_of(1), 1, READY)
    steward.load_done(order.order_id, False, READY)
    later = READY + OPTIONS.report_lag + 1
    steward.engine_report(report(ref_of(1)), later)
    assert replies(steward.reserve(request(2, ref_of(1)), later)) == [
        ('r2', 0),
    ]


def test_cold_engine_is_found_by_its_incarnation(steward):
    fill(steward)
    steward.engine_report(report(incarnation=2), READY + 1)
    assert steward.digest(READY + 1).resident == ()
    actions = steward.reserve(request(9, ref_of(1)), READY + 1)
    assert only(actions, RequestPermit)


def test_response_from_before_a_cold_restart_is_ignored(steward):
    order = load(steward, ref_of(1), 1, READY)
    steward.engine_report(report(incarnation=2), READY + 1)
    assert not steward.load_done(order.order_id, True, READY + 1)
    assert steward.digest(READY + 1).resident == ()


def test_late_report_of_an_older_incarnation_is_ignored(steward):
    fill(steward)
    steward.engine_report(report(incarnation=2), READY + 1)
    steward.engine_report(report(ref_of(1), ref_of(2)), READY + 2)
    assert steward.digest(READY + 2).resident == ()


def test_lagging_report_does_not_undo_a_load(steward):
    fill(steward)
    steward.engine_report(report(), READY + OPTIONS.report_lag / 2)
    assert len(steward.digest(READY + 1).resident) == 2
    steward.engine_report(report(), READY + OPTIONS.report_lag + 1)
    assert not steward.digest(READY + 2).resident


def test_lagging_report_does_not_bring_back_an_evicted_adapter(steward):
    fill(steward)
    for number in (1, 2):
        steward.release(ReleaseRequest(f'r{number}', 'w', 100), READY)
    load(steward, ref_of(3), 3, READY + 1)
    steward.engine_report(report(ref_of(1), ref_of(2)), READY + 1.1)
    digest = steward.digest(READY + 1.1)
    assert len(digest.resident) + len(digest.loading) == 2


@pytest.mark.parametrize('copies', [2, 3])
def test_repeated_release_unpins_once(steward, copies):
    fill(steward, count=1)
    steward.reserve(request(5, ref_of(1)), READY)
    for _ in range(copies):
        steward.release(ReleaseRequest('r1', 'w', 100), READY + 1)
    assert steward.digest(READY + 1).running == 1


def test_request_that_arrives_after_its_release_is_refused(steward):
    fill(steward, count=1)
    steward.release(ReleaseRequest('r8', 'w'), READY)
    assert replies(steward.reserve(request(8, ref_of(1)), READY)) == [
        ('r8', ResultCode.deadline_unreachable),
    ]


def test_repeated_reserve_gets_the_same_grant(steward):
    fill(steward, count=1)
    (first,) = steward.reserve(request(5, ref_of(1)), READY)
    assert steward.reserve(request(5, ref_of(1)), READY + 1) == [first]
    assert steward.digest(READY + 1).running == 2


def test_engine_without_reports_gets_no_request(steward):
    fill(steward, count=1)
    steward.reserve(request(4, ref_of(4), wait=60), READY)
    now = READY + OPTIONS.report_timeout + 1
    code = ResultCode.no_target
    assert replies(steward.tick(now)) == [('r4', code)]
    assert replies(steward.reserve(request(5, ref_of(1)), now)) == [
        ('r5', code),
    ]
    assert steward.digest(now).silent
    steward.engine_report(report(ref_of(1)), now + 1)
    assert not steward.digest(now + 1).silent


@pytest.mark.parametrize('was_loaded', [True, False])
def test_lost_load_response_is_settled_by_a_report(steward, was_loaded):
    load(steward, ref_of(1), 1, READY)
    steward.engine_report(report(), LATE - 1)
    steward.tick(LATE)
    assert steward.digest(LATE).loading == (ref_of(1),)
    held = (ref_of(1),) if was_loaded else ()
    steward.engine_report(report(*held), LATE + 1)
    digest = steward.digest(LATE + 1)
    assert digest.resident == held
    assert digest.loading == ()


def test_lost_evict_response_gives_the_load_another_slot(steward):
    fill(steward)
    for number in (1, 2):
        steward.release(ReleaseRequest(f'r{number}', 'w', 100), READY)
    (ask,) = only(
        steward.reserve(request(3, ref_of(3), wait=60), READY),
        RequestPermit,
    )
    (first,) = steward.permit(ask.order_id, True, 0, READY)
    steward.engine_report(report(ref_of(1), ref_of(2)), LATE - 1)
    (second,) = only(steward.tick(LATE), EvictOrder)
    assert first.ref != second.ref


def order_eviction(steward):
    fill(steward)
    for number in (1, 2):
        steward.release(ReleaseRequest(f'r{number}', 'w', 100), READY)
    (ask,) = only(
        steward.reserve(request(3, ref_of(3), wait=60), READY),
        RequestPermit,
    )
    (evict,) = steward.permit(ask.order_id, True, 0, READY)
    steward.engine_report(report(ref_of(1), ref_of(2)), LATE - 1)
    steward.tick(LATE)
    return evict


@pytest.mark.parametrize('is_evicted', [True, False])
def test_report_does_not_settle_an_eviction_that_is_under_way(
    steward, is_evicted
):
    # Guards against: a grant for an adapter that a late order evicts.
    evict = order_eviction(steward)
    later = LATE + OPTIONS.report_lag
    steward.engine_report(report(ref_of(1), ref_of(2)), later)
    granted = replies(steward.reserve(request(4, evict.ref, wait=60), later))
    assert ('r4', 0) not in granted
    actions = steward.evict_done(evict.order_id, is_evicted, later)
    assert ('r4', 0) not in replies(actions)
    assert evict.ref not in steward.digest(later).resident
    held = {ref_of(1), ref_of(2)} - ({evict.ref} if is_evicted else set())
    after = later + OPTIONS.report_lag + 0.1
    granted = replies(steward.engine_report(report(*held), after))
    assert (('r4', 0) in granted) != is_evicted


def test_eviction_under_way_is_not_forgotten_with_a_restart(steward):
    # Guards against: the order reaches the engine after its restart.
    evict = order_eviction(steward)
    later = LATE + OPTIONS.report_lag
    both = report(ref_of(1), ref_of(2), incarnation=2)
    steward.engine_report(both, later)
    granted = replies(steward.reserve(request(4, evict.ref, wait=60), later))
    assert ('r4', 0) not in granted
    after = later + OPTIONS.report_lag + 0.1
    assert ('r4', 0) not in replies(steward.engine_report(both, after))
    steward.order_unanswered(evict.order_id, after)
    settled = after + OPTIONS.report_lag + 0.1
    assert ('r4', 0) in replies(steward.engine_report(both, settled))


def test_eviction_that_was_given_up_is_settled_by_a_later_report(steward):
    evict = order_eviction(steward)
    later = LATE + OPTIONS.report_lag
    steward.order_unanswered(evict.order_id, later)
    steward.reserve(request(4, evict.ref, wait=60), later)
    both = report(ref_of(1), ref_of(2))
    assert ('r4', 0) not in replies(steward.engine_report(both, later + 1))
    after = later + OPTIONS.report_lag + 0.1
    assert ('r4', 0) in replies(steward.engine_report(both, after))


@pytest.mark.parametrize('had_effect', [True, False])
def test_eviction_that_failed_grants_nothing_before_a_report(
    steward,
    had_effect,
):
    fill(steward)
    for number in (1, 2):
        steward.release(ReleaseRequest(f'r{number}', 'w', 100), READY)
    (ask,) = only(steward.reserve(request(3, ref_of(3)), READY), RequestPermit)
    (evict,) = steward.permit(ask.order_id, True, 0, READY)
    steward.evict_done(evict.order_id, False, READY)
    assert not replies(steward.reserve(request(4, evict.ref), READY))
    held = {ref_of(1), ref_of(2)} - ({evict.ref} if had_effect else set())
    later = READY + OPTIONS.report_lag + 0.1
    granted = replies(steward.engine_report(report(*held), later))
    assert (('r4', 0) in granted) != had_effect


@pytest.mark.parametrize('was_loaded', [True, False])
def test_load_that_may_have_taken_effect_keeps_its_slot(steward, was_loaded):
    order = load(steward, ref_of(1), 1, READY)
    actions = steward.order_unanswered(order.order_id, READY)
    assert actions == [ReturnPermit(order.order_id)]
    assert not steward.order_unanswered(order.order_id, READY)
    assert steward.digest(READY).loading == (ref_of(1),)
    held = (ref_of(1),) if was_loaded else ()
    later = READY + OPTIONS.report_lag + 0.1
    steward.engine_report(report(*held), later)
    assert steward.digest(later).resident == held


def test_refused_permit_is_requested_again(steward):
    (ask,) = only(steward.reserve(request(1, ref_of(1)), READY), RequestPermit)
    steward.permit(ask.order_id, False, 0.5, READY)
    assert not only(steward.tick(READY + 0.4), RequestPermit)
    assert not only(steward.tick(READY + 0.499), RequestPermit)
    (again,) = only(steward.tick(READY + 1), RequestPermit)
    assert again.order_id != ask.order_id


def test_late_permit_is_returned(steward):
    (ask,) = only(steward.reserve(request(1, ref_of(1)), READY), RequestPermit)
    steward.release(ReleaseRequest('r1', 'w'), READY)
    assert steward.permit(ask.order_id, True, 0, READY) == [
        ReturnPermit(ask.order_id, used=False),
    ]


def test_lapsed_lease_without_fencing_allows_no_eviction(steward):
    fill(steward)
    for number in (1, 2):
        steward.release(ReleaseRequest(f'r{number}', 'w', 100), READY)
    steward.lease_lost(READY)
    assert replies(steward.reserve(request(3, ref_of(3)), READY)) == [
        ('r3', ResultCode.no_target),
    ]
    assert replies(steward.reserve(request(4, ref_of(1)), READY)) == [
        ('r4', 0),
    ]
    assert not steward.digest(READY).can_load


def test_lapsed_lease_refuses_requests_that_need_an_eviction(steward):
    fill(steward)
    steward.reserve(request(3, ref_of(3), wait=60), READY)
    steward.lease_lost(READY)
    code = ResultCode.no_target
    assert replies(steward.tick(READY)) == [('r3', code)]


def test_lapsed_lease_allows_loads_into_free_slots(steward):
    fill(steward, count=1)
    steward.lease_lost(READY)
    load(steward, ref_of(2), 2, READY)


def test_lease_past_its_end_lapses_by_itself():
    steward = build()
    steward.take_over(7, 0, lease_until=READY + 1)
    steward.pins_complete(0)
    steward.engine_report(report(), READY)
    assert steward.state is LeaseState.held
    steward.tick(READY + 1)
    assert steward.state is LeaseState.lapsed
    steward.lease_renewed(READY + 9, READY + 2)
    assert steward.state is LeaseState.held


def test_new_steward_evicts_nothing_before_pins_are_gathered():
    steward = build()
    steward.take_over(7, 0)
    full = report(ref_of(1), ref_of(2))
    steward.engine_report(full, READY)
    assert not steward.reserve(request(3, ref_of(3)), READY)
    steward.pins(PinReport('w', 'entry', (('old', ref_of(1)),)), READY)
    (ask,) = only(steward.pins_complete(READY), RequestPermit)
    (evict,) = steward.permit(ask.order_id, True, 0, READY)
    assert evict.ref == ref_of(2)


def test_engine_accepts_the_token_before_its_report_is_used():
    steward = build(checks_fencing=True)
    (fence,) = only(steward.take_over(7, 0), FenceOrder)
    steward.pins_complete(0)
    steward.engine_report(report(ref_of(1)), READY)
    assert not steward.reserve(request(1, ref_of(1)), READY)
    assert only(steward.tick(READY), FenceOrder)
    steward.fence_done(fence.order_id, True, READY)
    later = READY + OPTIONS.report_lag
    actions = steward.engine_report(report(ref_of(1)), later)
    assert replies(actions) == [('r1', 0)]


def test_reservations_of_a_gone_entry_end_when_the_engine_is_idle(steward):
    fill(steward, count=1)
    steward.reserve(request(5, ref_of(1), entry='e'), READY)
    steward.reserve(request(6, ref_of(6), entry='e'), READY)
    actions = steward.entry_gone('e', READY)
    assert replies(actions) == [('r6', ResultCode.draining)]
    later = READY + OPTIONS.report_lag + OPTIONS.start_within + 0.1
    busy = report(ref_of(1), busy=(ref_of(1),))
    steward.engine_report(busy, later)
    assert steward.digest(later).running == 2
    steward.engine_report(report(ref_of(1)), later + 1)
    assert steward.digest(later + 1).running == 1


def test_drained_steward_refuses_and_lets_running_requests_end(steward):
    fill(steward, count=1)
    steward.reserve(request(4, ref_of(4)), READY)
    code = ResultCode.draining
    assert replies(steward.drain(READY)) == [('r4', code)]
    assert replies(steward.reserve(request(5, ref_of(1)), READY)) == [
        ('r5', code),
    ]
    assert steward.digest(READY).running == 1


def test_request_that_cannot_start_in_its_wait_is_refused_at_once(steward):
    fill(steward, count=1)
    for number in range(2, 6):
        steward.reserve(request(number, ref_of(1)), READY)
    steward.engine_report(report(ref_of(1)), READY + 10)
    steward.release(ReleaseRequest('r1', 'w', 100), READY + 10)
    for number in range(6, 12):
        steward.reserve(request(number, ref_of(1), wait=60), READY + 10)
    (reply,) = steward.reserve(request(12, ref_of(1), wait=2), READY + 10)
    assert reply.code == ResultCode.deadline_unreachable
    assert reply.retry_after > 1


def test_cold_restart_returns_the_permits_of_lost_loads(steward):
    order = load(steward, ref_of(1), 1, READY)
    actions = steward.engine_report(report(incarnation=2), READY + 1)
    assert ReturnPermit(order.order_id) in actions


def test_cold_restart_returns_the_permit_of_a_pending_load(steward):
    fill(steward)
    for number in (1, 2):
        steward.release(ReleaseRequest(f'r{number}', 'w', 100), READY)
    (ask,) = only(steward.reserve(request(3, ref_of(3)), READY), RequestPermit)
    assert only(steward.permit(ask.order_id, True, 0, READY), EvictOrder)
    actions = steward.engine_report(report(incarnation=2), READY + 1)
    assert ReturnPermit(ask.order_id, used=False) in actions
    assert only(actions, RequestPermit)


def test_report_that_shows_an_eviction_early_loses_no_load(
    steward,
):
    fill(steward)
    for number in (1, 2):
        steward.release(ReleaseRequest(f'r{number}', 'w', 100), READY)
    (ask,) = only(steward.reserve(request(3, ref_of(3)), READY), RequestPermit)
    (evict,) = steward.permit(ask.order_id, True, 0, READY)
    (held,) = {ref_of(1), ref_of(2)} - {evict.ref}
    later = READY + OPTIONS.report_lag + 0.5
    steward.engine_report(report(held), later)
    actions = steward.evict_done(evict.order_id, True, later)
    assert [order.ref for order in only(actions, LoadOrder)] == [ref_of(3)]


@pytest.mark.parametrize('number', [0.0, -5.0, math.nan, math.inf, -math.inf])
def test_invalid_numbers_are_clamped(steward, number):
    fill(steward, count=1)
    fields = {'tokens': number, 'weight': number, 'workspace': 'odd'}
    steward.reserve(request(5, ref_of(1), **fields), READY)
    steward.release(ReleaseRequest('r5', 'w', number), READY + 1)
    steward.reserve(request(6, ref_of(6), wait=number, **fields), READY + 1)
    digest = steward.digest(READY + 1)
    assert 0 <= digest.queued_tokens < math.inf
    (reply,) = steward.reserve(request(7, ref_of(1)), READY + 1)
    assert reply.code == 0


def test_adapter_whose_eviction_is_under_way_asks_for_no_permit():
    # Guards against: permits are returned unused and asked for without end.
    steward = build(slots=4)
    steward.take_over(7, 0)
    steward.pins_complete(0)
    steward.engine_report(report(*map(ref_of, range(4))), READY)
    (ask,) = only(
        steward.reserve(request(1, ref_of(4), wait=60), READY), RequestPermit
    )
    (evict,) = steward.permit(ask.order_id, True, 0, READY)
    reserved = steward.reserve(request(2, evict.ref, wait=60), READY)
    asks = deque(only(reserved, RequestPermit))
    granted = 0
    while asks:
        granted += 1
        assert granted < 10
        actions = steward.permit(asks.popleft().order_id, True, 0, READY)
        asks.extend(only(actions, RequestPermit))
