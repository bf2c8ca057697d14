"""Time until a revision is in force on every daemon; without I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

from mintlanding.admin.ports import DaemonStatus

_COUNTED_STATES = frozenset(('live', 'leaving'))
_UNKNOWN_TIME = -1.0


def must_be_current(daemon: DaemonStatus) -> bool:
    """Return whether a revision is in force only once this daemon has it."""
    return daemon.state in _COUNTED_STATES


@dataclass(slots=True)
class InForceProgress:
    """Time the newest revision from its acceptance until the last daemon."""

    revision: int = 0
    accepted_at: float = _UNKNOWN_TIME
    seconds: float | None = None

    def note_accepted(self, revision: int, now: float) -> None:
        """Record that this process accepted a revision."""
        if revision > self.revision:
            self.revision = revision
            self.accepted_at = now
            self.seconds = None

    def note_seen(self, revision: int) -> None:
        """Record a revision of another process, accepted at an unknown time."""
        if revision > self.revision:
            self.revision = revision
            self.accepted_at = _UNKNOWN_TIME
            self.seconds = None

    @property
    def is_pending(self) -> bool:
        """Return whether some daemon may still lack the revision."""
        return self.accepted_at != _UNKNOWN_TIME and self.seconds is None

    def observe(self, daemons: Iterable[DaemonStatus], now: float) -> bool:
        """Update from the daemons; return whether the revision is in force."""
        counted = [each.revision for each in daemons if must_be_current(each)]
        is_in_force = bool(counted) and min(counted) >= self.revision
        if is_in_force and self.is_pending:
            self.seconds = now - self.accepted_at
        return is_in_force
