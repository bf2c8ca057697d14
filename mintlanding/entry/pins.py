"""Reservations of this entry, for the pin report to a worker's new steward.

A pin keeps an adapter loaded while a reservation uses it.
"""

from collections import defaultdict

from mintlanding.placement.messages import AdapterRef, PinReport


class Pins:
    """Reservations by worker, from before they are requested until released."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._by_worker: dict[str, dict[str, AdapterRef]] = defaultdict(dict)

    def add(self, worker: str, reservation_id: str, ref: AdapterRef) -> None:
        """Add a reservation."""
        self._by_worker[worker][reservation_id] = ref

    def remove(self, worker: str, reservation_id: str) -> None:
        """Remove a released reservation."""
        refs = self._by_worker.get(worker, {})
        refs.pop(reservation_id, None)
        if not refs:
            self._by_worker.pop(worker, None)

    def report(self, worker: str, entry: str, fencing: int) -> PinReport:
        """Return all reservations on a worker."""
        refs = self._by_worker.get(worker, {})
        return PinReport(worker, entry, tuple(sorted(refs.items())), fencing)
