"""Instances, store and targets in one process, with and without faults."""

import asyncio
import contextlib
import socket
import time
from dataclasses import replace

import msgspec
import pytest

from mintlanding.http1.server import CallerConnection
from mintlanding.node import application, origin_records
from mintlanding.node import membership as membership_module
from mintlanding.node.clock import boot_seconds
from mintlanding.node.view import ORIGINS_PREFIX, MemberRecord
from mintlanding.platform.tests.samples import CONFIG, encode
from mintlanding.platform.tests.world import (
    BATCH,
    HOST,
    LIVE,
    LOOKUP,
    ORDER,
    World,
    read_response,
)
from mintlanding.streams.messages import StreamOrigin


@pytest.fixture
async def world():
    found = await World().start()
    yield found
    await found.stop()


@pytest.fixture
async def pair():
    found = await World().start(instances=2)
    yield found
    await found.stop()


def stream(first, last):
    return b''.join(
        b'id: %d\ndata: x\n\n' % number for number in range(first, last + 1)
    )


async def test_stream_runs_on_its_adapter(world):
    status, head, body = await world.ask(LIVE)
    assert status == 200
    assert body == stream(1, 3)
    assert b'x-response-stamp: s1' in head
    ((_, sent, headers),) = [
        run for engine in world.engines for run in engine.runs
    ]
    assert sent == b'hello'
    assert headers[b'x-tenant'] == b'hule930'
    assert b'authorization' not in headers


async def test_answer_of_a_plain_target_is_unchanged(world):
    status, head, body = await world.ask(ORDER)
    assert (status, body) == (200, b'done hello')
    assert b'x-response-stamp: s1' in head


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [(b'/nowhere/', b'key-1', 404), (LIVE, b'stranger', 401)],
)
async def test_request_without_route_or_key_is_refused(
    world, path, key, status
):
    assert (await world.ask(path, key=key))[0] == status
    assert not any(engine.arrivals for engine in world.engines)


async def test_withdrawn_key_is_refused_on_an_open_connection(world):
    reader, writer = await world.connect()
    writer.write(world.raw(ORDER))
    assert (await read_response(reader))[0] == 200
    tenants = [{**CONFIG['tenants'][0], 'api_keys': ['key-2']}]
    changed = {**CONFIG, 'version': 9, 'tenants': tenants}
    world.store.put('op/config', encode(changed))
    await asyncio.sleep(0.8)
    writer.write(world.raw(ORDER))
    assert (await read_response(reader))[0] == 401
    writer.close()


async def test_unsafe_request_runs_once_when_its_response_is_lost(world):
    for target in world.plain:
        target.faults.lose_answers = 1
    status, _, _ = await world.ask(ORDER)
    assert status == 502
    assert sum(len(target.runs) for target in world.plain) == 1


async def test_safe_request_is_retried_at_another_target(world):
    for target in world.plain:
        target.faults.lose_answers = 1
    world.plain[1].faults.lose_answers = 0
    statuses = [
        (await world.ask(LOOKUP, method=b'GET', body=b''))[0] for _ in range(6)
    ]
    assert set(statuses) == {200}


async def test_failure_of_a_target_is_passed_on_with_its_signature(world):
    for target in world.plain:
        target.faults.fail = 5
    status, head, body = await world.ask(ORDER)
    assert (status, body) == (500, b'failed')
    assert b'x-response-stamp: s1' in head


async def test_request_that_was_not_run_is_retried(world):
    for target in world.plain:
        target.faults.shed = 1
    world.plain[1].faults.shed = 0
    statuses = [(await world.ask(ORDER))[0] for _ in range(4)]
    assert statuses == [200] * 4


async def test_resumable_stream_continues_at_another_engine(world):
    for engine in world.engines:
        engine.faults.break_after = 1
    world.engines[1].faults.break_after = 0
    for _ in range(3):
        status, _, body = await world.ask(BATCH)
        assert status == 200
        assert body == stream(1, 3)


