"""Stand-in for the weight store, with a limited rate and bandwidth."""

import asyncio
from typing import Any

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from mintlanding.standin.base import KINDS, Standin, reply_json
from mintlanding.standin.records import Record
from mintlanding.standin.settings import StandinSettings


class FetchBucket:
    """Limit the starts of fetches by rate and burst."""

    def __init__(self, rate: float, burst: int) -> None:
        """Allow `burst` fetches at once and `rate` per second."""
        self._interval = 1 / rate
        self._burst_seconds = self._interval * (burst - 1)
        self._next = float('-inf')

    def reserve(self, now: float) -> float:
        """Return the seconds to wait before the fetch may start."""
        self._next = max(self._next, now)
        wait = max(0, self._next - self._burst_seconds - now)
        self._next += self._interval
        return wait


@KINDS.register('weight-store')
class WeightStoreStandin(Standin):
    """Delay each fetch as long as the store would take to deliver it."""

    def __init__(self, settings: StandinSettings) -> None:
        """Create a store without fetches in flight."""
        super().__init__(settings)
        self._bucket = FetchBucket(
            settings.loads_per_second,
            settings.loads_at_once,
        )
        self._in_flight = 0

    def routes(self) -> list[BaseRoute]:
        """Return the route for weights."""
        return [Route('/weights/{path:path}', self._fetch, methods=['GET'])]

    async def _fetch(self, req: Request) -> Response:
        self.records.add(Record('fetch', path=req.path_params['path']))
        if self.faults.fail_loads:
            self.faults.fail_loads -= 1
            return reply_json({'error': 'the weights cannot be read'}, 500)
        self._in_flight += 1
        peak = self.records.counts.get('peak in flight', 0)
        self.records.counts['peak in flight'] = max(peak, self._in_flight)
        try:
            seconds = await self._wait_for_delivery()
        finally:
            self._in_flight -= 1
        body: dict[str, Any] = {'seconds': seconds}
        return reply_json(body)

    async def _wait_for_delivery(self) -> float:
        wait = self._bucket.reserve(asyncio.get_running_loop().time())
        slowdown = max(1, self._in_flight / self.settings.full_speed_loads)
        seconds = wait + self.settings.load_seconds * slowdown
        await asyncio.sleep(seconds)
        return seconds
