"""The interface and the registry of queue policies."""

from collections.abc import Callable
from typing import Protocol

from mintlanding.core.registry import Registry
from mintlanding.fairness.models import QueuedRequest, QueueOptions
from mintlanding.placement.messages import AdapterRef, Priority


class QueuePolicy(Protocol):
    """A bounded queue of the pending reservations of one worker.

    Only requests whose adapter is ready are popped. A policy sends no
    replies: it returns the requests that it drops, and the caller replies.
    """

    def push(self, item: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the one that is dropped, possibly itself."""

    def pop(self, now: float, throughput: float) -> QueuedRequest | None:
        """Remove and return the next request whose adapter is ready."""

    def set_ready(self, ref: AdapterRef, is_ready: bool) -> None:
        """Record whether an adapter is ready to serve requests."""

    def missing_adapters(self, now: float) -> list[AdapterRef]:
        """Return adapters that are needed but not ready, in loading order."""

    def missing_count(self) -> int:
        """Return the number of missing adapters, in constant time."""

    def urgent_load_count(self, now: float) -> int:
        """Return how many missing adapters cannot wait for spare permits.

        A permit allows one load from the weight store.
        """

    def count_for(self, ref: AdapterRef) -> int:
        """Return the number of queued requests for an adapter."""

    def remove(self, reservation_id: str) -> QueuedRequest | None:
        """Remove a request; return it, or None if it is not queued."""

    def remove_ref(self, ref: AdapterRef) -> list[QueuedRequest]:
        """Remove and return all requests for an adapter."""

    def clear(self) -> list[QueuedRequest]:
        """Remove and return all requests."""

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose latest start has passed."""

    def settle(self, item: QueuedRequest, used: float) -> None:
        """Correct the account of a popped request to the tokens it used."""

    def tokens_ahead(
        self,
        workspace: str,
        weight: float,
        priority: Priority,
    ) -> float:
        """Return the tokens served before a new request of a workspace."""

    def is_waiting(self, reservation_id: str) -> bool:
        """Return whether a reservation is queued."""

    def __len__(self) -> int:
        """Return the number of queued requests."""

    @property
    def tokens(self) -> float:
        """Return the sum of tokens of the queued requests."""


QUEUES: Registry[Callable[[QueueOptions], QueuePolicy]] = Registry(
    'queue policy'
)
