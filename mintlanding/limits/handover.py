"""Hand-over of seats at a planned stop.

A leaving instance gives its seats to live instances of its zone once they are
no longer lent. The message carries a timestamp of the receiver's clock, so
that it can reject a hand-over that arrives after another instance may have
claimed the seats.
"""

from dataclasses import dataclass, field

from mintlanding.limits.bucket import Transfer
from mintlanding.limits.holders import rendezvous
from mintlanding.limits.loans import Loans
from mintlanding.limits.messages import (
    Event,
    HandedOver,
    HandOver,
    Loan,
    SeatsHandedOver,
    SeatsReceived,
)
from mintlanding.limits.pools import SELF, Pool


@dataclass(slots=True)
class _PendingHandOver:
    """A hand-over that is repeated until the receiver acknowledges it.

    The next life of the receiver must not get it: the one before may have
    accepted it and have spent its tokens.
    """

    receiver: str
    incarnation: int
    message: HandOver
    due: float


@dataclass(slots=True)
class HandOvers:
    """Hand-overs of one instance, sent and received."""

    loans: Loans
    events: list[Event]
    _pending: dict[int, _PendingHandOver] = field(default_factory=dict)
    _accepted: set[tuple[str, int, int]] = field(default_factory=set)
    _last_number: int = 0

    @property
    def is_done(self) -> bool:
        """Return whether nothing is left to hand over."""
        return not self.loans.state.owned and not self._pending

    def tick(self, now: float) -> None:
        """Hand over seats that are not lent; repeat unacknowledged messages."""
        if not self.loans.state.is_leaving:
            return
        for successor, seats in self._successors(now).items():
            self._hand_over(successor, tuple(seats), now)
        self._drop_outdated()
        retry = self.loans.state.options.settle_retry
        for pending in self._pending.values():
            if pending.due <= now:
                pending.due = now + retry
                receiver = pending.receiver
                self.loans.state.outbox.put(receiver, pending.message, now)

    def next_wake(self) -> float:
        """Return when the next hand-over is repeated."""
        dues = (each.due for each in self._pending.values())
        return min(dues, default=float('inf'))

    def handle_hand_over(
        self, message: HandOver, sender: str, now: float
    ) -> None:
        """Own the seats of a leaving instance and acknowledge them."""
        incarnation = self.loans.state.outbox.incarnation_of(sender)
        key = (sender, incarnation, message.number)
        if key in self._accepted:
            self.loans.state.outbox.put(sender, HandedOver(message.number), now)
            return
        age = now - message.stamp
        if not 0 <= age <= self.loans.state.options.grace / 2:
            return
        if self.loans.state.is_leaving:
            return
        self._accepted.add(key)
        self.loans.state.outbox.put(sender, HandedOver(message.number), now)
        self.loans.state.owned.update(message.seats)
        transfers = {loan.workspaces[0]: loan for loan in message.loans}
        for name, pool in self.loans.state.pools.items():
            pool.expire(now)
            for seat in message.seats:
                pool.claim(seat, now, now)
            loan = transfers.get(name)
            if loan is not None:
                transfer = Transfer(loan.tokens[0], loan.in_flight[0])
                until = now + self.loans.state.options.delivery_time
                pool.bucket.add(transfer, now, until)
        self.events.append(SeatsReceived(frozenset(message.seats)))
        self.loans.announce(now)
        self.loans.lending.lend_free_to_all(now)

    def acknowledge(self, message: HandedOver) -> None:
        """Stop repeating a hand-over."""
        self._pending.pop(message.number, None)

    def _drop_outdated(self) -> None:
        outbox = self.loans.state.outbox
        self._pending = {
            number: pending
            for number, pending in self._pending.items()
            if outbox.incarnation_of(pending.receiver) == pending.incarnation
        }

    def _has_announced(self, name: str) -> bool:
        stamp = self.loans.stamps.get(name)
        incarnation = self.loans.state.outbox.incarnation_of(name)
        return stamp is not None and stamp[0] == incarnation

    def _successors(self, now: float) -> dict[str, list[int]]:
        state = self.loans.state
        names = sorted(filter(self._has_announced, state.view.zone_peers()))
        chosen: dict[str, list[int]] = {}
        if not names:
            return chosen
        for seat in sorted(state.owned):
            if all(
                _can_hand_over(pool, seat, now) for pool in state.pools.values()
            ):
                receiver = rendezvous(f'seat/{seat}', names)
                chosen.setdefault(receiver, []).append(seat)
        return chosen

    def _hand_over(
        self, receiver: str, seats: tuple[int, ...], now: float
    ) -> None:
        state = self.loans.state
        moved = []
        for name, pool in state.pools.items():
            pool.expire(now)
            transfer = pool.release(list(seats), now)
            moved.append(
                Loan(
                    0,
                    0,
                    seats,
                    (name,),
                    (transfer.tokens,),
                    (transfer.in_flight,),
                ),
            )
        state.owned.difference_update(seats)
        self._last_number += 1
        incarnation, stamp = self.loans.stamps[receiver]
        message = HandOver(self._last_number, stamp, seats, tuple(moved))
        pending = _PendingHandOver(receiver, incarnation, message, now)
        self._pending[self._last_number] = pending
        self.events.append(SeatsHandedOver(frozenset(seats)))


def _can_hand_over(pool: Pool, seat: int, now: float) -> bool:
    pool.expire(now)
    held = pool.held_seats.get(seat)
    return (
        held is not None and held.lender == SELF and seat not in pool.lent_seats
    )