async def test_stream_that_brings_bytes_but_no_events_continues_elsewhere(
    world,
):
    for engine in world.engines:
        engine.faults.drip_after = 1
    asking = asyncio.ensure_future(world.ask(BATCH))
    async with asyncio.timeout(2):
        while not any(engine.runs for engine in world.engines):
            await asyncio.sleep(0.01)
    for engine in world.engines:
        if not engine.runs:
            engine.faults.drip_after = 0
    status, _, body = await asking
    assert status == 200
    assert body == stream(1, 3)


async def test_other_interrupted_streams_are_seen_as_incomplete(world):
    for engine in world.engines:
        engine.faults.break_after = 1
    with pytest.raises(asyncio.IncompleteReadError):
        await world.ask(LIVE)
    assert sum(len(engine.runs) for engine in world.engines) == 1


async def test_interrupted_stream_is_not_resumed_at_another_build(world):
    # What two versions of an engine write does not fit together.
    await world.change_build(world.engines[1], 'v2')
    await world.begin_stream()
    assert sum(len(engine.runs) for engine in world.engines) == 1


async def test_caller_cannot_resume_a_stream_at_another_build(pair):
    # The caller returns at an instance that did not begin the stream.
    await pair.change_build(pair.engines[1], 'v2')
    request_id, began = await pair.begin_stream(node=0)
    pair.store.put(f'servers/{began.name}', began.entry('draining'))
    await asyncio.sleep(0.8)
    assert (await pair.resume(request_id, node=0))[0] == 503
    assert (await pair.resume(request_id, node=1))[0] == 503
    assert sum(len(engine.runs) for engine in pair.engines) == 1


async def test_stream_of_unknown_origin_is_refused_beside_two_builds(pair):
    await pair.change_build(pair.engines[1], 'v2')
    assert (await pair.resume(b'unknown'))[0] == 503
    assert not any(engine.runs for engine in pair.engines)


async def test_stream_is_resumed_at_another_engine_of_its_build(pair):
    await pair.change_build(pair.engines[1], 'v2')
    request_id, began = await pair.begin_stream(node=0)
    await pair.add_engine('e3', began.build)
    pair.store.put(f'servers/{began.name}', began.entry('draining'))
    await asyncio.sleep(0.8)
    for node in (0, 1):
        status, _, body = await pair.resume(request_id, node=node)
        assert (status, body) == (200, stream(2, 3))
    assert len(pair.engines[2].runs) == 2


async def test_stream_of_killed_instance_is_resumed_at_its_build(pair):
    await pair.change_build(pair.engines[1], 'v2')
    request_id, began = await pair.begin_stream(node=0)
    other = next(each for each in pair.engines if each is not began)
    await pair.kill(pair.nodes[0])
    status = 503
    async with asyncio.timeout(6):
        # Until the engine has a steward again.
        while status == 503:
            status, _, body = await pair.resume(request_id, node=0)
            await asyncio.sleep(0.1)
    assert (status, body) == (200, stream(2, 3))
    assert not other.runs


@pytest.mark.parametrize('has_old_build', [True, False])
async def test_streams_from_before_a_kill_of_all_are_not_joined(
    pair, has_old_build, monkeypatch
):
    # All are killed before the origin is recorded, so that nothing is left
    # that tells the build; the old one may just have left.
    monkeypatch.setattr(origin_records, '_INTERVAL_SECONDS', 60)
    await pair.change_build(pair.engines[1], 'v2')
    request_id, began = await pair.begin_stream()
    await pair.kill_all()
    if not has_old_build:
        began.stop()
        pair.store.remove(f'servers/{began.name}')
        pair.engines.remove(began)
    before = sum(len(engine.runs) for engine in pair.engines)
    await pair.add_node('n0')
    await pair.add_node('n1')
    await pair.settle()
    for node in (0, 1, 0):
        status, head, _ = await pair.resume(request_id, node=node)
        assert status == 503
        assert b'retry-after' in head
    assert sum(len(engine.runs) for engine in pair.engines) == before


async def test_recorded_stream_goes_on_at_its_build_after_a_kill_of_all(pair):
    await pair.change_build(pair.engines[1], 'v2')
    request_id, began = await pair.begin_stream()
    other = next(each for each in pair.engines if each is not began)
    before = len(other.runs)
    await asyncio.sleep(1.2)
    await pair.kill_all()
    await pair.add_node('n0')
    await pair.add_node('n1')
    await pair.settle()
    for node in (0, 1):
        status, _, body = await pair.resume(request_id, node=node)
        assert (status, body) == (200, stream(2, 3))
    assert len(other.runs) == before


