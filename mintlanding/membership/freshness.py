"""How long ago the revision applied here was known to be the newest."""

_NEVER = -1.0


class ConfigurationFreshness:
    """The revision applied here and when it was last confirmed as newest."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.revision = 0
        self._confirmed_at: float | None = None

    def set_revision(self, revision: int) -> None:
        """Set the revision that is in force here; ignore a lower one."""
        self.revision = max(self.revision, revision)

    def confirm(self, now: float) -> None:
        """Record that the platform has no newer revision."""
        self._confirm_at(now)

    def confirm_from_peer(
        self, revision: int, age: float, called_at: float
    ) -> None:
        """Record that a peer confirmed its revision `age` seconds ago.

        The age counts from `called_at`, when the peer was called. A peer with
        a newer revision does not confirm the one applied here.
        """
        if age < 0 or revision > self.revision:
            return
        self._confirm_at(called_at - age)

    def age(self, now: float) -> float:
        """Return the seconds since the last confirmation; negative: never."""
        if self._confirmed_at is None:
            return _NEVER
        return max(0.0, now - self._confirmed_at)

    def _confirm_at(self, moment: float) -> None:
        if self._confirmed_at is None or moment > self._confirmed_at:
            self._confirmed_at = moment
