"""Builds that a service has run lately."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class BuildHistory:
    """When builds of services disappeared; times in seconds.

    Nothing is known of the time before `known_since`.
    """

    known_since: float = float('inf')
    _removed_at: dict[tuple[str, str], float] = field(default_factory=dict)

    def restart(self, now: float) -> None:
        """Record that changes before now may have been missed."""
        self.known_since = now

    def record_removed(self, service: str, build: str, now: float) -> None:
        """Record that a target of a build has disappeared."""
        self._removed_at[(service, build)] = now

    def only_build(
        self,
        service: str,
        present: Iterable[str],
        since: float,
    ) -> str | None:
        """Return the one build that a service has had since a time.

        Return None if there were several, none, or it is not known.
        """
        if since < self.known_since:
            return None
        recent = self.recent(service, present, since)
        return recent.pop() if len(recent) == 1 else None

    def recent(
        self, service: str, present: Iterable[str], since: float
    ) -> set[str]:
        """Return the builds that a service has had since a time, as known."""
        recent = set(present)
        for (name, build), removed_at in self._removed_at.items():
            if name == service and removed_at >= since:
                recent.add(build)
        return recent
