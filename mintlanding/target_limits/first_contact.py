"""The first request of this process to each run of a target.

Only a response tells what limits a target names. Until the first one, further
requests would reach the target without regard to them.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from mintlanding.target_limits.table import TargetKey

# Longest time in seconds for which the first response is awaited: a target
# that is full refuses at once.
_LONGEST_SECONDS = 0.3


@dataclass(slots=True)
class FirstContacts:
    """Runs of targets to which a request was sent, and those that responded."""

    _sent_at: dict[TargetKey, float] = field(default_factory=dict)
    _heard: set[TargetKey] = field(default_factory=set)

    def is_heard(self, target: TargetKey) -> bool:
        """Tell whether a target has responded to a request."""
        return target in self._heard

    def wait(self, target: TargetKey, now: float) -> float:
        """Return for how many seconds a first response may be awaited."""
        sent_at = self._sent_at.get(target)
        if sent_at is None or target in self._heard:
            return 0
        return max(0, sent_at + _LONGEST_SECONDS - now)

    def record_sent(self, target: TargetKey, now: float) -> None:
        """Record that a request is sent."""
        self._sent_at.setdefault(target, now)

    def record_heard(self, target: TargetKey) -> None:
        """Record that a target has responded."""
        self._heard.add(target)

    def retain(self, targets: Collection[TargetKey]) -> None:
        """Forget all other targets."""
        self._heard.intersection_update(targets)
        for target in self._sent_at.keys() - targets:
            self._sent_at.pop(target)
