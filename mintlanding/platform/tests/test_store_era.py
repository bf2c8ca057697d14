"""A store that returns from an older copy, in a new era.

What was written before its return is gone, and revisions are given out again.
"""

import asyncio
import itertools

import pytest

from mintlanding.coordination.transactional_store import (
    Committed,
    HistoryLost,
    StoreBusy,
    Transaction,
    Write,
)
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.platform.store import PlatformStore
from mintlanding.platform.tests.samples import CONFIG, encode
from mintlanding.platform.tests.standins import StoreStandin
from mintlanding.platform.tests.world import LIVE, LOOKUP, World

# Seconds within which a change is in force, with room for the listing.
APPLY_SECONDS = 3


@pytest.fixture
async def standin():
    found = await StoreStandin().start()
    yield found
    found.stop()


@pytest.fixture
def store(standin):
    return PlatformStore.from_config(standin.address)


@pytest.fixture
async def world():
    found = await World().start(instances=2)
    yield found
    await found.stop()


def config(version, *api_keys):
    tenant = {**CONFIG['tenants'][0], 'api_keys': list(api_keys)}
    return encode({**CONFIG, 'version': version, 'tenants': [tenant]})


def write_much(store, number, prefix='op/version/'):
    for each in range(number):
        content = {'model': 'daka', 'adapter': f'a{each}', 'version': 2}
        store.put(f'{prefix}daka.a{each}', encode(content))


async def statuses(world, key):
    return {
        (await world.ask(LOOKUP, method=b'GET', key=key, node=node))[0]
        for node in range(len(world.nodes))
    }


async def wait_for(world, key, wanted):
    async with asyncio.timeout(APPLY_SECONDS):
        while await statuses(world, key) != wanted:
            await asyncio.sleep(0.1)


async def return_from_copy(world, lost, again):
    """Lose writes; give out their revisions again before anyone reads."""
    saved = world.store.copy()
    write_much(world.store, lost, 'mintlanding/none/')
    await asyncio.sleep(0.5)
    world.store.restore(saved)
    again()
    write_much(world.store, lost, 'mintlanding/none/')


async def test_key_withdrawn_after_a_return_is_refused_everywhere(world):
    # Guards against: the withdrawal got a revision that members had passed.
    world.store.put('op/config', config(20, 'key-1', 'key-9'))
    await wait_for(world, b'key-9', {200})
    withdrawn = config(21, 'key-1')
    await return_from_copy(
        world, 5, lambda: world.store.put('op/config', withdrawn)
    )
    await wait_for(world, b'key-9', {401})


async def test_key_added_after_a_return_is_accepted_everywhere(world):
    # Guards against: a new key is refused by members that lived through it.
    await wait_for(world, b'key-9', {401})
    added = config(20, 'key-1', 'key-9')
    await return_from_copy(
        world, 5, lambda: world.store.put('op/config', added)
    )
    await wait_for(world, b'key-9', {200})


async def test_withdrawal_that_a_return_lost_stays_in_force(world):
    # Guards against: the older copy brings a withdrawn key back.
    world.store.put('op/config', config(20, 'key-1', 'key-9'))
    await wait_for(world, b'key-9', {200})
    saved = world.store.copy()
    world.store.put('op/config', config(21, 'key-1'))
    await wait_for(world, b'key-9', {401})
    world.store.restore(saved)
    for _ in range(20):
        assert await statuses(world, b'key-9') == {401}
        await asyncio.sleep(0.1)


async def test_second_of_two_returns_is_seen_as_well(world):
    # Guards against: members compare revisions of the era in between.
    for version in (20, 22):
        world.store.put('op/config', config(version, 'key-1', 'key-9'))
        await wait_for(world, b'key-9', {200})
        withdrawn = config(version + 1, 'key-1')
        await return_from_copy(
            world, 5, lambda: world.store.put('op/config', withdrawn)
        )
        await wait_for(world, b'key-9', {401})


async def test_changes_of_another_era_are_no_history(standin, store):
    standin.put('k/a', b'1')
    saved = standin.copy()
    after = (await store.snapshot('')).revision
    standin.put('k/a', b'2')
    waiting = asyncio.ensure_future(store.changes('', after + 1, 5))
    await asyncio.sleep(0.1)
    standin.restore(saved)
    standin.put('k/b', b'3')
    standin.put('k/c', b'4')
    with pytest.raises(HistoryLost):
        await waiting


async def test_listing_across_a_return_is_not_complete(standin, store):
    for number in range(12):
        standin.put(f'k/{number:02}', b'1')
    await store.snapshot('')
    handler = standin._kv_range

    async def return_after_the_page(*call):
        found = await handler(*call)
        standin.restore(standin.copy())
        return found

    standin._kv_range = return_after_the_page
    with pytest.raises(PlatformUnavailable):
        await store.snapshot('')


async def test_revisions_of_an_earlier_era_are_not_expected(standin, store):
    # The same revision may stand for other content by now.
    standin.put('k', b'1')
    found = await store.snapshot('k')
    (item,) = found.items
    standin.restore(standin.copy())
    await store.snapshot('')
    write = Write('k', b'2')
    with pytest.raises(StoreBusy):
        await store.commit(
            Transaction({'k': item.revision}, (write,), era=found.era)
        )
    assert standin.items['k'][0] == b'1'
    again = Transaction({'k': item.revision}, (write,), era=store.era.number)
    assert isinstance(await store.commit(again), Committed)


async def test_write_across_a_return_has_an_unknown_outcome(standin, store):
    await store.snapshot('')
    standin.restore(standin.copy())
    with pytest.raises(PlatformUnavailable):
        await store.commit(Transaction(writes=(Write('k', b'1'),)))


async def test_lease_of_an_earlier_era_is_not_renewed(standin, store):
    lease = await store.grant_lease(5)
    standin.restore(standin.copy())
    with pytest.raises(PlatformUnavailable):
        await store.renew_lease(lease)


async def test_store_that_names_no_era_is_served(standin, store):
    standin.era = 0
    standin.put('k', b'1')
    found = await store.snapshot('')
    assert found.era == 0
    assert not (await store.changes('', found.revision, 0.01)).changes


async def order_adapters(world, numbers):
    """Request adapters, so that orders to load them go to the engines."""
    for number in numbers:
        await world.ask(LIVE, adapter=b'/b%d' % number, deadline_ms=600)


async def test_fencing_tokens_rise_after_a_return_that_lost_the_record(world):
    # Guards against: the record is claimed anew at a lower revision.
    saved = world.store.copy()
    write_much(world.store, 200, 'mintlanding/none/')
    engine = await world.add_engine('e9', 'v1')
    await order_adapters(world, range(12))
    assert engine.orders
    world.store.restore(saved)
    world.store.put('servers/e9', engine.entry())
    await asyncio.sleep(APPLY_SECONDS)
    before = len(engine.orders)
    async with asyncio.timeout(20):
        while len(engine.orders) == before:
            await order_adapters(world, range(12, 24))
    used = [(each['fence'], each['holder']) for each in engine.orders]
    for (low, one), (high, other) in itertools.pairwise(used):
        assert low < high or (low, one) == (high, other)
