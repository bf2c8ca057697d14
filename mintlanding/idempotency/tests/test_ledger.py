"""Single faults of the key-value service, one row each."""

import pytest

from mintlanding.coordination.keyvalue_state import KeyValueState
from mintlanding.coordination.memory import MemoryKeyValueService
from mintlanding.core.clock import ManualClock
from mintlanding.core.results import Done, Failed, Ran, ResultCode
from mintlanding.idempotency.ledger import IdempotencyLedger
from mintlanding.idempotency.models import (
    Claim,
    IdempotencyOptions,
    IdempotentRequest,
    Replay,
    StoredAnswer,
)

REQ = IdempotentRequest('shop', 'k1', 'POST', '/orders', b'{"vanity": 1}')
ANSWER = StoredAnswer(201, 'application/json', b'{"id": 7}')


class Bench:
    """Two instances before one service."""

    def __init__(self, **options):
        self.clock = ManualClock(1000)
        self.options = IdempotencyOptions(**options)
        self.store = KeyValueState()
        self.services = []
        self.ledgers = [self.add(), self.add()]

    def add(self):
        service = MemoryKeyValueService(self.store, self.clock)
        self.services.append(service)
        return IdempotencyLedger.from_config(service, self.clock, self.options)


@pytest.fixture
def bench():
    return Bench()


async def claim(ledger, req=REQ):
    outcome = await ledger.claim(req)
    assert isinstance(outcome, Done), outcome
    assert isinstance(outcome.value, Claim)
    return outcome.value


async def test_repeat_through_another_instance_gets_the_stored_answer(bench):
    one, two = bench.ledgers
    await one.finish(await claim(one), ANSWER)
    assert await two.claim(REQ) == Done(Replay(ANSWER))


async def test_repeat_meanwhile_is_told_to_come_back(bench):
    one, two = bench.ledgers
    await claim(one)
    for ledger in (one, two):
        failed = await ledger.claim(REQ)
        assert failed.code == ResultCode.idempotency_in_progress
        assert failed.ran == Ran.unknown
        assert failed.retry_after > 0


@pytest.mark.parametrize(
    'fields',
    [{'body': b'{}'}, {'method': 'PUT'}, {'path': '/other'}],
)
async def test_other_request_under_the_same_key_is_refused(bench, fields):
    one, two = bench.ledgers
    await one.finish(await claim(one), ANSWER)
    values = {'method': REQ.method, 'path': REQ.path, 'body': REQ.body}
    req = IdempotentRequest('shop', 'k1', **{**values, **fields})
    failed = await two.claim(req)
    assert failed.code == ResultCode.idempotency_mismatch
    assert failed.ran == Ran.not_run


async def test_same_key_of_another_workspace_is_another_order(bench):
    one, two = bench.ledgers
    await claim(one)
    other = IdempotentRequest('chain', 'k1', REQ.method, REQ.path, REQ.body)
    await claim(two, other)


async def test_claim_whose_answer_was_lost_is_found_by_its_id(bench):
    one, two = bench.ledgers
    await claim(one, IdempotentRequest('shop', 'k0', 'POST', '/orders'))
    bench.services[0].faults.lose_answers = 1
    await claim(one)
    failed = await two.claim(REQ)
    assert failed.code == ResultCode.idempotency_in_progress


async def test_service_down_is_not_run_with_a_time_to_come_back(bench):
    one = bench.ledgers[0]
    bench.services[0].faults.down = True
    failed = await one.claim(REQ)
    assert isinstance(failed, Failed)
    assert failed.code == ResultCode.idempotency_unavailable
    assert failed.ran == Ran.not_run
    assert failed.retry_after > 0
    bench.services[0].faults.down = False
    await claim(one)


async def test_dead_claimant_leaves_an_unknown_outcome(bench):
    one, two = bench.ledgers
    await claim(one)
    bench.clock.advance(bench.options.claim_life + 1)
    failed = await two.claim(REQ)
    assert failed.code == ResultCode.outcome_unknown
    assert failed.ran == Ran.unknown


async def test_released_claim_can_be_made_again_elsewhere(bench):
    one, two = bench.ledgers
    await one.release(await claim(one))
    await claim(two)


async def test_release_during_an_outage_is_settled_later(bench):
    one, two = bench.ledgers
    held = await claim(one)
    bench.services[0].faults.down = True
    await one.release(held)
    assert one.unsettled == 1
    bench.services[0].faults.down = False
    await one.settle()
    assert one.unsettled == 0
    await claim(two)


async def test_claimant_takes_its_own_unsent_claim_back(bench):
    one = bench.ledgers[0]
    held = await claim(one)
    bench.services[0].faults.down = True
    await one.release(held)
    bench.services[0].faults.down = False
    await claim(one)


@pytest.mark.parametrize('lost', [False, True])
async def test_end_during_an_outage_is_settled_later(bench, lost):
    one, two = bench.ledgers
    held = await claim(one)
    bench.services[0].faults.down = not lost
    bench.services[0].faults.lose_answers = int(lost)
    await one.finish(held, ANSWER)
    bench.services[0].faults.down = False
    await one.settle()
    assert one.unsettled == 0
    assert await two.claim(REQ) == Done(Replay(ANSWER))


async def test_lost_order_is_unknown_to_everyone_at_once(bench):
    one, two = bench.ledgers
    await one.mark_unknown(await claim(one))
    failed = await two.claim(REQ)
    assert failed.code == ResultCode.outcome_unknown


async def test_claim_that_waited_too_long_may_not_be_sent(bench):
    held = await claim(bench.ledgers[0])
    assert held.may_send(bench.clock.monotonic())
    bench.clock.advance(bench.options.send_within)
    assert not held.may_send(bench.clock.monotonic())


async def test_answer_too_large_to_keep_is_not_replayed_in_part():
    bench = Bench(longest_body=4)
    one, two = bench.ledgers
    await one.finish(await claim(one), ANSWER)
    failed = await two.claim(REQ)
    assert failed.code == ResultCode.answer_not_kept
    assert failed.ran == Ran.ran
    assert '201' in failed.detail


async def test_later_order_settles_an_earlier_one(bench):
    one, two = bench.ledgers
    held = await claim(one)
    bench.services[0].faults.down = True
    await one.finish(held, ANSWER)
    bench.services[0].faults.down = False
    later = IdempotentRequest('shop', 'k2', 'POST', '/orders')
    await one.finish(await claim(one, later), ANSWER)
    assert one.unsettled == 0
    assert await two.claim(REQ) == Done(Replay(ANSWER))


async def test_records_end_with_their_lease_and_cost_no_write(bench):
    one = bench.ledgers[0]
    await one.finish(await claim(one), ANSWER)
    bench.clock.advance(bench.options.keep - 1)
    assert await one.claim(REQ) == Done(Replay(ANSWER))
    bench.clock.advance(bench.options.lease_use + 2)
    assert bench.store.get(REQ.storage_key, bench.clock.monotonic()) is None


async def test_unreadable_record_is_never_run_over(bench):
    one = bench.ledgers[0]
    await bench.services[0].put(REQ.storage_key, b'\xff')
    failed = await one.claim(REQ)
    assert failed.code == ResultCode.outcome_unknown


async def test_keyed_order_costs_two_writes(bench):
    one = bench.ledgers[0]
    await one.finish(await claim(one), ANSWER)
    before = bench.services[0].calls
    req = IdempotentRequest('shop', 'k2', 'POST', '/orders')
    await one.finish(await claim(one, req), ANSWER)
    assert bench.services[0].calls - before == 2
