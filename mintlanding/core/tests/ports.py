"""Ports for servers whose address is needed before they listen."""

import random
import socket
from collections import deque

HOST = '127.0.0.1'
# Below the ports that the kernel gives to outgoing connections.
_PORTS = (10_000, 32_000)
# Ports that this process keeps at most, each by one descriptor.
_MAX_RESERVED = 512
_reserved: deque[socket.socket] = deque()


def free_port() -> int:
    """Return a port that nobody else draws or is given until it is used.

    It stays bound by this process, but not listened to. A server that reuses
    addresses, as those of asyncio do, can listen there, also in a process of
    its own and again after it has ended.
    """
    return free_ports(1)[0]


def free_ports(count: int) -> range:
    """Return ports in succession, as `free_port` returns one."""
    while True:
        first = random.randrange(*_PORTS)
        ports = range(first, first + count)
        reserved: list[socket.socket] = []
        try:
            for port in ports:
                reserved.append(_reserve(port))
        except OSError:
            for each in reserved:
                each.close()
            continue
        _keep(reserved)
        return ports


def _reserve(port: int) -> socket.socket:
    """Bind a port; raise OSError if it is bound already."""
    reserved = socket.socket()
    try:
        # Exclusive at first, so that of two that draw it one fails.
        reserved.bind((HOST, port))
    except OSError:
        reserved.close()
        raise
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reserved


def _keep(reserved: list[socket.socket]) -> None:
    _reserved.extend(reserved)
    while len(_reserved) > _MAX_RESERVED:
        _reserved.popleft().close()
