"""Run an agent that counts the bytes sent and received by its sockets.

The counts are written to the file in COUNTS_PATH every PERIOD_SECONDS.
"""

import asyncio
import json
import os
import socket
import sys
import threading
from asyncio import selector_events
from pathlib import Path

from mintlanding.agent.__main__ import main

COUNTS = {'sent': 0, 'received': 0}
PERIOD_SECONDS = 2


class CountingSocket(socket.socket):
    """A socket that counts its bytes."""

    __slots__ = ()

    def recv(self, *args):
        data = super().recv(*args)
        COUNTS['received'] += len(data)
        return data

    def send(self, *args):
        sent = super().send(*args)
        COUNTS['sent'] += sent
        return sent


def count_transports():
    """Make every socket transport of the event loop use a CountingSocket."""
    transport = selector_events._SelectorSocketTransport
    original_init = transport.__init__

    def init(self, loop, sock, *args, **kwargs):
        sock.__class__ = CountingSocket
        original_init(self, loop, sock, *args, **kwargs)
        if not hasattr(loop, 'counts_path'):
            loop.counts_path = Path(os.environ['COUNTS_PATH'])
            write_counts(loop)

    transport.__init__ = init


def write_counts(loop):
    fields = {**COUNTS, 'threads': threading.active_count()}
    temporary = loop.counts_path.with_suffix('.new')
    temporary.write_text(json.dumps(fields))
    temporary.replace(loop.counts_path)
    loop.call_later(PERIOD_SECONDS, write_counts, loop)


if __name__ == '__main__':
    asyncio.set_event_loop_policy(asyncio.DefaultEventLoopPolicy())
    sys.argv[0] = 'mintlanding-agent'
    count_transports()
    main()
