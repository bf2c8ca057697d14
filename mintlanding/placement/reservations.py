"""Granted reservations, the pins they hold, and answers given lately."""

from collections import Counter, OrderedDict

from mintlanding.placement.messages import AdapterRef, ReserveReply
from mintlanding.placement.models import Reservation


class ReservationBook:
    """Pins from grant to release, and final answers for doubled requests."""

    def __init__(self, life: float, answers_kept: float) -> None:
        """Start empty; both times are in seconds."""
        self._life = life
        self._kept = answers_kept
        self._granted: OrderedDict[str, Reservation] = OrderedDict()
        self._pins: Counter[AdapterRef] = Counter()
        self._answers: OrderedDict[str, tuple[float, ReserveReply]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        """Count the granted reservations."""
        return len(self._granted)

    def get(self, reservation_id: str) -> Reservation | None:
        """Return a granted reservation."""
        return self._granted.get(reservation_id)

    def pins(self, ref: AdapterRef) -> int:
        """Count the reservations that hold an adapter."""
        return self._pins[ref]

    def grant(self, reservation: Reservation) -> None:
        """Pin the adapter until the reservation is released."""
        if reservation.reservation_id in self._granted:
            return
        self._granted[reservation.reservation_id] = reservation
        self._pins[reservation.ref] += 1

    def release(self, reservation_id: str) -> Reservation | None:
        """Unpin; a doubled release finds nothing."""
        reservation = self._granted.pop(reservation_id, None)
        if reservation is None:
            return None
        self._pins[reservation.ref] -= 1
        if not self._pins[reservation.ref]:
            self._pins.pop(reservation.ref)
        return reservation

    def keep_answer(self, reply: ReserveReply, now: float) -> None:
        """Remember a final answer for a late copy of its request."""
        self._answers[reply.reservation_id] = (now, reply)

    def answer(self, reservation_id: str) -> ReserveReply | None:
        """Return the final answer given lately."""
        row = self._answers.get(reservation_id)
        return None if row is None else row[1]

    def orphan(self, entry: str, now: float) -> None:
        """Mark the reservations of an entry that is gone."""
        for reservation in self._granted.values():
            if reservation.entry == entry and reservation.orphaned is None:
                reservation.orphaned = now

    def release_orphans(
        self,
        busy: frozenset[AdapterRef],
        before: float,
    ) -> None:
        """Release orphans of before a time whose adapter the engine idles."""
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
        """Release what is past its longest life; forget old answers."""
        while self._answers:
            reservation_id, row = next(iter(self._answers.items()))
            if row[0] + self._kept > now:
                break
            self._answers.pop(reservation_id)
        while self._granted:
            oldest = next(iter(self._granted.values()))
            if oldest.granted + self._life > now:
                break
            self.release(oldest.reservation_id)
