"""Queue policies behind one interface and one registry."""

from collections.abc import Callable
from typing import Protocol

from mintlanding.core.registry import Registry
from mintlanding.fairness.models import QueuedRequest, QueueOptions
from mintlanding.placement.messages import AdapterRef, Priority


class QueuePolicy(Protocol):
    """A bounded queue of the reservations that wait for one worker.

    Only requests whose adapter is ready are popped. A policy never answers;
    it hands back what it drops, and the caller answers.
    """

    def push(self, item: QueuedRequest) -> QueuedRequest | None:
        """Add an item; return the one that has no place, maybe this one."""

    def pop(self, now: float, drain_rate: float) -> QueuedRequest | None:
        """Take the next item whose adapter is ready."""

    def set_ready(self, ref: AdapterRef, is_ready: bool) -> None:
        """Say whether requests for an adapter can run now."""

    def missing_adapters(self, now: float) -> list[AdapterRef]:
        """List adapters that waiting requests need, the next one first."""

    def missing_count(self) -> int:
        """Count these adapters in constant time."""

    def urgent_load_count(self, now: float) -> int:
        """Count those of them that cannot wait for spare permits."""

    def count_for(self, ref: AdapterRef) -> int:
        """Count the requests that wait for an adapter."""

    def remove(self, reservation_id: str) -> QueuedRequest | None:
        """Take an item out."""

    def remove_ref(self, ref: AdapterRef) -> list[QueuedRequest]:
        """Take out all items for an adapter."""

    def clear(self) -> list[QueuedRequest]:
        """Take out all items."""

    def expire(self, now: float) -> list[QueuedRequest]:
        """Take out the items whose latest start has passed."""

    def settle(self, item: QueuedRequest, used: float) -> None:
        """Correct the account of a popped item to the tokens it used."""

    def tokens_ahead(
        self,
        workspace: str,
        weight: float,
        priority: Priority,
    ) -> float:
        """Return the tokens that go before a new item of a workspace."""

    def is_waiting(self, reservation_id: str) -> bool:
        """Tell whether a reservation waits here."""

    def __len__(self) -> int:
        """Count the waiting items."""

    @property
    def tokens(self) -> float:
        """Sum the tokens of the waiting items."""


QUEUES: Registry[Callable[[QueueOptions], QueuePolicy]] = Registry(
    'queue policy'
)
