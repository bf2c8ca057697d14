"""Seats that this instance lends: renewals, new loans and recalls.

A seat has one user at a time: a loan counts as running until the borrower has
returned it or `LimitsOptions.lender_term` has passed. A request or a return
that is older than the latest one of the same process is ignored.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from mintlanding.limits.bucket import Transfer
from mintlanding.limits.messages import Lend, Loan, Recall, RequestLoans, Return
from mintlanding.limits.pools import NO_INSTANCE, LentSeat, Pool
from mintlanding.limits.state import LimitsState, loan_digest

Groups = dict[tuple[int, float, tuple[int, ...]], list[str]]


@dataclass(slots=True)
class _Borrower:
    """Timestamp of the latest message of a process that requests loans."""

    incarnation: int
    stamp: float
    requested_at: float = -inf


@dataclass(slots=True)
class Lending:
    """Loans of one instance, as the lender."""

    state: LimitsState
    _borrowers: dict[str, _Borrower] = field(default_factory=dict)
    _lent_to: dict[str, set[str]] = field(default_factory=dict)
    _pools_by_parent: dict[str, list[Pool]] = field(default_factory=dict)
    _next_number: int = 0

    def handle_request(
        self, message: RequestLoans, sender: str, now: float
    ) -> None:
        """Renew the sender's loans and lend it seats that it should hold."""
        if not self._is_latest(sender, message.stamp):
            return
        self._borrowers[sender].requested_at = now
        groups: Groups = {}
        digest = self._renew_all(sender, now, groups)
        is_same = bool(digest) and digest == message.digest
        loans = [] if is_same else _loans(groups, {})
        loans += self._lend_new(sender, now)
        if is_same or loans:
            reply = Lend(message.stamp, is_same, tuple(loans))
            self.state.outbox.put(sender, reply, now)
        self._recall_misplaced_from(sender, now)

    def handle_return(self, message: Return, sender: str, now: float) -> None:
        """Use returned seats again, with the tokens that came with them."""
        if not self._is_latest(sender, message.stamp):
            return
        self._borrowers[sender].requested_at = -inf
        parents: set[str] = set()
        for loan in message.loans:
            pool = self.state.pools.get(loan.workspaces[0])
            if pool is None:
                continue
            pool.expire(now)
            incarnation = self.state.outbox.incarnation_of(sender)
            loan_key = (sender, incarnation, loan.number)
            seats = [
                seat
                for seat in loan.seats
                if _loan_key(pool.lent_seats.get(seat)) == loan_key
            ]
            if not seats:
                continue
            fraction = len(seats) / len(loan.seats)
            transfer = Transfer(loan.tokens[0] * fraction, loan.in_flight[0])
            pool.take_back(
                seats, transfer, now, self.state.options.delivery_time
            )
            parents.add(self.state.view.parent(pool.workspace))
        for parent in sorted(parents):
            self.lend_free_to(parent, now)

    def recall(self, workspaces: Iterable[str], now: float) -> None:
        """Recall all lent seats of some workspaces from their borrowers."""
        wanted: dict[str, list[str]] = {}
        for workspace in workspaces:
            pool = self.state.pools.get(workspace)
            if pool is None:
                continue
            for name in {lent.borrower for lent in pool.lent_seats.values()}:
                wanted.setdefault(name, []).append(workspace)
        wanted.pop(NO_INSTANCE, None)
        for name, each in wanted.items():
            self.state.outbox.put(name, Recall(tuple(each)), now)

    def recall_misplaced(self, now: float) -> None:
        """Recall seats from borrowers that are no longer their holder."""
        misplaced = [
            workspace
            for workspace, pool in self.state.pools.items()
            if self._has_misplaced(pool)
        ]
        self.recall(misplaced, now)

    def lend_free_to_all(self, now: float) -> None:
        """Lend seats that became free to all recent borrowers."""
        for name in sorted(self._borrowers):
            self.lend_free_to(name, now)

    def lend_free_to(self, borrower: str, now: float) -> None:
        """Lend seats that became free to a borrower, if it asked recently."""
        latest = self._borrowers.get(borrower)
        if (
            latest is None
            or now - latest.requested_at > self.state.options.renew
        ):
            return
        if latest.incarnation != self.state.outbox.incarnation_of(borrower):
            return
        loans = self._lend_new(borrower, now)
        if loans:
            reply = Lend(latest.stamp, False, tuple(loans))  # noqa: WPS425
            self.state.outbox.put(borrower, reply, now)

    def reindex(self) -> None:
        """Rebuild indexes after a change of members or workspaces."""
        self._pools_by_parent.clear()
        for names in self._lent_to.values():
            names.intersection_update(self.state.pools)

    def _is_latest(self, sender: str, stamp: float) -> bool:
        incarnation = self.state.outbox.incarnation_of(sender)
        latest = self._borrowers.get(sender)
        if latest is None or latest.incarnation != incarnation:
            latest = _Borrower(incarnation, -inf)
            self._borrowers[sender] = latest
        if stamp <= latest.stamp:
            return False
        latest.stamp = stamp
        return True

    def _pools_of(self, borrower: str) -> list[Pool]:
        if not self._pools_by_parent:
            for pool in self.state.pools.values():
                parent = self.state.view.parent(pool.workspace)
                self._pools_by_parent.setdefault(parent, []).append(pool)
        return self._pools_by_parent.get(borrower, [])

    def _has_misplaced(self, pool: Pool) -> bool:
        parent = self.state.view.parent(pool.workspace)
        return any(
            lent.borrower not in {parent, NO_INSTANCE}
            for lent in pool.lent_seats.values()
        )

    def _renew_all(self, sender: str, now: float, groups: Groups) -> int:
        if self.state.is_leaving:
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
        incarnation = self.state.outbox.incarnation_of(sender)
        seats: dict[tuple[int, float], list[int]] = {}
        for seat, lent in pool.lent_seats.items():
            if (lent.borrower, lent.incarnation) != (sender, incarnation):
                continue
            until = now + self.state.options.lender_term(lent.term)
            held = pool.held_seats.get(seat)
            if held is None or held.until < until:
                continue
            lent.until = until
            digest ^= loan_digest(pool.workspace, seat, lent.number)
            seats.setdefault((lent.number, lent.term), []).append(seat)
        for (number, term), each in seats.items():
            key = (number, term, tuple(each))
            groups.setdefault(key, []).append(pool.workspace)
        return digest

    def _lend_new(self, sender: str, now: float) -> list[Loan]:
        if self.state.is_leaving:
            return []
        groups: Groups = {}
        transfers: dict[str, Transfer] = {}
        self._next_number += 1
        incarnation = self.state.outbox.incarnation_of(sender)
        for pool in self._pools_of(sender):
            pool.expire(now)
            term = self._term(sender)
            until = now + self.state.options.lender_term(term)
            seats = [
                seat
                for seat in pool.usable()
                if pool.held_seats[seat].until >= until
            ]
            if not seats:
                continue
            lent = LentSeat(sender, incarnation, self._next_number, term, until)
            transfers[pool.workspace] = pool.lend(seats, lent, now)
            self._lent_to.setdefault(sender, set()).add(pool.workspace)
            key = (self._next_number, term, tuple(seats))
            groups.setdefault(key, []).append(pool.workspace)
        return _loans(groups, transfers)

    def _term(self, borrower: str) -> float:
        if self.state.view.is_flat or borrower in self.state.view.neighbours():
            return self.state.options.term
        return self.state.options.zone_term

    def _recall_misplaced_from(self, sender: str, now: float) -> None:
        misplaced = [
            workspace
            for workspace in self._lent_to.get(sender, ())
            if self.state.is_leaving
            or self.state.view.parent(workspace) != sender
        ]
        if misplaced:
            self.state.outbox.put(sender, Recall(tuple(sorted(misplaced))), now)
            self._lent_to.pop(sender)


def _loan_key(lent: LentSeat | None) -> tuple[str, int, int] | None:
    return (lent.borrower, lent.incarnation, lent.number) if lent else None


def _loans(groups: Groups, transfers: dict[str, Transfer]) -> list[Loan]:
    loans = []
    for (number, term, seats), workspaces in groups.items():
        each = [transfers.get(name, Transfer()) for name in workspaces]
        tokens = tuple(one.tokens for one in each) if transfers else ()
        in_flight = tuple(one.in_flight for one in each) if transfers else ()
        loans.append(
            Loan(number, term, seats, tuple(workspaces), tokens, in_flight),
        )
    return loans
