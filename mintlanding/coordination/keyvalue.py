"""The platform's key-value service: compare-and-swap, leases, watches."""

from typing import Protocol

import msgspec

from mintlanding.core.results import Failed, Outcome, ResultCode

CREATE_ONLY = 0
MAX_VALUE_BYTES = 1 << 20


class Entry(msgspec.Struct, frozen=True):
    """A key with its value and the index of its last change."""

    key: str
    value: bytes  # noqa: WPS110
    index: int


class Listing(msgspec.Struct, frozen=True):
    """The entries under a prefix and the index that they are good for."""

    entries: tuple[Entry, ...]
    index: int


class KeyValueService(Protocol):
    """A small key-value service; each call counts, a waiting one as one.

    Every method raises PlatformUnavailable when no answer came. A write may
    have happened all the same: read back before deciding.
    """

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key."""

    async def list(self, prefix: str) -> Listing:
        """Return all entries under a prefix."""

    async def put(
        self,
        key: str,
        value: bytes,  # noqa: WPS110
        expected: int | None = None,
        lease: str = '',
    ) -> Outcome[int]:
        """Write if the key is still at index `expected`; 0 only creates.

        Returns the new index, or Failed(conflict). With a lease the entry
        goes when the lease ends.
        """

    async def delete(
        self,
        key: str,
        expected: int | None = None,
    ) -> Outcome[int]:
        """Delete if the key is still at index `expected`."""

    async def wait(self, prefix: str, after: int, seconds: float) -> Listing:
        """Return the listing once its index is above `after`, or in time."""

    async def grant_lease(self, seconds: float) -> str:
        """Return the id of a new lease."""

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; false when it has ended."""

    async def revoke_lease(self, lease: str) -> bool:
        """End a lease and delete its entries."""


def conflict(key: str) -> Failed:
    """Return the outcome of a lost compare-and-swap."""
    return Failed.of(ResultCode.conflict, f'{key} has changed')


def too_large(key: str) -> Failed:
    """Return the outcome of writing more than the service holds."""
    return Failed.of(ResultCode.object_invalid, f'{key} is over 1 MB')
