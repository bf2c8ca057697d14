"""Reservations held by this entry, told to a new steward of a worker."""

from collections import defaultdict

from mintlanding.placement.messages import AdapterRef, PinReport


class Pins:
    """Reservations by worker, from before they are asked for until released."""

    def __init__(self) -> None:
        """Start with none."""
        self._held: dict[str, dict[str, AdapterRef]] = defaultdict(dict)

    def add(self, worker: str, reservation_id: str, ref: AdapterRef) -> None:
        """Note a reservation."""
        self._held[worker][reservation_id] = ref

    def drop(self, worker: str, reservation_id: str) -> None:
        """Forget a reservation that is released."""
        held = self._held.get(worker, {})
        held.pop(reservation_id, None)
        if not held:
            self._held.pop(worker, None)

    def report(self, worker: str, entry: str) -> PinReport:
        """Return all reservations on a worker."""
        held = self._held.get(worker, {})
        return PinReport(worker, entry, tuple(sorted(held.items())))
