"""Cut the paths between an instance and all targets."""

import asyncio

from mintlanding.core.exceptions import RequestNotSent

# Seconds until an open connection is reset.
_RESET_SECONDS = 0.01


class TargetPartition:
    """An instance without targets; the store and the members are reached.

    `refuses`: new connections are refused, else they hang; with `resets` they
    open and are reset. Old connections end (`dead`), go on (`alive`), or bring
    no bytes any more (`silent`).
    """

    def __init__(self, world, node, *, refuses, old='dead', resets=False):
        self._world = world
        self._pools = (node.relay.connector.pool, node._stewards._pool)
        self._paths = node._paths
        self._refuses = refuses
        self._old = old
        self._resets = resets

    def __enter__(self):
        addresses = {each.address for each in self._world.targets}
        for pool in self._pools:
            for address in addresses & pool._idle.keys():
                for conn in pool._idle[address]:
                    self._cut(conn)
            pool._open = self._wrap(pool._open, addresses)
        self._paths.connect = self._fail_to_connect
        return self

    def __exit__(self, *exc_info):
        for pool in self._pools:
            del pool._open
        del self._paths.connect

    def _cut(self, conn):
        if self._old == 'dead':
            conn.abort()
        elif self._old == 'silent':
            conn.data_received = lambda chunk: None

    async def _fail_to_connect(self, side, address, seconds):
        if self._resets:
            raise ConnectionResetError
        if self._refuses:
            raise ConnectionRefusedError
        await asyncio.sleep(seconds)
        raise TimeoutError

    def _wrap(self, connect, addresses):
        async def connect_unless_cut(address, seconds):
            if address not in addresses:
                return await connect(address, seconds)
            if self._resets:
                return _reset(await connect(address, seconds))
            if self._refuses:
                raise RequestNotSent('refused') from ConnectionRefusedError()
            await asyncio.sleep(seconds)
            raise RequestNotSent('no connection in time') from TimeoutError()

        return connect_unless_cut


def _reset(conn):
    """Reset a connection in a moment; nothing that is sent on it arrives."""
    conn._transport.write = lambda payload: None
    asyncio.get_running_loop().call_later(_RESET_SECONDS, conn.abort)
    return conn
