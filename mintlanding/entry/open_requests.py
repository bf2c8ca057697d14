"""Requests in progress: ended when their key or their caller goes."""

import asyncio
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace

from mintlanding.core.results import Failed, Ran


@dataclass(slots=True, eq=False)
class OpenRequest:
    """One request in progress and the task that serves it.

    `may_have_run` is set before the first byte may leave for a target.
    """

    request_id: str
    key_id: str
    task: 'asyncio.Task[object]'
    failure: Failed | None = None
    is_vanished: bool = False
    may_have_run: bool = False

    def note_sent(self) -> None:
        """Note that a target may run the request from now on."""
        self.may_have_run = True

    def end(self, failure: Failed) -> None:
        """Stop the request; its caller gets the failure."""
        if self.failure is None and not self.is_vanished:
            self.failure = failure
            self.task.cancel()

    def vanish(self) -> None:
        """Stop the request of a caller that has left."""
        if self.failure is None and not self.is_vanished:
            self.is_vanished = True
            self.task.cancel()

    def truthful_failure(self) -> Failed | None:
        """Return the failure with what is known of the request's run."""
        if self.failure is None or not self.may_have_run:
            return self.failure
        return replace(self.failure, ran=Ran.unknown)

    def claim_cancellation(self) -> bool:
        """Tell whether a cancellation was ours, and take it back if so."""
        if self.failure is None and not self.is_vanished:
            return False
        self.task.uncancel()
        return True


class OpenRequests:
    """All requests in progress, found by key."""

    def __init__(self) -> None:
        """Start with none."""
        self._by_key: dict[str, set[OpenRequest]] = defaultdict(set)
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        """Count the requests in progress."""
        return self._count

    @contextmanager
    def track(self, request_id: str, key_id: str) -> Iterator[OpenRequest]:
        """Hold the current task's request open."""
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError('no task serves this request')
        opened = OpenRequest(request_id, key_id, task)
        self._by_key[key_id].add(opened)
        self._count += 1
        self._idle.clear()
        try:
            yield opened
        finally:
            self._drop(opened)

    def end_key(self, key_id: str, failure: Failed) -> int:
        """End all requests of a key; return how many there were."""
        opened = tuple(self._by_key.get(key_id, ()))
        for each in opened:
            each.end(failure)
        return len(opened)

    async def wait_idle(self, timeout: float) -> bool:
        """Wait until none is left; return whether that came in time."""
        try:
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def _drop(self, opened: OpenRequest) -> None:
        found = self._by_key[opened.key_id]
        found.discard(opened)
        if not found:
            self._by_key.pop(opened.key_id)
        self._count -= 1
        if self._count == 0:
            self._idle.set()