async def test_stream_that_began_just_before_a_kill_of_all_goes_on(pair):
    await pair.change_build(pair.engines[1], 'v2')
    await pair.begin_stream()
    async with asyncio.timeout(2):
        while not any(
            key.startswith(ORIGINS_PREFIX) for key in pair.store.items
        ):
            await asyncio.sleep(0.01)
    request_id, _ = await pair.begin_stream()
    await asyncio.sleep(0.3)
    await pair.kill_all()
    await pair.add_node('n0')
    await pair.settle()
    status, _, body = await pair.resume(request_id)
    assert (status, body) == (200, stream(2, 3))


async def test_origin_is_recorded_only_once_its_stream_has_begun(pair):
    # Another attempt, at another build, may still replace it.
    await pair.change_build(pair.engines[1], 'v2')
    node = pair.nodes[0]
    node._origins.announce(StreamOrigin('r1', 'engines', 'v1'))
    await asyncio.sleep(0.3)
    now = boot_seconds()
    assert not any(each._origins.to_record(now) for each in pair.nodes)
    begun = StreamOrigin('r1', 'engines', 'v2', 2)
    node._origins.confirm(begun)
    await asyncio.sleep(0.3)
    recorded = [each._origins.to_record(boot_seconds()) for each in pair.nodes]
    # The other instance has it once it is in the store.
    assert set(recorded) <= {(), (begun,)}
    assert (begun,) in recorded
    await asyncio.sleep(0.7)
    records = [
        msgspec.msgpack.decode(content, type=list[StreamOrigin])
        for key, (content, _, _) in pair.store.items.items()
        if key.startswith(ORIGINS_PREFIX)
    ]
    assert records == [[begun]]


async def test_record_of_an_earlier_process_is_deleted(pair):
    key = 'mintlanding/streams/n0'
    pair.store.put(key, msgspec.msgpack.encode([]))
    await pair.kill(pair.nodes[0])
    await pair.add_node('n0')
    async with asyncio.timeout(5):
        while key in pair.store.items:
            await asyncio.sleep(0.05)


async def test_origins_are_not_recorded_beside_one_build(world):
    await world.ask(BATCH)
    await asyncio.sleep(1.2)
    assert not any('/streams/' in key for key in world.store.items)


async def test_stream_is_resumed_several_times_at_its_build(pair):
    await pair.change_build(pair.engines[1], 'v2')
    request_id, began = await pair.begin_stream(node=0)
    other = next(each for each in pair.engines if each is not began)
    before = len(other.runs)
    for node in (1, 0, 1):
        began.faults.break_after = 2
        with pytest.raises(asyncio.IncompleteReadError):
            await pair.resume(request_id, node=node)
        began.faults.break_after = 0
    status, _, body = await pair.resume(request_id, node=0)
    assert (status, body) == (200, stream(2, 3))
    assert len(other.runs) == before


async def test_stream_of_unknown_origin_is_resumed_beside_one_build(world):
    node = world.nodes[0]
    assert (await world.resume(b'unknown'))[0] == 503
    # As if the instance had run for longer than any stream.
    node.view.builds.known_since = float('-inf')
    status, _, body = await world.resume(b'unknown')
    assert (status, body) == (200, stream(2, 3))


async def test_stream_of_unknown_origin_is_refused_by_an_old_view(world):
    node = world.nodes[0]
    await world.ask(BATCH)
    node.view.builds.known_since = float('-inf')
    world.store.faults.refuse = True
    await asyncio.sleep(2.5)
    assert (await world.resume(b'unknown'))[0] == 503
    assert (await world.ask(BATCH))[0] == 200


