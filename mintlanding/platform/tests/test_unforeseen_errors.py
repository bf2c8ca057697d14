"""Errors that no code expects: each costs at most the request or record."""

import asyncio
import json

import pytest

from mintlanding.links.messages import StoreUpdate
from mintlanding.node.attempts import Attempts
from mintlanding.node.responses import ResponseForwarder
from mintlanding.platform.tests.samples import CONFIG, ENTRY, encode
from mintlanding.platform.tests.world import (
    LIVE,
    LOOKUP,
    ORDER,
    World,
)

MEMBER = {
    'instance': 'odd',
    'zone': 'z1',
    'host': '127.0.0.1',
    'port': 7600,
    'boot': '1',
}
QUARANTINE = {'position': 1, 'crashes': 3, 'last_crash': 1700000000.0}
NESTED = b'{"service":' + b'[' * 100_000


@pytest.fixture
async def world():
    found = await World().start()
    yield found
    await found.stop()


def fail(*args, **kwargs):
    raise LookupError('unforeseen')


async def test_request_whose_handler_raises_before_sending_is_refused(
    world, monkeypatch
):
    relay = world.nodes[0].relay
    monkeypatch.setattr(relay, '_serve_plain', fail)
    status, head, _ = await world.ask(ORDER)
    assert status == 503
    assert b'retry-after' in head
    monkeypatch.undo()
    status, _, _ = await world.ask(ORDER)
    assert status == 200
    assert [len(target.runs) for target in world.plain].count(0) == 1


async def test_quota_of_a_request_whose_handler_raises_is_refunded(
    world, monkeypatch
):
    relay = world.nodes[0].relay
    monkeypatch.setattr(relay, '_serve_plain', fail)
    await world.ask(ORDER)
    assert relay.quotas.counters()['hule930'] == 0


async def test_request_whose_handler_raises_after_sending_gets_bad_gateway(
    world, monkeypatch
):
    monkeypatch.setattr(Attempts, '_handle_response', fail)
    status, _, _ = await world.ask(ORDER)
    assert status == 502


async def test_stream_whose_handler_raises_is_cut_short(world, monkeypatch):
    relay = world.nodes[0].relay
    monkeypatch.setattr(relay._limits, 'record_response', lambda *args: None)
    monkeypatch.setattr(ResponseForwarder, '_check_engine', fail)
    with pytest.raises(asyncio.IncompleteReadError):
        await world.ask(LIVE)


async def test_request_with_header_of_odd_digits_is_answered(world):
    extra = (b'X-Token-Counts: \xb2,\xb2',)
    raw = world.raw(ORDER).replace(b'X-Token-Counts: 100,10', extra[0])
    reader, writer = await world.connect()
    writer.write(raw)
    async with asyncio.timeout(5):
        head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    assert head.startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize(
    'address',
    [
        '127.0.0.1:70000',
        '127.0.0.1:99999999999999999999',
        'a\x00b:80',
        '..:80',
        'x' * 300 + ':80',
        '[::1:80',
    ],
)
async def test_entry_with_odd_address_costs_no_request(world, address):
    entry = encode(
        {**ENTRY, 'service': 'orders', 'addr': address, 'models': []},
    )
    world.store.put('servers/odd', entry)
    await asyncio.sleep(1)
    for _ in range(8):
        for path in (ORDER, LOOKUP):
            status, _, _ = await world.ask(path)
            assert status == 200


@pytest.mark.parametrize(
    'key',
    [
        'servers/odd',
        'op/config',
        'op/version/daka.a1',
        'mintlanding/member/odd',
        'mintlanding/hold/odd',
        'mintlanding/streams/odd',
        'mintlanding/quarantine/odd',
        'mintlanding/request-quarantine/odd',
    ],
)
async def test_deeply_nested_record_does_not_end_the_watch(world, key):
    world.store.put(key, NESTED)
    await asyncio.sleep(0.8)
    world.store.put('op/config', encode({**CONFIG, 'version': 8}))
    view = world.nodes[0].view
    async with asyncio.timeout(4):
        while view.config.version < 8:
            await asyncio.sleep(0.05)
    status, _, _ = await world.ask(ORDER)
    assert status == 200


