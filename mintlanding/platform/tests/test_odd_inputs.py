"""Odd inputs at all borders of running instances."""

import asyncio
import struct
from dataclasses import dataclass, field

import eliot
import msgspec
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from mintlanding.admin.endpoint import decode_body
from mintlanding.core.borders import BORDERS
from mintlanding.http1.server import head_bytes
from mintlanding.links.mesh import Identity
from mintlanding.paths.frames import frame
from mintlanding.paths.messages import PathReply
from mintlanding.platform import records
from mintlanding.platform.tests import odd_inputs
from mintlanding.platform.tests.samples import CONFIG, encode
from mintlanding.platform.tests.standins import StoreStandin, TargetStandin
from mintlanding.platform.tests.world import (
    BATCH,
    HOST,
    LIVE,
    LOOKUP,
    ORDER,
    World,
)

# Borders that no running instance of the platform has.
ELSEWHERE = {'settings', 'administration', 'path-reply', 'path-frame'}
INPUTS_AT_ONCE = 12
LENGTH = struct.Struct('>I')
RECORD_KEYS = {
    'target': 'servers/odd',
    'version': 'op/version/daka.a1',
    'member': 'mintlanding/member/odd',
    'ownership': 'mintlanding/hold/odd',
    'quarantined-part': 'mintlanding/quarantine/odd',
    'quarantined-request': 'mintlanding/request-quarantine/odd',
    'origins': 'mintlanding/streams/odd',
}


class OddStore(StoreStandin):
    """A store that answers some calls with given bodies."""

    def __init__(self):
        super().__init__()
        self.odd = []

    async def handle(self, req):
        if self.odd:
            req.respond(200, [], self.odd.pop())
            return
        await super().handle(req)


@dataclass
class OddTarget(TargetStandin):
    """A target that answers some requests with given bytes."""

    odd: list = field(default_factory=list)
    odd_reports: list = field(default_factory=list)

    async def handle(self, req):
        if req.target == b'/v1/report' and self.odd_reports:
            req.respond(200, [], self.odd_reports.pop())
        elif self.odd and not req.target.startswith(b'/v1/'):
            req.conn.write(self.odd.pop())
            req.is_answered = True
            req.conn.close()
        else:
            await super().handle(req)