async def test_members_of_an_older_release_get_no_origins(pair, monkeypatch):
    # They close a link on which an unknown message arrives.
    old = pair.nodes[1]
    # It writes its entry again, as the one below is not its own.
    monkeypatch.setattr(membership_module, 'LINK_VERSION', 0)
    entry = msgspec.json.encode(
        MemberRecord('n1', 'z1', HOST, old._cfg.facts.peer_port, 'old'),
    )
    pair.store.put('mintlanding/member/n1', entry)
    await asyncio.sleep(0.8)
    await pair.change_build(pair.engines[1], 'v2')
    await pair.begin_stream(node=0)
    assert pair.nodes[0].view.members['n1'].link_version == 0
    assert len(pair.nodes[0]._origins._table) == 1
    assert len(old._origins._table) == 0


async def test_unframed_stream_cut_inside_an_event_is_seen_as_incomplete(world):
    # A plain close ends such a response, also when the engine crashed.
    for engine in world.engines:
        engine.faults.unframed = True
        engine.faults.break_after = 1
    with pytest.raises(asyncio.IncompleteReadError):
        await world.ask(LIVE)
    assert sum(len(engine.runs) for engine in world.engines) == 1


async def test_unframed_stream_without_events_is_seen_as_incomplete(world):
    for engine in world.engines:
        engine.faults.unframed = True
        engine.events = 0
    with pytest.raises(asyncio.IncompleteReadError):
        await world.ask(LIVE)


@pytest.mark.parametrize('path', [LIVE, BATCH])
async def test_unframed_stream_is_passed_on_in_full(world, path):
    for engine in world.engines:
        engine.faults.unframed = True
    status, _, body = await world.ask(path)
    assert (status, body) == (200, stream(1, 3))


async def test_unframed_resumable_stream_continues_at_another_engine(world):
    for engine in world.engines:
        engine.faults.unframed = True
    world.engines[0].faults.break_after = 1
    for _ in range(3):
        status, _, body = await world.ask(BATCH)
        assert (status, body) == (200, stream(1, 3))


async def test_unframed_stream_of_a_crashed_engine_is_seen_as_incomplete(world):
    # The engine closes its connections between two events and is gone.
    for engine in world.engines:
        engine.faults.unframed = True
        engine.faults.crash_after = 2
    with pytest.raises(asyncio.IncompleteReadError):
        await world.ask(LIVE)


async def test_request_is_cancelled_when_the_caller_disconnects(world):
    for engine in world.engines:
        engine.delay = 5
    _, writer = await world.connect()
    writer.write(world.raw(LIVE))
    await asyncio.sleep(0.6)
    assert sum(len(engine.runs) for engine in world.engines) == 1
    writer.close()
    await asyncio.sleep(0.3)
    assert sum(engine.left for engine in world.engines) == 1


@pytest.mark.parametrize('path', [ORDER, LOOKUP, LIVE])
async def test_request_whose_time_ran_out_in_a_pause_is_not_sent(world, path):
    assert (await world.ask(path))[0] == 200
    runs = [len(each.runs) for each in (*world.engines, *world.plain)]
    (node,) = world.nodes
    acquire = node.relay.connector.acquire

    async def acquire_and_pause(*args, **options):
        conn = await acquire(*args, **options)
        # As if the process was suspended: nothing else runs meanwhile.
        time.sleep(0.4)
        return conn

    node.relay.connector.acquire = acquire_and_pause
    status, _, _ = await world.ask(path, deadline_ms=300)
    assert status == 503
    assert runs == [len(each.runs) for each in (*world.engines, *world.plain)]


async def test_request_of_a_caller_that_left_in_a_pause_is_not_run(world):
    with socket.create_connection((HOST, world.nodes[0]._front.port)) as caller:
        await asyncio.sleep(0.1)
        # Until the next `await` the loop sees neither the bytes nor the end.
        caller.sendall(world.raw(ORDER))
    await asyncio.sleep(0.5)
    assert not any(target.runs for target in world.plain)


async def test_late_copy_of_an_answer_reaches_no_other_caller(world):
    for target in world.plain:
        target.faults.repeat_answers = True
    for number in range(6):
        body = b'%d' % number
        status, _, answer = await world.ask(LOOKUP, body=body)
        assert status != 200 or answer == b'done ' + body
    # Each target has sent the copy of an answer at least once.
    assert sum(len(target.runs) for target in world.plain) > 6


