"""Work that goes on after the caller has its answer."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from mintlanding.core.logs import Logger

ResultT = TypeVar('ResultT')

_logger = Logger('entry')


class Background:
    """Hold tasks until they end; a drain waits for them."""

    def __init__(self) -> None:
        """Start with none."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(
        self,
        work: Coroutine[Any, Any, ResultT],
    ) -> asyncio.Task[ResultT]:
        """Run work on its own."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    async def run(self, work: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Wait for work that goes on when the waiting task is cancelled."""
        return await asyncio.shield(self.spawn(work))

    async def wait_idle(self, timeout: float) -> None:
        """Wait until all work has ended or `timeout` seconds are over."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=timeout)

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            _logger.error('Background work failed.', reason=repr(exc))
