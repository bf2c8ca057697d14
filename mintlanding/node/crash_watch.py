"""Find out whether an engine crashed when a response breaks off."""

import asyncio

from mintlanding.core.exceptions import (
    InvalidResponse,
    RequestNotSent,
    ResponseLost,
    ResponseTimeout,
)
from mintlanding.core.logs import Logger
from mintlanding.http1.client import ConnectionPool
from mintlanding.node.clock import boot_seconds
from mintlanding.quarantine.ledger import CrashLedger
from mintlanding.traffic.models import Target

# Seconds for a connection that shows whether an engine still listens.
_CONNECT_SECONDS = 0.5


class CrashWatch:
    """Report the prompts of unanswered requests once their engine is gone.

    A response also breaks off where only the connection has failed. An engine
    that has crashed refuses the next connection.
    """

    def __init__(self, ledger: CrashLedger, pool: ConnectionPool) -> None:
        """Take the ledger of crashes and the pool of connections to targets."""
        self._ledger = ledger
        self._pool = pool
        # Prompts of lost requests by engine, while a connection is tried.
        self._lost: dict[str, set[tuple[str, ...]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._logger = Logger('quarantine')

    def record_loss(
        self, target: Target, parts: tuple[str, ...], exc: ResponseLost
    ) -> None:
        """Check an engine whose connection ended before its response."""
        # An engine that stays silent or sends garbage is still running.
        if not parts or isinstance(exc, ResponseTimeout | InvalidResponse):
            return
        engine = f'{target.target}/{target.incarnation}'
        if engine in self._lost:
            self._lost[engine].add(parts)
            return
        self._lost[engine] = {parts}
        task = asyncio.create_task(self._check(target, engine, boot_seconds()))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def refuses_connections(self, target: Target) -> bool:
        """Tell whether an engine is gone, by one connection to it."""
        try:
            conn = await self._pool.acquire(
                target.address, is_fresh=True, seconds=_CONNECT_SECONDS
            )
        except RequestNotSent as exc:
            return isinstance(exc.__cause__, ConnectionRefusedError)
        self._pool.release(conn)
        return False

    def stop(self) -> None:
        """Cancel the checks in progress."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _check(self, target: Target, engine: str, at: float) -> None:
        try:
            is_crashed = await self.refuses_connections(target)
        finally:
            prompts = self._lost.pop(engine)
        if not is_crashed:
            return
        self._logger.info(
            'Engine crashed under unanswered requests.',
            engine=engine,
            prompts=len(prompts),
        )
        self._ledger.record_crash(engine, prompts, at)