async def test_unresponsive_target_ends_in_a_timeout_of_the_route(world):
    for target in world.plain:
        target.faults.mute = True
    status, _, _ = await world.ask(ORDER)
    assert status == 504


async def test_both_instances_use_the_same_resident_adapter(pair):
    for node in (0, 1, 0, 1):
        status, _, _ = await pair.ask(LIVE, node=node)
        assert status == 200
    assert_loaded_once(pair)


async def test_request_that_arrives_slowly_is_served_if_an_engine_is_free(
    world,
):
    """Its objective had passed before its end, and it was always refused."""
    assert (await world.ask(LIVE))[0] == 200
    (route,) = (
        each
        for each in world.nodes[0].view.config.routes
        if LIVE.startswith(each.prefix.encode())
    )
    reader, writer = await world.connect(0)
    request = world.raw(LIVE, deadline_ms=9000)
    writer.write(request[:-1])
    await asyncio.sleep(route.objective)
    writer.write(request[-1:])
    async with asyncio.timeout(8):
        status, _, _ = await read_response(reader)
    writer.close()
    assert status == 200


@pytest.mark.parametrize('nodes', [(0, 0), (0, 1), (1, 1)])
async def test_requests_of_the_same_id_are_admitted_separately(
    pair, monkeypatch, nodes
):
    """Callers choose the ids, and may use one again while it is under way.

    The second request ran without an admission after its time for a reply, and
    the link to the steward was closed under the requests of all callers.
    """
    for node in (0, 1):
        assert (await pair.ask(LIVE, node=node))[0] == 200
    redialled = []
    for node in pair.nodes:
        monkeypatch.setattr(node._membership.mesh, 'redial', redialled.append)
    for engine in pair.engines:
        engine.delay = 0.6
    raw = pair.raw

    def raw_of_one_id(*args, **changes):
        pair.sent = 1000
        return raw(*args, **changes)

    monkeypatch.setattr(pair, 'raw', raw_of_one_id)
    before = count_grants(pair)
    responses = await asyncio.gather(
        *(pair.ask(LIVE, node=node) for node in nodes)
    )
    assert [status for status, _, _ in responses] == [200, 200]
    assert count_grants(pair) == before + 2
    assert not redialled


def count_grants(world):
    return sum(
        steward.counters.grants
        for node in world.nodes
        for steward in node._stewards.stewards.values()
    )


async def test_copy_of_an_order_whose_answer_was_late_loads_nothing(
    pair, monkeypatch
):
    receive = CallerConnection.data_received
    pauses = iter((0.1,))

    def pause(conn, chunk):
        receive(conn, chunk)
        if b'/v1/order' in chunk:
            # The process stands still for longer than an answer may take.
            time.sleep(next(pauses, 0))

    monkeypatch.setattr(CallerConnection, 'data_received', pause)
    for node in (0, 1):
        assert (await pair.ask(LIVE, node=node))[0] == 200
    assert sum(len(engine.orders) for engine in pair.engines) > 1
    assert_loaded_once(pair)


def assert_loaded_once(world):
    """One engine got one order, maybe in copies, and carried it out once."""
    (loaded,) = [engine for engine in world.engines if engine.orders]
    assert loaded.orders_taken == 1
    assert loaded.most_adapters == 1
    first = loaded.orders[0]
    assert first['expected'] == 0
    assert all(order == first for order in loaded.orders)


async def test_resident_adapters_are_served_without_the_store(pair):
    await pair.ask(LIVE)
    pair.store.faults.refuse = True
    await asyncio.sleep(1.5)
    assert (await pair.ask(LIVE))[0] == 200
    assert (await pair.ask(LIVE, node=1))[0] == 200


async def test_reachable_members_order_without_the_store(pair):
    pair.store.faults.refuse = True
    await asyncio.sleep(2.5)
    status, _, _ = await pair.ask(LIVE, adapter=b'/a2')
    assert status == 200


async def test_callers_are_served_while_a_killed_fleet_restarts(pair):
    await pair.kill_all()
    for name in ('n0', 'n1'):
        await pair.add_node(name)
    responses = await asyncio.gather(
        *(
            pair.ask(LIVE, node=number % 2, adapter=b'/a%d' % (number + 10))
            for number in range(6)
        ),
    )
    assert [status for status, _, _ in responses] == [200] * 6


