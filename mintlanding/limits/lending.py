"""Who lends which seats to whom: asks, loans, returns and recalls.

A seat has one user at a time. The lender counts a loan as running until the
borrower has returned it or `Terms.lender_term` is over; the borrower counts
from the moment of its ask, which the lender repeats in the loan. An ask or a
return that is older than the latest one of the same process is ignored.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf, nextafter

import xxhash

from mintlanding.limits.bucket import Parcel
from mintlanding.limits.holders import HolderView
from mintlanding.limits.messages import (
    Announce,
    Ask,
    Lend,
    Loan,
    Recall,
    Return,
)
from mintlanding.limits.outbox import Outbox
from mintlanding.limits.pools import NOBODY, OWN, Hold, Lent, Pool
from mintlanding.limits.terms import Terms


@dataclass(slots=True)
class _Borrower:
    """The latest stamp of a process that asks for loans."""

    incarnation: int
    stamp: float
    asked_at: float = -inf


@dataclass(slots=True)
class _Lender:
    """What was asked of a lender last, and from when its loans count."""

    digest: int = 0
    stamp: float = 0
    not_before: float = 0
    highest: int = 0
    incarnation: int = 0


Groups = dict[tuple[int, float, tuple[int, ...]], list[str]]


def _digest(workspace: str, seat: int, number: int) -> int:
    return xxhash.xxh3_64_intdigest(
        f'{workspace}\0{seat}\0{number}'.encode(),
    )


@dataclass(slots=True)
class Lending:
    """Loans of one instance, in both directions."""

    terms: Terms
    view: HolderView
    outbox: Outbox
    pools: dict[str, Pool]
    owned: set[int] = field(default_factory=set)
    is_leaving: bool = False
    owners: dict[str, float] = field(default_factory=dict)
    stamps: dict[str, float] = field(default_factory=dict)
    used: dict[int, float] = field(default_factory=dict)
    _borrowers: dict[str, _Borrower] = field(default_factory=dict)
    _lenders: dict[str, _Lender] = field(default_factory=dict)
    _held: dict[str, set[str]] = field(default_factory=dict)
    _lent_to: dict[str, set[str]] = field(default_factory=dict)
    _children: dict[str, list[Pool]] = field(default_factory=dict)
    _next_number: int = 0
    _last_stamp: float = 0

    def announce(self, now: float) -> None:
        """Tell the neighbours which seats are in use here."""
        message = Announce(
            tuple(sorted(self.owned)),
            now,
            self.is_leaving,
        )
        for name in self.view.neighbours():
            self.outbox.put(name, message, now)

    def hear(self, message: Announce, sender: str, now: float) -> None:
        """Note that the sender may lend, or no longer."""
        self.stamps[sender] = message.stamp
        if message.is_leaving:
            self.stamps.pop(sender)
            if self.view.exclude(sender, self.outbox.incarnation_of(sender)):
                self.follow_view(now)
        for seat in message.seats:
            self.used[seat] = now
        if not message.seats:
            self.owners.pop(sender, None)
            return
        is_new = sender not in self.owners
        self.owners[sender] = now
        if is_new and not self.is_leaving:
            self.ask((sender,), now)

    def ask_all(self, now: float) -> None:
        """Renew the loans and ask for new ones."""
        if not self.is_leaving:
            self.ask(self._sources(), now)

    def ask(self, lenders: Iterable[str], now: float) -> None:
        """Ask some lenders."""
        for name in lenders:
            stamp = self._stamp(now)
            lender = self._lenders.setdefault(name, _Lender())
            lender.digest = self._digest_of(name, now)
            lender.stamp = stamp
            self.outbox.put(name, Ask(stamp, lender.digest), now)

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
            self.outbox.put(sender, reply, now)
        self._recall_strays(sender, now)

    def adopt(self, message: Lend, sender: str, now: float) -> None:
        """Take loans over, or extend them."""
        lender = self._lenders.get(sender)
        if lender is None or message.stamp <= lender.not_before:
            return
        incarnation = self.outbox.incarnation_of(sender)
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
        if self.is_leaving:
            self.give_back(tuple(self.pools), now)

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
            pool = self.pools.get(workspace)
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
            self.outbox.put(name, Return(stamp, tuple(each)), now)

    def take_back(self, message: Return, sender: str, now: float) -> None:
        """Use returned seats again, with the tokens that came along."""
        if not self._is_latest(sender, message.stamp):
            return
        parents: set[str] = set()
        for loan in message.loans:
            pool = self.pools.get(loan.workspaces[0])
            if pool is None:
                continue
            pool.expire(now)
            incarnation = self.outbox.incarnation_of(sender)
            loan_key = (sender, incarnation, loan.number)
            seats = [
                seat
                for seat in loan.seats
                if _loan_key(pool.lent.get(seat)) == loan_key
            ]
            if not seats:
                continue
            part = len(seats) / len(loan.seats)
            parcel = Parcel(loan.tokens[0] * part, loan.flight[0])
            pool.take_back(seats, parcel, now, self.terms.flight)
            parents.add(self.view.parent(pool.workspace))
        for parent in sorted(parents):
            self.push(parent, now)

    def recall(self, workspaces: Iterable[str], now: float) -> None:
        """Ask the borrowers of some workspaces for what they have."""
        wanted: dict[str, list[str]] = {}
        for workspace in workspaces:
            pool = self.pools.get(workspace)
            if pool is None:
                continue
            for name in {lent.borrower for lent in pool.lent.values()}:
                wanted.setdefault(name, []).append(workspace)
        wanted.pop(NOBODY, None)
        for name, each in wanted.items():
            self.outbox.put(name, Recall(tuple(each)), now)

    def follow_view(self, now: float) -> None:
        """Move what another should hold by the view from here."""
        self.view.moved_at = now
        self.reindex()
        strays = [
            workspace
            for workspace, pool in self.pools.items()
            if self._has_stray(pool)
        ]
        self.recall(strays, now)
        self.give_back(
            [each for each in self.pools if not self.view.is_head(each)],
            now,
        )
        self.ask_all(now)
        self.push_all(now)

    def push_all(self, now: float) -> None:
        """Lend what has become free to all that asked a moment ago."""
        for name in sorted(self._borrowers):
            self.push(name, now)

    def push(self, borrower: str, now: float) -> None:
        """Lend what has become free to one that asked a moment ago."""
        latest = self._borrowers.get(borrower)
        if latest is None or now - latest.asked_at > self.terms.renew:
            return
        if latest.incarnation != self.outbox.incarnation_of(borrower):
            return
        loans = self._lend_new(borrower, now)
        if loans:
            reply = Lend(latest.stamp, False, tuple(loans))  # noqa: WPS425
            self.outbox.put(borrower, reply, now)

    def reindex(self) -> None:
        """Follow a change of the view or of the workspaces."""
        self._children.clear()
        for names in (*self._held.values(), *self._lent_to.values()):
            names.intersection_update(self.pools)

    def forget(self) -> None:
        """Drop the seats, as after a pause."""
        self.owned.clear()
        self.owners.clear()

    def _sources(self) -> list[str]:
        names = {name for name, held in self._held.items() if held}
        if any(self.view.is_head(each) for each in self.pools):
            names.update(self.owners.keys() & set(self.view.neighbours()))
        for workspace in self.pools:
            names.update(self.view.other_heads(workspace))
        return sorted(names & self.view.live)

    def _stamp(self, now: float) -> float:
        self._last_stamp = max(now, nextafter(self._last_stamp, inf))
        return self._last_stamp

    def _is_latest(self, sender: str, stamp: float) -> bool:
        incarnation = self.outbox.incarnation_of(sender)
        latest = self._borrowers.get(sender)
        if latest is None or latest.incarnation != incarnation:
            latest = _Borrower(incarnation, -inf)
            self._borrowers[sender] = latest
        if stamp <= latest.stamp:
            return False
        latest.stamp = stamp
        return True

    def _digest_of(self, lender: str, now: float) -> int:
        digest = 0
        for workspace in tuple(self._held.get(lender, ())):
            pool = self.pools[workspace]
            pool.expire(now)
            numbers = {
                seat: hold.number
                for seat, hold in pool.holds.items()
                if hold.lender == lender
            }
            if not numbers:
                self._held[lender].discard(workspace)
            for seat, number in numbers.items():
                digest ^= _digest(workspace, seat, number)
        return digest

    def _extend(self, lender: _Lender, name: str, now: float) -> None:
        if not lender.digest:
            return
        for workspace in self._held.get(name, ()):
            pool = self.pools[workspace]
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
            pool = self.pools.get(workspace)
            if pool is None:
                continue
            pool.expire(now)
            fresh = _extend_seats(pool, loan.seats, hold)
            if not fresh:
                continue
            parcel = Parcel()
            if is_new and loan.tokens:
                part = len(fresh) / len(loan.seats)
                parcel = Parcel(
                    loan.tokens[place] * part,
                    loan.flight[place],
                )
            for seat in fresh:
                pool.drop(seat, now)
            pool.adopt(fresh, hold, parcel, now, self.terms.flight)
            self._held.setdefault(hold.lender, set()).add(workspace)
            self._lenders[hold.lender].digest = 0

    def _pools_of(self, borrower: str) -> list[Pool]:
        if not self._children:
            for pool in self.pools.values():
                parent = self.view.parent(pool.workspace)
                self._children.setdefault(parent, []).append(pool)
        return self._children.get(borrower, [])

    def _has_stray(self, pool: Pool) -> bool:
        parent = self.view.parent(pool.workspace)
        return any(
            lent.borrower not in {parent, NOBODY} for lent in pool.lent.values()
        )

    def _renew_all(self, sender: str, now: float, groups: Groups) -> int:
        if self.is_leaving:
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
        incarnation = self.outbox.incarnation_of(sender)
        seats: dict[tuple[int, float], list[int]] = {}
        for seat, lent in pool.lent.items():
            if (lent.borrower, lent.incarnation) != (sender, incarnation):
                continue
            until = now + self.terms.lender_term(lent.term)
            hold = pool.holds.get(seat)
            if hold is None or hold.until < until:
                continue
            lent.until = until
            digest ^= _digest(pool.workspace, seat, lent.number)
            seats.setdefault((lent.number, lent.term), []).append(seat)
        for (number, term), each in seats.items():
            key = (number, term, tuple(each))
            groups.setdefault(key, []).append(pool.workspace)
        return digest

    def _lend_new(self, sender: str, now: float) -> list[Loan]:
        if self.is_leaving:
            return []
        groups: Groups = {}
        parcels: dict[str, Parcel] = {}
        self._next_number += 1
        incarnation = self.outbox.incarnation_of(sender)
        for pool in self._pools_of(sender):
            pool.expire(now)
            term = self._term(sender)
            until = now + self.terms.lender_term(term)
            seats = [
                seat
                for seat in pool.usable()
                if pool.holds[seat].until >= until
            ]
            if not seats:
                continue
            lent = Lent(sender, incarnation, self._next_number, term, until)
            parcels[pool.workspace] = pool.lend(seats, lent, now)
            self._lent_to.setdefault(sender, set()).add(pool.workspace)
            key = (self._next_number, term, tuple(seats))
            groups.setdefault(key, []).append(pool.workspace)
        return _loans(groups, parcels)

    def _term(self, borrower: str) -> float:
        if self.view.is_flat or borrower in self.view.neighbours():
            return self.terms.term
        return self.terms.zone_term

    def _recall_strays(self, sender: str, now: float) -> None:
        strays = [
            workspace
            for workspace in self._lent_to.get(sender, ())
            if self.is_leaving or self.view.parent(workspace) != sender
        ]
        if strays:
            self.outbox.put(sender, Recall(tuple(sorted(strays))), now)
            self._lent_to.pop(sender)


def _give_up(pool: Pool, number: int, seats: list[int], now: float) -> Loan:
    parcel = pool.give_up(seats, now)
    return Loan(
        number,
        0,
        tuple(seats),
        (pool.workspace,),
        (parcel.tokens,),
        (parcel.flight,),
    )


def _loan_key(lent: Lent | None) -> tuple[str, int, int] | None:
    return (lent.borrower, lent.incarnation, lent.number) if lent else None


def _loans(groups: Groups, parcels: dict[str, Parcel]) -> list[Loan]:
    loans = []
    for (number, term, seats), workspaces in groups.items():
        each = [parcels.get(name, Parcel()) for name in workspaces]
        tokens = tuple(one.tokens for one in each) if parcels else ()
        flight = tuple(one.flight for one in each) if parcels else ()
        loans.append(
            Loan(number, term, seats, tuple(workspaces), tokens, flight),
        )
    return loans


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
