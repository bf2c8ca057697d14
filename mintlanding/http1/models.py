"""Messages of HTTP/1.1, their limits and the options of connections."""

from dataclasses import dataclass, field
from enum import StrEnum

# Names are lower case; values are as received.
Headers = list[tuple[bytes, bytes]]
NO_BODY_STATUSES = frozenset((204, 304))
# 101 answers an upgrade, which no request asks for.
INTERIM_STATUSES = frozenset(range(100, 200)) - {101}
FINAL_STATUSES = range(200, 600)


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """Limits on callers' requests; times in seconds.

    The defaults hold until the first configuration arrives.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout: float = 3
    idle_timeout: float = 15


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """Options of client connections; times in seconds.

    `idle_timeout` applies unless the server declares one; a connection is
    closed `idle_margin` before the server would close it. `user_timeout`
    bounds how long sent bytes may stay unacknowledged by the peer's kernel, or
    wait because the peer reads nothing; `silent_timeout` is that for so many
    bytes that the kernel of a peer which falls silent cannot take them all.
    `header_bytes` also bounds what is received without any part of a body,
    `body_bytes` a body that is read as a whole. The server is slowed down while
    `buffer_bytes` of a body wait to be read.
    """

    connect_timeout: float = 0.5
    idle_timeout: float = 4
    idle_margin: float = 1
    user_timeout: float = 1.5
    silent_timeout: float = 3
    header_bytes: int = 65536
    body_bytes: int = 32 << 20
    buffer_bytes: int = 256 << 10


class BodyFraming(StrEnum):
    """What marks the end of a response's body; RFC 9112, section 6.3."""

    none = 'none'
    length = 'length'
    chunked = 'chunked'
    close = 'close'


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response, and the framing of its body."""

    status: int
    headers: Headers = field(default_factory=list)
    framing: BodyFraming = BodyFraming.none

    @property
    def is_delimited(self) -> bool:
        """Return whether the end of the body is known without a close."""
        return self.framing is not BodyFraming.close

    def get(self, name: bytes) -> bytes:
        """Return a header's value, empty when it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return b''


def header_value(headers: Headers, name: bytes) -> bytes:
    """Return the first value of a header, empty when it is missing."""
    for key, value in headers:
        if key == name:
            return value
    return b''
