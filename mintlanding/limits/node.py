"""Fleet-wide limits at one instance, as a state machine without I/O.

Calls take the current time and return the actions that the caller executes.
"""

import random
from collections.abc import Mapping, Sequence
from typing import Self

from mintlanding.limits.bucket import Bucket
from mintlanding.limits.handover import HandOvers
from mintlanding.limits.holders import HolderView
from mintlanding.limits.loans import Loans
from mintlanding.limits.messages import (
    Action,
    Announce,
    Draw,
    Envelope,
    Event,
    Grant,
    GrantDelivered,
    HandedOver,
    HandOver,
    Lend,
    LimitsMessage,
    Recall,
    Refuse,
    RequestLoans,
    Return,
    SeatsLost,
    Settle,
    Settled,
)
from mintlanding.limits.options import LimitsOptions, Rate
from mintlanding.limits.outbox import Outbox
from mintlanding.limits.pools import Pool
from mintlanding.limits.requests import Requests
from mintlanding.limits.settlements import Settlements
from mintlanding.limits.state import LimitsState
from mintlanding.membership.models import Member


class LimitsNode:
    """Token limits of all workspaces at one instance."""

    def __init__(
        self,
        instance: str,
        incarnation: int,
        zone: str,
        options: LimitsOptions,
        rng: random.Random,
    ) -> None:
        """Start without seats and limits."""
        self.instance = instance
        self.incarnation = incarnation
        self.options = options
        self.pools: dict[str, Pool] = {}
        self._rng = rng
        self._seat_count = 1
        self._last_call_at: float | None = None
        self._events: list[Event] = []
        self._renew_at = 0.0
        self._announce_at = 0.0
        self._outbox = Outbox(incarnation)
        self._view = HolderView(instance, zone, options.flat_members)
        shared = (options, self._view, self._outbox, self.pools)
        self._state = LimitsState(*shared)
        self._loans = Loans.from_state(self._state)
        self._settlements = Settlements(options, self._outbox)
        self._requests = Requests(*shared, self._settlements)
        self._hand_overs = HandOvers(self._loans, self._events)

    @classmethod
    def from_config(
        cls,
        instance: str,
        incarnation: int,
        zone: str,
        options: LimitsOptions,
        rng: random.Random,
    ) -> Self:
        """Return the node of an instance; `incarnation` rises with restarts."""
        return cls(instance, incarnation, zone, options, rng)

    def configure(
        self,
        rates: Mapping[str, Rate],
        seat_count: int,
        now: float,
    ) -> list[Action]:
        """Apply the limits of a revision.

        `seat_count` must be the same in every revision, as the seats of
        existing pools are not divided again.
        """
        self._advance(now)
        self._seat_count = seat_count
        for gone in self.pools.keys() - rates.keys():
            self.pools.pop(gone)
        for name, limit in rates.items():
            pool = self.pools.get(name)
            if pool is None:
                self._add_pool(name, limit, now)
            elif pool.limit != limit:
                pool.configure(limit, now)
        self._loans.reindex()
        return self._collect(now)

    def assign_seats(self, seats: frozenset[int], now: float) -> list[Action]:
        """Own exactly these seats; new ones start without tokens.

        A new seat is used only after loans of its previous owner have
        expired. The first call after a pause assigns nothing, because the
        seats may be outdated.
        """
        if self._advance(now):
            if seats and not self._events:
                self._events.append(SeatsLost(seats))
            return self._collect(now)
        owned = self._state.owned
        if self._state.is_leaving:
            seats &= owned
        free_from = now + self.options.lender_term(self.options.term)
        for pool in self.pools.values():
            pool.expire(now)
            for lost in owned - seats:
                pool.drop(lost, now)
            for fresh in seats - owned:
                pool.claim(fresh, now, free_from)
        if owned != seats:
            owned.clear()
            owned.update(seats)
            self._loans.announce(now)
        return self._collect(now)

    def observe_members(
        self,
        members: Sequence[Member],
        now: float,
    ) -> list[Action]:
        """Update the live instances."""
        self._advance(now)
        before = self._view.live
        if self._view.observe(members):
            self._loans.rebalance(now)
            if self._view.live - before:
                self._loans.announce(now)
        return self._collect(now)

    def reserve(
        self,
        request_id: str,
        workspace: str,
        tokens: float,
        now: float,
    ) -> list[Action]:
        """Charge a request; return one `ReserveOutcome`, now or later."""
        self._advance(now)
        draw = Draw(request_id, workspace, tokens, self.instance)
        self._requests.reserve(draw, now)
        return self._collect(now)

    def settle(
        self,
        request_id: str,
        workspace: str,
        reserved: float,
        used: float,
        now: float,
    ) -> list[Action]:
        """Refund the unused tokens of a reservation, or charge the excess."""
        self._advance(now)
        if used != reserved:
            self._requests.settle(Settle(request_id, workspace, used), now)
        return self._collect(now)

    def receive(
        self,
        message: Envelope,
        sender: str,
        now: float,
    ) -> list[Action]:
        """Handle a batch of messages of another instance."""
        self._advance(now)
        if self._outbox.accept(message, sender):
            for each in message.messages:
                self._handle(each, sender, now)
        return self._collect(now)

    def tick(self, now: float) -> list[Action]:
        """Run the work that is due."""
        self._advance(now)
        self._requests.tick(now)
        self._hand_overs.tick(now)
        if now >= self._renew_at:
            jitter = self._rng.uniform(0.9, 1)
            self._renew_at = now + self.options.renew * jitter
            self._loans.renew_all(now)
            self._requests.prune(now)
        if now >= self._announce_at:
            self._announce_at = now + self.options.announce
            self._loans.announce(now)
        return self._collect(now)

    def drain(self, now: float) -> list[Action]:
        """Start to leave: return borrowed seats and recall lent ones."""
        self._advance(now)
        self._view.leave()
        self._state.is_leaving = True
        self._loans.announce(now)
        self._loans.rebalance(now)
        self._loans.lending.recall(self.pools, now)
        self._hand_overs.tick(now)
        return self._collect(now)

    def is_drained(self) -> bool:
        """Return whether all seats have been returned and handed over."""
        held = any(pool.held_seats for pool in self.pools.values())
        return not held and self._hand_overs.is_done

    def seats_in_use(self, now: float) -> frozenset[int]:
        """Return the seats that neighbours announced within `takeover`."""
        since = now - self.options.takeover
        used = self._loans.used_at.items()
        return frozenset(seat for seat, at in used if at >= since)

    def next_wake(self, now: float) -> float:
        """Return when `tick` has to be called next."""
        moments = (
            self._renew_at,
            self._announce_at,
            self._requests.next_wake(),
            self._hand_overs.next_wake(),
            self._outbox.next_due(),
        )
        return max(now, min(moments))

    def _advance(self, now: float) -> bool:
        """Drop the seats if this process was paused; return whether it was."""
        last = self._last_call_at
        self._last_call_at = now
        is_late = last is not None and now - last > self.options.pause
        if is_late:
            self._drop_seats(now)
        return is_late

    def _drop_seats(self, now: float) -> None:
        for pool in self.pools.values():
            pool.expire(now)
            for seat in tuple(pool.held_seats):
                pool.drop(seat, now)
        if self._state.owned:
            self._events.append(SeatsLost(frozenset(self._state.owned)))
        self._loans.drop_owned()

    def _add_pool(self, name: str, limit: Rate, now: float) -> None:
        pool = Pool(name, limit, self._seat_count, Bucket(now))
        self.pools[name] = pool
        free_from = now + self.options.lender_term(self.options.term)
        for seat in self._state.owned:
            pool.claim(seat, now, free_from)

    def _handle(
        self,
        message: LimitsMessage,
        sender: str,
        now: float,
    ) -> None:
        match message:
            case Draw():
                self._requests.handle_draw(message, now)
            case Grant():
                self._requests.handle_grant(message, sender, now)
            case Refuse():
                self._requests.handle_refusal(message)
            case GrantDelivered():
                self._requests.handle_delivery(message, now)
            case Settle():
                self._requests.handle_settle(message, sender, now)
            case Settled():
                self._settlements.acknowledge(message, sender)
            case _:
                self._handle_loan(message, sender, now)

    def _handle_loan(
        self,
        message: LimitsMessage,
        sender: str,
        now: float,
    ) -> None:
        match message:
            case Announce():
                self._loans.handle_announce(message, sender, now)
            case RequestLoans():
                self._loans.lending.handle_request(message, sender, now)
            case Lend():
                self._loans.borrowing.handle_loans(message, sender, now)
                self._requests.tick(now)
            case Return():
                self._loans.lending.handle_return(message, sender, now)
                self._hand_overs.tick(now)
            case HandOver():
                self._hand_overs.handle_hand_over(message, sender, now)
            case HandedOver():
                self._hand_overs.acknowledge(message)
            case Recall():
                self._loans.handle_recall(message, sender, now)

    def _collect(self, now: float) -> list[Action]:
        answers = self._requests.answers
        actions: list[Action] = [*answers, *self._events]
        answers.clear()
        self._events.clear()
        actions.extend(self._outbox.flush(now))
        return actions
