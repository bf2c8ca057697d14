"""State of a key-value service, without I/O."""

from dataclasses import dataclass, field

from mintlanding.coordination.keyvalue import (
    CREATE_ONLY,
    MAX_VALUE_BYTES,
    Entry,
    Listing,
    conflict,
    too_large,
)
from mintlanding.core.results import Done, Outcome


@dataclass(slots=True)
class _Lease:
    seconds: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


class KeyValueState:
    """Entries and leases; each change increments one common index."""

    def __init__(self) -> None:
        """Start empty."""
        self.index = 0
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, _Lease] = {}
        self._lease_count = 0
        # Index of the deletion of each deleted key, for `changed`.
        self._deleted: dict[str, int] = {}

    def get(self, key: str, now: float) -> Entry | None:
        """Return the entry of a key."""
        self.expire(now)
        return self._entries.get(key)

    def list(self, prefix: str, now: float) -> Listing:
        """Return the entries under a prefix, sorted by key."""
        self.expire(now)
        found = sorted(key for key in self._entries if key.startswith(prefix))
        entries = tuple(self._entries[key] for key in found)
        return Listing(entries, self.index)

    def changed(self, prefix: str, after: int, now: float) -> bool:
        """Return whether an entry under the prefix changed after an index."""
        self.expire(now)
        if after > self.index:
            return True
        return any(
            entry.index > after
            for key, entry in self._entries.items()
            if key.startswith(prefix)
        ) or any(
            index > after
            for key, index in self._deleted.items()
            if key.startswith(prefix)
        )

    def put(
        self,
        entry: Entry,
        expected: int | None,
        lease: str,
        now: float,
    ) -> Outcome[int]:
        """Write an entry; its index is ignored."""
        self.expire(now)
        if len(entry.value) > MAX_VALUE_BYTES:
            return too_large(entry.key)
        if self._has_changed(entry.key, expected):
            return conflict(entry.key)
        if lease and lease not in self._leases:
            return conflict(f'lease {lease}')
        self.index += 1
        self._detach(entry.key)
        self._deleted.pop(entry.key, None)
        self._entries[entry.key] = Entry(entry.key, entry.value, self.index)
        if lease:
            self._leases[lease].keys.add(entry.key)
        return Done(self.index)

    def delete(
        self,
        key: str,
        expected: int | None,
        now: float,
    ) -> Outcome[int]:
        """Delete a key; deleting a missing key changes nothing."""
        self.expire(now)
        if self._has_changed(key, expected):
            return conflict(key)
        self._remove(key)
        return Done(self.index)

    def grant_lease(self, seconds: float, now: float) -> str:
        """Create a lease and return its id."""
        self._lease_count += 1
        lease = f'lease-{self._lease_count}'
        self._leases[lease] = _Lease(seconds, now + seconds)
        return lease

    def renew_lease(self, lease: str, now: float) -> bool:
        """Renew a lease; return False if it has ended."""
        self.expire(now)
        existing = self._leases.get(lease)
        if existing is None:
            return False
        existing.expires_at = now + existing.seconds
        return True

    def revoke_lease(self, lease: str, now: float) -> bool:
        """End a lease and delete its entries; return False if it has ended."""
        self.expire(now)
        existing = self._leases.pop(lease, None)
        if existing is None:
            return False
        for key in sorted(existing.keys):
            self._remove(key)
        return True

    def expire(self, now: float) -> None:
        """End the expired leases and delete their entries."""
        expired = [
            name
            for name, lease in self._leases.items()
            if lease.expires_at <= now
        ]
        for name in expired:
            for key in sorted(self._leases.pop(name).keys):
                self._remove(key)

    def next_expiry(self) -> float | None:
        """Return when the next lease expires, or None without leases."""
        return min(
            (each.expires_at for each in self._leases.values()), default=None
        )

    def _has_changed(self, key: str, expected: int | None) -> bool:
        if expected is None:
            return False
        entry = self._entries.get(key)
        index = CREATE_ONLY if entry is None else entry.index
        return expected != index

    def _remove(self, key: str) -> None:
        if self._entries.pop(key, None) is None:
            return
        self.index += 1
        self._deleted[key] = self.index
        self._detach(key)

    def _detach(self, key: str) -> None:
        for lease in self._leases.values():
            lease.keys.discard(key)
