"""The client of the platform's store, with and without faults."""

import pytest

from mintlanding.coordination.transactional_store import (
    NO_REVISION,
    Committed,
    HistoryLost,
    Rejected,
    StoreBusy,
    Transaction,
    Write,
)
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.platform.store import PlatformStore
from mintlanding.platform.tests.standins import StoreStandin


@pytest.fixture
async def standin():
    found = await StoreStandin().start()
    yield found
    found.stop()


@pytest.fixture
def store(standin):
    return PlatformStore.from_config(standin.address)


async def test_snapshot_reads_all_pages(standin, store):
    for number in range(12):
        standin.put(f'k/{number:02}', b'%d' % number)
    snapshot = await store.snapshot('k/')
    assert [item.content for item in snapshot.items] == [
        b'%d' % number for number in range(12)
    ]
    assert snapshot.revision == standin.revision


async def test_changes_are_in_order_and_include_removals(standin, store):
    standin.put('k/a', b'1')
    start = standin.revision
    standin.put('k/a', b'2')
    standin.remove('k/a')
    found = await store.changes('', start, 0.5)
    assert [change.item is None for change in found.changes] == [False, True]
    assert found.changes[0].item.content == b'2'
    assert found.revision == standin.revision


async def test_watch_without_changes_ends_after_its_wait(standin, store):
    found = await store.changes('', standin.revision, 0.02)
    assert not found.changes


async def test_lost_history_is_raised(standin, store):
    standin.faults.oldest_revision = 50
    with pytest.raises(HistoryLost):
        await store.changes('', 1, 0.02)


async def test_transaction_commits_only_at_expected_revisions(store):
    txn = Transaction({'k': NO_REVISION}, (Write('k', b'1'),))
    assert isinstance(await store.commit(txn), Committed)
    assert await store.commit(txn) == Rejected()


async def test_write_under_an_ended_lease_is_rejected_as_such(standin, store):
    lease = await store.grant_lease(5)
    assert await store.renew_lease(lease)
    await store.revoke_lease(lease)
    assert not await store.renew_lease(lease)
    done = await store.commit(Transaction(writes=(Write('k', b'', lease),)))
    assert done == Rejected(lease_ended=True)


async def test_lost_response_leaves_the_outcome_unknown(standin, store):
    standin.faults.lose_answers = 1
    with pytest.raises(PlatformUnavailable):
        await store.commit(Transaction(writes=(Write('k', b'1'),)))
    assert standin.items['k'][0] == b'1'
    assert (await store.snapshot('k')).items


async def test_refused_call_raises_store_busy(standin, store):
    standin.faults.refuse = True
    with pytest.raises(StoreBusy):
        await store.commit(Transaction(writes=(Write('k', b'1'),)))


async def test_stopped_store_is_unavailable(standin, store):
    standin.stop()
    with pytest.raises(PlatformUnavailable):
        await store.snapshot('')


async def test_response_to_an_earlier_call_confirms_no_write(standin, store):
    standin.faults.repeat_answers = True
    txn = Transaction({'k': NO_REVISION}, (Write('k', b'1'),))
    assert isinstance(await store.commit(txn), Committed)
    with pytest.raises(PlatformUnavailable, match='told revision'):
        await store.commit(txn)
    assert await store.commit(txn) == Rejected()


async def test_response_to_an_earlier_call_grants_no_lease(standin, store):
    standin.faults.repeat_answers = True
    lease = await store.grant_lease(5)
    with pytest.raises(PlatformUnavailable, match='told lease'):
        await store.grant_lease(5)
    assert await store.grant_lease(5) != lease