async def test_unreachable_zone_is_left_out_once_a_connection_failed(world):
    node = world.nodes[0]
    far = replace(node.view.targets['p1'], zone='z2', address=(HOST, 1))
    node.view.targets['p1'] = far
    exchange = node._membership.status_exchange
    exchange.unreachable_zones = lambda now: frozenset(('z2',))
    targets = list(node.view.targets.values())
    assert far in node.relay._choice.without_unreachable_zones(targets)
    node._stewards.mark_unreachable('p1')
    assert far not in node.relay._choice.without_unreachable_zones(targets)
    assert node.relay._choice.without_unreachable_zones([far]) == [far]


async def test_snapshot_is_loaded_after_lost_history(world):
    world.store.faults.oldest_revision = world.store.revision + 5
    changed = {**CONFIG, 'version': 9, 'routes': CONFIG['routes'][:3]}
    world.store.put('op/config', encode(changed))
    await asyncio.sleep(1.0)
    assert (await world.ask(LOOKUP, method=b'GET', body=b''))[0] == 404


async def test_endless_body_is_neither_held_nor_complete(world):
    for target in world.plain:
        target.faults.endless = True
    reader, writer = await world.connect()
    writer.write(world.raw(ORDER))
    # The caller does not read, and the body is passed on no faster.
    await asyncio.sleep(1)
    sent = sum(each.endless_bytes for each in world.plain)
    assert sent < 40 << 20
    received = await asyncio.wait_for(reader.read(), 5)
    assert b'200' in received[:20]
    assert not received.endswith(b'\r\n0\r\n\r\n')
    writer.close()
    await asyncio.sleep(0.3)
    sent = sum(each.endless_bytes for each in world.plain)
    await asyncio.sleep(0.3)
    assert sum(each.endless_bytes for each in world.plain) == sent


async def test_event_without_end_ends_its_attempt(world):
    # Guards against: its bytes are kept until the caller's time is over.
    for engine in world.engines:
        engine.faults.endless_event = True
    asked = asyncio.ensure_future(world.ask(BATCH, deadline_ms=3000))
    await asyncio.sleep(0.2)
    status, _, _ = await world.ask(LOOKUP, method=b'GET', body=b'')
    assert status == 200
    with contextlib.suppress(asyncio.IncompleteReadError):
        await asked
    sent = sum(each.endless_bytes for each in world.engines)
    assert sent < 60 << 20


async def test_large_body_is_passed_on_whole(world):
    large = b'x' * (3 << 20)
    status, _, body = await world.ask(ORDER, body=large)
    assert status == 200
    assert body == b'done ' + large


async def test_engine_whose_report_never_ends_is_still_served(world):
    for engine in world.engines:
        engine.faults.endless_reports = True
    node = world.nodes[0]
    (target,) = [t for n, t in node.view.targets.items() if n == 'e1']
    assert await node._stewards.fetch_report(target) is None
    for engine in world.engines:
        engine.faults.endless_reports = False
    assert (await world.ask(LIVE))[0] == 200


CRASHING = b'X-Prompt-Prefix: aa01:60,bad1:30,%x:10'
SOUND = b'X-Prompt-Prefix: aa01:60,cc02:30,%x:10'


@pytest.fixture
async def crashing():
    """Two instances before engines that crash under one part of a prompt."""
    found = await World().start(instances=2)
    for number in (3, 4):
        await found.add_engine(f'e{number}', 'v1')
    for engine in found.engines:
        engine.faults.crash_part = b'bad1'
        engine.on_restart = lambda target: found.store.put(
            f'servers/{target.name}', target.entry()
        )
    yield found
    await found.stop()


async def ask_with_parts(world, parts, number):
    """Send a request with a prompt; return its status, 0 if it breaks."""
    try:
        found = await world.ask(
            LIVE,
            node=number % 2,
            extra=(parts % number,),
            adapter=b'/a%d' % (number % 4),
        )
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    return found[0]


def crash_requests(world):
    return sum(each.crash_requests for each in world.engines)


