"""Decide whether a target is reached directly or through another member.

Times are seconds of one monotonic clock.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

# Name and incarnation of a target.
TargetKey = tuple[str, int]

# Seconds between two probes of the same target.
_PROBE_SECONDS = 0.5
# Share of the targets that must be cut for an instance to be cut off.
_CUT_OFF_SHARE = 0.5
# Targets that must be cut for an instance to be cut off.
_CUT_OFF_TARGETS = 2


@dataclass(slots=True)
class PathTable:
    """What connection attempts have shown about the paths to targets."""

    # Targets reached through members only, and when each was probed last.
    _probed_at: dict[TargetKey, float] = field(default_factory=dict)
    # When each target last accepted a direct connection or answered on one.
    _direct_at: dict[TargetKey, float] = field(default_factory=dict)
    # Idle connections to targets that were not reached directly since then may
    # belong to paths that are gone.
    _doubted_at: float = float('-inf')
    # When a cut ended last.
    _ended_at: float = float('-inf')

    def is_cut(self, target: TargetKey) -> bool:
        """Tell whether a target is reached through members only."""
        return target in self._probed_at

    def cut_targets(self) -> frozenset[str]:
        """Return the names of the targets reached through members only."""
        return frozenset(name for name, _ in self._probed_at)

    def may_reuse(self, target: TargetKey) -> bool:
        """Tell whether idle connections to a target may be used."""
        direct_at = self._direct_at.get(target, float('-inf'))
        return direct_at >= self._doubted_at

    def is_cut_off(self, targets: Collection[TargetKey]) -> bool:
        """Tell whether most of the targets are reached through members only."""
        cut = sum(1 for each in targets if each in self._probed_at)
        return cut >= _CUT_OFF_TARGETS and cut > len(targets) * _CUT_OFF_SHARE

    def record_direct(self, target: TargetKey, now: float) -> None:
        """Record a direct connection, or an answer on one.

        The end of one cut casts doubt on the others, which are tried again as
        requests come.
        """
        self._direct_at[target] = now
        if target in self._probed_at:
            self._probed_at.clear()
            self._ended_at = now

    def record_indirect(
        self, target: TargetKey, begun_at: float, now: float
    ) -> None:
        """Record that only a member has reached a target.

        A direct attempt that began before a later one succeeded says nothing:
        it may have hung since the path was cut.
        """
        direct_at = self._direct_at.get(target, float('-inf'))
        if begun_at < max(direct_at, self._ended_at):
            return
        if target not in self._probed_at:
            self._probed_at[target] = now
        self._doubted_at = now

    def record_unreachable(self, target: TargetKey) -> None:
        """Record that members do not reach a target either."""
        self._probed_at.pop(target, None)

    def record_silence(self, target: TargetKey) -> None:
        """Record a connection without an answer: others may be dead as well."""
        self._direct_at.pop(target, None)
        self._doubted_at = max(self._doubted_at, 0)

    def due_probes(self, now: float, limit: int) -> list[TargetKey]:
        """Return the cut targets to probe now, those waiting longest first."""
        due = [
            target
            for target, at in self._probed_at.items()
            if now >= at + _PROBE_SECONDS
        ]
        due.sort(key=lambda target: self._probed_at[target])
        for target in due[:limit]:
            self._probed_at[target] = now
        return due[:limit]

    def retain(self, targets: Iterable[TargetKey]) -> None:
        """Forget all targets except those given."""
        kept = set(targets)
        for known in (self._probed_at, self._direct_at):
            for gone in known.keys() - kept:
                known.pop(gone)
