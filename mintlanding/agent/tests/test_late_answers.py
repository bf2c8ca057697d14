"""Orders and claims that arrive late, or whose answers are lost."""

import copy

import pytest

from mintlanding.agent.tests.steward_world import OWN, WORKER, StewardWorld
from mintlanding.membership.models import Member
from mintlanding.placement.messages import PinReport, WorkerDigest
from mintlanding.standin.engine_model import OrderResult

OTHER = Member('i1', OWN.zone, OWN.region, '127.0.0.1:2', incarnation=8)


@pytest.fixture
async def world():
    found = await StewardWorld().start()
    yield found
    await found.stop()


def refusals(world):
    found = world.engine.records.list('role')
    return [each for each in found if each.detail == OrderResult.old_fencing]


def digest_of(member):
    return WorkerDigest(
        worker=WORKER,
        zone=member.zone,
        steward=member.instance,
        steward_address=member.address,
        fencing=1,
        sequence=1,
        slots=2,
        batch_limit=4,
    )


async def test_refusal_of_an_order_of_an_earlier_lease_ends_no_steward(world):
    # Guards against: a refusal is taken for one of the present token.
    world.way.is_holding = True
    await world.until(lambda: world.way.held)
    earlier = world.token
    world.way.is_holding = False
    await world.lapse()
    await world.until(lambda: world.token > earlier)
    runner, token = world.runner, world.token
    await world.settle(lambda: world.engine.model.fencing == token)
    world.way.release()
    await world.settle(lambda: refusals(world))
    await world.tick()
    await world.tick()
    assert (world.runner, world.token) == (runner, token)


async def test_claim_whose_answer_was_lost_is_not_a_claim_of_others(world):
    # Guards against: the own record refuses all further claims.
    await world.tick()
    world.key_value.faults.lose_answers = 1
    await world.until(lambda: world.record)
    assert world.runner is None
    await world.until(lambda: world.runner)
    assert world.token == world.record.index
    await world.settle(lambda: world.engine.model.fencing == world.token)


async def test_claim_with_a_lost_answer_is_settled_when_no_longer_wanted(world):
    # Guards against: nobody can claim a worker that its holder does not run.
    await world.tick()
    world.key_value.faults.lose_answers = 1
    await world.until(lambda: world.record)
    world.context.members[OTHER.instance] = OTHER
    world.digests[WORKER] = digest_of(OTHER)
    await world.until(lambda: world.runner)


async def test_late_claim_of_an_earlier_process_is_not_taken_over(world):
    # Guards against: a token that orders of the earlier process bear, too.
    await world.until(lambda: world.runner)
    earlier = world.token
    world.end_process()
    world.begin_process()
    await world.tick()
    world.key_value.faults.lose_answers = 1
    await world.until(lambda: not world.key_value.faults.lose_answers)
    await world.tick()
    assert world.runner is None
    await world.until(lambda: world.runner)
    assert world.token > earlier


async def test_worker_that_was_given_up_is_claimed_under_a_new_token(world):
    # Guards against: digests and orders of two stewards under one token.
    await world.until(lambda: world.runner)
    earlier = world.token
    world.stewards._release_worker(WORKER)
    await world.until(lambda: world.runner)
    assert world.token > earlier
    await world.settle(lambda: world.engine.model.fencing == world.token)


async def test_worker_removed_during_a_claim_can_come_back(world):
    # Guards against: a worker that is held without a steward.
    await world.tick()
    world.key_value.faults.lose_answers = 1
    await world.until(lambda: world.record)
    world.configure(())
    await world.until(lambda: not world.record)
    world.configure(world.objects())
    await world.until(lambda: world.runner)


async def test_record_that_outlives_its_lease_here_ends_no_steward(world):
    # Guards against: the own former record is taken for one of another agent.
    await world.until(lambda: world.runner)
    runner, earlier = world.runner, world.token
    world.key_value.faults.lose_answers = 1000
    await world.until(lambda: not world.token)
    world.key_value.faults.lose_answers = 0
    assert world.record.index == earlier
    await world.until(lambda: world.token > earlier)
    assert world.runner is runner
    await world.settle(lambda: world.engine.model.fencing == world.token)


@pytest.mark.parametrize('is_late', [True, False])
async def test_pins_reported_under_an_earlier_lease_do_not_count(
    world, is_late
):
    # Guards against: evictions before the pins since then are known.
    await world.until(lambda: world.runner)
    earlier = world.token
    await world.lapse()
    await world.until(lambda: world.token > earlier)
    token = earlier if is_late else world.token
    report = PinReport(WORKER, 'entry', fencing=token)
    await world.stewards._handle_pins(report, 'entry')
    assert ('entry' in world.runner.pinned_entries) != is_late


async def test_claim_after_a_return_of_the_store_bears_no_lower_token(world):
    # Guards against: the index of the record is compared across a return of
    # the store from an older copy.
    before = copy.deepcopy(world.key_value.store)
    await world.until(lambda: world.runner)
    first = world.token
    await world.lapse()
    await world.until(lambda: world.token > first)
    earlier = world.token
    await world.settle(lambda: world.engine.model.fencing == earlier)
    world.key_value.store = before
    await world.until(lambda: not world.token)
    await world.until(lambda: world.token)
    assert world.token > earlier


async def test_process_without_memory_learns_the_token_from_its_engine(world):
    # Guards against: an engine that refuses each steward after a return.
    world.engine.model.fencing = 500
    await world.until(lambda: world.token > 500)
    await world.settle(lambda: world.engine.model.fencing == world.token)
    await world.tick()
    assert world.runner.steward.fencing == world.token
