"""A store with transactions, leases and a history of changes."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from mintlanding.core.exceptions import PlatformError

NO_REVISION = 0


class HistoryLost(PlatformError):
    """The store no longer has the changes that were asked for."""


class StoreBusy(PlatformError):
    """The store refused a call and did nothing."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its bytes and the revision of its last change."""

    key: str
    content: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """A key that was written, or removed when there is no item."""

    key: str
    revision: int
    item: Item | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Items under a prefix; later changes begin after `revision`."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes in order; go on after `revision`."""

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """A key to set; with a lease it goes when the lease ends."""

    key: str
    content: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that happen if all expected keys are at their revisions."""

    expected: Mapping[str, int] = field(default_factory=dict)
    writes: tuple[Write, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction happened."""

    revision: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """Nothing happened: a key has changed, or the lease has ended."""

    lease_ended: bool = False


class TransactionalStore(Protocol):
    """The platform's store.

    Each method raises PlatformUnavailable when no answer came, and a write
    may have happened or may happen later; StoreBusy when nothing was done.
    """

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all items under a prefix."""

    async def changes(self, prefix: str, after: int, wait: float) -> Changes:
        """Return changes once there are some, none after `wait` seconds.

        Raises HistoryLost when the changes are no longer kept.
        """

    async def commit(self, transaction: Transaction) -> Committed | Rejected:
        """Carry out a transaction."""

    async def grant_lease(self, seconds: float) -> int:
        """Return the id of a new lease."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; false when it has ended."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
