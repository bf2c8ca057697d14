"""The choice of a worker for an adapter's request."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.core.results import Done, Failed, Ran, ResultCode
from mintlanding.membership.models import Member, MemberState
from mintlanding.placement.messages import AdapterRef, WorkerDigest
from mintlanding.placement.popularity import DecayedPopularity
from mintlanding.routing.models import EngineRequest
from mintlanding.routing.workers import WorkerRouter

REF = AdapterRef('a', '1')
POLICIES = ('placed', 'least-loaded', 'round-robin')


def make_digest(number, **fields):
    base = WorkerDigest(
        worker=f'w{number}',
        zone=f'z{number % 3}',
        steward=f'i{number}',
        steward_address=f'10.0.0.{number}:7000',
        fencing=1,
        sequence=1,
        slots=4,
        batch_limit=8,
    )
    return msgspec.structs.replace(base, **fields)


def make_router(*digests, zone='z0', policy='placed'):
    router = WorkerRouter.from_config(zone, policy=policy)
    router.set_pools({'planner': frozenset(each.worker for each in digests)})
    for digest in digests:
        router.put_digest(digest)
    return router


def choose(router, now=0.0, **fields):
    popularity = DecayedPopularity.from_config()
    req = EngineRequest(REF, **{'pool': 'planner', **fields})
    return router.choose(req, popularity, now, random.Random(1))


def worker_of(outcome):
    assert isinstance(outcome, Done)
    return outcome.value.worker


def steward(name, state):
    return Member(name, 'z0', 'r0', '10.0.0.1:7000', 1, state)


def test_resident_worker_of_another_zone_beats_a_load_in_the_same():
    far = make_digest(1, resident=(REF,))
    router = make_router(make_digest(0), far, make_digest(3))
    outcome = choose(router)
    assert worker_of(outcome) == 'w1'
    assert outcome.value.steward_address == far.steward_address


def test_resident_worker_of_the_same_zone_beats_another_zone():
    holders = [make_digest(each, resident=(REF,)) for each in range(3)]
    for zone in range(3):
        router = make_router(*holders, zone=f'z{zone}')
        assert worker_of(choose(router)) == f'w{zone}'


def test_busy_worker_of_the_same_zone_is_skipped():
    near = make_digest(0, resident=(REF,), running=5)
    router = make_router(near, make_digest(1, resident=(REF,), running=1))
    assert worker_of(choose(router)) == 'w1'


@pytest.mark.parametrize('fields', [{'leaving': True}, {'silent': True}])
def test_unusable_worker_gets_no_new_work(fields):
    holder = make_digest(0, resident=(REF,))
    router = make_router(holder, make_digest(1))
    assert worker_of(choose(router)) == 'w0'
    router.put_digest(make_digest(0, sequence=2, **fields))
    assert worker_of(choose(router)) == 'w1'


def test_stale_digest_does_not_bring_a_leaving_worker_back():
    router = make_router(make_digest(0, leaving=True, sequence=5))
    router.put_digest(make_digest(0, sequence=4))
    assert isinstance(choose(router), Failed)


@pytest.mark.parametrize('state', [MemberState.silent, MemberState.gone])
def test_worker_of_an_unavailable_steward_is_skipped(state):
    router = make_router(make_digest(0, resident=(REF,)), make_digest(1))
    router.put_member(steward('i0', state))
    assert worker_of(choose(router)) == 'w1'
    router.put_member(steward('i0', MemberState.live))
    assert worker_of(choose(router)) == 'w0'


def test_every_usable_worker_is_found_whatever_is_excluded():
    digests = [make_digest(each) for each in range(9)]
    router = make_router(*digests)
    excluded = frozenset(f'w{each}' for each in range(8))
    assert worker_of(choose(router, excluded=excluded)) == 'w8'


def test_without_a_usable_worker_not_run_has_a_retry_time():
    for router in (make_router(), make_router(make_digest(0, leaving=True))):
        outcome = choose(router)
        assert outcome.code == ResultCode.no_target
        assert outcome.ran == Ran.not_run
        assert outcome.retry_after > 0


def test_selector_pool_excludes_other_workers():
    router = make_router(make_digest(0), make_digest(1, resident=(REF,)))
    router.set_pools(
        {'planner': frozenset(('w0', 'w1')), 'gpu=new': frozenset(('w0',))},
    )
    assert worker_of(choose(router, pool='gpu=new')) == 'w0'
    assert worker_of(choose(router)) == 'w1'


def test_sent_requests_count_before_the_digest_shows_them():
    router = make_router(make_digest(0), make_digest(1), policy='least-loaded')
    first = worker_of(choose(router))
    router.note_sent(first)
    assert worker_of(choose(router)) != first


def test_open_circuit_is_avoided_until_a_trial_succeeds():
    router = make_router(make_digest(0, resident=(REF,)), make_digest(1))
    for _ in range(3):
        router.circuits.failed('i0', 0, random.Random(1))
    assert worker_of(choose(router)) == 'w1'
    assert worker_of(choose(router, now=60)) == 'w0'
    assert worker_of(choose(router, now=60)) == 'w1'
    router.circuits.succeeded('i0')
    assert worker_of(choose(router, now=60)) == 'w0'


@pytest.mark.parametrize('policy', ['placed', 'least-loaded', 'round-robin'])
def test_every_policy_chooses_a_usable_worker(policy):
    router = make_router(
        make_digest(0, leaving=True), make_digest(1), policy=policy
    )
    for _ in range(3):
        assert worker_of(choose(router)) == 'w1'


changes = st.tuples(
    st.sampled_from(('digest', 'member', 'pools', 'sent', 'fail', 'mend')),
    st.integers(0, 4),
    st.integers(1, 6),
    st.booleans(),
)


@given(steps=st.lists(changes, max_size=30), policy=st.sampled_from(POLICIES))
def test_unusable_worker_is_never_chosen_after_any_change(steps, policy):
    router = WorkerRouter.from_config('z0', policy=policy)
    rnd = random.Random(1)
    newest, away, pool = {}, set(), frozenset()
    for kind, number, sequence, flag in steps:
        name = f'w{number}'
        if kind == 'digest':
            digest = make_digest(number, sequence=sequence, leaving=flag)
            router.put_digest(digest)
            held = newest.get(name)
            if held is None or held.sequence < sequence:
                newest[name] = digest
        elif kind == 'member':
            state = MemberState.gone if flag else MemberState.live
            router.put_member(steward(f'i{number}', state))
            away = away | {name} if flag else away - {name}
        elif kind == 'pools':
            pool = frozenset(f'w{each}' for each in range(number, sequence))
            router.set_pools({'planner': pool, 'other': frozenset((name,))})
            configured = pool | {name}
            newest = {each: newest[each] for each in newest.keys() & configured}
        elif kind == 'sent':
            router.note_sent(name)
        excluded = frozenset((name,)) if kind == 'fail' else frozenset()
        usable = {
            each
            for each in pool & newest.keys()
            if not newest[each].leaving
            and each not in away
            and each not in excluded
        }
        outcome = router.choose(
            EngineRequest(REF, 'planner', excluded),
            DecayedPopularity.from_config(),
            0,
            rnd,
        )
        if usable:
            assert worker_of(outcome) in usable
        else:
            assert isinstance(outcome, Failed)
