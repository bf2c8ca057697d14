"""Claims of seats in the key-value service.

A seat is one of N equal slices of every quota. Its record names the owner; it
is changed by a compare-and-swap that raises the epoch. Owners keep their seats
while the service is down. A seat of an instance that is gone may be claimed by
an instance of the same zone after the owner must have stopped using it: it
drops its seats after a pause, or when it has had no contact with the platform
nor with any other instance of its zone for `grace` seconds.
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
    """The record of a seat in the key-value service.

    A seat stays in the zone of its first owner, so that no other zone claims
    it during a network partition.
    """

    owner: str
    incarnation: int
    epoch: int
    zone: str = ''


@dataclass(frozen=True, slots=True)
class StoredSeat:
    """A record and its index for compare-and-swap."""

    record: SeatRecord
    index: int


@dataclass(frozen=True, slots=True)
class SeatPlan:
    """The number of seats; if `zones` is set, each seat is tied to one."""

    seat_count: int
    zones: tuple[str, ...] = ()

    def zone(self, seat: int) -> str:
        """Return the zone of a seat; '' if it is tied to none."""
        return self.zones[seat % len(self.zones)] if self.zones else ''

    def seats(self, zone: str) -> list[int]:
        """Return the seats that instances of a zone may own."""
        return [
            seat
            for seat in range(self.seat_count)
            if self.zone(seat) in {'', zone}
        ]


@dataclass(frozen=True, slots=True)
class ReadSeats:
    """Read the records of these seats consistently."""

    seats: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class WriteSeat:
    """Write a record if its index is `expected`; 0 creates it."""

    seat: int
    record: SeatRecord
    expected: int


ClaimAction = ReadSeats | WriteSeat


@dataclass(slots=True)
class SeatClaims:
    """The seats that one instance owns, and claims of further ones."""

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
    _has_zone_peers: bool = False
    _absent_since: dict[str, float] = field(default_factory=dict)
    _last_contact_at: float = 0
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
        """Start without seats."""
        claims = cls(instance, incarnation, zone, plan, options, now)
        claims._last_contact_at = now
        return claims

    def observe_members(self, members: Sequence[Member], now: float) -> None:
        """Update the live instances of the zone and those that are absent."""
        in_zone = [each for each in members if each.zone == self.zone]
        others = {each for each in in_zone if each.instance != self.instance}
        names = {
            each.instance for each in in_zone if each.state is MemberState.live
        }
        self._live = tuple(sorted(names | {self.instance}))
        self._present = frozenset(
            each.instance for each in members if each.state in _PRESENT
        )
        self._has_zone_peers = any(each.state in _PRESENT for each in others)
        for name in self._present & self._absent_since.keys():
            self._absent_since.pop(name)
        self._has_members = True

    def note_peer_contact(self, now: float) -> None:
        """Record contact with another instance of the zone."""
        self._last_contact_at = now

    def tick(self, now: float) -> list[ClaimAction]:
        """Read the records when due; drop all seats if isolated."""
        if self._is_isolated(now):
            self.drop_all(now)
        if now < self._read_at or self._is_leaving:
            return []
        self._read_at = now + self.options.seat_poll
        return [ReadSeats(tuple(self.plan.seats(self.zone)))]

    def handle_records(
        self,
        records: Mapping[int, StoredSeat],
        in_use: frozenset[int],
        now: float,
    ) -> list[ClaimAction]:
        """Apply the records to the owned seats; return writes to make.

        `in_use` are the seats that other instances of the zone announced.
        """
        self._last_contact_at = now
        actions: list[ClaimAction] = []
        for seat in self.plan.seats(self.zone):
            stored = records.get(seat)
            if stored is not None:
                self._apply_record(seat, stored)
            if self._may_write(seat, stored, in_use, now):
                actions.append(self._write(seat, stored))
        return actions

    def handle_written(self, seat: int) -> None:
        """Own a seat whose record has been written."""
        if self._writing.pop(seat, None) is not None:
            self._unrecorded.discard(seat)
            self._owned.add(seat)

    def handle_conflict(self, seat: int, now: float) -> None:
        """Stop claiming a seat whose record was changed by another instance."""
        self._writing.pop(seat, None)
        self._read_at = now

    def handle_unknown_write(self, now: float) -> None:
        """Read the records again, since the result of a write is unknown."""
        self._read_at = now

    def accept_hand_over(self, seats: frozenset[int], now: float) -> None:
        """Own seats that a leaving instance handed over; record them soon."""
        self._owned |= seats
        self._unrecorded |= seats
        self._read_at = now

    def remove_handed_over(self, seats: frozenset[int]) -> None:
        """Drop seats that were handed over to another instance."""
        self._owned -= seats
        self._unrecorded -= seats

    def drop_all(self, now: float) -> None:
        """Drop all seats, as after a pause, until records are written again."""
        self._owned.clear()
        self._unrecorded.clear()
        self._writing.clear()
        self._read_at = now

    def leave(self) -> None:
        """Stop claiming seats."""
        self._is_leaving = True

    def seats(self) -> frozenset[int]:
        """Return the owned seats, for `LimitsNode.assign_seats`."""
        return frozenset(self._owned)

    def _is_isolated(self, now: float) -> bool:
        is_silent = now - self._last_contact_at > self.options.grace
        return is_silent and self._has_zone_peers and bool(self._owned)

    def _is_own(self, record: SeatRecord) -> bool:
        own = (self.instance, self.incarnation)
        return (record.owner, record.incarnation) == own

    def _apply_record(self, seat: int, stored: StoredSeat) -> None:
        record = stored.record
        if self._is_own(record):
            if record == self._writing.get(seat):
                self.handle_written(seat)
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
        """Return whether an owner has been absent for at least `takeover`."""
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
