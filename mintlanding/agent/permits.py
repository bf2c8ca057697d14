"""Permits of the weight store for the loads of this agent's workers.

The store's rate is a limit like those of workspaces. Asks wait here in order,
urgent ones first; a prefetch is granted only what demand leaves, which shows
in a bucket that holds more than it needs.
"""

import asyncio
import heapq
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

from mintlanding.agent.limits import STORE_POOL, LimitsPart
from mintlanding.agent.messages import SettleRequest, TokenRequest
from mintlanding.core.clock import Clock
from mintlanding.core.results import Failed

SPARE_PERMITS = 2.5
LONGEST_PAUSE_SECONDS = 0.25
PATIENCE_SECONDS = 4.5

Answer = Callable[[bool, float, str], None]


@dataclass(order=True, slots=True)
class _Ask:
    rank: tuple[int, int]
    until: float = field(compare=False)
    answer: Answer = field(compare=False)
    is_urgent: bool = field(compare=False)


class PermitQueue:
    """Ask for permits one by one, urgent asks first."""

    def __init__(self, limits: LimitsPart, clock: Clock) -> None:
        """Draw from the limits of this agent."""
        self._limits = limits
        self._clock = clock
        self._asks: list[_Ask] = []
        self._number = 0
        self._wake = asyncio.Event()

    def ask(self, *, is_urgent: bool, answer: Answer) -> None:
        """Answer with (granted, retry_after, permit) when it is known."""
        self._number += 1
        rank = (0 if is_urgent else 1, self._number)
        until = self._clock.monotonic() + PATIENCE_SECONDS
        heapq.heappush(self._asks, _Ask(rank, until, answer, is_urgent))
        self._wake.set()

    def settle(self, permit: str, *, is_used: bool) -> None:
        """Give an unused permit back."""
        if not is_used:
            self._limits.settle(SettleRequest(permit, STORE_POOL, 1, 0))

    async def run(self) -> None:
        """Serve the asks until cancelled."""
        while True:
            if not self._asks:
                self._wake.clear()
                await self._wake.wait()
                continue
            pause = await self._serve(heapq.heappop(self._asks))
            if pause:
                await asyncio.sleep(pause)

    async def _serve(self, ask: _Ask) -> float:
        permit = uuid.uuid4().hex
        tokens = 1 if ask.is_urgent else SPARE_PERMITS
        outcome = await self._limits.reserve(
            TokenRequest(permit, STORE_POOL, tokens),
        )
        if not isinstance(outcome, Failed):
            if tokens > 1:
                settle = SettleRequest(permit, STORE_POOL, tokens, 1)
                self._limits.settle(settle)
            ask.answer(True, 0, permit)
            return 0
        pause = min(outcome.retry_after or 0.1, LONGEST_PAUSE_SECONDS)
        if self._clock.monotonic() + pause >= ask.until:
            ask.answer(False, pause, '')
        else:
            heapq.heappush(self._asks, ask)
        return pause
