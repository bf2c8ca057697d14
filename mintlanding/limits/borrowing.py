"""Seats that this instance borrows: requests, loans and returns.

The term of a loan begins when it was requested, by the clock of this instance;
the lender echoes that timestamp. A loan that was requested before the latest
return to the same lender is ignored.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf, nextafter

from mintlanding.limits.bucket import Transfer
from mintlanding.limits.messages import Lend, Loan, RequestLoans, Return
from mintlanding.limits.pools import SELF, HeldSeat, Pool
from mintlanding.limits.state import LimitsState, loan_digest


@dataclass(slots=True)
class _Lender:
    """The latest request to a lender, and which of its loans are valid."""

    digest: int = 0
    stamp: float = 0
    not_before: float = 0
    highest_number: int = 0
    incarnation: int = 0


@dataclass(slots=True)
class Borrowing:
    """Loans of one instance, as the borrower."""

    state: LimitsState
    _lenders: dict[str, _Lender] = field(default_factory=dict)
    _borrowed_from: dict[str, set[str]] = field(default_factory=dict)
    _last_stamp: float = 0

    def request_loans(self, lenders: Iterable[str], now: float) -> None:
        """Request new and renewed loans from lenders."""
        for name in lenders:
            stamp = self._stamp(now)
            lender = self._lenders.setdefault(name, _Lender())
            lender.digest = self._digest_of(name, now)
            lender.stamp = stamp
            self.state.outbox.put(name, RequestLoans(stamp, lender.digest), now)

    def handle_loans(self, message: Lend, sender: str, now: float) -> None:
        """Add the seats of new loans and extend existing ones."""
        lender = self._lenders.get(sender)
        if lender is None or message.stamp <= lender.not_before:
            return
        incarnation = self.state.outbox.incarnation_of(sender)
        if lender.incarnation != incarnation:
            lender.incarnation = incarnation
            lender.highest_number = 0
        if message.is_same and message.stamp == lender.stamp:
            self._extend(lender, sender, now)
        highest_number = lender.highest_number
        for loan in message.loans:
            until = message.stamp + loan.term
            held = HeldSeat(sender, loan.number, loan.term, until)
            lender.highest_number = max(lender.highest_number, loan.number)
            if until > now:
                self._accept_loan(loan, held, loan.number > highest_number, now)
        if self.state.is_leaving:
            self.return_seats(tuple(self.state.pools), now)

    def return_seats(
        self,
        workspaces: Iterable[str],
        now: float,
        lender: str = SELF,
    ) -> None:
        """Return borrowed seats, of all lenders or of one.

        Seats that are lent to others have to be recalled before.
        """
        loans: dict[str, list[Loan]] = {}
        for workspace in workspaces:
            pool = self.state.pools.get(workspace)
            if pool is None:
                continue
            pool.expire(now)
            for (name, number), seats in _borrowed(pool).items():
                if lender in {SELF, name}:
                    loan = _return_loan(pool, number, seats, now)
                    loans.setdefault(name, []).append(loan)
        for name, each in loans.items():
            stamp = self._stamp(now)
            self._lenders.setdefault(name, _Lender()).not_before = stamp
            self.state.outbox.put(name, Return(stamp, tuple(each)), now)

    def lenders(self) -> set[str]:
        """Return the instances that have lent seats to this one."""
        return {name for name, held in self._borrowed_from.items() if held}

    def reindex(self) -> None:
        """Forget workspaces that were removed."""
        for names in self._borrowed_from.values():
            names.intersection_update(self.state.pools)

    def _stamp(self, now: float) -> float:
        self._last_stamp = max(now, nextafter(self._last_stamp, inf))
        return self._last_stamp

    def _digest_of(self, lender: str, now: float) -> int:
        digest = 0
        for workspace in tuple(self._borrowed_from.get(lender, ())):
            pool = self.state.pools[workspace]
            pool.expire(now)
            numbers = {
                seat: held.number
                for seat, held in pool.held_seats.items()
                if held.lender == lender
            }
            if not numbers:
                self._borrowed_from[lender].discard(workspace)
            for seat, number in numbers.items():
                digest ^= loan_digest(workspace, seat, number)
        return digest

    def _extend(self, lender: _Lender, name: str, now: float) -> None:
        if not lender.digest:
            return
        for workspace in self._borrowed_from.get(name, ()):
            pool = self.state.pools[workspace]
            pool.expire(now)
            for held in pool.held_seats.values():
                if held.lender == name:
                    held.until = max(held.until, lender.stamp + held.term)

    def _accept_loan(
        self,
        loan: Loan,
        held: HeldSeat,
        is_new: bool,
        now: float,
    ) -> None:
        for index, workspace in enumerate(loan.workspaces):
            pool = self.state.pools.get(workspace)
            if pool is None:
                continue
            pool.expire(now)
            fresh = _extend_seats(pool, loan.seats, held)
            if not fresh:
                continue
            transfer = Transfer()
            if is_new and loan.tokens:
                fraction = len(fresh) / len(loan.seats)
                transfer = Transfer(
                    loan.tokens[index] * fraction,
                    loan.in_flight[index],
                )
            for seat in fresh:
                pool.drop(seat, now)
            pool.add_borrowed(
                fresh, held, transfer, now, self.state.options.delivery_time
            )
            self._borrowed_from.setdefault(held.lender, set()).add(workspace)
            self._lenders[held.lender].digest = 0


def _return_loan(pool: Pool, number: int, seats: list[int], now: float) -> Loan:
    transfer = pool.release(seats, now)
    return Loan(
        number,
        0,
        tuple(seats),
        (pool.workspace,),
        (transfer.tokens,),
        (transfer.in_flight,),
    )


def _extend_seats(
    pool: Pool, seats: Iterable[int], held: HeldSeat
) -> list[int]:
    """Extend the seats already held by this loan; return the new ones."""
    fresh = []
    for seat in seats:
        present = pool.held_seats.get(seat)
        if present is None:
            if seat not in pool.lent_seats:
                fresh.append(seat)
        elif (present.lender, present.number) == (held.lender, held.number):
            present.until = max(present.until, held.until)
        elif present.lender != SELF and seat not in pool.lent_seats:
            fresh.append(seat)
    return fresh


def _borrowed(pool: Pool) -> dict[tuple[str, int], list[int]]:
    """Return the seats that can be returned, grouped by loan."""
    found: dict[tuple[str, int], list[int]] = {}
    for seat in pool.usable():
        held = pool.held_seats[seat]
        if held.lender != SELF:
            found.setdefault((held.lender, held.number), []).append(seat)
    return found