async def test_requests_with_a_part_that_crashes_engines_are_refused(crashing):
    statuses = []
    for number in range(30):
        statuses.append(await ask_with_parts(crashing, CRASHING, number))
        # Other requests with the same caller and first part.
        for _ in range(3):
            await ask_with_parts(crashing, SOUND, number)
        await crashing.settle()
    # Up to three more are allowed after five crashes.
    assert crash_requests(crashing) <= 8
    assert set(statuses[15:]) == {503}
    assert await ask_with_parts(crashing, SOUND, 40) == 200


async def test_sound_requests_are_served_at_once_beside_a_quarantine(crashing):
    # They share caller, first part and adapters with the crashing ones.
    for number in range(30):
        if await ask_with_parts(crashing, CRASHING, number) == 503:
            break
        await ask_with_parts(crashing, SOUND, number)
        await crashing.settle()
    await crashing.settle()
    # Engines have restarted without adapters; each is loaded once again.
    async with asyncio.timeout(10):
        for number in range(8):
            while await ask_with_parts(crashing, SOUND, number) != 200:
                await asyncio.sleep(0.1)
    before = sum(each.arrivals for each in crashing.engines)
    statuses = []
    for number in range(20):
        statuses.append(await ask_with_parts(crashing, SOUND, number))
        assert await ask_with_parts(crashing, CRASHING, number) == 503
    assert statuses == [200] * 20
    # One arrival for each: nothing was sent twice or refused by an engine.
    assert sum(each.arrivals for each in crashing.engines) == before + 20


async def test_quarantine_outlasts_a_kill_of_all_instances(crashing):
    for number in range(30):
        if await ask_with_parts(crashing, CRASHING, number) == 503:
            break
        await ask_with_parts(crashing, SOUND, number)
        await crashing.settle()
    await asyncio.sleep(0.6)
    before = crash_requests(crashing)
    await crashing.kill_all()
    for number in range(2):
        await crashing.add_node(f'n{number}')
    await crashing.settle()
    for number in range(6):
        assert await ask_with_parts(crashing, CRASHING, number) == 503
    assert crash_requests(crashing) == before
    assert await ask_with_parts(crashing, SOUND, 40) == 200


async def test_invalid_entries_add_no_target(world):
    world.store.put('servers/torn', b'{"service":')
    world.store.put('servers/strange', encode({'service': 'engines'}))
    await asyncio.sleep(0.6)
    assert (await world.ask(LIVE))[0] == 200
    assert 'torn' not in world.nodes[0].view.targets


async def test_leaving_target_gets_no_requests(world):
    leaving = world.plain[0]
    world.store.put('servers/p1', leaving.entry('draining'))
    await asyncio.sleep(0.8)
    for _ in range(4):
        await world.ask(ORDER)
    assert not leaving.runs


async def test_target_that_left_during_a_partition_gets_no_requests(pair):
    # Only n0 loses the store, and n1 sends it no changes.
    pair.nodes[1]._store_watcher.forward = lambda update: None
    with pair.cut_off_from_store(pair.nodes[0]):
        await asyncio.sleep(3)
        pair.store.remove('servers/p1')
        await asyncio.sleep(1)
    pair.store.faults.oldest_revision = pair.store.revision
    async with asyncio.timeout(3):
        while not pair.nodes[0]._store_watcher.is_store_reachable:
            await asyncio.sleep(0.01)
    # Statuses take a quarter of a second.
    await asyncio.sleep(0.3)
    arrivals = pair.plain[0].arrivals
    for _ in range(6):
        await pair.ask(ORDER)
    assert pair.plain[0].arrivals == arrivals


async def test_instance_without_the_store_hears_that_a_target_leaves(pair):
    # Its entry has lapsed by then, its links to the others are sound.
    leaving = pair.plain[0]
    with pair.cut_off_from_store(pair.nodes[0]):
        await asyncio.sleep(4)
        pair.store.put('servers/p1', leaving.entry('draining'))
        await asyncio.sleep(1.5)
        arrivals = leaving.arrivals
        for _ in range(6):
            assert (await pair.ask(ORDER))[0] == 200
        assert leaving.arrivals == arrivals


