"""Messages of HTTP/1.1 and the bounds on them."""

from dataclasses import dataclass, field

# Names are lower case; values are as they came.
Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """What a caller may send, and how long it may take; times in seconds.

    The defaults hold until the first configuration arrives.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout: float = 3
    idle_timeout: float = 15


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """How connections to servers are made and kept; times in seconds.

    `idle_timeout` holds where the server names none; a connection is dropped
    `idle_margin` before the server would. `user_timeout` bounds how long sent
    bytes may stay without an acknowledgement of the other kernel.
    """

    connect_timeout: float = 0.5
    idle_timeout: float = 4
    idle_margin: float = 1
    user_timeout: float = 1.5
    header_bytes: int = 65536


@dataclass(slots=True)
class ResponseHead:
    """The first part of an answer.

    `is_delimited` is false where the body ends with the connection.
    """

    status: int
    headers: Headers = field(default_factory=list)
    is_delimited: bool = True

    def get(self, name: bytes) -> bytes:
        """Return a header's value, empty when it is missing."""
        for key, setting in self.headers:
            if key == name:
                return setting
        return b''


def header_value(headers: Headers, name: bytes) -> bytes:
    """Return the first value of a header, empty when it is missing."""
    for key, setting in headers:
        if key == name:
            return setting
    return b''
