"""Claim seats of the limits in the key-value service."""

import asyncio

import msgspec

from mintlanding.agent.context import AgentContext
from mintlanding.agent.limits import LimitsPart
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.logs import Logger
from mintlanding.core.results import Done
from mintlanding.placement.leases import choose_steward

SEATS_PREFIX = 'seats/'
CLAIM_SECONDS = 0.5

_logger = Logger('limits')


class SeatRecord(msgspec.Struct, frozen=True):
    """The owner of a seat."""

    instance: str
    incarnation: int


class SeatsPart:
    """Create the records of free seats; a record is never taken over here."""

    def __init__(self, context: AgentContext, limits: LimitsPart) -> None:
        """Claim for the limits of this agent."""
        self._context = context
        self._limits = limits
        self._owned: set[int] = set()
        self._tried: set[int] = set()

    async def start(self) -> None:
        """Begin to claim."""
        self._context.application.spawn(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CLAIM_SECONDS)
            if self._context.directory.revision:
                await self._claim_free()

    async def _claim_free(self) -> None:
        own = self._context.own
        members = self._context.members.values()
        for seat in range(self._limits.seat_count):
            chosen = choose_steward(f'seat/{seat}', own.zone, members)
            if seat in self._tried or chosen != own.instance:
                continue
            await self._claim(seat)

    async def _claim(self, seat: int) -> None:
        own = self._context.own
        record = SeatRecord(own.instance, own.incarnation)
        try:
            outcome = await self._context.key_value.put(
                f'{SEATS_PREFIX}{seat}',
                msgspec.json.encode(record),
                0,
            )
        except PlatformError as exc:
            _logger.warning('A seat was not claimed.', reason=str(exc))
            return
        self._tried.add(seat)
        if isinstance(outcome, Done):
            self._owned.add(seat)
            self._limits.own_seats(frozenset(self._owned))
