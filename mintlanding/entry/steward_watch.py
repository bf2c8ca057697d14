"""Stop waiting for a steward that is away or has been replaced."""

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

_AWAY = frozenset((MemberState.silent, MemberState.gone))


class StewardWatch:
    """Race waits against what the view says of their steward."""

    def __init__(self, view: EntryView) -> None:
        """Follow a view."""
        self._waits: dict[WorkerRoute, set[asyncio.Task[Any]]] = defaultdict(
            set,
        )
        view.on_member(self._take_member)
        view.on_digest(self._take_digest)

    async def wait(
        self,
        route: WorkerRoute,
        work: Coroutine[Any, Any, ResultT],
    ) -> ResultT | Failed:
        """Await the work; give up when the steward is away or replaced."""
        task = asyncio.get_running_loop().create_task(work)
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

    def _take_member(self, member: Member) -> None:
        if member.state in _AWAY:
            self._end(
                route
                for route in self._waits
                if route.steward == member.instance
            )

    def _take_digest(self, digest: WorkerDigest) -> None:
        self._end(
            route
            for route in self._waits
            if route.worker == digest.worker and route.steward != digest.steward
        )

    def _end(self, routes: Iterable[WorkerRoute]) -> None:
        for route in tuple(routes):
            for task in tuple(self._waits[route]):
                task.cancel()
