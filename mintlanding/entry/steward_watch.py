"""Stop waiting for a steward that is unreachable or has been replaced."""

import asyncio
from collections import defaultdict
from collections.abc import Coroutine, Iterable
from typing import Any, TypeVar

from mintlanding.core.results import Failed, ResultCode
from mintlanding.entry.view import EntryView
from mintlanding.membership.models import Member, MemberState
from mintlanding.placement.messages import WorkerDigest
from mintlanding.routing.models import WorkerRoute

ResultT = TypeVar('ResultT')

_UNREACHABLE = frozenset((MemberState.silent, MemberState.gone))


class StewardWatch:
    """Cancel waits for a steward when the view reports that it is lost."""

    def __init__(self, view: EntryView) -> None:
        """Subscribe to members and digests of `view`."""
        self._waits: dict[WorkerRoute, set[asyncio.Task[Any]]] = defaultdict(
            set,
        )
        view.on_member(self._on_member)
        view.on_digest(self._on_digest)

    async def wait(
        self,
        route: WorkerRoute,
        coro: Coroutine[Any, Any, ResultT],
    ) -> ResultT | Failed:
        """Await `coro`; fail when the steward is unreachable or replaced."""
        task = asyncio.get_running_loop().create_task(coro)
        waits = self._waits[route]
        waits.add(task)
        try:
            await asyncio.wait((task,))
        finally:
            waits.discard(task)
            if not waits:
                self._waits.pop(route, None)
            task.cancel()
        if task.cancelled():
            return Failed.of(ResultCode.no_target, 'the steward is away')
        return task.result()

    def _on_member(self, member: Member) -> None:
        if member.state in _UNREACHABLE:
            self._end(
                route
                for route in self._waits
                if route.steward == member.instance
            )

    def _on_digest(self, digest: WorkerDigest) -> None:
        self._end(
            route
            for route in self._waits
            if route.worker == digest.worker and route.steward != digest.steward
        )

    def _end(self, routes: Iterable[WorkerRoute]) -> None:
        for route in tuple(routes):
            for task in tuple(self._waits[route]):
                task.cancel()
