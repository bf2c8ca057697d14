"""The seats component: execute claims of seats in the key-value service.

A seat is one of the equal slices into which a quota is divided.
"""

import asyncio
from collections.abc import Iterable

import msgspec

from mintlanding.agent.context import AgentContext
from mintlanding.agent.limits import LimitsComponent
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.logs import Logger
from mintlanding.core.results import Done
from mintlanding.limits.messages import (
    Event,
    SeatsHandedOver,
    SeatsLost,
    SeatsReceived,
)
from mintlanding.limits.seats import (
    ClaimAction,
    ReadSeats,
    SeatClaims,
    SeatRecord,
    StoredSeat,
    WriteSeat,
)
from mintlanding.membership.messages import Heartbeat
from mintlanding.membership.models import MemberState

SEATS_PREFIX = 'seats/'
TICK_SECONDS = 0.25

_logger = Logger('limits')


class SeatsComponent:
    """Claim seats for the limits of this agent."""

    def __init__(self, context: AgentContext, limits: LimitsComponent) -> None:
        """Listen to the events of the limits."""
        self._context = context
        self._limits = limits
        self._claims: SeatClaims | None = None
        self._assigned: frozenset[int] = frozenset()
        self._early_events: list[Event] = []
        limits.on_event(self._handle_event)

    async def start(self) -> None:
        """Start claiming seats."""
        self._context.application.supervise('seats', self._run_ticks)

    def update_members(self) -> None:
        """Pass the changed members to the claims."""
        if self._claims is not None:
            members = list(self._context.members.values())
            self._claims.observe_members(members, self._context.now)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record contact with another instance of the zone."""
        sender = heartbeat.sender.member
        if self._claims is not None and sender.zone == self._context.own.zone:
            self._claims.note_peer_contact(self._context.now)

    async def hand_over(self, timeout: float) -> None:
        """Wait until the seats are handed over, or `timeout` seconds."""
        if self._claims is not None:
            self._claims.leave()
        if not self._has_live_zone_peer():
            return
        try:
            async with asyncio.timeout(timeout):
                while not self._limits.node.is_drained():
                    await asyncio.sleep(TICK_SECONDS)
        except TimeoutError:
            _logger.warning('Seat handover timed out.')

    def _has_live_zone_peer(self) -> bool:
        own = self._context.own
        return any(
            each.zone == own.zone
            and each.instance != own.instance
            and each.state is MemberState.live
            for each in self._context.members.values()
        )

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self._claims is None:
                self._start_claims()
                continue
            self._execute(self._claims.tick(self._context.now))
            self._assign()

    def _start_claims(self) -> None:
        if not self._context.directory.revision:
            return
        own = self._context.own
        self._claims = SeatClaims.from_config(
            own.instance,
            own.incarnation,
            own.zone,
            self._limits.seat_plan,
            self._limits.options,
            self._context.now,
        )
        self.update_members()
        events, self._early_events = self._early_events, []
        for event in events:
            self._handle_event(event)

    def _execute(self, actions: Iterable[ClaimAction]) -> None:
        for action in actions:
            match action:
                case ReadSeats():
                    self._context.application.spawn(self._read())
                case WriteSeat():
                    self._context.application.spawn(self._write(action))

    async def _read(self) -> None:
        try:
            listing = await self._context.key_value.list(SEATS_PREFIX)
        except PlatformError as exc:
            _logger.warning('Reading the seat records failed.', reason=str(exc))
            return
        records = {
            int(each.key.removeprefix(SEATS_PREFIX)): StoredSeat(
                msgspec.json.decode(each.value, type=SeatRecord),
                each.index,
            )
            for each in listing.entries
        }
        if self._claims is None:
            return
        now = self._context.now
        in_use = self._limits.node.seats_in_use(now)
        self._execute(self._claims.handle_records(records, in_use, now))
        self._assign()

    async def _write(self, action: WriteSeat) -> None:
        claims = self._claims
        if claims is None:
            return
        try:
            outcome = await self._context.key_value.put(
                f'{SEATS_PREFIX}{action.seat}',
                msgspec.json.encode(action.record),
                action.expected,
            )
        except PlatformError as exc:
            _logger.warning(
                'Outcome of a seat record write unknown.',
                reason=str(exc),
            )
            claims.handle_unknown_write(self._context.now)
            return
        if isinstance(outcome, Done):
            claims.handle_written(action.seat)
        else:
            claims.handle_conflict(action.seat, self._context.now)
        self._assign()

    def _handle_event(self, event: Event) -> None:
        if self._claims is None:
            self._early_events.append(event)
            return
        now = self._context.now
        match event:
            case SeatsLost():
                _logger.warning('Seats dropped after a pause.')
                self._claims.drop_all(now)
            case SeatsReceived(seats=seats):
                self._claims.accept_hand_over(seats, now)
                self._assigned = self._claims.seats()
            case SeatsHandedOver(seats=seats):
                self._claims.remove_handed_over(seats)
                self._assigned = self._claims.seats()
        self._assign()

    def _assign(self) -> None:
        if self._claims is None:
            return
        seats = self._claims.seats()
        if seats != self._assigned:
            self._assigned = seats
            self._limits.assign_seats(seats)
