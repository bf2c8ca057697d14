"""What the kernel knows about the bytes that were written to a connection."""

import asyncio
import fcntl
import socket
import struct
import termios
from enum import StrEnum

# State of a connection that is gone, the first byte of TCP_INFO.
_TCP_CLOSE = 7
_COUNT = struct.Struct('i')
# Seconds until bytes that the other end has not taken are looked for again.
DELIVERY_SECONDS = 0.01


class Delivery(StrEnum):
    """Whether the other end has taken all bytes."""

    taken = 'taken'
    under_way = 'under way'
    # The kernel reports the end of the received bytes instead, if one came
    # before the reset.
    reset = 'reset'


def delivery(transport: asyncio.BaseTransport) -> Delivery:
    """Tell whether the kernel of the other end has taken all bytes."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return Delivery.reset
    if sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == _TCP_CLOSE:
        return Delivery.reset
    buffered = 0
    if isinstance(transport, asyncio.WriteTransport):
        buffered = transport.get_write_buffer_size()
    if buffered or _count(sock, termios.TIOCOUTQ):
        return Delivery.under_way
    return Delivery.taken


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many received bytes wait in the kernel."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return 0
    return _count(sock, termios.FIONREAD)


def _count(sock: socket.socket, request: int) -> int:
    reply = fcntl.ioctl(sock.fileno(), request, bytes(_COUNT.size))
    return int(_COUNT.unpack(reply)[0])
