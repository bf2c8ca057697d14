"""Granted reservations, their pins, and recent replies."""

from collections import Counter, OrderedDict

from mintlanding.placement.messages import AdapterRef, ReserveReply
from mintlanding.placement.models import Reservation


class ReservationTable:
    """Pins from grant to release, and final replies for repeated requests."""

    def __init__(self, lifetime: float, reply_lifetime: float) -> None:
        """Start empty; both times are in seconds."""
        self._lifetime = lifetime
        self._reply_lifetime = reply_lifetime
        self._granted: OrderedDict[str, Reservation] = OrderedDict()
        self._pins: Counter[AdapterRef] = Counter()
        self._replies: OrderedDict[str, tuple[float, ReserveReply]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Count the granted reservations."""
        return len(self._granted)

    def get(self, reservation_id: str) -> Reservation | None:
        """Return a granted reservation, None if there is none."""
        return self._granted.get(reservation_id)

    def pins(self, ref: AdapterRef) -> int:
        """Count the reservations that pin an adapter."""
        return self._pins[ref]

    def grant(self, reservation: Reservation) -> None:
        """Pin the adapter until the reservation is released."""
        if reservation.reservation_id in self._granted:
            return
        self._granted[reservation.reservation_id] = reservation
        self._pins[reservation.ref] += 1

    def release(self, reservation_id: str) -> Reservation | None:
        """Remove and return a reservation; None if it is already released."""
        reservation = self._granted.pop(reservation_id, None)
        if reservation is None:
            return None
        self._pins[reservation.ref] -= 1
        if not self._pins[reservation.ref]:
            self._pins.pop(reservation.ref)
        return reservation

    def keep_reply(self, reply: ReserveReply, now: float) -> None:
        """Keep a final reply for a late copy of its request."""
        self._replies[reply.reservation_id] = (now, reply)

    def get_reply(self, reservation_id: str) -> ReserveReply | None:
        """Return the final reply to a request, None if it is not kept."""
        row = self._replies.get(reservation_id)
        return None if row is None else row[1]

    def mark_orphaned(self, entry: str, now: float) -> None:
        """Mark the reservations of an entry that is gone."""
        for reservation in self._granted.values():
            if reservation.entry == entry and reservation.orphaned is None:
                reservation.orphaned = now

    def release_orphans(
        self,
        busy: frozenset[AdapterRef],
        before: float,
    ) -> None:
        """Release orphans older than `before` whose adapter is not busy."""
        found = [
            reservation.reservation_id
            for reservation in self._granted.values()
            if reservation.orphaned is not None
            and reservation.orphaned < before
            and reservation.ref not in busy
        ]
        for reservation_id in found:
            self.release(reservation_id)

    def prune(self, now: float) -> None:
        """Release expired reservations and drop old replies."""
        while self._replies:
            reservation_id, row = next(iter(self._replies.items()))
            if row[0] + self._reply_lifetime > now:
                break
            self._replies.pop(reservation_id)
        while self._granted:
            oldest = next(iter(self._granted.values()))
            if oldest.granted + self._lifetime > now:
                break
            self.release(oldest.reservation_id)
