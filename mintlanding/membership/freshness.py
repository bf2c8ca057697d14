"""How long ago the held configuration was known to be the newest."""

_NEVER = -1.0


class ConfigurationFreshness:
    """Keep the latest confirmation of the revision held."""

    def __init__(self) -> None:
        """Begin with no configuration."""
        self.revision = 0
        self._confirmed_at: float | None = None

    def set_revision(self, revision: int) -> None:
        """Note that a revision is in force here; a lower one is ignored."""
        self.revision = max(self.revision, revision)

    def confirm(self, now: float) -> None:
        """Note that the platform has shown no newer revision."""
        self._confirm_at(now)

    def take(self, revision: int, age: float, asked_at: float) -> None:
        """Take a peer's word, counted from when it was asked.

        The word of a peer that held a newer revision says nothing of the one
        held here.
        """
        if age < 0 or revision > self.revision:
            return
        self._confirm_at(asked_at - age)

    def age(self, now: float) -> float:
        """Return the seconds since the last confirmation; negative: never."""
        if self._confirmed_at is None:
            return _NEVER
        return max(0.0, now - self._confirmed_at)

    def _confirm_at(self, moment: float) -> None:
        if self._confirmed_at is None or moment > self._confirmed_at:
            self._confirmed_at = moment
