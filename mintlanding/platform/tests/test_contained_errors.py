"""Errors inside an instance: each costs at most the part that raised."""

import asyncio

import msgspec
import pytest

from mintlanding.core.tests.ports import free_port
from mintlanding.node import view as view_module
from mintlanding.node.send_gate import SendGate
from mintlanding.node.target_choice import TargetChoice
from mintlanding.platform import requests
from mintlanding.platform.tests import world as world_module
from mintlanding.platform.tests.samples import CONFIG, encode
from mintlanding.platform.tests.world import (
    LIVE,
    LOOKUP,
    ORDER,
    World,
    read_response,
)


@pytest.fixture
async def world():
    found = await World().start()
    yield found
    await found.stop()


def fail(*args, **kwargs):
    raise LookupError('unforeseen')


def digest_with(**changes):
    """Return a method that changes the digests of a steward."""

    def build(digest):
        return lambda now: msgspec.structs.replace(digest(now), **changes)

    return build


@pytest.mark.parametrize(
    'odd',
    [
        digest_with(incarnation=2**70),
        digest_with(ready=('a\ud800',)),
        lambda digest: fail,
    ],
    ids=['number', 'text', 'raises'],
)
async def test_odd_digest_costs_only_its_worker(world, monkeypatch, odd):
    node = world.nodes[0]
    steward = node._stewards.stewards['e1']
    monkeypatch.setattr(steward, 'digest', odd(steward.digest))
    late = await world.add_node('late')
    heard = late._membership.status_exchange.received
    async with asyncio.timeout(4):
        while not late._is_ready or 'n0' not in heard:
            await asyncio.sleep(0.05)
    at = heard['n0'].at
    await asyncio.sleep(1.5)
    assert heard['n0'].at > at + 1
    views = late._admissions.views(list(late.view.engines().values()))
    assert views['e2'].can_order
    assert node.application.is_sound


@pytest.mark.parametrize('method', ['tick', 'set_authority', 'next_event'])
async def test_steward_that_raises_costs_only_its_worker(
    world, monkeypatch, method
):
    node = world.nodes[0]
    monkeypatch.setattr(node._stewards.stewards['e1'], method, fail)
    engine = await world.add_engine('e3', 'b1')
    # Long enough for a task that fails each time to be known for it.
    await asyncio.sleep(1)
    assert node._stewards.stewards[engine.name].may_order
    assert node.application.is_sound


async def test_steward_that_cannot_stop_is_replaced(world, monkeypatch):
    node = world.nodes[0]
    former = node._stewards.stewards['e1']
    monkeypatch.setattr(former, 'drain', fail)
    world.engines[0].crashes += 1
    world.store.put('servers/e1', world.engines[0].entry())
    async with asyncio.timeout(4):
        while node._stewards.stewards.get('e1') in {None, former}:
            await asyncio.sleep(0.05)
    assert node._stewards.stewards['e1'].may_order


async def is_ready(node):
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', node._ready.port
    )
    writer.write(b'GET / HTTP/1.1\r\nHost: ready\r\n\r\n')
    status, _, _ = await read_response(reader)
    writer.close()
    return status == 200


async def block(port):
    return await asyncio.start_server(lambda *args: None, '127.0.0.1', port)


async def unblock(*blockers):
    for each in blockers:
        each.close()
        await each.wait_closed()


@pytest.fixture
async def late_node(world, monkeypatch):
    """An instance whose ports for members were taken when it started."""
    peer_port, path_port = free_port(), free_port()
    ports = iter((peer_port, path_port))
    blocker, path_blocker = await block(peer_port), await block(path_port)
    with monkeypatch.context() as patch:
        patch.setattr(world_module, 'free_port', lambda: next(ports))
        node = await world.add_node('late')
    # The third failure in succession comes after 0.3 s.
    for _ in range(5):
        await asyncio.sleep(0.2)
        node._membership.update_members()
    assert not await is_ready(node)
    await unblock(blocker)
    async with asyncio.timeout(5):
        while not node._is_ready:
            await asyncio.sleep(0.05)
    # The paths start once the port for links is free.
    await asyncio.sleep(0.5)
    await unblock(path_blocker)
    return node


async def test_instance_whose_port_was_taken_becomes_ready(late_node):
    async with asyncio.timeout(5):
        while not await is_ready(late_node):
            await asyncio.sleep(0.05)


async def test_instance_whose_port_was_taken_has_one_link(
    world, late_node, monkeypatch
):
    hellos = []
    mesh = world.nodes[0]._membership.mesh
    welcome = mesh._welcome

    def record(link, hello):
        hellos.append(hello.instance)
        welcome(link, hello)

    monkeypatch.setattr(mesh, '_welcome', record)
    await asyncio.sleep(1.5)
    assert hellos == []


