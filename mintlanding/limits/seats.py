"""Claims of seats in the key-value service.

A seat is a fixed part of every rate and burst. Its record names the owner; a
change of the record is a compare-and-swap that raises the epoch. Owners keep
their seats while the service is down. A seat of an instance that is gone may
be taken by an instance of the same zone once the owner has had to stop using
it: after a pause, or after it has heard neither the platform nor any other
instance of its zone for the grace.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Self

import msgspec

from mintlanding.limits.holders import rendezvous
from mintlanding.limits.options import LimitsOptions
from mintlanding.membership.models import Member, MemberState

_PRESENT = frozenset(
    (MemberState.live, MemberState.leaving, MemberState.silent),
)


class SeatRecord(msgspec.Struct, frozen=True):
    """What the key-value service keeps of a seat.

    A seat stays in the zone of its first owner, so that no other zone takes
    it across a cut.
    """

    owner: str
    incarnation: int
    epoch: int
    zone: str = ''


@dataclass(frozen=True, slots=True)
class StoredSeat:
    """A record with the index that a compare-and-swap has to name."""

    record: SeatRecord
    index: int


@dataclass(frozen=True, slots=True)
class SeatPlan:
    """Seats by number; with `zones` each seat belongs to one of them."""

    seat_count: int
    zones: tuple[str, ...] = ()

    def zone(self, seat: int) -> str:
        """Return the zone that a seat stays in; '' for any."""
        return self.zones[seat % len(self.zones)] if self.zones else ''

    def seats(self, zone: str) -> list[int]:
        """List the seats that instances of a zone may own."""
        return [
            seat
            for seat in range(self.seat_count)
            if self.zone(seat) in {'', zone}
        ]


@dataclass(frozen=True, slots=True)
class ReadSeats:
    """Read the records of these seats, consistently."""

    seats: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class WriteSeat:
    """Write a record if its index is still `expected`; 0 creates it."""

    seat: int
    record: SeatRecord
    expected: int


ClaimAction = ReadSeats | WriteSeat


@dataclass(slots=True)
class SeatClaims:
    """The seats that one instance owns, and those that it may take."""

    instance: str
    incarnation: int
    zone: str
    plan: SeatPlan
    options: LimitsOptions
    started_at: float
    _owned: set[int] = field(default_factory=set)
    _unrecorded: set[int] = field(default_factory=set)
    _writing: dict[int, SeatRecord] = field(default_factory=dict)
    _live: tuple[str, ...] = ()
    _present: frozenset[str] = frozenset()
    _has_members: bool = False
    _zone_present: bool = False
    _absent_since: dict[str, float] = field(default_factory=dict)
    _heard_at: float = 0
    _read_at: float = 0
    _is_leaving: bool = False

    @classmethod
    def from_config(
        cls,
        instance: str,
        incarnation: int,
        zone: str,
        plan: SeatPlan,
        options: LimitsOptions,
        now: float,
    ) -> Self:
        """Begin without seats."""
        claims = cls(instance, incarnation, zone, plan, options, now)
        claims._heard_at = now
        return claims

    def observe_members(self, members: Sequence[Member], now: float) -> None:
        """Note who is live in the zone, and since when others are gone."""
        mine = [each for each in members if each.zone == self.zone]
        others = {each for each in mine if each.instance != self.instance}
        names = {
            each.instance for each in mine if each.state is MemberState.live
        }
        self._live = tuple(sorted(names | {self.instance}))
        self._present = frozenset(
            each.instance for each in members if each.state in _PRESENT
        )
        self._zone_present = any(each.state in _PRESENT for each in others)
        for name in self._present & self._absent_since.keys():
            self._absent_since.pop(name)
        self._has_members = True

    def hear_peer(self, now: float) -> None:
        """Note that another instance of the zone has been heard."""
        self._heard_at = now

    def tick(self, now: float) -> list[ClaimAction]:
        """Read the records from time to time; fence an isolated instance."""
        if self._is_isolated(now):
            self.lose_all(now)
        if now < self._read_at or self._is_leaving:
            return []
        self._read_at = now + self.options.seat_poll
        return [ReadSeats(tuple(self.plan.seats(self.zone)))]

    def take_records(
        self,
        records: Mapping[int, StoredSeat],
        in_use: frozenset[int],
        now: float,
    ) -> list[ClaimAction]:
        """Compare the records with what is owned; write what is to change.

        `in_use` are the seats that other instances of the zone say they use.
        """
        self._heard_at = now
        actions: list[ClaimAction] = []
        for seat in self.plan.seats(self.zone):
            stored = records.get(seat)
            if stored is not None:
                self._compare(seat, stored)
            if self._may_write(seat, stored, in_use, now):
                actions.append(self._write(seat, stored))
        return actions

    def confirm(self, seat: int) -> None:
        """Own a seat: the record has been written."""
        if self._writing.pop(seat, None) is not None:
            self._unrecorded.discard(seat)
            self._owned.add(seat)

    def reject(self, seat: int, now: float) -> None:
        """Drop a seat: another has changed the record before."""
        self._writing.pop(seat, None)
        self._read_at = now

    def leave_open(self, now: float) -> None:
        """Read again: it is unknown whether a record was written."""
        self._read_at = now

    def accept_hand_over(self, seats: frozenset[int], now: float) -> None:
        """Own seats that a leaving instance has given; record them soon."""
        self._owned |= seats
        self._unrecorded |= seats
        self._read_at = now

    def hand_over(self, seats: frozenset[int]) -> None:
        """Drop seats that another instance has got."""
        self._owned -= seats
        self._unrecorded -= seats

    def lose_all(self, now: float) -> None:
        """Own nothing, as after a pause, until records are written anew."""
        self._owned.clear()
        self._unrecorded.clear()
        self._writing.clear()
        self._read_at = now

    def leave(self) -> None:
        """Claim nothing any more."""
        self._is_leaving = True

    def seats(self) -> frozenset[int]:
        """Return the seats to use, for `LimitsNode.own_seats`."""
        return frozenset(self._owned)

    def _is_isolated(self, now: float) -> bool:
        is_silent = now - self._heard_at > self.options.grace
        return is_silent and self._zone_present and bool(self._owned)

    def _is_mine(self, record: SeatRecord) -> bool:
        mine = (self.instance, self.incarnation)
        return (record.owner, record.incarnation) == mine

    def _compare(self, seat: int, stored: StoredSeat) -> None:
        record = stored.record
        if self._is_mine(record):
            if record == self._writing.get(seat):
                self.confirm(seat)
            return
        if seat in self._unrecorded and record.owner not in self._live:
            return
        self._owned.discard(seat)
        self._unrecorded.discard(seat)

    def _may_write(
        self,
        seat: int,
        stored: StoredSeat | None,
        in_use: frozenset[int],
        now: float,
    ) -> bool:
        if seat in self._unrecorded:
            return True
        if seat in self._owned or self._is_leaving or not self._has_members:
            return False
        if seat in in_use or now - self.started_at < 2 * self.options.announce:
            return False
        if stored is not None and stored.record.owner == self.instance:
            return True
        if stored is not None and stored.record.zone not in {'', self.zone}:
            return False
        if rendezvous(f'seat/{seat}', self._live) != self.instance:
            return False
        return stored is None or self._is_gone(stored.record.owner, now)

    def _is_gone(self, owner: str, now: float) -> bool:
        """Tell whether an owner is gone for long enough to have stopped."""
        if owner in self._present:
            return False
        since = self._absent_since.setdefault(owner, now)
        return now - max(since, self.started_at) >= self.options.takeover

    def _write(self, seat: int, stored: StoredSeat | None) -> WriteSeat:
        epoch = stored.record.epoch + 1 if stored else 1
        record = SeatRecord(
            self.instance,
            self.incarnation,
            epoch,
            self.zone,
        )
        self._writing[seat] = record
        return WriteSeat(seat, record, stored.index if stored else 0)
