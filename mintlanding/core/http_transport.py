"""Connections that are used once, by IP number, with what aiosonic lacks."""

import asyncio
import ipaddress
import socket
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.pools import WsPool
from aiosonic.resolver import AbstractResolver
from httptools import HttpParserError, HttpResponseParser

_CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'


@dataclass(slots=True)
class Attempt:
    """A call on its way: how long it may connect, whether it was sent."""

    connect: float
    is_sent: bool = False


current_attempt: ContextVar[Attempt] = ContextVar('attempt')


class FreshConnection(Connection):  # type: ignore[misc]
    """A connection for one call, which notes that something was written."""

    def reuse(self, urlparsed: Any, verify: bool) -> bool:
        """Refuse: whatever is open belongs to an earlier call."""
        return False

    async def connect(self, *args: Any, **options: Any) -> None:
        """Connect in time.

        The library's own bound may swallow the cancellation of its caller.
        """
        async with asyncio.timeout(current_attempt.get().connect):
            await super().connect(*args, **options)

    def write(self, data: bytes) -> None:
        """Note that the call may have left."""
        current_attempt.get().is_sent = True
        super().write(data)

    async def __aexit__(self, exc_type: Any, exc: Any, trace: Any) -> None:
        """Close, also where the library would keep it for the next call."""
        self.keep = False
        await super().__aexit__(exc_type, exc, trace)


class ChunkedBody:
    """Take the chunks out of a body, after headers that were read before."""

    def __init__(self) -> None:
        """Expect the first chunk."""
        self.is_whole = False
        self._parts: list[bytes] = []
        self._parser = HttpResponseParser(self)
        self._parser.feed_data(_CHUNKED_HEAD)

    def on_body(self, part: bytes) -> None:
        """Take a part; the parser calls it."""
        if not self.is_whole:
            self._parts.append(part)

    def on_message_complete(self) -> None:
        """Note the end; the parser calls it."""
        self.is_whole = True

    def feed(self, raw: bytes) -> bytes:
        """Return what is in the bytes; raise HttpParserError for garbage."""
        try:
            self._parser.feed_data(raw)
        except HttpParserError:
            # What follows the last chunk belongs to no answer.
            if not self.is_whole:
                raise
        piece = b''.join(self._parts)
        self._parts.clear()
        return piece


class NumberResolver(AbstractResolver):  # type: ignore[misc]
    """Take IP numbers as they are; the library would start a thread."""

    async def resolve(
        self,
        hostname: str,
        port: int = 0,
        family: int = socket.AF_UNSPEC,
    ) -> list[dict[str, Any]]:
        """Return the one address; raise ValueError for a name."""
        address = ipaddress.ip_address(hostname)
        family = socket.AF_INET if address.version == 4 else socket.AF_INET6
        return [
            {
                'hostname': hostname,
                'host': hostname,
                'port': port,
                'family': family,
                'proto': socket.IPPROTO_TCP,
                'flags': socket.AI_NUMERICHOST,
            },
        ]

    async def close(self) -> None:
        """Do nothing."""


def build_connector() -> TCPConnector:
    """Return a connector that keeps no connection."""
    return TCPConnector(
        connection_cls=FreshConnection,
        pool_cls=WsPool,
        resolver=NumberResolver(),
    )