async def test_paths_whose_port_was_taken_are_listened_for_once(
    world, late_node, monkeypatch
):
    paths = late_node._paths
    async with asyncio.timeout(5):
        while not paths.port:
            await asyncio.sleep(0.05)
    listener = paths._listener
    await late_node._open_paths()
    assert paths._listener is listener
    assert paths.port == late_node._cfg.facts.path_port


async def test_instance_that_joins_again_listens_once(world, monkeypatch):
    calls = []

    def fail_once():
        calls.append(1)
        if len(calls) == 1:
            raise LookupError('unforeseen')
        update_members()

    late = await world.add_node('late')
    update_members = late._membership.update_members
    monkeypatch.setattr(late._membership, 'update_members', fail_once)
    async with asyncio.timeout(5):
        while not await is_ready(late):
            await asyncio.sleep(0.05)
    assert calls


async def test_instance_stays_ready_while_its_upkeep_fails(world, monkeypatch):
    node = world.nodes[0]
    monkeypatch.setattr(node.relay, 'prune', fail)
    await asyncio.sleep(1.5)
    assert await is_ready(node)


async def test_instance_that_sends_no_statuses_is_not_ready(world, monkeypatch):
    node = world.nodes[0]
    exchange = node._membership.status_exchange
    monkeypatch.setattr(exchange, 'send_status', fail)
    async with asyncio.timeout(5):
        while await is_ready(node):
            await asyncio.sleep(0.05)


async def test_check_that_raises_leaves_no_connection(world, monkeypatch):
    await world.ask(ORDER)
    monkeypatch.setattr(SendGate, 'check', fail)
    for _ in range(4):
        status, _, _ = await world.ask(ORDER)
        assert status == 503
    await asyncio.sleep(0.3)
    # Connections that wait for the next request; one to each target at most.
    for target in world.plain:
        assert len(target.server.connections) <= 1


async def test_reservation_of_a_request_that_raises_is_ended(
    world, monkeypatch
):
    node = world.nodes[0]
    with monkeypatch.context() as patch:
        patch.setattr(SendGate, 'is_candidate', fail)
        patch.setattr(
            SendGate,
            'candidates',
            lambda gate, plan: gate.view.targets_of(plan.service.name),
        )
        for _ in range(4):
            status, _, _ = await world.ask(LIVE)
            assert status == 503
    await asyncio.sleep(0.3)
    stewards = node._stewards.stewards.values()
    assert [each.running for each in stewards] == [0, 0]


async def test_quota_of_a_request_that_is_not_noted_is_refunded(
    world, monkeypatch
):
    relay = world.nodes[0].relay
    monkeypatch.setattr(relay.budget, 'note_request', fail)
    status, _, _ = await world.ask(ORDER)
    assert status == 503
    assert relay.quotas.counters()['hule930'] == 0


@pytest.mark.parametrize('table', ['RouteTable', 'KeyTable'])
async def test_configuration_whose_tables_raise_is_not_in_force(
    world, monkeypatch, table
):
    node = world.nodes[0]
    view = node.view
    before = (view.config, view.routes, view.keys)
    with monkeypatch.context() as patch:
        patch.setattr(getattr(view_module, table), 'from_config', fail)
        world.store.put('op/config', encode({**CONFIG, 'version': 8}))
        as_of = world.store.revision
        async with asyncio.timeout(4):
            while view.as_of < as_of:
                await asyncio.sleep(0.05)
    assert (view.config, view.routes, view.keys) == before
    world.store.put('op/config', encode({**CONFIG, 'version': 9}))
    async with asyncio.timeout(4):
        while view.config.version < 9:
            await asyncio.sleep(0.05)
    status, _, _ = await world.ask(ORDER)
    assert status == 200


@pytest.mark.parametrize('function', ['order_request', 'order_result'])
async def test_order_that_raises_leaves_its_worker_in_use(
    world, monkeypatch, function
):
    failed = []

    def fail_order(*args):
        failed.append(args)
        raise LookupError('unforeseen')

    with monkeypatch.context() as patch:
        patch.setattr(requests, function, fail_order)
        await world.ask(LIVE)
        await asyncio.sleep(0.5)
    assert failed
    await asyncio.sleep(0.5)
    for adapter in (b'/a1', b'/a2', b'/a3', b'/a4'):
        status, _, _ = await world.ask(LIVE, adapter=adapter)
        assert status == 200
    for engine in world.engines:
        assert len(engine.server.connections) <= 4


async def test_quota_of_a_caller_that_leaves_before_its_request_is_sent(
    world, monkeypatch
):
    relay = world.nodes[0].relay
    waiting = asyncio.Event()

    async def wait(choice, plan):
        waiting.set()
        await asyncio.sleep(5)

    monkeypatch.setattr(TargetChoice, 'plain_target', wait)
    _, writer = await world.connect()
    writer.write(world.raw(LOOKUP))
    await waiting.wait()
    assert relay.quotas.counters()['hule930'] > 0
    writer.close()
    async with asyncio.timeout(2):
        while relay.quotas.counters()['hule930']:
            await asyncio.sleep(0.01)
