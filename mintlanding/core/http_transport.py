"""Single-use connections to IP addresses, as extensions of aiosonic."""

import asyncio
import ipaddress
import re
import socket
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import HttpParsingError
from aiosonic.pools import WsPool
from aiosonic.resolver import AbstractResolver
from httptools import HttpParserError, HttpResponseParser

# Close a connection in 11 s that a firewall or NAT has silently dropped.
_PROBE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 11_000),
)
# The expression of aiosonic takes any number, and anything after it.
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [2-5][0-9]{2}(?: [^\r\n]*)?\r?\n')
_CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'


@dataclass(slots=True)
class Attempt:
    """A request in progress: its connect timeout and whether it was sent."""

    connect: float
    is_sent: bool = False


current_attempt: ContextVar[Attempt] = ContextVar('attempt')


class FreshConnection(Connection):  # type: ignore[misc]
    """A connection for one request, which records that data was written."""

    def reuse(self, urlparsed: Any, verify: bool) -> bool:
        """Return False: an open connection belongs to an earlier request."""
        return False

    async def connect(self, *args: Any, **options: Any) -> None:
        """Connect within the timeout of the attempt.

        The timeout of aiosonic may swallow the cancellation of its caller.
        """
        async with asyncio.timeout(current_attempt.get().connect):
            await super().connect(*args, **options)
        sock = self.writer.get_extra_info('socket')
        for level, option, setting in _PROBE_OPTIONS:
            sock.setsockopt(level, option, setting)

    def write(self, data: bytes) -> None:
        """Record that the request may have been sent."""
        current_attempt.get().is_sent = True
        super().write(data)

    async def readuntil(self, separator: bytes = b'\n') -> bytes:
        """Return the status line, all that aiosonic reads with this method.

        Raise HttpParsingError for one without a final status.
        """
        line = bytes(await super().readuntil(separator))
        if _STATUS_LINE.fullmatch(line) is None:
            raise HttpParsingError(f'no final status in {line!r}')
        return line

    async def __aexit__(self, exc_type: Any, exc: Any, trace: Any) -> None:
        """Close, even where aiosonic would keep it for the next request."""
        self.keep = False
        await super().__aexit__(exc_type, exc, trace)


class ChunkedBody:
    """Decode a chunked body whose headers were already read."""

    def __init__(self) -> None:
        """Start at the first chunk."""
        self.is_whole = False
        self._parts: list[bytes] = []
        self._parser = HttpResponseParser(self)
        self._parser.feed_data(_CHUNKED_HEAD)

    def on_body(self, part: bytes) -> None:
        """Add decoded data; called by the parser."""
        if not self.is_whole:
            self._parts.append(part)

    def on_message_complete(self) -> None:
        """Record the end of the body; called by the parser."""
        self.is_whole = True

    def feed(self, raw: bytes) -> bytes:
        """Return the decoded data; raise HttpParserError if it is invalid."""
        try:
            self._parser.feed_data(raw)
        except HttpParserError:
            # Data after the last chunk is ignored.
            if not self.is_whole:
                raise
        decoded = b''.join(self._parts)
        self._parts.clear()
        return decoded


class NumberResolver(AbstractResolver):  # type: ignore[misc]
    """Resolver for IP addresses; aiosonic's own would start a thread."""

    async def resolve(
        self,
        hostname: str,
        port: int = 0,
        family: int = socket.AF_UNSPEC,
    ) -> list[dict[str, Any]]:
        """Return the address; raise ValueError for a host name."""
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
    """Return a connector without connection reuse."""
    return TCPConnector(
        connection_cls=FreshConnection,
        pool_cls=WsPool,
        resolver=NumberResolver(),
    )
