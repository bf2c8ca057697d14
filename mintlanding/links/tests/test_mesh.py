"""Links: authentication, invalid messages and lost connections."""

import asyncio
import math

import msgspec
import pytest

from mintlanding.links.mesh import Identity, LinkOptions, Mesh
from mintlanding.links.messages import Consent, Hello, Status
from mintlanding.quarantine.messages import EngineCrash, SuspectPart
from mintlanding.residency.messages import WorkerDigest
from mintlanding.target_limits.messages import LimitReport

OPTIONS = LinkOptions(redial_pause=0.02)


class Member:
    """A mesh that records what it receives."""

    def __init__(self, name, key=b'k'):
        self.name = name
        self.received = []
        self.mesh = Mesh.from_config(
            Identity(name, 'boot', key),
            self.receive,
            OPTIONS,
        )

    def receive(self, peer, message, reply):
        self.received.append((peer, message))

    async def start(self):
        await self.mesh.start('127.0.0.1', 0)
        port = self.mesh._listener.sockets[0].getsockname()[1]
        self.address = ('127.0.0.1', port)
        return self


@pytest.fixture
async def members():
    found = [await Member(name).start() for name in ('a', 'b')]
    yield found
    for each in found:
        each.mesh.stop()


async def until(condition):
    async with asyncio.timeout(2):
        while not condition():
            await asyncio.sleep(0.01)


def status(name):
    return Status(name, 'boot', 1.0)


async def test_members_exchange_messages(members):
    a, b = members
    a.mesh.set_members({'b': b.address})
    await until(lambda: a.mesh.send('b', status('a')))
    await until(lambda: b.received)
    assert b.received[0] == ('a', status('a'))


async def test_accepted_link_can_be_used_for_sending(members):
    # A starting process knows the others before they know it.
    a, b = members
    a.mesh.set_members({'b': b.address})
    await until(lambda: b.mesh.send('a', status('b')))
    await until(lambda: a.received)
    assert a.received[0] == ('b', status('b'))
    b.mesh.set_members({'a': a.address})
    assert b.mesh.send('a', status('b'))
    await until(lambda: len(a.received) == 2)


async def test_accepted_link_is_used_when_the_dialled_one_is_lost(members):
    a, b = members
    a.mesh.set_members({'b': b.address})
    b.mesh.set_members({'a': a.address})
    await until(lambda: len(a.mesh._links.get('b', ())) == 2)
    a.mesh._links['b'][-1].abort()
    await until(lambda: len(a.mesh._links['b']) == 1)
    assert a.mesh.send('b', status('a'))


async def test_link_to_an_earlier_incarnation_is_closed(members):
    # A machine that lost power does not close its connections.
    a, b = members
    a.mesh.set_members({'b': b.address})
    await until(lambda: b.mesh._links.get('a'))
    former = b.mesh._links['a'][0]
    again = await Member('a').start()
    again.mesh.set_members({'b': b.address})
    await until(former.is_lost.is_set)
    await until(lambda: b.mesh.send('a', status('b')))
    await until(lambda: again.received)
    again.mesh.stop()


async def test_lost_link_is_dialled_again(members):
    a, b = members
    a.mesh.set_members({'b': b.address})
    await until(lambda: a.mesh.send('b', status('a')))
    a.mesh.redial('b')
    await until(lambda: not a.mesh.send('b', status('a')))
    await until(lambda: a.mesh.send('b', status('a')))


async def test_removed_member_receives_nothing(members):
    a, b = members
    a.mesh.set_members({'b': b.address})
    await until(lambda: a.mesh.send('b', status('a')))
    a.mesh.set_members({})
    assert not a.mesh.send('b', status('a'))


async def test_peer_without_the_fleet_key_is_rejected(members):
    _, b = members
    unauthenticated = await Member('x', key=b'other').start()
    unauthenticated.mesh.set_members({'b': b.address})
    for _ in range(20):
        unauthenticated.mesh.send('b', status('x'))
        await asyncio.sleep(0.01)
    unauthenticated.mesh.stop()
    assert not b.received


@pytest.mark.parametrize(
    'raw',
    [b'\xff\xff\xff\xff', b'\x00\x00\x00\x03abc', b'GET / HTTP/1.1\r\n\r\n'],
)
async def test_invalid_bytes_close_the_link(members, raw):
    _, b = members
    reader, writer = await asyncio.open_connection(*b.address)
    writer.write(raw)
    assert await reader.read() == b''
    writer.close()
    assert not b.received


async def test_message_whose_handler_raises_does_not_cost_the_link(members):
    a, b = members
    receive = b.mesh._receiver

    def fail_once(peer, message, reply):
        b.mesh._receiver = receive
        raise LookupError('unforeseen')

    b.mesh._receiver = fail_once
    a.mesh.set_members({'b': b.address})
    await until(lambda: a.mesh.send('b', status('a')))
    await until(lambda: b.mesh._receiver is receive)
    assert a.mesh.send('b', status('a'))
    await until(lambda: b.received)


