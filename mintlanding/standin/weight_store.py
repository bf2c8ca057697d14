"""Stand-in of the weight store: rate, and speed by loads in flight."""

import asyncio
from typing import Any

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from mintlanding.standin.base import KINDS, Standin, reply
from mintlanding.standin.records import Record
from mintlanding.standin.settings import StandinSettings


class FetchBucket:
    """Give each fetch its start time under a rate and a burst."""

    def __init__(self, rate: float, burst: int) -> None:
        """Allow `burst` fetches at once and `rate` a second."""
        self._gap = 1 / rate
        self._slack = self._gap * (burst - 1)
        self._next = float('-inf')

    def reserve(self, now: float) -> float:
        """Return the seconds to wait before the fetch may start."""
        self._next = max(self._next, now)
        wait = max(0, self._next - self._slack - now)
        self._next += self._gap
        return wait


@KINDS.register('weight-store')
class WeightStoreStandin(Standin):
    """Hold a fetch as long as the store would take to deliver it."""

    def __init__(self, settings: StandinSettings) -> None:
        """Start idle."""
        super().__init__(settings)
        self._bucket = FetchBucket(
            settings.loads_per_second,
            settings.loads_at_once,
        )
        self._in_flight = 0

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the protocol."""
        return [Route('/weights/{path:path}', self._fetch, methods=['GET'])]

    async def _fetch(self, req: Request) -> Response:
        self.records.add(Record('fetch', path=req.path_params['path']))
        if self.faults.fail_loads:
            self.faults.fail_loads -= 1
            return reply({'error': 'the weights cannot be read'}, 500)
        self._in_flight += 1
        peak = self.records.counts.get('peak in flight', 0)
        self.records.counts['peak in flight'] = max(peak, self._in_flight)
        try:
            seconds = await self._deliver()
        finally:
            self._in_flight -= 1
        body: dict[str, Any] = {'seconds': seconds}
        return reply(body)

    async def _deliver(self) -> float:
        wait = self._bucket.reserve(asyncio.get_running_loop().time())
        crowd = max(1, self._in_flight / self.settings.full_speed_loads)
        seconds = wait + self.settings.load_seconds * crowd
        await asyncio.sleep(seconds)
        return seconds
