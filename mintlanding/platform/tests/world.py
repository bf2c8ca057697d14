"""A store, targets and instances in one process."""

import asyncio
import contextlib
from dataclasses import replace

import pytest

from mintlanding.capacity.options import CapacityOptions
from mintlanding.core.tests.ports import free_port
from mintlanding.node.application import NodeApplication
from mintlanding.node.settings import Bounds, InstanceFacts, NodeSettings
from mintlanding.platform import records, requests
from mintlanding.platform.store import PlatformStore
from mintlanding.platform.tests.samples import CONFIG, encode
from mintlanding.platform.tests.standins import StoreStandin, TargetStandin

HOST = '127.0.0.1'
LIVE = b'/lohu930/x'
BATCH = b'/pufi791/x'
ORDER = b'/puxa403/x'
LOOKUP = b'/cufi504/x'


async def no_deregistration():
    """Leave the entry in the store, as a killed process does."""


class World:
    """A store, two engines, two plain targets and some instances."""

    def __init__(self, capacity=CapacityOptions()):
        self.capacity = capacity
        self.nodes = []
        self.store = StoreStandin()
        self.engines = [TargetStandin(f'e{number}') for number in (1, 2)]
        self.plain = [
            TargetStandin(f'p{number}', service='orders', model='')
            for number in (1, 2)
        ]
        self.sent = 0

    @property
    def targets(self):
        return (*self.engines, *self.plain)

    async def start(self, instances=1):
        await self.store.start()
        for target in (*self.engines, *self.plain):
            await target.start()
            self.store.put(f'servers/{target.name}', target.entry())
        self.store.put('op/config', encode(CONFIG))
        for number in range(instances):
            await self.add_node(f'n{number}')
        await self.settle()
        return self

    async def add_node(self, name):
        # The members must know the port of the links before it is bound.
        peer_port = free_port()
        facts = InstanceFacts(
            instance=name,
            zone='z1',
            host=HOST,
            front=(HOST, 0),
            ready=(HOST, 0),
            peer_port=peer_port,
            metrics_port=0,
            path_port=free_port(),
        )
        cfg = NodeSettings(
            facts,
            bounds=replace(Bounds(), grace=4),
            capacity=self.capacity,
        )
        node = NodeApplication.from_config(
            cfg,
            PlatformStore.from_config(self.store.address),
            records,
            requests,
        )
        await node.application.start()
        self.nodes.append(node)
        return node

    async def settle(self):
        """Wait until all instances know the steward of every engine."""
        wanted = {engine.name for engine in self.engines}
        async with asyncio.timeout(20):
            while (
                wanted - self.workers_with_stewards()
                or not self.all_stewards_known()
            ):
                await asyncio.sleep(0.05)

    def all_stewards_known(self):
        return all(
            view.can_order and view.is_reachable
            for node in self.nodes
            for view in node._admissions.views(
                list(node.view.engines().values()),
            ).values()
        )

    def workers_with_stewards(self):
        return {
            worker
            for node in self.nodes
            for worker, steward in node._stewards.stewards.items()
            if steward.may_order and steward.is_known
        }

    async def kill_all(self):
        """End all instances without deregistering them."""
        while self.nodes:
            await self.kill(self.nodes[0])

    async def kill(self, node):
        """End an instance without deregistering it."""
        for task in tuple(node.application._tasks):
            task.cancel()
        node._membership.deregister = no_deregistration
        await node.stop()
        self.nodes.remove(node)

    async def add_engine(self, name, build, zone='z1'):
        """Register another engine and wait for its steward."""
        engine = TargetStandin(name, build=build)
        engine.zone = zone
        self.engines.append(await engine.start())
        self.store.put(f'servers/{name}', engine.entry())
        await self.settle()
        return engine

    async def change_build(self, engine, build):
        """Register an engine with another software version."""
        engine.build = build
        self.store.put(f'servers/{engine.name}', engine.entry())
        await asyncio.sleep(0.8)

    @contextlib.contextmanager
    def cut_off_from_store(self, *nodes):
        """Let the calls of some instances to the store fail."""
        stores = [node._store for node in nodes]
        addresses = [each._address for each in stores]
        for each in stores:
            each.close()
            each._address = (HOST, 1)
        yield
        for store, address in zip(stores, addresses, strict=True):
            store._address = address

    def cut_links(self, *groups):
        """Drop all messages between groups of instances."""
        for group in groups:
            near = {each._membership.instance for each in group}
            for node in group:
                _drop_messages(node._membership.mesh, near)

    async def begin_stream(self, node=0):
        """Break a stream after its first event; return its id and engine."""
        before = {each.name: len(each.runs) for each in self.engines}
        for engine in self.engines:
            engine.faults.break_after = 1
        with pytest.raises(asyncio.IncompleteReadError):
            await self.ask(BATCH, node=node)
        for engine in self.engines:
            engine.faults.break_after = 0
        (began,) = [
            each for each in self.engines if len(each.runs) > before[each.name]
        ]
        return b'r%d' % self.sent, began

    async def resume(self, request_id, node=0):
        """Resume a stream after its first event, as its caller does."""
        extra = (b'Last-Event-Id: 1', b'Resumes: ' + request_id)
        return await self.ask(BATCH, node=node, extra=extra)

    async def stop(self):
        for node in self.nodes:
            for task in tuple(node.application._tasks):
                task.cancel()
            await node.stop()
        for target in (*self.engines, *self.plain):
            target.stop()
        self.store.stop()

    async def connect(self, node=0):
        port = self.nodes[node]._front.port
        return await asyncio.open_connection(HOST, port)

    def raw(
        self,
        path,
        method=b'POST',
        key=b'key-1',
        body=b'hello',
        adapter=b'/a1',
        deadline_ms=3000,
        tokens=10,
        extra=(),
    ):
        self.sent += 1
        lines = [
            b'%b %b HTTP/1.1' % (method, path),
            b'Host: ficu95.example',
            b'X-Request-Id: r%d' % self.sent,
            b'X-Model: daka%b' % adapter,
            b'X-Token-Counts: 100,%d' % tokens,
            b'X-Deadline-Ms: %d' % deadline_ms,
            b'Authorization: Token %b' % key,
            b'Content-Length: %d' % len(body),
            *extra,
        ]
        return b'\r\n'.join((*lines, b'', body))

    async def ask(self, path, node=0, **changes):
        """Send a request and read the whole response."""
        reader, writer = await self.connect(node)
        writer.write(self.raw(path, **changes))
        async with asyncio.timeout(8):
            response = await read_response(reader)
        writer.close()
        return response


def _drop_messages(mesh, kept):
    """Send messages to the kept members only."""
    send = mesh.send

    def send_near(member, message):
        # A message to a member that is cut off is lost without notice.
        return send(member, message) if member in kept else True

    def broadcast_near(message):
        for member in kept:
            send(member, message)

    mesh.send = send_near
    mesh.broadcast = broadcast_near


async def read_response(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).lower()
    status = int(head.split()[1])
    if b'transfer-encoding: chunked' in head:
        parts = []
        while size := int(await reader.readuntil(b'\n'), 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return status, head, b''.join(parts)
    length = int(head.partition(b'content-length: ')[2].split(b'\r\n')[0])
    return status, head, await reader.readexactly(length)
