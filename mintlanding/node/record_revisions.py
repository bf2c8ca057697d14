"""Which state of each of the store's records an instance has.

Changes arrive from the own watch, from listings and in updates of other
members, each of which may be older than what is known by then. For each key the
newest revision wins, whatever the order; a removal has a revision, too.
"""

from collections import OrderedDict
from collections.abc import Iterator

from mintlanding.coordination.transactional_store import Change, Snapshot

# Removed keys that an earlier listing or answer must not bring back.
_MAX_REMOVALS = 1024


class RecordRevisions:
    """Revisions of the records that are known, and of the last removals."""

    def __init__(self) -> None:
        """Start without records."""
        self._revisions: dict[str, int] = {}
        self._removals: OrderedDict[str, int] = OrderedDict()

    def record(self, change: Change) -> bool:
        """Record a change; return false if a newer state is known."""
        key, revision = change.key, change.revision
        known = self._revisions.get(key) or self._removals.get(key, 0)
        if revision <= known:
            return False
        if change.item is None:
            self._revisions.pop(key, None)
            self._record_removal(key, revision)
        else:
            self._removals.pop(key, None)
            self._revisions[key] = revision
        return True

    def removed_at(self, key: str) -> int:
        """Return the revision of a key's removal, 0 if none is known."""
        return self._removals.get(key, 0)

    def removals(self, snapshot: Snapshot) -> Iterator[Change]:
        """Yield the removals that a listing of all records implies."""
        listed = {item.key for item in snapshot.items}
        for key, revision in tuple(self._revisions.items()):
            if key not in listed and revision <= snapshot.revision:
                yield Change(key, snapshot.revision)

    def rewind(self) -> None:
        """Let whatever is read next replace what is known.

        A store that returns from an older copy gives out revisions again.
        """
        self._revisions = dict.fromkeys(self._revisions, 0)
        self._removals.clear()

    def _record_removal(self, key: str, revision: int) -> None:
        self._removals[key] = revision
        self._removals.move_to_end(key)
        if len(self._removals) > _MAX_REMOVALS:
            self._removals.popitem(last=False)
