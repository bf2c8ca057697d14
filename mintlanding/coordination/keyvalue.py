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
    """The entries under a prefix as of `index`."""

    entries: tuple[Entry, ...]
    index: int


class KeyValueService(Protocol):
    """A small key-value service.

    The service counts calls, a long poll as one, so clients keep them few.
    Every method raises PlatformUnavailable if no response arrived. A write may
    have taken effect nevertheless: read back before deciding.
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
        """Write if the key's index is `expected` (0: it must not exist).

        Return the new index, or Failed(conflict). With a lease, the entry is
        deleted when the lease ends.
        """

    async def delete(
        self,
        key: str,
        expected: int | None = None,
    ) -> Outcome[int]:
        """Delete if the key's index is `expected`."""

    async def wait(self, prefix: str, after: int, seconds: float) -> Listing:
        """Return the listing when its index exceeds `after`, or on timeout."""

    async def grant_lease(self, seconds: float) -> str:
        """Create a lease and return its id."""

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has ended."""

    async def revoke_lease(self, lease: str) -> bool:
        """End a lease and delete its entries."""


def conflict(key: str) -> Failed:
    """Return the outcome of a compare-and-swap that found a newer entry."""
    return Failed.of(ResultCode.conflict, f'{key} has changed')


def too_large(key: str) -> Failed:
    """Return the outcome of a write above the size limit."""
    return Failed.of(ResultCode.object_invalid, f'{key} is over 1 MB')
