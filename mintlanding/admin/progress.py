"""How long a revision takes to be in force everywhere; pure, without I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

from mintlanding.admin.ports import DaemonStatus

_COUNTED_STATES = frozenset(('live', 'leaving'))
_NEVER = -1.0


def counts(daemon: DaemonStatus) -> bool:
    """Tell whether a daemon must have a revision for it to be in force."""
    return daemon.state in _COUNTED_STATES


@dataclass(slots=True)
class InForceProgress:
    """Follow the newest revision from its acceptance to the last daemon."""

    revision: int = 0
    accepted_at: float = _NEVER
    seconds: float | None = None

    def accepted(self, revision: int, now: float) -> None:
        """Note that a revision was accepted here."""
        if revision > self.revision:
            self.revision = revision
            self.accepted_at = now
            self.seconds = None

    def seen(self, revision: int) -> None:
        """Note a revision that another process accepted, at unknown time."""
        if revision > self.revision:
            self.revision = revision
            self.accepted_at = _NEVER
            self.seconds = None

    @property
    def is_pending(self) -> bool:
        """Tell whether some daemon may still lack the revision."""
        return self.accepted_at != _NEVER and self.seconds is None

    def observe(self, daemons: Iterable[DaemonStatus], now: float) -> bool:
        """Take what is known; tell whether the revision is in force."""
        counted = [each.revision for each in daemons if counts(each)]
        is_in_force = bool(counted) and min(counted) >= self.revision
        if is_in_force and self.is_pending:
            self.seconds = now - self.accepted_at
        return is_in_force
