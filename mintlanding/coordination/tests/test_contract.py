"""Contract that every key-value service and instance list must meet."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from mintlanding.coordination.http_services import (
    HttpInstanceList,
    HttpKeyValueService,
)
from mintlanding.coordination.instances import InstanceRecord, InstanceState
from mintlanding.coordination.keyvalue import CREATE_ONLY, MAX_VALUE_BYTES
from mintlanding.coordination.memory import (
    MemoryInstanceList,
    MemoryKeyValueService,
)
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.core.results import Done, ResultCode
from mintlanding.standin.faults import Faults
from mintlanding.standin.instances import InstancesStandin
from mintlanding.standin.keyvalue import KeyValueStandin
from mintlanding.standin.settings import StandinSettings

_TIMEOUT = 5
_WAIT = 5


class _MemoryBench:
    def __init__(self):
        self.service = MemoryKeyValueService()

    async def set_down(self, down):
        self.service.faults.down = down
        self.service.wake()

    async def lose_next_answer(self):
        self.service.faults.lose_answers = 1

    def calls(self):
        return self.service.calls


class _HttpBench:
    def __init__(self, standin):
        self.standin = standin
        self.service = HttpKeyValueService.from_config(standin.url, _TIMEOUT)

    async def set_down(self, down):
        await self.standin.set_faults(Faults(down=down))

    async def lose_next_answer(self):
        await self.standin.set_faults(Faults(lose_answers=1))

    def calls(self):
        return sum(self.standin.records.counts.values())


@asynccontextmanager
async def _bench(kind):
    if kind == 'memory':
        yield _MemoryBench()
        return
    standin = KeyValueStandin(StandinSettings(kind='keyvalue'))
    await standin.start()
    yield _HttpBench(standin)
    await standin.stop()


@pytest.fixture(params=['memory', 'http'])
async def bench(request):
    async with _bench(request.param) as made:
        yield made


async def test_written_value_is_read_back(bench):
    service, raw = bench.service, bytes(range(256))
    written = await service.put('a/b c?&%é', raw)
    entry = await service.get('a/b c?&%é')
    assert (entry.key, entry.value) == ('a/b c?&%é', raw)
    assert entry.index == written.value
    assert await service.get('missing') is None


async def test_only_the_expected_index_is_overwritten(bench):
    service = bench.service
    first = await service.put('k', b'1', CREATE_ONLY)
    again = await service.put('k', b'2', CREATE_ONLY)
    second = await service.put('k', b'2', first.value)
    stale = await service.put('k', b'3', first.value)
    assert isinstance(second, Done) and second.value > first.value
    assert again.code is stale.code is ResultCode.conflict
    assert (await service.get('k')).value == b'2'


async def test_only_the_expected_index_is_deleted(bench):
    service = bench.service
    written = await service.put('k', b'1')
    stale = await service.delete('k', written.value + 1)
    assert stale.code is ResultCode.conflict
    assert isinstance(await service.delete('k', written.value), Done)
    assert await service.get('k') is None
    assert isinstance(await service.put('k', b'2', CREATE_ONLY), Done)


async def test_only_one_of_concurrent_creates_succeeds(bench):
    outcomes = await asyncio.gather(
        *(bench.service.put('k', b'%d' % each, 0) for each in range(8)),
    )
    assert sum(isinstance(each, Done) for each in outcomes) == 1


async def test_list_shows_the_prefix_only(bench):
    service = bench.service
    for key in ('a/2', 'a/1', 'b/1'):
        last = await service.put(key, b'')
    listing = await service.list('a/')
    assert [entry.key for entry in listing.entries] == ['a/1', 'a/2']
    assert listing.index == last.value


@pytest.mark.parametrize('size', [MAX_VALUE_BYTES, MAX_VALUE_BYTES + 1])
async def test_value_size_is_limited_to_a_megabyte(bench, size):
    outcome = await bench.service.put('k', b'x' * size)
    assert isinstance(outcome, Done) == (size == MAX_VALUE_BYTES)


@pytest.mark.parametrize('change', ['put', 'delete'])
async def test_wait_returns_on_a_change_under_its_prefix(bench, change):
    service = bench.service
    seen = (await service.put('a/1', b'')).value
    waiting = asyncio.create_task(service.wait('a/', seen, _WAIT))
    await service.put('b/1', b'')
    await (
        service.put('a/2', b'') if change == 'put' else service.delete('a/1')
    )
    listing = await waiting
    assert listing.index > seen
    assert len(listing.entries) == (2 if change == 'put' else 0)


async def test_wait_returns_missed_changes_immediately(bench):
    await bench.service.put('a/1', b'')
    listing = await bench.service.wait('a/', 0, _WAIT)
    assert len(listing.entries) == 1


async def test_wait_times_out_without_a_change(bench):
    listing = await bench.service.wait('a/', 0, 0.01)
    assert listing.entries == ()


async def test_wait_times_out_despite_changes_under_another_prefix(bench):
    async def write_on():
        while True:
            await bench.service.put('b/1', b'')
            await asyncio.sleep(0)

    await bench.service.grant_lease(60)
    writing = asyncio.create_task(write_on())
    async with asyncio.timeout(5):
        for _ in range(20):
            listing = await bench.service.wait('a/', 0, 0.01)
            assert listing.entries == ()
    writing.cancel()


async def test_long_poll_counts_as_one_call(bench):
    before = bench.calls()
    await bench.service.wait('a/', 0, 0.01)
    assert bench.calls() == before + 1


async def test_expired_lease_deletes_its_entries(bench):
    service = bench.service
    lease = await service.grant_lease(0.01)
    await service.put('held', b'', lease=lease)
    while await service.get('held') is not None:
        await asyncio.sleep(0.002)
    assert not await service.renew_lease(lease)
    late = await service.put('held', b'', lease=lease)
    assert late.code is ResultCode.conflict


async def test_renewed_lease_lasts_and_revoked_lease_ends(bench):
    service = bench.service
    lease = await service.grant_lease(60)
    await service.put('held', b'', lease=lease)
    assert await service.renew_lease(lease)
    assert await service.get('held') is not None
    assert await service.revoke_lease(lease)
    assert await service.get('held') is None
    assert not await service.revoke_lease(lease)


async def test_write_with_a_lost_response_takes_effect(bench):
    await bench.lose_next_answer()
    with pytest.raises(PlatformUnavailable):
        await bench.service.put('k', b'written')
    assert (await bench.service.get('k')).value == b'written'


async def test_unavailable_service_raises_and_keeps_its_data(bench):
    service = bench.service
    await service.put('k', b'1')
    await bench.set_down(True)
    calls = (
        service.get('k'),
        service.list(''),
        service.put('k', b'2'),
        service.delete('k'),
        service.wait('', 0, 0),
        service.grant_lease(1),
        service.renew_lease('x'),
        service.revoke_lease('x'),
    )
    for call in calls:
        with pytest.raises(PlatformUnavailable):
            await call
    await bench.set_down(False)
    assert (await service.get('k')).value == b'1'


async def test_wait_ends_when_the_service_goes_down(bench):
    waiting = asyncio.create_task(bench.service.wait('a/', 0, 60))
    before = bench.calls()
    while bench.calls() == before:
        await asyncio.sleep(0)
    await bench.set_down(True)
    with pytest.raises(PlatformUnavailable):
        await waiting


_RECORDS = (
    InstanceRecord('i-1', 'zone-a', 'mx-centro', '127.0.0.1:1'),
    InstanceRecord(
        'i-2',
        'zone-b',
        'mx-centro',
        '127.0.0.1:2',
        InstanceState.leaving,
    ),
)


@pytest.mark.parametrize('kind', ['memory', 'http'])
async def test_instance_list_shows_live_and_leaving(kind):
    if kind == 'memory':
        assert await MemoryInstanceList(_RECORDS).fetch() == _RECORDS
        return
    rows = tuple(
        {field: str(getattr(each, field)) for field in each.__struct_fields__}
        for each in _RECORDS
    )
    settings = StandinSettings(kind='instances', instances=rows)
    standin = InstancesStandin(settings)
    await standin.start()
    service = HttpInstanceList.from_config(standin.url, _TIMEOUT)
    assert await service.fetch() == _RECORDS
    await standin.set_faults(Faults(down=True))
    with pytest.raises(PlatformUnavailable):
        await service.fetch()
    await standin.stop()


async def test_invalid_response_counts_as_unavailable():
    standin = KeyValueStandin(StandinSettings(kind='keyvalue'))
    await standin.start()
    wrong = HttpInstanceList.from_config(standin.url, _TIMEOUT)
    with pytest.raises(PlatformUnavailable):
        await wrong.fetch()
    await standin.stop()
