"""Answers without a length that come before the request was read."""

import asyncio

import pytest

from mintlanding.core.exceptions import ResponseLost, ResponseTimeout
from mintlanding.http1.client import ConnectionPool
from mintlanding.http1.models import ClientOptions
from mintlanding.http1.tests.early_server import BREAKING, ENDING, EarlyServer

HEAD = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
PARTS = [16, 960 << 10]
# More than the kernels of both ends take at once.
LONG = 16 << 20


async def exchange(server, size, seconds=5):
    pool = ConnectionPool(ClientOptions())
    conn = await pool.acquire(server.address)
    try:
        conn.send(HEAD % size + b'u' * size)
        await conn.read_head(seconds)
        return await conn.read_body(seconds)
    finally:
        pool.release(conn)
        assert not conn.is_open


@pytest.mark.parametrize('ending', BREAKING)
@pytest.mark.parametrize('part', PARTS)
@pytest.mark.parametrize('size', [3 << 20, LONG])
async def test_answer_that_is_reset_amid_the_request_is_lost(
    ending, part, size
):
    """Guards against a reset that is hidden by the end before it."""
    async with EarlyServer(b'x' * part, ending) as server:
        async with asyncio.timeout(8):
            with pytest.raises(ResponseLost):
                await exchange(server, size)


@pytest.mark.parametrize('ending', ENDING)
@pytest.mark.parametrize('part', PARTS)
@pytest.mark.parametrize('size', [0, 800, LONG])
async def test_answer_whose_server_reads_the_request_to_its_end_is_whole(
    ending, part, size
):
    async with EarlyServer(b'x' * part, ending) as server:
        assert await exchange(server, size) == b'x' * part


async def test_end_of_an_answer_is_waited_for_as_long_as_a_part_of_it():
    async with EarlyServer(b'ok', 'end, stay') as server:
        async with asyncio.timeout(8):
            with pytest.raises(ResponseTimeout):
                await exchange(server, LONG, seconds=1)
