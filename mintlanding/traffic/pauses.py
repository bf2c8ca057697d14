"""Pauses that targets ask this instance for.

A pause outlasts a restart of its target: only what happens to this instance
may end it sooner.
"""

from dataclasses import dataclass, field

# Longest pause in seconds; a target that needs more asks again.
_MAX_SECONDS = 600.0
# Seconds between requests that were waiting for the end of the same pause.
_GAP_SECONDS = 0.02


@dataclass(slots=True)
class TargetPauses:
    """Until when targets want no requests; times of one monotonic clock."""

    _until: dict[str, float] = field(default_factory=dict)
    # When the next request that waits for a target may be sent.
    _next: dict[str, float] = field(default_factory=dict)

    def record(self, target: str, seconds: float, now: float) -> None:
        """Record that a target wants no requests for a number of seconds."""
        until = now + min(seconds, _MAX_SECONDS)
        self._until[target] = max(until, self._until.get(target, until))

    def wait(self, target: str, now: float) -> float:
        """Return the seconds until a target accepts requests again."""
        return max(0, self._until.get(target, now) - now)

    def join(self, target: str, now: float) -> float:
        """Return for how many seconds one more request waits for a target.

        Those that wait are sent one after another, in the order of joining.
        """
        at = max(now + self.wait(target, now), self._next.get(target, now))
        self._next[target] = at + _GAP_SECONDS
        return at - now

    def prune(self, now: float) -> None:
        """Forget the pauses that have ended.

        A target whose entry is missing may be back before its pause ends.
        """
        for known in (self._until, self._next):
            for target, until in tuple(known.items()):
                if until <= now:
                    known.pop(target)