class OddWorld(World):
    """A world whose store, targets, members and callers send odd bytes."""

    def __init__(self):
        super().__init__()
        self.store = OddStore()
        self.engines = [OddTarget(f'e{number}') for number in (1, 2)]
        self.plain = [
            OddTarget(f'p{number}', service='orders', model='')
            for number in (1, 2)
        ]
        self.version = CONFIG['version']
        self.additions = 0
        self.unforeseen = []
        # Ports are reused by the kernel, and entries must not meet them.
        self.feeders = {
            'configuration': self.feed_configuration,
            'store': self.feed_store,
            'report': self.feed_report,
            'message': self.feed_message,
            'path-request': self.feed_path_request,
            'caller-fields': self.feed_caller_fields,
            'response-fields': self.feed_response_fields,
            'events': self.feed_events,
            **dict.fromkeys(RECORD_KEYS, self.feed_record),
        }

    async def start(self, instances=2):
        eliot.add_destinations(self.note_log)
        return await super().start(instances)

    async def stop(self):
        eliot.remove_destination(self.note_log)
        await super().stop()

    def note_log(self, message):
        if 'exception' in message:
            self.unforeseen.append(dict(message))

    async def feed(self, name, content):
        await self.feeders[name](name, content)

    async def feed_record(self, name, content):
        self.store.put(RECORD_KEYS[name], content)

    async def feed_configuration(self, name, content):
        """Write a configuration; the operator's versions only grow."""
        try:
            cfg = records.decode_config(content)
        except records.RecordInvalid:
            self.store.put('op/config', content)
            return
        if self.version < cfg.version < 2**50:
            self.version = cfg.version
            self.store.put('op/config', content)

    async def feed_store(self, name, content):
        self.store.odd.append(content)

    async def feed_report(self, name, content):
        self.engines[0].odd_reports.append(content)

    async def feed_message(self, name, content):
        facts = self.nodes[0]._cfg.facts
        reader, writer = await asyncio.open_connection(HOST, facts.peer_port)
        key = self.nodes[0].view.fleet_key
        hello = Identity('odd', 'a1b2', key).hello()
        for payload in (msgspec.msgpack.encode(hello), content):
            writer.write(LENGTH.pack(len(payload)) + payload)
        await asyncio.sleep(0.02)
        writer.close()

    async def feed_path_request(self, name, content):
        facts = self.nodes[0]._cfg.facts
        reader, writer = await asyncio.open_connection(HOST, facts.path_port)
        writer.write(frame(content))
        try:
            async with asyncio.timeout(3):
                head = await reader.readexactly(LENGTH.size)
                size = LENGTH.unpack(head)[0]
                raw = await reader.readexactly(size)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()
        assert msgspec.msgpack.decode(raw, type=PathReply).reason

    async def feed_caller_fields(self, name, content):
        for path in (ORDER, LIVE):
            reader, writer = await self.connect()
            lines = content.replace(b'\n', b'\r\n')
            writer.write(
                b'POST %b HTTP/1.1\r\n%b\r\nContent-Length: 2\r\n\r\nab'
                % (path, lines)
            )
            await self.read_status(reader)
            writer.close()

    async def feed_response_fields(self, name, content):
        lines = content.replace(b'\n', b'\r\n')
        head = b'HTTP/1.1 %b\r\n' + lines + b'\r\nContent-Length: 2\r\n\r\nab'
        for status in (b'200 OK', b'421 No', b'503 No'):
            self.plain[0].odd.append(head % status)
        await self.ask_all(ORDER, LOOKUP)

    async def feed_events(self, name, content):
        head = head_bytes(
            200,
            [
                (b'content-type', b'text/event-stream'),
                (b'x-response-stamp', b's1'),
                (b'content-length', b'%d' % len(content)),
            ],
        )
        self.engines[0].odd.append(head + content)
        self.engines[1].odd.append(head + content)
        await self.ask_all(LIVE, BATCH)

    async def ask_all(self, *paths):
        for path in paths:
            reader, writer = await self.connect()
            writer.write(self.raw(path))
            await self.read_status(reader)
            writer.close()

    async def read_status(self, reader):
        async with asyncio.timeout(8):
            line = await reader.readline()
        assert line.startswith(b'HTTP/1.1 '), line

    async def recover(self):
        """Let other writers do nothing odd any more."""
        self.store.odd.clear()
        for target in self.targets:
            target.odd.clear()
            target.odd_reports.clear()
        for key in RECORD_KEYS.values():
            self.store.remove(key)

    async def check(self):
        """Assert that all instances follow the store and serve."""
        await self.recover()
        self.version += 1
        self.additions += 1
        added = await self.add_target(f'added-{self.additions}')
        self.store.put('op/config', encode({**CONFIG, 'version': self.version}))
        try:
            async with asyncio.timeout(6):
                while not all(
                    self.follows(node, added.name) for node in self.nodes
                ):
                    await asyncio.sleep(0.02)
        except TimeoutError as exc:
            exc.add_note(f'store at {self.store.revision}')
            for node in self.nodes:
                exc.add_note(
                    f'{node.view.config.version} of {self.version}, '
                    f'as of {node.view.as_of}, '
                    f'failing: {node.application._failing}'
                )
            raise
        for number, node in enumerate(self.nodes):
            assert node.application.is_sound
            for path in (ORDER, LOOKUP, LIVE):
                status, _, _ = await self.ask(path, node=number)
                assert status == 200, (number, path)
        async with asyncio.timeout(6):
            while not added.runs:
                await self.ask(LOOKUP)
        assert not self.unforeseen

    async def add_target(self, name):
        """Replace the target that was added last."""
        if len(self.plain) > 2:
            former = self.plain.pop()
            self.store.remove(f'servers/{former.name}')
            former.stop()
        added = OddTarget(name, service='orders', model='')
        self.plain.append(await added.start())
        self.store.put(f'servers/{name}', added.entry())
        return added

    def follows(self, node, added):
        is_new = node.view.config.version == self.version
        return is_new and added in node.view.targets


def test_every_border_is_fed():
    assert BORDERS['administration'].decode is decode_body
    assert OddWorld().feeders.keys() | ELSEWHERE == BORDERS.keys()


@st.composite
def batches(draw):
    """Return the names of borders, each with an odd content."""
    names = st.sampled_from(sorted(BORDERS.keys() - ELSEWHERE))
    return [
        (name, draw(odd_inputs.inputs(name)))
        for name in draw(
            st.lists(names, min_size=INPUTS_AT_ONCE, max_size=INPUTS_AT_ONCE)
        )
    ]


def test_instances_follow_and_serve_after_odd_inputs():
    with asyncio.Runner() as runner:
        worlds = [runner.run(OddWorld().start())]

        # Each example takes a second: a smaller one is not looked for.
        @settings(
            max_examples=settings.default.max_examples // 5,
            phases=(Phase.explicit, Phase.generate),
        )
        @given(batches())
        def run(batch):
            try:
                runner.run(feed_all(worlds[-1], batch))
            except BaseException as exc:
                for name, content in batch:
                    exc.add_note(f'{name}: {content[:1000]!r}')
                runner.run(worlds.pop().stop())
                worlds.append(runner.run(OddWorld().start()))
                raise

        async def feed_all(world, batch):
            for name, content in batch:
                await world.feed(name, content)
            await world.check()

        try:
            run()
        finally:
            runner.run(worlds.pop().stop())
