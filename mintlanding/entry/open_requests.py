"""Requests in progress, and their cancellation.

A request is cancelled when its key is withdrawn or its caller disconnects.
"""

import asyncio
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace

from mintlanding.core.results import Failed, Ran


@dataclass(slots=True, eq=False)
class OpenRequest:
    """One request in progress and the task that serves it.

    `may_have_run` is set before the first byte is sent to a target.
    """

    request_id: str
    key_id: str
    task: 'asyncio.Task[object]'
    failure: Failed | None = None
    is_disconnected: bool = False
    may_have_run: bool = False

    def note_sent(self) -> None:
        """Record that a target may run the request from now on."""
        self.may_have_run = True

    def end(self, failure: Failed) -> None:
        """Cancel the request and let its caller get the failure."""
        if self.failure is None and not self.is_disconnected:
            self.failure = failure
            self.task.cancel()

    def disconnect(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        if self.failure is None and not self.is_disconnected:
            self.is_disconnected = True
            self.task.cancel()

    def build_failure(self) -> Failed | None:
        """Return the failure; `ran` is unknown if a target may have run it."""
        if self.failure is None or not self.may_have_run:
            return self.failure
        return replace(self.failure, ran=Ran.unknown)

    def uncancel_if_ended(self) -> bool:
        """Undo a cancellation that this object caused.

        Return whether there was one; other cancellations stay.
        """
        if self.failure is None and not self.is_disconnected:
            return False
        self.task.uncancel()
        return True


class OpenRequests:
    """All requests in progress, indexed by key."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._by_key: dict[str, set[OpenRequest]] = defaultdict(set)
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        """Count the requests in progress."""
        return self._count

    @contextmanager
    def track(self, request_id: str, key_id: str) -> Iterator[OpenRequest]:
        """Track the request that the current task serves."""
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError('track() must be called from a task')
        open_request = OpenRequest(request_id, key_id, task)
        self._by_key[key_id].add(open_request)
        self._count += 1
        self._idle.clear()
        try:
            yield open_request
        finally:
            self._remove(open_request)

    def end_key(self, key_id: str, failure: Failed) -> int:
        """End all requests of a key; return how many there were."""
        open_requests = tuple(self._by_key.get(key_id, ()))
        for each in open_requests:
            each.end(failure)
        return len(open_requests)

    async def wait_idle(self, timeout: float) -> bool:
        """Wait until no request is open; return False on a timeout."""
        try:
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def _remove(self, open_request: OpenRequest) -> None:
        found = self._by_key[open_request.key_id]
        found.discard(open_request)
        if not found:
            self._by_key.pop(open_request.key_id)
        self._count -= 1
        if self._count == 0:
            self._idle.set()
