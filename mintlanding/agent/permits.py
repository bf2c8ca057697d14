"""Permits of the weight store for the loads of this agent's workers.

A permit allows one load of weights. The rate of the store is a limit like those
of workspaces. Requests for permits are queued, urgent ones first. A prefetch
is granted only spare permits: it reserves more than one and returns the excess,
so that it succeeds only if the bucket holds more than demand needs.
"""

import asyncio
import heapq
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

from mintlanding.agent.limits import STORE_POOL, LimitsComponent
from mintlanding.agent.messages import SettleRequest, TokenRequest
from mintlanding.core.clock import Clock
from mintlanding.core.results import Failed

SPARE_PERMITS = 2.5
MAX_PAUSE_SECONDS = 0.25
MAX_WAIT_SECONDS = 4.5

PermitCallback = Callable[[bool, float, str], None]


@dataclass(order=True, slots=True)
class _PermitRequest:
    """A queued request; `rank` orders it by urgency, then arrival."""

    rank: tuple[int, int]
    deadline: float = field(compare=False)
    callback: PermitCallback = field(compare=False)
    is_urgent: bool = field(compare=False)


class PermitQueue:
    """Request permits one by one, urgent requests first."""

    def __init__(self, limits: LimitsComponent, clock: Clock) -> None:
        """Reserve permits from the limits of this agent."""
        self._limits = limits
        self._clock = clock
        self._requests: list[_PermitRequest] = []
        self._number = 0
        self._wake = asyncio.Event()

    def request(self, *, is_urgent: bool, callback: PermitCallback) -> None:
        """Call back with (granted, retry_after, permit) when decided."""
        self._number += 1
        rank = (0 if is_urgent else 1, self._number)
        deadline = self._clock.monotonic() + MAX_WAIT_SECONDS
        heapq.heappush(
            self._requests, _PermitRequest(rank, deadline, callback, is_urgent)
        )
        self._wake.set()

    def settle(self, permit: str, *, is_used: bool) -> None:
        """Return a permit if it was not used."""
        if not is_used:
            self._limits.settle(SettleRequest(permit, STORE_POOL, 1, 0))

    async def run(self) -> None:
        """Serve the requests until cancelled."""
        while True:
            if not self._requests:
                self._wake.clear()
                await self._wake.wait()
                continue
            pause = await self._serve(heapq.heappop(self._requests))
            if pause:
                await asyncio.sleep(pause)

    async def _serve(self, request: _PermitRequest) -> float:
        permit = uuid.uuid4().hex
        tokens = 1 if request.is_urgent else SPARE_PERMITS
        outcome = await self._limits.reserve(
            TokenRequest(permit, STORE_POOL, tokens),
        )
        if not isinstance(outcome, Failed):
            if tokens > 1:
                settle = SettleRequest(permit, STORE_POOL, tokens, 1)
                self._limits.settle(settle)
            request.callback(True, 0, permit)
            return 0
        pause = min(outcome.retry_after or 0.1, MAX_PAUSE_SECONDS)
        if self._clock.monotonic() + pause >= request.deadline:
            request.callback(False, pause, '')
        else:
            heapq.heappush(self._requests, request)
        return pause
