"""Ports for servers whose address is needed before they listen."""

import contextlib
import random
import socket

HOST = '127.0.0.1'
# Below the ports that the kernel gives to outgoing connections.
_PORTS = (10_000, 32_000)


def free_port():
    """Return a free port that no outgoing connection takes meanwhile."""
    while True:
        port = random.randrange(*_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port