async def test_instance_without_the_store_follows_the_configuration(pair):
    # Its entry has lapsed by then, its links to the others are sound.
    changed = {**CONFIG, 'version': 9, 'routes': CONFIG['routes'][:3]}
    with pair.cut_off_from_store(pair.nodes[0]):
        await asyncio.sleep(4)
        pair.store.put('op/config', encode(changed))
        await asyncio.sleep(1.5)
        assert (await pair.ask(LOOKUP, method=b'GET', body=b''))[0] == 404


@pytest.mark.parametrize(
    ('path', 'targets'), [(LIVE, 'engines'), (LOOKUP, 'plain')]
)
async def test_target_that_leaves_while_a_request_waits_does_not_get_it(
    world, path, targets
):
    # A queue, a slow connection or a steward without the store takes time.
    node = world.nodes[0]
    left = []
    acquire = node.relay.connector.pool.acquire

    async def leave_and_acquire(address, **options):
        conn = await acquire(address, **options)
        if not left:
            (target,) = [
                each
                for each in node.view.targets.values()
                if each.address == address
            ]
            leaving = replace(target, is_leaving=True)
            node.view.targets[target.target] = leaving
            left.append(target.target)
        return conn

    node.relay.connector.pool.acquire = leave_and_acquire
    assert (await world.ask(path))[0] == 200
    ran = [each.name for each in getattr(world, targets) if each.arrivals]
    assert left and not set(ran) & set(left)


async def test_targets_that_lapse_in_a_store_outage_are_kept(pair):
    with pair.cut_off_from_store(*pair.nodes):
        for target in pair.plain:
            pair.store.remove(f'servers/{target.name}')
        await asyncio.sleep(3)
    async with asyncio.timeout(3):
        while not pair.nodes[0]._store_watcher.is_store_reachable:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)
    assert (await pair.ask(ORDER))[0] == 200


async def test_planned_stop_finishes_requests_and_frees_workers(pair):
    for target in pair.plain:
        target.delay = 0.5
    asking = asyncio.ensure_future(pair.ask(ORDER))
    await asyncio.sleep(0.1)
    node = pair.nodes.pop(0)
    await node.application.stop()
    assert (await asking)[0] == 200
    await asyncio.sleep(0.8)
    async with asyncio.timeout(6):
        while pair.workers_with_stewards() != {'e1', 'e2'}:
            await asyncio.sleep(0.1)


async def test_stream_that_a_planned_stop_would_cut_is_refused(
    pair, monkeypatch
):
    # The connection was open before; the next stream on it would not end.
    monkeypatch.setattr(application, '_ACCEPT_SECONDS', 0.5)
    for engine in pair.engines:
        engine.events = 300
    node = pair.nodes[0]
    reader, writer = await pair.connect()
    writer.write(pair.raw(LIVE))
    head = await reader.readuntil(b'\r\n\r\n')
    stopping = asyncio.ensure_future(node.application.stop())
    assert b'connection: close' not in head.lower()
    await reader.readuntil(b'\r\n0\r\n\r\n')
    writer.write(pair.raw(LIVE))
    status, head, _ = await read_response(reader)
    assert status == 503
    assert b'connection: close' in head
    assert b'retry-after' in head
    writer.close()
    await stopping
    pair.nodes.remove(node)


async def test_restarted_instance_keeps_its_workers(pair):
    # In a rolling restart, no other instance should claim its workers, since
    # a new holder has to wait before its first order.
    before = dict(pair.nodes[0].view.ownership)
    node = pair.nodes.pop(0)
    name = node._cfg.facts.instance
    stopping = asyncio.ensure_future(node.application.stop())
    await asyncio.sleep(0.5)
    assert all(
        steward.may_order for steward in node._stewards.stewards.values()
    )
    await stopping
    await pair.add_node(name)
    async with asyncio.timeout(2):
        while pair.workers_with_stewards() != {'e1', 'e2'}:
            await asyncio.sleep(0.05)
    after = pair.nodes[0].view.ownership
    assert {worker: record.holder for worker, record in after.items()} == {
        worker: record.holder for worker, record in before.items()
    }
