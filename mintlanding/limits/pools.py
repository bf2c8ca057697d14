"""Seats of one workspace at one instance: owned, borrowed and lent."""

from dataclasses import dataclass, field, replace

from mintlanding.limits.bucket import Bucket, Transfer
from mintlanding.limits.options import Rate

# Both are the empty name: SELF as a lender, NO_INSTANCE as a borrower.
SELF = ''
NO_INSTANCE = ''
_FOREVER = float('inf')


@dataclass(slots=True)
class HeldSeat:
    """A seat that this instance may use until `until`.

    The lender of an owned seat is SELF.
    """

    lender: str
    number: int
    term: float
    until: float


@dataclass(slots=True)
class LentSeat:
    """A seat lent to a process until `until`, by the lender's clock.

    NO_INSTANCE as borrower stands for a loan that the previous owner of the
    seat may have made and that may not have expired yet.
    """

    borrower: str
    incarnation: int
    number: int
    term: float
    until: float


@dataclass(slots=True)
class Pool:
    """The seats of a workspace at this instance and the bucket they fill."""

    workspace: str
    limit: Rate
    seat_count: int
    bucket: Bucket
    held_seats: dict[int, HeldSeat] = field(default_factory=dict)
    lent_seats: dict[int, LentSeat] = field(default_factory=dict)
    next_expiry: float = _FOREVER

    def configure(self, limit: Rate, now: float) -> None:
        """Apply a new limit to the bucket."""
        self.expire(now)
        self.limit = limit
        self._resize(now)

    def usable(self) -> list[int]:
        """Return the seats whose tokens accrue here."""
        return [seat for seat in self.held_seats if seat not in self.lent_seats]

    def has_relent(self, lender: str) -> bool:
        """Return whether seats borrowed from `lender` are lent to others."""
        held_seats = self.held_seats
        return any(
            seat in held_seats and held_seats[seat].lender == lender
            for seat in self.lent_seats
        )

    def expire(self, now: float) -> None:
        """Drop expired loans; their tokens are lost."""
        if self.next_expiry > now:
            return
        for end in sorted(each for each in self._expiries() if each <= now):
            self._expire_at(end)
        self.next_expiry = min(self._expiries(), default=_FOREVER)

    def claim(self, seat: int, now: float, free_from: float) -> None:
        """Own a seat; no instance may use it before `free_from`."""
        self.drop(seat, now)
        self.held_seats[seat] = HeldSeat(SELF, 0, _FOREVER, _FOREVER)
        if free_from > now:
            self.lent_seats[seat] = LentSeat(NO_INSTANCE, 0, 0, 0, free_from)
            self.next_expiry = min(self.next_expiry, free_from)
        self._resize(now)

    def drop(self, seat: int, now: float) -> None:
        """Stop using a seat; its tokens are lost."""
        if self.held_seats.pop(seat, None) is not None:
            self._resize(now)

    def add_borrowed(
        self,
        seats: list[int],
        held: HeldSeat,
        transfer: Transfer,
        now: float,
        delivery_time: float,
    ) -> None:
        """Use borrowed seats and the tokens that came with them."""
        for seat in seats:
            self.held_seats[seat] = replace(held)
        self.next_expiry = min(self.next_expiry, held.until)
        self._resize(now)
        self.bucket.add(transfer, now, now + delivery_time)

    def lend(self, seats: list[int], lent: LentSeat, now: float) -> Transfer:
        """Stop using seats here; return the tokens that move with them."""
        transfer = self.bucket.take_fraction(self._fraction(len(seats)), now)
        for seat in seats:
            self.lent_seats[seat] = replace(lent)
        self.next_expiry = min(self.next_expiry, lent.until)
        self._resize(now)
        return transfer

    def release(self, seats: list[int], now: float) -> Transfer:
        """Remove usable seats; return the tokens that move with them."""
        transfer = self.bucket.take_fraction(self._fraction(len(seats)), now)
        for seat in seats:
            self.held_seats.pop(seat)
        self._resize(now)
        return transfer

    def take_back(
        self,
        seats: list[int],
        transfer: Transfer,
        now: float,
        delivery_time: float,
    ) -> None:
        """Use seats that a borrower has returned, and their tokens."""
        for seat in seats:
            self.lent_seats.pop(seat)
        self._resize(now)
        self.bucket.add(transfer, now, now + delivery_time)

    def _expiries(self) -> set[float]:
        ends = {held.until for held in self.held_seats.values()}
        ends.update(lent.until for lent in self.lent_seats.values())
        ends.discard(_FOREVER)
        return ends

    def _expire_at(self, end: float) -> None:
        for seat in tuple(self.held_seats):
            if self.held_seats[seat].until <= end:
                self.held_seats.pop(seat)
        self._resize(end)
        for seat in tuple(self.lent_seats):
            if self.lent_seats[seat].until <= end:
                self.lent_seats.pop(seat)
        self._resize(end)

    def _fraction(self, count: int) -> float:
        return count / max(len(self.usable()), 1)

    def _resize(self, now: float) -> None:
        fraction = len(self.usable()) / self.seat_count
        rate = self.limit.rate * fraction
        capacity = self.limit.burst * fraction
        self.bucket.resize(rate, capacity, now)
