"""Hand-over of seats at a planned stop.

The leaving instance gives its seats to live instances of its zone once they
are home. It names the receiver's own clock, so that a hand-over which arrives
after the seats may have been claimed by another is not taken.
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
from mintlanding.limits.pools import OWN, Pool


@dataclass(slots=True)
class _Unconfirmed:
    """A hand-over that is repeated until the receiver has confirmed it."""

    receiver: str
    message: HandOver
    due: float


@dataclass(slots=True)
class HandOvers:
    """Hand-overs of one instance, in both directions."""

    loans: Loans
    events: list[Event]
    _unconfirmed: dict[int, _Unconfirmed] = field(default_factory=dict)
    _taken: set[tuple[str, int, int]] = field(default_factory=set)
    _last_number: int = 0

    @property
    def is_done(self) -> bool:
        """Tell whether nothing is left to hand over."""
        return not self.loans.shares.owned and not self._unconfirmed

    def tick(self, now: float) -> None:
        """Hand over what is home; repeat what has not been confirmed."""
        if not self.loans.shares.is_leaving:
            return
        for successor, seats in self._successors(now).items():
            self._give(successor, tuple(seats), now)
        retry = self.loans.shares.options.settle_retry
        for unconfirmed in self._unconfirmed.values():
            if unconfirmed.due <= now:
                unconfirmed.due = now + retry
                receiver = unconfirmed.receiver
                self.loans.shares.outbox.put(receiver, unconfirmed.message, now)

    def next_wake(self) -> float:
        """Return when a hand-over is repeated."""
        dues = (each.due for each in self._unconfirmed.values())
        return min(dues, default=float('inf'))

    def take(self, message: HandOver, sender: str, now: float) -> None:
        """Own the seats that a leaving instance gives, and confirm."""
        incarnation = self.loans.shares.outbox.incarnation_of(sender)
        key = (sender, incarnation, message.number)
        if key in self._taken:
            self.loans.shares.outbox.put(
                sender, HandedOver(message.number), now
            )
            return
        if now - message.stamp > self.loans.shares.options.grace / 2:
            return
        if self.loans.shares.is_leaving:
            return
        self._taken.add(key)
        self.loans.shares.outbox.put(sender, HandedOver(message.number), now)
        self.loans.shares.owned.update(message.seats)
        transfers = {loan.workspaces[0]: loan for loan in message.loans}
        for name, pool in self.loans.shares.pools.items():
            pool.expire(now)
            for seat in message.seats:
                pool.claim(seat, now, now)
            loan = transfers.get(name)
            if loan is not None:
                transfer = Transfer(loan.tokens[0], loan.flight[0])
                until = now + self.loans.shares.options.flight
                pool.bucket.put(transfer, now, until)
        self.events.append(SeatsReceived(frozenset(message.seats)))
        self.loans.announce(now)
        self.loans.lending.push_all(now)

    def confirm(self, message: HandedOver) -> None:
        """Stop repeating a hand-over."""
        self._unconfirmed.pop(message.number, None)

    def _successors(self, now: float) -> dict[str, list[int]]:
        shares = self.loans.shares
        names = sorted(set(shares.view.zone_peers()) & self.loans.stamps.keys())
        chosen: dict[str, list[int]] = {}
        if not names:
            return chosen
        for seat in sorted(shares.owned):
            if all(_is_home(pool, seat, now) for pool in shares.pools.values()):
                receiver = rendezvous(f'seat/{seat}', names)
                chosen.setdefault(receiver, []).append(seat)
        return chosen

    def _give(self, receiver: str, seats: tuple[int, ...], now: float) -> None:
        shares = self.loans.shares
        moved = []
        for name, pool in shares.pools.items():
            pool.expire(now)
            transfer = pool.give_up(list(seats), now)
            moved.append(
                Loan(
                    0,
                    0,
                    seats,
                    (name,),
                    (transfer.tokens,),
                    (transfer.flight,),
                ),
            )
        shares.owned.difference_update(seats)
        self._last_number += 1
        stamp = self.loans.stamps[receiver]
        message = HandOver(self._last_number, stamp, seats, tuple(moved))
        unconfirmed = _Unconfirmed(receiver, message, now)
        self._unconfirmed[self._last_number] = unconfirmed
        self.events.append(SeatsHandedOver(frozenset(seats)))


def _is_home(pool: Pool, seat: int, now: float) -> bool:
    pool.expire(now)
    hold = pool.holds.get(seat)
    return hold is not None and hold.lender == OWN and seat not in pool.lent