async def test_deeply_nested_message_costs_only_its_link(members):
    a, b = members
    a.mesh.set_members({'b': b.address})
    await until(lambda: a.mesh.send('b', status('a')))
    await until(lambda: b.received)
    nested = b'\x9f\xa5Hello\xa1a\xa1b\xa1c' + b'\x91' * 100_000
    link = a.mesh._links['b'][-1]
    link.send(nested)
    await link.is_lost.wait()
    await until(lambda: a.mesh.send('b', status('a')))
    await until(lambda: len(b.received) >= 2)


@pytest.mark.parametrize(
    'message',
    [
        Status('a', 'boot', 1.0, levels={'t': 2**70}),
        Status('a\ud800', 'boot', 1.0),
        Status('a', 'boot', 1.0, levels={'t': object()}),
    ],
    ids=['number', 'text', 'type'],
)
async def test_message_without_encoding_costs_only_itself(members, message):
    a, b = members
    a.mesh.set_members({'b': b.address})
    await until(lambda: a.mesh.send('b', status('a')))
    assert not a.mesh.send('b', message)
    assert not a.mesh.broadcast(message)
    assert a.mesh.broadcast(status('a'))
    await until(lambda: len(b.received) == 2)


async def test_reply_without_encoding_costs_only_itself(members):
    a, b = members
    replies = []

    def receive(peer, message, reply):
        replies.append(reply(Status('b', 'boot', 1.0, levels={'t': 2**70})))
        replies.append(reply(status('b')))

    b.mesh._receiver = receive
    a.mesh.set_members({'b': b.address})
    await until(lambda: a.mesh.send('b', status('a')))
    await until(lambda: a.received)
    assert replies == [False, True]


async def test_link_whose_greeting_raises_is_dialled_again(members):
    a, b = members

    def fail(member):
        raise LookupError('unforeseen')

    a.mesh.on_link_up = fail
    b.mesh.on_link_up = fail
    a.mesh.set_members({'b': b.address})
    await until(lambda: a.mesh.send('b', status('a')))
    a.mesh.redial('b')
    await until(lambda: not a.mesh.send('b', status('a')))
    await until(lambda: a.mesh.send('b', status('a')))
    await until(lambda: len(b.received) >= 2)


@pytest.mark.parametrize(
    'changes',
    [
        {'sent_at': math.nan},
        {'sent_at': math.inf},
        {'admitted': {'hule930': math.nan}},
        {'levels': {'hule930': math.inf}},
        {'store_contact': math.nan},
        {'limits': (LimitReport('i-7f', 1, math.nan),)},
        {'limits': (LimitReport('i-7f', 1, 3.5, -math.inf),)},
        {'limits': (LimitReport('i-7f', 2**63, 3.5),)},
        {'digests': (WorkerDigest('i-7f', 1, True, wait=math.nan),)},
        {'digests': (WorkerDigest('i-7f', -1, True),)},
        {'leaving': (('i-7f', -1),)},
        {'suspects': (SuspectPart('5c1e', crashes=(EngineCrash('e', -9),)),)},
    ],
    ids=str,
)
async def test_message_out_of_bounds_costs_only_itself(members, changes):
    a, b = members
    a.mesh.set_members({'b': b.address})
    await until(lambda: a.mesh.send('b', status('a')))
    await until(lambda: b.received)
    link = a.mesh._links['b'][-1]
    b.received.clear()
    a.mesh.send('b', msgspec.structs.replace(status('a'), **changes))
    a.mesh.send('b', Consent(7))
    await until(lambda: b.received)
    assert [type(each) for _, each in b.received] == [Consent]
    assert not link.is_lost.is_set()


async def test_hello_with_an_odd_proof_is_rejected(members):
    _, b = members
    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    hello = msgspec.msgpack.encode(Hello('x', '1', '\u3042'))
    reader, writer = await asyncio.open_connection(*b.address)
    writer.write(len(hello).to_bytes(4, 'big') + hello)
    assert await reader.read() == b''
    writer.close()
    assert not errors


async def test_message_beyond_the_frame_limit_costs_no_link(members):
    a, b = members
    a.mesh.set_members({'b': b.address})
    await until(lambda: a.mesh.send('b', status('a')))
    await until(lambda: b.received)
    large = Status('a', 'boot', 1.0, levels={'w' * (1 << 20): 1.0})
    links = tuple(a.mesh._links['b'])
    assert not a.mesh.send('b', large)
    assert not a.mesh.broadcast(large)
    assert a.mesh.send('b', status('a'))
    await until(lambda: len(b.received) == 2)
    assert tuple(a.mesh._links['b']) == links
