"""Single faults of the key-value service, one test each."""

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
    StoredResponse,
)

REQ = IdempotentRequest('shop', 'k1', 'POST', '/orders', b'{"vanity": 1}')
ANSWER = StoredResponse(201, 'application/json', b'{"id": 7}')


class Cluster:
    """Two instances that share one service."""

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
def cluster():
    return Cluster()


async def claim(ledger, req=REQ):
    outcome = await ledger.claim(req)
    assert isinstance(outcome, Done), outcome
    assert isinstance(outcome.value, Claim)
    return outcome.value


async def test_repeat_through_another_instance_gets_the_stored_response(
    cluster,
):
    one, two = cluster.ledgers
    await one.finish(await claim(one), ANSWER)
    assert await two.claim(REQ) == Done(Replay(ANSWER))


async def test_repeat_of_a_pending_request_is_told_when_to_retry(cluster):
    one, two = cluster.ledgers
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
async def test_other_request_under_the_same_key_is_refused(cluster, fields):
    one, two = cluster.ledgers
    await one.finish(await claim(one), ANSWER)
    values = {'method': REQ.method, 'path': REQ.path, 'body': REQ.body}
    req = IdempotentRequest('shop', 'k1', **{**values, **fields})
    failed = await two.claim(req)
    assert failed.code == ResultCode.idempotency_mismatch
    assert failed.ran == Ran.not_run


async def test_same_key_of_another_workspace_is_another_request(cluster):
    one, two = cluster.ledgers
    await claim(one)
    other = IdempotentRequest('chain', 'k1', REQ.method, REQ.path, REQ.body)
    await claim(two, other)


async def test_claim_whose_response_was_lost_is_found_by_its_id(cluster):
    one, two = cluster.ledgers
    await claim(one, IdempotentRequest('shop', 'k0', 'POST', '/orders'))
    cluster.services[0].faults.lose_answers = 1
    await claim(one)
    failed = await two.claim(REQ)
    assert failed.code == ResultCode.idempotency_in_progress


async def test_service_down_means_not_run_with_a_retry_time(cluster):
    one = cluster.ledgers[0]
    cluster.services[0].faults.down = True
    failed = await one.claim(REQ)
    assert isinstance(failed, Failed)
    assert failed.code == ResultCode.idempotency_unavailable
    assert failed.ran == Ran.not_run
    assert failed.retry_after > 0
    cluster.services[0].faults.down = False
    await claim(one)


async def test_dead_claimant_leaves_an_unknown_outcome(cluster):
    one, two = cluster.ledgers
    await claim(one)
    cluster.clock.advance(cluster.options.claim_timeout + 1)
    failed = await two.claim(REQ)
    assert failed.code == ResultCode.outcome_unknown
    assert failed.ran == Ran.unknown


async def test_released_claim_can_be_made_again_elsewhere(cluster):
    one, two = cluster.ledgers
    await one.release(await claim(one))
    await claim(two)


async def test_release_during_an_outage_is_recorded_later(cluster):
    one, two = cluster.ledgers
    claimed = await claim(one)
    cluster.services[0].faults.down = True
    await one.release(claimed)
    assert one.pending_writes == 1
    cluster.services[0].faults.down = False
    await one.retry_pending_writes()
    assert one.pending_writes == 0
    await claim(two)


async def test_claimant_replaces_its_own_unsent_claim(cluster):
    one = cluster.ledgers[0]
    claimed = await claim(one)
    cluster.services[0].faults.down = True
    await one.release(claimed)
    cluster.services[0].faults.down = False
    await claim(one)


@pytest.mark.parametrize('lost', [False, True])
async def test_result_during_an_outage_is_recorded_later(cluster, lost):
    one, two = cluster.ledgers
    claimed = await claim(one)
    cluster.services[0].faults.down = not lost
    cluster.services[0].faults.lose_answers = int(lost)
    await one.finish(claimed, ANSWER)
    cluster.services[0].faults.down = False
    await one.retry_pending_writes()
    assert one.pending_writes == 0
    assert await two.claim(REQ) == Done(Replay(ANSWER))


async def test_request_marked_unknown_is_unknown_everywhere_at_once(cluster):
    one, two = cluster.ledgers
    await one.mark_unknown(await claim(one))
    failed = await two.claim(REQ)
    assert failed.code == ResultCode.outcome_unknown


async def test_claim_that_waited_too_long_may_not_be_sent(cluster):
    claimed = await claim(cluster.ledgers[0])
    assert claimed.may_send(cluster.clock.monotonic())
    cluster.clock.advance(cluster.options.send_within)
    assert not claimed.may_send(cluster.clock.monotonic())


async def test_response_too_large_to_store_is_not_replayed_in_part():
    cluster = Cluster(max_body_bytes=4)
    one, two = cluster.ledgers
    await one.finish(await claim(one), ANSWER)
    failed = await two.claim(REQ)
    assert failed.code == ResultCode.answer_not_kept
    assert failed.ran == Ran.ran
    assert '201' in failed.detail


async def test_later_request_records_an_earlier_result(cluster):
    one, two = cluster.ledgers
    claimed = await claim(one)
    cluster.services[0].faults.down = True
    await one.finish(claimed, ANSWER)
    cluster.services[0].faults.down = False
    later = IdempotentRequest('shop', 'k2', 'POST', '/orders')
    await one.finish(await claim(one, later), ANSWER)
    assert one.pending_writes == 0
    assert await two.claim(REQ) == Done(Replay(ANSWER))


async def test_records_expire_with_their_lease(cluster):
    one = cluster.ledgers[0]
    await one.finish(await claim(one), ANSWER)
    cluster.clock.advance(cluster.options.retention - 1)
    assert await one.claim(REQ) == Done(Replay(ANSWER))
    cluster.clock.advance(cluster.options.lease_reuse_time + 2)
    assert cluster.store.get(REQ.storage_key, cluster.clock.monotonic()) is None


async def test_request_with_an_unreadable_record_is_not_run(cluster):
    one = cluster.ledgers[0]
    await cluster.services[0].put(REQ.storage_key, b'\xff')
    failed = await one.claim(REQ)
    assert failed.code == ResultCode.outcome_unknown


async def test_request_costs_two_writes(cluster):
    one = cluster.ledgers[0]
    await one.finish(await claim(one), ANSWER)
    before = cluster.services[0].calls
    req = IdempotentRequest('shop', 'k2', 'POST', '/orders')
    await one.finish(await claim(one, req), ANSWER)
    assert cluster.services[0].calls - before == 2
