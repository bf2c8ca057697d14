"""The client of the platform's store, with and without faults."""

import asyncio

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
from mintlanding.http1.server import CallerServer
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


ODD_BODIES = [
    b'[' * 100_000,
    b'[]',
    b'7',
    b'{}',
    b'{"as_of": null, "items": [], "events": []}',
    b'{"as_of": "4", "items": [], "events": []}',
    b'{"as_of": 1.5, "items": [], "events": []}',
    b'{"as_of": -1, "items": [], "events": []}',
    b'{"as_of": 1' + b'0' * 400 + b', "items": [], "events": []}',
    b'{"as_of": 4, "items": 3, "events": 3}',
    b'{"as_of": 4, "items": [3], "events": [3]}',
    b'{"as_of": 4, "items": [{}], "events": [{}]}',
    b'{"as_of": 4, "items": [{"key": "k", "rev": "x", "value": ""}],'
    b' "events": [{"key": "k", "rev": "x", "value": ""}]}',
    b'{"as_of": 4, "items": [{"key": 7, "rev": 2, "value": ""}],'
    b' "events": [{"key": 7, "rev": 2, "removed": true}]}',
    b'\xff',
    b'{"as_of": 4, "items": [], "events": []',
]


@pytest.fixture(params=ODD_BODIES, ids=range(len(ODD_BODIES)))
async def odd_store(request):
    async def answer(req):
        req.respond(200, [], request.param)

    server = CallerServer.from_config(answer, 'odd')
    await server.start('127.0.0.1', 0)
    yield PlatformStore.from_config(('127.0.0.1', server.port))
    server.stop()


async def test_odd_response_of_the_store_is_an_error_of_the_platform(odd_store):
    for call in (
        odd_store.snapshot(''),
        odd_store.changes('', 1, 0.02),
        odd_store.commit(Transaction(writes=(Write('k', b'1'),))),
        odd_store.grant_lease(5),
    ):
        with pytest.raises(PlatformUnavailable):
            await call


async def test_value_that_is_not_base64_costs_only_its_record(standin, store):
    standin.items['k/a'] = (b'1', 2, 0)
    standin.items['k/b'] = (b'2', 3, 0)
    item = standin._item

    def spoil(key):
        value = {'value': 5} if key == 'k/a' else {}
        return {**item(key), **value}

    standin._item = spoil
    snapshot = await store.snapshot('k/')
    assert [each.content for each in snapshot.items] == [b'', b'2']


async def test_listing_that_never_advances_ends(standin, store):
    standin.items['k/a'] = (b'1', 2, 0)

    async def same_page(parts, query, body):
        page = {'items': [standin._item('k/a')], 'truncated': True, 'as_of': 2}
        return 200, page

    standin._kv_range = same_page
    with pytest.raises(PlatformUnavailable):
        async with asyncio.timeout(5):
            await store.snapshot('k/')


async def test_earlier_response_does_not_confirm_a_write(standin, store):
    txn = Transaction({'k': NO_REVISION}, (Write('k', b'1'),))
    assert isinstance(await store.commit(txn), Committed)
    standin.faults.repeat_answers = True
    for _ in range(4):
        assert await store.commit(txn) == Rejected()
        later = Transaction(writes=(Write('j', b'1'),))
        assert await store.commit(later) == Committed(standin.revision)


async def test_earlier_response_grants_no_lease(standin, store):
    leases = {await store.grant_lease(5)}
    standin.faults.repeat_answers = True
    for _ in range(4):
        leases.add(await store.grant_lease(5))
    assert len(leases) == 5
    assert leases <= standin.leases.keys()


async def test_earlier_response_renews_a_lease_once_at_most(standin, store):
    lease = await store.grant_lease(5)
    assert await store.renew_lease(lease)
    standin.revoke_lease(lease)
    standin.faults.repeat_answers = True
    renewed = [await store.renew_lease(lease) for _ in range(4)]
    assert renewed[1:] == [False] * 3
