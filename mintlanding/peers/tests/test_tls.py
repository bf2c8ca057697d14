"""Mutual TLS: both sides need a certificate of the members' authority."""

from pathlib import Path

import pytest

from mintlanding.core.exceptions import ConfigurationError, PeerUnavailable
from mintlanding.core.tests.ports import free_port
from mintlanding.peers.client import PeerClient
from mintlanding.peers.server import PeerServer
from mintlanding.peers.tests.test_calls import (
    ECHO,
    Reply,
    Request,
    keyring,
)
from mintlanding.peers.tls import TlsFiles

FOLDER = Path(__file__).with_name('certificates')


def files(who, authority='members-authority'):
    return TlsFiles(
        str(FOLDER / f'{who}.pem'),
        str(FOLDER / f'{who}.key'),
        str(FOLDER / f'{authority}.pem'),
    )


async def echo(req, sender):
    return Reply(req.word, sender)


@pytest.fixture
async def address():
    server = PeerServer(
        keyring('server', 'one'), tls=files('member').for_server()
    )
    server.add(ECHO, echo)
    port = free_port()
    await server.start('127.0.0.1', port)
    yield f'127.0.0.1:{port}'
    await server.stop(grace=0)


async def call(address, tls):
    client = PeerClient(keyring('client', 'one'), tls=tls)
    try:
        return await client.call(address, ECHO, Request('hello'), 2)
    finally:
        client.close()


async def test_call_with_a_trusted_certificate_succeeds(address):
    answer = await call(address, files('member').for_client())
    assert answer == Reply('hello', 'client')


@pytest.mark.parametrize(
    'tls',
    [
        None,
        files('stranger').for_client(),
        files('member', 'strangers-authority').for_client(),
    ],
    ids=['no TLS', 'certificate of a stranger', 'authority of strangers'],
)
async def test_caller_without_a_trusted_certificate_is_rejected(address, tls):
    with pytest.raises(PeerUnavailable):
        await call(address, tls)


@pytest.mark.parametrize('name', ['certificate', 'key', 'authority'])
def test_missing_file_is_named(name):
    good = files('member')
    fields = {
        each: getattr(good, each)
        for each in ('certificate', 'key', 'authority')
    }
    broken = TlsFiles(**{**fields, name: '/missing.pem'})
    with pytest.raises(ConfigurationError, match='missing'):
        broken.for_server()
