"""State of a key-value service, as plain code without I/O."""

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
    until: float
    keys: set[str] = field(default_factory=set)


class KeyValueState:
    """Entries under one rising index, and the leases that hold some."""

    def __init__(self) -> None:
        """Start empty."""
        self.index = 0
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, _Lease] = {}
        self._granted = 0
        # The index of the last change under each deleted key, for waits.
        self._deleted: dict[str, int] = {}

    def get(self, key: str, now: float) -> Entry | None:
        """Return the entry of a key."""
        self.expire(now)
        return self._entries.get(key)

    def list(self, prefix: str, now: float) -> Listing:
        """Return the entries under a prefix in order of their keys."""
        self.expire(now)
        found = sorted(key for key in self._entries if key.startswith(prefix))
        entries = tuple(self._entries[key] for key in found)
        return Listing(entries, self.index)

    def changed(self, prefix: str, after: int, now: float) -> bool:
        """Tell whether something under the prefix changed above `after`."""
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
        """Write; `entry.index` is ignored."""
        self.expire(now)
        if len(entry.value) > MAX_VALUE_BYTES:
            return too_large(entry.key)
        if self._differs(entry.key, expected):
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
        """Delete; deleting what is not there changes nothing."""
        self.expire(now)
        if self._differs(key, expected):
            return conflict(key)
        self._remove(key)
        return Done(self.index)

    def grant_lease(self, seconds: float, now: float) -> str:
        """Return the id of a new lease."""
        self._granted += 1
        lease = f'lease-{self._granted}'
        self._leases[lease] = _Lease(seconds, now + seconds)
        return lease

    def renew_lease(self, lease: str, now: float) -> bool:
        """Renew; false when the lease has ended."""
        self.expire(now)
        held = self._leases.get(lease)
        if held is None:
            return False
        held.until = now + held.seconds
        return True

    def revoke_lease(self, lease: str, now: float) -> bool:
        """End a lease and delete what it holds."""
        self.expire(now)
        held = self._leases.pop(lease, None)
        if held is None:
            return False
        for key in sorted(held.keys):
            self._remove(key)
        return True

    def expire(self, now: float) -> None:
        """End the leases that are over."""
        over = [
            name for name, lease in self._leases.items() if lease.until <= now
        ]
        for name in over:
            for key in sorted(self._leases.pop(name).keys):
                self._remove(key)

    def next_expiry(self) -> float | None:
        """Return when the next lease ends."""
        return min((each.until for each in self._leases.values()), default=None)

    def _differs(self, key: str, expected: int | None) -> bool:
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
