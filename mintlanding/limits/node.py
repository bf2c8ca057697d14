"""Fleet-wide limits at one instance: state and events in, actions out."""

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
    Ask,
    Draw,
    Envelope,
    Event,
    Grant,
    HandedOver,
    HandOver,
    Landed,
    Lend,
    LimitsMessage,
    Recall,
    Refuse,
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
from mintlanding.limits.state import Shares
from mintlanding.membership.models import Member


class LimitsNode:
    """Token limits of all workspaces as one instance sees them."""

    def __init__(
        self,
        instance: str,
        incarnation: int,
        zone: str,
        options: LimitsOptions,
        rnd: random.Random,
    ) -> None:
        """Begin without seats and without limits."""
        self.instance = instance
        self.incarnation = incarnation
        self.options = options
        self.pools: dict[str, Pool] = {}
        self._rnd = rnd
        self._seat_count = 1
        self._last_event: float | None = None
        self._events: list[Event] = []
        self._renew_at = 0.0
        self._announce_at = 0.0
        self._outbox = Outbox(incarnation)
        self._view = HolderView(instance, zone, options.flat_members)
        parts = (options, self._view, self._outbox, self.pools)
        self._shares = Shares(*parts)
        self._loans = Loans.from_shares(self._shares)
        self._settlements = Settlements(options, self._outbox)
        self._requests = Requests(*parts, self._settlements)
        self._hand_overs = HandOvers(self._loans, self._events)

    @classmethod
    def from_config(
        cls,
        instance: str,
        incarnation: int,
        zone: str,
        options: LimitsOptions,
        rnd: random.Random,
    ) -> Self:
        """Build the node of an instance; incarnations rise with restarts."""
        return cls(instance, incarnation, zone, options, rnd)

    def configure(
        self,
        rates: Mapping[str, Rate],
        seat_count: int,
        now: float,
    ) -> list[Action]:
        """Apply the limits of a revision; `seat_count` stays for good."""
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
        """Use exactly these seats as its own; new ones begin empty.

        A new seat is used only after the loans of its last owner are over.
        The first call after a pause owns nothing: the seats may be outdated.
        """
        if self._advance(now):
            if seats and not self._events:
                self._events.append(SeatsLost(seats))
            return self._collect(now)
        owned = self._shares.owned
        if self._shares.is_leaving:
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
        """Follow a change of the live instances."""
        self._advance(now)
        before = self._view.live
        if self._view.observe(members):
            self._loans.follow_view(now)
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
        """Charge a request; ends in exactly one `Answer`, now or later."""
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
        """Refund what is unused of a reservation, or charge what is more."""
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
        """Take a batch of another instance."""
        self._advance(now)
        if self._outbox.accept(message, sender):
            for each in message.messages:
                self._handle(each, sender, now)
        return self._collect(now)

    def tick(self, now: float) -> list[Action]:
        """Do what is due."""
        self._advance(now)
        self._requests.tick(now)
        self._hand_overs.tick(now)
        if now >= self._renew_at:
            jitter = self._rnd.uniform(0.9, 1)
            self._renew_at = now + self.options.renew * jitter
            self._loans.ask_all(now)
            self._requests.prune(now)
        if now >= self._announce_at:
            self._announce_at = now + self.options.announce
            self._loans.announce(now)
        return self._collect(now)

    def drain(self, now: float) -> list[Action]:
        """Leave: give back what is borrowed and recall what is lent."""
        self._advance(now)
        self._view.leave()
        self._shares.is_leaving = True
        self._loans.announce(now)
        self._loans.follow_view(now)
        self._loans.lending.recall(self.pools, now)
        self._hand_overs.tick(now)
        return self._collect(now)

    def is_drained(self) -> bool:
        """Tell whether nothing of other instances depends on this one."""
        held = any(pool.holds for pool in self.pools.values())
        return not held and self._hand_overs.is_done

    def seats_in_use(self, now: float) -> frozenset[int]:
        """Return the seats that neighbours have said they use."""
        since = now - self.options.takeover
        used = self._loans.used.items()
        return frozenset(seat for seat, at in used if at >= since)

    def next_wake(self, now: float) -> float:
        """Return when `tick` is wanted next."""
        moments = (
            self._renew_at,
            self._announce_at,
            self._requests.next_wake(),
            self._hand_overs.next_wake(),
            self._outbox.next_due(),
        )
        return max(now, min(moments))

    def _advance(self, now: float) -> bool:
        """Drop the seats after a pause; return whether there was one."""
        last = self._last_event
        self._last_event = now
        is_late = last is not None and now - last > self.options.pause
        if is_late:
            self._forget_seats(now)
        return is_late

    def _forget_seats(self, now: float) -> None:
        for pool in self.pools.values():
            pool.expire(now)
            for seat in tuple(pool.holds):
                pool.drop(seat, now)
        if self._shares.owned:
            self._events.append(SeatsLost(frozenset(self._shares.owned)))
        self._loans.forget()

    def _add_pool(self, name: str, limit: Rate, now: float) -> None:
        pool = Pool(name, limit, self._seat_count, Bucket(now))
        self.pools[name] = pool
        free_from = now + self.options.lender_term(self.options.term)
        for seat in self._shares.owned:
            pool.claim(seat, now, free_from)

    def _handle(
        self,
        message: LimitsMessage,
        sender: str,
        now: float,
    ) -> None:
        match message:
            case Draw():
                self._requests.draw(message, now)
            case Grant():
                self._requests.grant(message, sender, now)
            case Refuse():
                self._requests.refuse(message)
            case Landed():
                self._requests.land(message, now)
            case Settle():
                self._requests.settle_draw(message, sender, now)
            case Settled():
                self._settlements.confirm(message, sender)
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
                self._loans.hear(message, sender, now)
            case Ask():
                self._loans.lending.answer(message, sender, now)
            case Lend():
                self._loans.borrowing.adopt(message, sender, now)
                self._requests.tick(now)
            case Return():
                self._loans.lending.take_back(message, sender, now)
                self._hand_overs.tick(now)
            case HandOver():
                self._hand_overs.take(message, sender, now)
            case HandedOver():
                self._hand_overs.confirm(message)
            case Recall():
                self._loans.return_recalled(message, sender, now)

    def _collect(self, now: float) -> list[Action]:
        answers = self._requests.answers
        actions: list[Action] = [*answers, *self._events]
        answers.clear()
        self._events.clear()
        actions.extend(self._outbox.flush(now))
        return actions
