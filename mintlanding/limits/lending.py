"""Seats that this instance lends: renewals, new loans and recalls.

A seat has one user at a time: a loan counts as running until the borrower has
returned it or `LimitsOptions.lender_term` is over. An ask or a return that is
older than the latest one of the same process is ignored.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from mintlanding.limits.bucket import Transfer
from mintlanding.limits.messages import Ask, Lend, Loan, Recall, Return
from mintlanding.limits.pools import NOBODY, Lent, Pool
from mintlanding.limits.state import Shares, loan_digest

Groups = dict[tuple[int, float, tuple[int, ...]], list[str]]


@dataclass(slots=True)
class _Borrower:
    """The latest stamp of a process that asks for loans."""

    incarnation: int
    stamp: float
    asked_at: float = -inf


@dataclass(slots=True)
class Lending:
    """The lender's side of the loans of one instance."""

    shares: Shares
    _borrowers: dict[str, _Borrower] = field(default_factory=dict)
    _lent_to: dict[str, set[str]] = field(default_factory=dict)
    _children: dict[str, list[Pool]] = field(default_factory=dict)
    _next_number: int = 0

    def answer(self, message: Ask, sender: str, now: float) -> None:
        """Lend the sender what it should hold by the view from here."""
        if not self._is_latest(sender, message.stamp):
            return
        self._borrowers[sender].asked_at = now
        groups: Groups = {}
        digest = self._renew_all(sender, now, groups)
        is_same = bool(digest) and digest == message.digest
        loans = [] if is_same else _loans(groups, {})
        loans += self._lend_new(sender, now)
        if is_same or loans:
            reply = Lend(message.stamp, is_same, tuple(loans))
            self.shares.outbox.put(sender, reply, now)
        self._recall_strays(sender, now)

    def take_back(self, message: Return, sender: str, now: float) -> None:
        """Use returned seats again, with the tokens that came along."""
        if not self._is_latest(sender, message.stamp):
            return
        self._borrowers[sender].asked_at = -inf
        parents: set[str] = set()
        for loan in message.loans:
            pool = self.shares.pools.get(loan.workspaces[0])
            if pool is None:
                continue
            pool.expire(now)
            incarnation = self.shares.outbox.incarnation_of(sender)
            loan_key = (sender, incarnation, loan.number)
            seats = [
                seat
                for seat in loan.seats
                if _loan_key(pool.lent.get(seat)) == loan_key
            ]
            if not seats:
                continue
            part = len(seats) / len(loan.seats)
            transfer = Transfer(loan.tokens[0] * part, loan.flight[0])
            pool.take_back(seats, transfer, now, self.shares.options.flight)
            parents.add(self.shares.view.parent(pool.workspace))
        for parent in sorted(parents):
            self.push(parent, now)

    def recall(self, workspaces: Iterable[str], now: float) -> None:
        """Ask the borrowers of some workspaces for what they have."""
        wanted: dict[str, list[str]] = {}
        for workspace in workspaces:
            pool = self.shares.pools.get(workspace)
            if pool is None:
                continue
            for name in {lent.borrower for lent in pool.lent.values()}:
                wanted.setdefault(name, []).append(workspace)
        wanted.pop(NOBODY, None)
        for name, each in wanted.items():
            self.shares.outbox.put(name, Recall(tuple(each)), now)

    def recall_strays(self, now: float) -> None:
        """Ask for what another should hold by the view from here."""
        strays = [
            workspace
            for workspace, pool in self.shares.pools.items()
            if self._has_stray(pool)
        ]
        self.recall(strays, now)

    def push_all(self, now: float) -> None:
        """Lend what has become free to all that asked a moment ago."""
        for name in sorted(self._borrowers):
            self.push(name, now)

    def push(self, borrower: str, now: float) -> None:
        """Lend what has become free to one that asked a moment ago."""
        latest = self._borrowers.get(borrower)
        if latest is None or now - latest.asked_at > self.shares.options.renew:
            return
        if latest.incarnation != self.shares.outbox.incarnation_of(borrower):
            return
        loans = self._lend_new(borrower, now)
        if loans:
            reply = Lend(latest.stamp, False, tuple(loans))  # noqa: WPS425
            self.shares.outbox.put(borrower, reply, now)

    def reindex(self) -> None:
        """Follow a change of the view or of the workspaces."""
        self._children.clear()
        for names in self._lent_to.values():
            names.intersection_update(self.shares.pools)

    def _is_latest(self, sender: str, stamp: float) -> bool:
        incarnation = self.shares.outbox.incarnation_of(sender)
        latest = self._borrowers.get(sender)
        if latest is None or latest.incarnation != incarnation:
            latest = _Borrower(incarnation, -inf)
            self._borrowers[sender] = latest
        if stamp <= latest.stamp:
            return False
        latest.stamp = stamp
        return True

    def _pools_of(self, borrower: str) -> list[Pool]:
        if not self._children:
            for pool in self.shares.pools.values():
                parent = self.shares.view.parent(pool.workspace)
                self._children.setdefault(parent, []).append(pool)
        return self._children.get(borrower, [])

    def _has_stray(self, pool: Pool) -> bool:
        parent = self.shares.view.parent(pool.workspace)
        return any(
            lent.borrower not in {parent, NOBODY} for lent in pool.lent.values()
        )

    def _renew_all(self, sender: str, now: float, groups: Groups) -> int:
        if self.shares.is_leaving:
            return 0
        digest = 0
        for pool in self._pools_of(sender):
            pool.expire(now)
            digest ^= self._renew(pool, sender, now, groups)
        return digest

    def _renew(
        self,
        pool: Pool,
        sender: str,
        now: float,
        groups: Groups,
    ) -> int:
        digest = 0
        incarnation = self.shares.outbox.incarnation_of(sender)
        seats: dict[tuple[int, float], list[int]] = {}
        for seat, lent in pool.lent.items():
            if (lent.borrower, lent.incarnation) != (sender, incarnation):
                continue
            until = now + self.shares.options.lender_term(lent.term)
            hold = pool.holds.get(seat)
            if hold is None or hold.until < until:
                continue
            lent.until = until
            digest ^= loan_digest(pool.workspace, seat, lent.number)
            seats.setdefault((lent.number, lent.term), []).append(seat)
        for (number, term), each in seats.items():
            key = (number, term, tuple(each))
            groups.setdefault(key, []).append(pool.workspace)
        return digest

    def _lend_new(self, sender: str, now: float) -> list[Loan]:
        if self.shares.is_leaving:
            return []
        groups: Groups = {}
        transfers: dict[str, Transfer] = {}
        self._next_number += 1
        incarnation = self.shares.outbox.incarnation_of(sender)
        for pool in self._pools_of(sender):
            pool.expire(now)
            term = self._term(sender)
            until = now + self.shares.options.lender_term(term)
            seats = [
                seat
                for seat in pool.usable()
                if pool.holds[seat].until >= until
            ]
            if not seats:
                continue
            lent = Lent(sender, incarnation, self._next_number, term, until)
            transfers[pool.workspace] = pool.lend(seats, lent, now)
            self._lent_to.setdefault(sender, set()).add(pool.workspace)
            key = (self._next_number, term, tuple(seats))
            groups.setdefault(key, []).append(pool.workspace)
        return _loans(groups, transfers)

    def _term(self, borrower: str) -> float:
        if (
            self.shares.view.is_flat
            or borrower in self.shares.view.neighbours()
        ):
            return self.shares.options.term
        return self.shares.options.zone_term

    def _recall_strays(self, sender: str, now: float) -> None:
        strays = [
            workspace
            for workspace in self._lent_to.get(sender, ())
            if self.shares.is_leaving
            or self.shares.view.parent(workspace) != sender
        ]
        if strays:
            self.shares.outbox.put(sender, Recall(tuple(sorted(strays))), now)
            self._lent_to.pop(sender)


def _loan_key(lent: Lent | None) -> tuple[str, int, int] | None:
    return (lent.borrower, lent.incarnation, lent.number) if lent else None


def _loans(groups: Groups, transfers: dict[str, Transfer]) -> list[Loan]:
    loans = []
    for (number, term, seats), workspaces in groups.items():
        each = [transfers.get(name, Transfer()) for name in workspaces]
        tokens = tuple(one.tokens for one in each) if transfers else ()
        flight = tuple(one.flight for one in each) if transfers else ()
        loans.append(
            Loan(number, term, seats, tuple(workspaces), tokens, flight),
        )
    return loans
