"""The limits component: execute the limits node's actions."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from mintlanding.agent.context import AgentContext
from mintlanding.agent.messages import (
    RESERVE_TOKENS,
    SETTLE_TOKENS,
    SettleRequest,
    TokenReply,
    TokenRequest,
)
from mintlanding.configuration.models import Settings, Workspace
from mintlanding.core.exceptions import PeerError
from mintlanding.core.results import Failed, Outcome
from mintlanding.limits.messages import (
    DELIVER,
    Action,
    Delivered,
    Envelope,
    Event,
    Reservation,
    ReserveOutcome,
    Send,
)
from mintlanding.limits.node import LimitsNode
from mintlanding.limits.options import LimitsOptions, Rate
from mintlanding.limits.seats import SeatPlan
from mintlanding.peers.messages import Empty

SEND_TIMEOUT_SECONDS = 1
MIN_WAIT_SECONDS = 0.002
MAX_WAIT_SECONDS = 0.5
STORE_POOL = 'store/weights'
_LIMITS_SETTINGS = 'limits'
# A seat lent to a crashed holder is unusable for one term. A shorter term costs
# more calls, since each renewal calls every lender.
_REGION_TERMS = {'term': 4.5, 'zone_term': 4.5, 'renew': 1.5, 'announce': 3.0}
_STORE_RATE = 8.0
_STORE_BURST = 3.0
_SEAT_COUNT = 16


class LimitsComponent:
    """Serve token reservations; exchange messages with other agents."""

    def __init__(self, context: AgentContext) -> None:
        """Build the node and register its methods."""
        self._context = context
        own = context.own
        self.options = LimitsOptions.from_config(
            {**_REGION_TERMS, **context.cfg.agent.limits},
        )
        self.node = LimitsNode.from_config(
            own.instance,
            own.incarnation,
            own.zone,
            self.options,
            context.random('limits'),
        )
        self._pending_replies: dict[
            str, asyncio.Future[Outcome[Reservation]]
        ] = {}
        self._wake = asyncio.Event()
        self._event_listeners: list[Callable[[Event], None]] = []
        context.server.add(RESERVE_TOKENS, self._reserve)
        context.server.add(SETTLE_TOKENS, self._settle)
        context.server.add(DELIVER, self._receive)

    @property
    def seat_plan(self) -> SeatPlan:
        """Return the configured number of seats and their zones."""
        values = self._settings_values()
        zones = str(values.get('zones', '')).split(',')
        return SeatPlan(
            int(values.get('seats', _SEAT_COUNT)),
            tuple(zone.strip() for zone in zones if zone.strip()),
        )

    def on_event(self, listener: Callable[[Event], None]) -> None:
        """Call the listener when seats are lost, received or handed over."""
        self._event_listeners.append(listener)

    async def start(self) -> None:
        """Start the periodic work."""
        self._context.application.supervise('limits', self._run_ticks)

    def assign_seats(self, seats: frozenset[int]) -> None:
        """Own the seats that are claimed in the key-value service."""
        self.execute(self.node.assign_seats(seats, self._context.now))

    def update_members(self) -> None:
        """Pass the changed members to the node."""
        members = list(self._context.members.values())
        self.execute(self.node.observe_members(members, self._context.now))

    def update_rates(self) -> None:
        """Pass the configured rates to the node."""
        directory = self._context.directory
        rates = {
            each.name: Rate(each.rate, each.burst)
            for each in directory.list('workspace')
            if isinstance(each, Workspace)
        }
        rates[STORE_POOL] = self._store_rate()
        now = self._context.now
        seat_count = self.seat_plan.seat_count
        self.execute(self.node.configure(rates, seat_count, now))

    async def reserve(self, req: TokenRequest) -> Outcome[Reservation]:
        """Reserve tokens of a workspace or permits of the weight store."""
        fut: asyncio.Future[Outcome[Reservation]] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_replies[req.request_id] = fut
        try:
            self.execute(
                self.node.reserve(
                    req.request_id,
                    req.workspace,
                    req.tokens,
                    self._context.now,
                ),
            )
            return await fut
        finally:
            self._pending_replies.pop(req.request_id, None)

    def settle(self, req: SettleRequest) -> None:
        """Refund the unused tokens of a request."""
        self.execute(
            self.node.settle(
                req.request_id,
                req.workspace,
                req.reserved,
                req.used,
                self._context.now,
            ),
        )

    def drain(self) -> None:
        """Start to return and hand over seats before this instance leaves."""
        self.execute(self.node.drain(self._context.now))

    def execute(self, actions: Iterable[Action]) -> None:
        """Execute actions of the node."""
        for action in actions:
            match action:
                case ReserveOutcome():
                    self._answer(action)
                case Send():
                    self._context.application.spawn(self._send(action))
                case _:
                    self._notify(action)
        self._wake.set()

    def _notify(self, event: Event) -> None:
        for listener in self._event_listeners:
            listener(event)

    def _settings_values(self) -> Mapping[str, float | str | bool]:
        found = self._context.directory.get('settings', _LIMITS_SETTINGS)
        return found.values if isinstance(found, Settings) else {}

    def _store_rate(self) -> Rate:
        values = self._settings_values()
        return Rate(
            float(values.get('store_rate', _STORE_RATE)),
            float(values.get('store_burst', _STORE_BURST)),
        )

    def _answer(self, action: ReserveOutcome) -> None:
        fut = self._pending_replies.get(action.request_id)
        if fut is not None and not fut.done():
            fut.set_result(action.outcome)

    async def _reserve(self, req: TokenRequest, sender: str) -> TokenReply:
        outcome = await self.reserve(req)
        if isinstance(outcome, Failed):
            return TokenReply(
                req.request_id,
                int(outcome.code),
                outcome.detail,
                outcome.retry_after or 0,
            )
        return TokenReply(req.request_id)

    async def _settle(self, req: SettleRequest, sender: str) -> Empty:
        self.settle(req)
        return Empty()

    async def _receive(self, message: Envelope, sender: str) -> Delivered:
        actions = self.node.receive(message, sender, self._context.now)
        replies = [
            each
            for each in actions
            if isinstance(each, Send) and each.instance == sender
        ]
        reply = replies[0] if replies else None
        self.execute(each for each in actions if each is not reply)
        return Delivered(reply.message if reply else None)

    async def _send(self, action: Send) -> None:
        address = self._context.address_of(action.instance)
        if not address:
            return
        try:
            reply = await self._context.client.call(
                address,
                DELIVER,
                action.message,
                SEND_TIMEOUT_SECONDS,
            )
        except PeerError:
            self._context.metrics.count('limits.messages_lost')
            return
        if reply.envelope is not None:
            now = self._context.now
            self.execute(
                self.node.receive(reply.envelope, action.instance, now),
            )

    async def _run_ticks(self) -> None:
        while True:
            self._wake.clear()
            now = self._context.now
            self.execute(self.node.tick(now))
            self._wake.clear()
            pause = self.node.next_wake(now) - self._context.now
            bounded = min(max(pause, MIN_WAIT_SECONDS), MAX_WAIT_SECONDS)
            try:
                async with asyncio.timeout(bounded):
                    await self._wake.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(MIN_WAIT_SECONDS)
