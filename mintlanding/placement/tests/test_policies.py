"""The choice of workers, by the default policy and the baselines."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.placement.index import WorkerIndex
from mintlanding.placement.messages import AdapterRef, WorkerDigest
from mintlanding.placement.policies import CHOICES, choose_workers
from mintlanding.placement.popularity import DecayedPopularity

REF = AdapterRef('adapter', 'v1')


def digest(worker, resident=(), fencing=1, sequence=1, **fields):
    return WorkerDigest(
        worker=worker,
        zone='zone',
        steward='agent',
        steward_address='127.0.0.1:1',
        fencing=fencing,
        sequence=sequence,
        slots=4,
        batch_limit=fields.pop('batch_limit', 4),
        resident=resident,
        **fields,
    )


def index_of(*digests):
    return WorkerIndex.from_digests(digests)


def names(index, rate=0.0, ref=REF):
    popularity = DecayedPopularity.from_config()
    popularity.note(ref, 0, rate / 0.00578)
    return [each.worker for each in choose_workers(ref, index, popularity, 0)]


def test_worker_with_the_adapter_is_ranked_first():
    workers = [digest(f'w{number}') for number in range(5)]
    index = index_of(*workers, digest('holder', (REF,)))
    assert names(index)[0] == 'holder'


def test_full_worker_is_skipped():
    workers = [digest(f'w{number}') for number in range(5)]
    index = index_of(*workers, digest('holder', (REF,), running=4, queued=9))
    assert names(index)[0] != 'holder'


def test_worker_that_cannot_load_is_used_for_resident_adapters():
    frozen = digest('frozen', (REF,), can_load=False)
    index = index_of(frozen, digest('other'))
    assert names(index)[0] == 'frozen'
    assert names(index, ref=AdapterRef('new', 'v1'))[0] == 'other'


def test_a_hot_adapter_uses_the_less_loaded_of_its_workers():
    workers = [digest(f'w{number}') for number in range(4)]
    index = index_of(*workers, digest('holder', (REF,), running=3))
    assert names(index, rate=1)[0] == 'holder'
    assert names(index, rate=20)[0] != 'holder'


@pytest.mark.parametrize('field', ['silent', 'leaving'])
def test_an_unusable_worker_is_not_chosen(field):
    index = index_of(digest('good'), digest('bad', (REF,)))
    index.put(digest('bad', (REF,), sequence=2, **{field: True}))
    assert names(index) == ['good']
    assert not index.put(digest('bad', (REF,)))
    assert names(index) == ['good']
    index.put(digest('bad', (REF,), sequence=3))
    assert names(index)[0] == 'bad'


@pytest.mark.parametrize('name', CHOICES.names())
def test_no_worker_gives_no_candidate(name):
    choice = CHOICES.get(name)()
    popularity = DecayedPopularity.from_config()
    assert choice.choose(REF, WorkerIndex(), popularity, 0) == []


@pytest.mark.parametrize('name', CHOICES.names())
def test_candidates_are_distinct_and_usable(name):
    choice = CHOICES.get(name)()
    index = index_of(*(digest(f'w{number}') for number in range(5)))
    found = choice.choose(REF, index, DecayedPopularity.from_config(), 0)
    assert len({each.worker for each in found}) == len(found) > 1


def test_a_stale_digest_is_ignored():
    index = index_of(digest('w', fencing=2, sequence=1))
    assert not index.put(digest('w', (REF,), fencing=1, sequence=9))
    assert not index.holders(REF)


def test_sent_requests_count_until_the_next_digest():
    index = index_of(digest('w', running=1))
    index.note_sent('w')
    assert index.load('w') == index.total_load == 2
    index.put(digest('w', running=2, sequence=2))
    assert index.load('w') == index.total_load == 2


def test_a_removed_worker_moves_only_its_own_adapters():
    refs = [AdapterRef(f'a{number}', 'v1') for number in range(200)]
    index = index_of(*(digest(f'w{number}') for number in range(9)))
    before = {ref: index.order(ref)[0] for ref in refs}
    index.remove('w3')
    moved = [ref for ref in refs if index.order(ref)[0] != before[ref]]
    assert moved == [ref for ref in refs if before[ref] == 'w3']


@given(
    st.lists(
        st.tuples(
            st.sampled_from('abc'),
            st.integers(1, 2),
            st.integers(1, 6),
            st.sets(st.sampled_from('xyz')),
            st.integers(0, 5),
            st.booleans(),
        ),
        max_size=30,
    ),
)
def test_the_index_agrees_with_its_newest_digests(rows):
    index, newest = WorkerIndex(), {}
    for worker, fencing, sequence, refs, running, leaving in rows:
        resident = tuple(AdapterRef(ref, 'v1') for ref in sorted(refs))
        row = digest(
            worker,
            resident,
            fencing,
            sequence,
            running=running,
            leaving=leaving,
        )
        if index.put(row):
            newest[worker] = row
    usable = {key: row for key, row in newest.items() if not row.leaving}
    assert index.total_load == sum(row.running for row in usable.values())
    for name in 'xyz':
        ref = AdapterRef(name, 'v1')
        assert index.holders(ref) == {
            key for key, row in usable.items() if ref in row.resident
        }


def test_popularity_decays_by_half_in_a_half_life():
    popularity = DecayedPopularity.from_config(half_life=10)
    popularity.note(REF, 0, 8)
    assert popularity.count(REF, 10) == pytest.approx(4)
    popularity.note(REF, 1e5)
    assert popularity.count(REF, 1e5) == pytest.approx(1)


def test_popularity_keeps_the_most_popular_within_its_limit():
    popularity = DecayedPopularity(10, 8)
    for number in range(50):
        popularity.note(REF, number)
        popularity.note(AdapterRef(f'a{number}', 'v1'), number)
    assert len(popularity) <= 8
    assert popularity.top(1) == [REF]
