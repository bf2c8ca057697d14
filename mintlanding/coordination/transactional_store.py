"""The interface of a store with transactions, leases and a change history."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from mintlanding.coordination.store_era import NO_ERA, StoreEra
from mintlanding.core.exceptions import PlatformError

NO_REVISION = 0


class HistoryLost(PlatformError):
    """The requested changes are no longer retained."""


class StoreBusy(PlatformError):
    """The store rejected a call without executing it."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its content and the revision of its last change."""

    key: str
    content: bytes
    revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """A key that was written, or deleted if there is no item."""

    key: str
    revision: int
    item: Item | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The items under a prefix as of `revision` of an era."""

    items: tuple[Item, ...]
    revision: int
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes in order; the next ones follow after `revision` of an era."""

    changes: tuple[Change, ...]
    revision: int
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class Write:
    """A key to set; with a lease, it is deleted when the lease ends."""

    key: str
    content: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes and deletes, applied if the expected keys are unchanged.

    `expected` maps keys to the revisions at which they must be, NO_REVISION if
    they must not exist. `era` is the one of these revisions, NO_ERA if it is
    unknown; in any other one the transaction is rejected.
    """

    expected: Mapping[str, int] = field(default_factory=dict)
    writes: tuple[Write, ...] = ()
    deletes: tuple[str, ...] = ()
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was applied at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The transaction was not applied.

    A key has changed or, with `lease_ended`, the lease has ended.
    """

    lease_ended: bool = False


class TransactionalStore(Protocol):
    """The platform's store.

    Each method raises PlatformUnavailable if no response arrived, in which case
    a write may have taken effect or may still do so, and StoreBusy if the call
    was rejected and nothing was done. A call during which the era changes
    counts as one without a response.
    """

    @property
    def era(self) -> StoreEra:
        """Return the era that the last responses named."""

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all items under a prefix."""

    async def changes(self, prefix: str, after: int, wait: float) -> Changes:
        """Return changes as soon as there are any, none after `wait` seconds.

        Raises HistoryLost if the changes are no longer retained, or are those
        of another era.
        """

    async def commit(self, transaction: Transaction) -> Committed | Rejected:
        """Apply a transaction."""

    async def grant_lease(self, seconds: float) -> int:
        """Create a lease and return its id."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has ended."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
