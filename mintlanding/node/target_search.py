"""Search another engine for a request while its own one is silent."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from mintlanding.core.exceptions import ResponseTimeout
from mintlanding.http1.models import ResponseHead
from mintlanding.node.admissions import Admissions, Reservation
from mintlanding.node.clock import loop_seconds
from mintlanding.residency.messages import GrantOutcome

# Seconds between looks at whether another engine takes a request.
_SEARCH_POLL_SECONDS = 0.02

# The head of a response or a part of its body.
ReadPart = TypeVar('ReadPart', ResponseHead, bytes)
# Reads one within a number of seconds, or raises ResponseTimeout.
PartReader = Callable[[float], Awaitable[ReadPart]]


class TargetSearch:
    """The search for another engine while that of a request is silent."""

    def __init__(
        self,
        work: Coroutine[Any, Any, Reservation | None],
        admissions: Admissions,
    ) -> None:
        """Start to reserve; `work` returns None without another engine."""
        self._task = asyncio.create_task(work)
        self._admissions = admissions
        self._is_taken = False

    async def read_meanwhile(
        self, read: PartReader[ReadPart], deadline: float
    ) -> ReadPart | None:
        """Return what the silent engine sends before the search is over."""
        while not self._task.done() and loop_seconds() < deadline:
            with contextlib.suppress(ResponseTimeout):
                return await read(_SEARCH_POLL_SECONDS)
        return None

    def take(self) -> Reservation | None:
        """Return the reservation, None without one or before there is one."""
        if not self._task.done():
            return None
        self._is_taken = True
        return self._task.result()

    def end(self) -> None:
        """Stop searching, and end a reservation that was not taken."""
        # A cancelled search ends what it has asked for itself.
        if self._task.cancel() or self._is_taken or self._task.exception():
            return
        found = self._task.result()
        if found is not None:
            self._admissions.end(
                found.worker, found.reservation_id, GrantOutcome.unused
            )
