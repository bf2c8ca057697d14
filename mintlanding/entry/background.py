"""Tasks that run on after the caller has its response."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from mintlanding.core.logs import Logger

ResultT = TypeVar('ResultT')

_logger = Logger('entry')


class Background:
    """Keep references to tasks until they end, so that a drain can wait."""

    def __init__(self) -> None:
        """Create an empty set of tasks."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(
        self,
        coro: Coroutine[Any, Any, ResultT],
    ) -> asyncio.Task[ResultT]:
        """Start a task that nobody has to await."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    async def run(self, coro: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Await `coro`, which runs on if the awaiting task is cancelled."""
        return await asyncio.shield(self.spawn(coro))

    async def wait_idle(self, timeout: float) -> None:
        """Wait at most `timeout` seconds for all tasks to end."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=timeout)

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            _logger.error('Background task failed.', reason=repr(exc))