@pytest.mark.parametrize(
    'changes',
    [
        {'born': 2**70},
        {'seq': 2**70},
        {'slots': 10**300},
        {'models': [{'name': 'daka', 'adapters': ['a1@9'] * 20_000}]},
    ],
    ids=['born', 'seq', 'slots', 'adapters'],
)
async def test_entry_beyond_all_bounds_costs_no_status(changes):
    world = await World().start(instances=2)
    address = f'127.0.0.1:{world.engines[0].address[1]}'
    entry = {**ENTRY, 'addr': address, **changes}
    world.store.put('servers/odd', json.dumps(entry).encode())
    await asyncio.sleep(1.5)
    exchanges = [node._membership.status_exchange for node in world.nodes]
    started = {
        member: each.at
        for exchange in exchanges
        for member, each in exchange.received.items()
    }
    assert len(started) == 2
    await asyncio.sleep(1.5)
    for exchange in exchanges:
        for member, each in exchange.received.items():
            assert each.at > started[member] + 0.5
    for path in (ORDER, LOOKUP, LIVE):
        status, _, _ = await world.ask(path)
        assert status == 200
    await world.stop()


async def test_target_with_a_name_beyond_headers_costs_no_request(world):
    address = f'127.0.0.1:{world.plain[0].address[1]}'
    entry = {**ENTRY, 'service': 'orders', 'addr': address, 'models': []}
    world.store.put('servers/\u3042', encode(entry))
    await asyncio.sleep(1)
    for _ in range(12):
        status, _, _ = await world.ask(ORDER)
        assert status == 200


@pytest.mark.parametrize(
    ('key', 'record'),
    [
        ('mintlanding/member/odd', {**MEMBER, 'port': 70_000}),
        ('mintlanding/member/odd', {**MEMBER, 'port': 10**400}),
        ('mintlanding/member/odd', {**MEMBER, 'instance': 'n0'}),
        ('mintlanding/member/odd', {**MEMBER, 'link_mbps': -5}),
        ('mintlanding/quarantine/5c1e', {**QUARANTINE, 'crashes': 10**9}),
        ('mintlanding/quarantine/5c1e', {**QUARANTINE, 'crashes': 10**400}),
        ('mintlanding/quarantine/5c1e', {**QUARANTINE, 'last_crash': -1e300}),
    ],
    ids=lambda value: ascii(value)[:80],
)
async def test_record_of_members_out_of_bounds_changes_nothing(
    world, key, record
):
    view = world.nodes[0].view
    before = dict(view.members), dict(view.quarantines)
    world.store.put(key, json.dumps(record).encode())
    world.store.put('op/config', encode({**CONFIG, 'version': 8}))
    async with asyncio.timeout(4):
        while view.config.version < 8:
            await asyncio.sleep(0.05)
    assert (view.members, view.quarantines) == before


@pytest.mark.parametrize('is_reader', [True, False])
async def test_revision_beyond_those_of_the_store_is_corrected(
    world, is_reader
):
    late = await world.add_node('late')
    async with asyncio.timeout(4):
        while not late._is_ready or len(late.view.members) < 2:
            await asyncio.sleep(0.05)
    nodes = [world.nodes[0], late]
    reader = next(each for each in nodes if each._store_watcher.is_reader())
    other = next(each for each in nodes if each is not reader)
    odd = reader if is_reader else other
    odd._store_watcher.apply_update(StoreUpdate(1, 2**62, era=odd.view.era))
    assert odd.view.as_of == 2**62
    world.store.put('op/config', encode({**CONFIG, 'version': 8}))
    async with asyncio.timeout(6):
        while odd.view.config.version < 8:
            await asyncio.sleep(0.05)
    assert odd.view.as_of <= world.store.revision


async def test_instance_starts_beside_a_deeply_nested_record(world):
    world.store.put('servers/odd', NESTED)
    async with asyncio.timeout(4):
        node = await world.add_node('late')
        while not node._is_ready:
            await asyncio.sleep(0.05)
        world.store.put('op/config', encode({**CONFIG, 'version': 8}))
        while node.view.config.version < 8:
            await asyncio.sleep(0.05)


async def test_listener_that_raises_does_not_end_the_watch(world):
    node = world.nodes[0]
    node.view.listeners.append(fail)
    world.store.put('op/config', encode({**CONFIG, 'version': 8}))
    await asyncio.sleep(1)
    node.view.listeners.remove(fail)
    world.store.put('op/config', encode({**CONFIG, 'version': 9}))
    async with asyncio.timeout(4):
        while node.view.config.version < 9:
            await asyncio.sleep(0.05)


async def test_long_running_task_that_raises_goes_on(world, monkeypatch):
    node = world.nodes[0]
    monkeypatch.setattr(node.relay, 'prune', fail)
    await asyncio.sleep(0.6)
    monkeypatch.undo()
    pruned = asyncio.Event()
    monkeypatch.setattr(node.relay, 'prune', pruned.set)
    async with asyncio.timeout(4):
        await pruned.wait()
