"""Seats that this instance borrows: asks, loans and returns.

A loan counts from the moment of the ask by the clock of this instance; the
lender repeats that stamp. A loan older than the latest return to the same
lender is void.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf, nextafter

from mintlanding.limits.bucket import Transfer
from mintlanding.limits.messages import Ask, Lend, Loan, Return
from mintlanding.limits.pools import OWN, Hold, Pool
from mintlanding.limits.state import Shares, loan_digest


@dataclass(slots=True)
class _Lender:
    """What was asked of a lender last, and from when its loans count."""

    digest: int = 0
    stamp: float = 0
    not_before: float = 0
    highest: int = 0
    incarnation: int = 0


@dataclass(slots=True)
class Borrowing:
    """The borrower's side of the loans of one instance."""

    shares: Shares
    _lenders: dict[str, _Lender] = field(default_factory=dict)
    _held: dict[str, set[str]] = field(default_factory=dict)
    _last_stamp: float = 0

    def ask(self, lenders: Iterable[str], now: float) -> None:
        """Ask some lenders."""
        for name in lenders:
            stamp = self._stamp(now)
            lender = self._lenders.setdefault(name, _Lender())
            lender.digest = self._digest_of(name, now)
            lender.stamp = stamp
            self.shares.outbox.put(name, Ask(stamp, lender.digest), now)

    def adopt(self, message: Lend, sender: str, now: float) -> None:
        """Take loans over, or extend them."""
        lender = self._lenders.get(sender)
        if lender is None or message.stamp <= lender.not_before:
            return
        incarnation = self.shares.outbox.incarnation_of(sender)
        if lender.incarnation != incarnation:
            lender.incarnation = incarnation
            lender.highest = 0
        if message.is_same and message.stamp == lender.stamp:
            self._extend(lender, sender, now)
        highest = lender.highest
        for loan in message.loans:
            until = message.stamp + loan.term
            hold = Hold(sender, loan.number, loan.term, until)
            lender.highest = max(lender.highest, loan.number)
            if until > now:
                self._adopt_loan(loan, hold, loan.number > highest, now)
        if self.shares.is_leaving:
            self.give_back(tuple(self.shares.pools), now)

    def give_back(
        self,
        workspaces: Iterable[str],
        now: float,
        lender: str = OWN,
    ) -> None:
        """Return borrowed seats, all or those of one lender.

        Seats that are lent on are recalled first.
        """
        loans: dict[str, list[Loan]] = {}
        for workspace in workspaces:
            pool = self.shares.pools.get(workspace)
            if pool is None:
                continue
            pool.expire(now)
            for (name, number), seats in _borrowed(pool).items():
                if lender in {OWN, name}:
                    loan = _give_up(pool, number, seats, now)
                    loans.setdefault(name, []).append(loan)
        for name, each in loans.items():
            stamp = self._stamp(now)
            self._lenders.setdefault(name, _Lender()).not_before = stamp
            self.shares.outbox.put(name, Return(stamp, tuple(each)), now)

    def lenders(self) -> set[str]:
        """Return those that have lent to this instance."""
        return {name for name, held in self._held.items() if held}

    def reindex(self) -> None:
        """Follow a change of the workspaces."""
        for names in self._held.values():
            names.intersection_update(self.shares.pools)

    def _stamp(self, now: float) -> float:
        self._last_stamp = max(now, nextafter(self._last_stamp, inf))
        return self._last_stamp

    def _digest_of(self, lender: str, now: float) -> int:
        digest = 0
        for workspace in tuple(self._held.get(lender, ())):
            pool = self.shares.pools[workspace]
            pool.expire(now)
            numbers = {
                seat: hold.number
                for seat, hold in pool.holds.items()
                if hold.lender == lender
            }
            if not numbers:
                self._held[lender].discard(workspace)
            for seat, number in numbers.items():
                digest ^= loan_digest(workspace, seat, number)
        return digest

    def _extend(self, lender: _Lender, name: str, now: float) -> None:
        if not lender.digest:
            return
        for workspace in self._held.get(name, ()):
            pool = self.shares.pools[workspace]
            pool.expire(now)
            for hold in pool.holds.values():
                if hold.lender == name:
                    hold.until = max(hold.until, lender.stamp + hold.term)

    def _adopt_loan(
        self,
        loan: Loan,
        hold: Hold,
        is_new: bool,
        now: float,
    ) -> None:
        for place, workspace in enumerate(loan.workspaces):
            pool = self.shares.pools.get(workspace)
            if pool is None:
                continue
            pool.expire(now)
            fresh = _extend_seats(pool, loan.seats, hold)
            if not fresh:
                continue
            transfer = Transfer()
            if is_new and loan.tokens:
                part = len(fresh) / len(loan.seats)
                transfer = Transfer(
                    loan.tokens[place] * part,
                    loan.flight[place],
                )
            for seat in fresh:
                pool.drop(seat, now)
            pool.adopt(fresh, hold, transfer, now, self.shares.options.flight)
            self._held.setdefault(hold.lender, set()).add(workspace)
            self._lenders[hold.lender].digest = 0


def _give_up(pool: Pool, number: int, seats: list[int], now: float) -> Loan:
    transfer = pool.give_up(seats, now)
    return Loan(
        number,
        0,
        tuple(seats),
        (pool.workspace,),
        (transfer.tokens,),
        (transfer.flight,),
    )


def _extend_seats(pool: Pool, seats: Iterable[int], hold: Hold) -> list[int]:
    """Extend the seats that are here by the same loan; return the others."""
    fresh = []
    for seat in seats:
        present = pool.holds.get(seat)
        if present is None:
            if seat not in pool.lent:
                fresh.append(seat)
        elif (present.lender, present.number) == (hold.lender, hold.number):
            present.until = max(present.until, hold.until)
        elif present.lender != OWN and seat not in pool.lent:
            fresh.append(seat)
    return fresh


def _borrowed(pool: Pool) -> dict[tuple[str, int], list[int]]:
    """Group the seats that can be returned by their loans."""
    found: dict[tuple[str, int], list[int]] = {}
    for seat in pool.usable():
        hold = pool.holds[seat]
        if hold.lender != OWN:
            found.setdefault((hold.lender, hold.number), []).append(seat)
    return found
