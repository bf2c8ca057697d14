"""Seats of one workspace at one instance: owned, borrowed and lent on."""

from dataclasses import dataclass, field, replace

from mintlanding.limits.bucket import Bucket, Transfer
from mintlanding.limits.options import Rate

OWN = ''
NOBODY = ''
_FOREVER = float('inf')


@dataclass(slots=True)
class Hold:
    """A seat that this instance may use until `until`; OWN has no lender."""

    lender: str
    number: int
    term: float
    until: float


@dataclass(slots=True)
class Lent:
    """A seat that is with a process until `until`, by the lender's count.

    NOBODY stands for a loan of the seat's last owner that may still run.
    """

    borrower: str
    incarnation: int
    number: int
    term: float
    until: float


@dataclass(slots=True)
class Pool:
    """The seats of a workspace that are here and the bucket they fill."""

    workspace: str
    limit: Rate
    seat_count: int
    bucket: Bucket
    holds: dict[int, Hold] = field(default_factory=dict)
    lent: dict[int, Lent] = field(default_factory=dict)
    next_end: float = _FOREVER

    def configure(self, limit: Rate, now: float) -> None:
        """Apply a new limit to what is here."""
        self.expire(now)
        self.limit = limit
        self._resize(now)

    def usable(self) -> list[int]:
        """List the seats whose tokens accrue here."""
        return [seat for seat in self.holds if seat not in self.lent]

    def lends_on(self, lender: str) -> bool:
        """Tell whether seats of a lender are with somebody else."""
        holds = self.holds
        return any(
            seat in holds and holds[seat].lender == lender for seat in self.lent
        )

    def expire(self, now: float) -> None:
        """Drop loans that are over; seats that come back are empty."""
        if self.next_end > now:
            return
        for end in sorted(each for each in self._ends() if each <= now):
            self._end_loans(end)
        self.next_end = min(self._ends(), default=_FOREVER)

    def claim(self, seat: int, now: float, free_from: float) -> None:
        """Own a seat; nobody may use it before `free_from`."""
        self.drop(seat, now)
        self.holds[seat] = Hold(OWN, 0, _FOREVER, _FOREVER)
        if free_from > now:
            self.lent[seat] = Lent(NOBODY, 0, 0, 0, free_from)
            self.next_end = min(self.next_end, free_from)
        self._resize(now)

    def drop(self, seat: int, now: float) -> None:
        """Use a seat no more; its tokens are lost."""
        if self.holds.pop(seat, None) is not None:
            self._resize(now)

    def adopt(
        self,
        seats: list[int],
        hold: Hold,
        transfer: Transfer,
        now: float,
        flight: float,
    ) -> None:
        """Use borrowed seats with the tokens that came with them."""
        for seat in seats:
            self.holds[seat] = replace(hold)
        self.next_end = min(self.next_end, hold.until)
        self._resize(now)
        self.bucket.put(transfer, now, now + flight)

    def lend(self, seats: list[int], lent: Lent, now: float) -> Transfer:
        """Stop using seats here; return what goes along with them."""
        transfer = self.bucket.split(self._part(len(seats)), now)
        for seat in seats:
            self.lent[seat] = replace(lent)
        self.next_end = min(self.next_end, lent.until)
        self._resize(now)
        return transfer

    def give_up(self, seats: list[int], now: float) -> Transfer:
        """Take usable seats out, with what belongs to them."""
        transfer = self.bucket.split(self._part(len(seats)), now)
        for seat in seats:
            self.holds.pop(seat)
        self._resize(now)
        return transfer

    def take_back(
        self,
        seats: list[int],
        transfer: Transfer,
        now: float,
        flight: float,
    ) -> None:
        """Use seats again that a borrower has returned."""
        for seat in seats:
            self.lent.pop(seat)
        self._resize(now)
        self.bucket.put(transfer, now, now + flight)

    def _ends(self) -> set[float]:
        ends = {hold.until for hold in self.holds.values()}
        ends.update(lent.until for lent in self.lent.values())
        ends.discard(_FOREVER)
        return ends

    def _end_loans(self, end: float) -> None:
        for seat in tuple(self.holds):
            if self.holds[seat].until <= end:
                self.holds.pop(seat)
        self._resize(end)
        for seat in tuple(self.lent):
            if self.lent[seat].until <= end:
                self.lent.pop(seat)
        self._resize(end)

    def _part(self, count: int) -> float:
        return count / max(len(self.usable()), 1)

    def _resize(self, now: float) -> None:
        part = len(self.usable()) / self.seat_count
        rate = self.limit.rate * part
        capacity = self.limit.burst * part
        self.bucket.resize(rate, capacity, now)
