"""When a granter of turns may begin to act.

A target's refusals bear few granters within one window. Members that part,
leave and join hand a target on several times within it, and none knows what
the ones before let pass. So each looks back at who was in charge.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from mintlanding.target_limits.brittle import HANDOVER_SECONDS, member_weight

_Tenure = TypeVar('_Tenure')


@dataclass(slots=True)
class FleetHistory:
    """The members that reached each other lately, and holders of engines.

    It begins with the process, which knows nothing of the time before.
    """

    began_at: float
    # When members that have not been reached yet were first registered.
    _new_since: dict[str, float] = field(default_factory=dict)
    _reached: set[str] = field(default_factory=set)
    _members: frozenset[str] = frozenset()
    # Members before, each with the time until which they were the members.
    _earlier: list[tuple[float, frozenset[str]]] = field(default_factory=list)
    _holders: dict[str, str] = field(default_factory=dict)
    _earlier_holders: dict[str, list[tuple[float, str]]] = field(
        default_factory=dict
    )

    def record_registered(self, members: Iterable[str], now: float) -> None:
        """Record which members are registered, reached or not."""
        self._new_since = {
            each: self._new_since.get(each, now) for each in members
        }
        self._reached.intersection_update(self._new_since)

    def may_act(self, member: str, now: float) -> bool:
        """Tell whether a member may have begun to act for targets."""
        since = self._new_since.get(member, now)
        return member in self._reached or now >= since + HANDOVER_SECONDS

    def record_members(self, members: frozenset[str], now: float) -> None:
        """Record which members reach each other, this one included."""
        self._reached |= members
        if members == self._members:
            return
        if self._members:
            self._earlier.append((now, self._members))
        self._members = members
        self._earlier = _recent(self._earlier, now)

    def record_holder(self, target: str, holder: str, now: float) -> None:
        """Record which instance is the steward of an engine."""
        before = self._holders.get(target, '')
        if before == holder:
            return
        self._holders[target] = holder
        earlier = self._earlier_holders.get(target, [])
        if before:
            earlier = [*earlier, (now, before)]
        self._earlier_holders[target] = _recent(earlier, now)

    def retain(self, targets: Iterable[str]) -> None:
        """Forget the holders of all other engines."""
        for target in self._holders.keys() - set(targets):
            self._holders.pop(target)
            self._earlier_holders.pop(target, None)

    def start_as_elected(
        self, own: str, target: str, others: int, now: float
    ) -> float:
        """Return when an instance may begin to act for a plain target.

        `others` more granters may act within the same window.
        """
        tenures = [(at, elect(target, each)) for at, each in self._earlier]
        tenures.append((now, elect(target, self._members or {own})))
        return self._start(own, tenures, others)

    def start_as_steward(
        self, own: str, target: str, others: int, now: float
    ) -> float:
        """Return when an instance may begin to act for an engine."""
        tenures = list(self._earlier_holders.get(target, ()))
        tenures.append((now, self._holders.get(target) or own))
        return self._start(own, tenures, others)

    def _start(
        self, own: str, tenures: list[tuple[float, str]], others: int
    ) -> float:
        """Return when at most so many other tenures are within the window."""
        while tenures and tenures[-1][1] == own:
            tenures.pop()
        ended_at = {holder: at for at, holder in sorted(tenures)}
        ends = sorted(ended_at.values(), reverse=True)
        last = ends[others] if len(ends) > others else -math.inf
        return max(last, self.began_at) + HANDOVER_SECONDS


def elect(target: str, members: Iterable[str]) -> str:
    """Return the member that acts for all of them, by rendezvous hashing."""
    return max(members, key=lambda each: member_weight(target, each))


def _recent(
    tenures: list[tuple[float, _Tenure]], now: float
) -> list[tuple[float, _Tenure]]:
    return [each for each in tenures if each[0] > now - HANDOVER_SECONDS]


def elects(
    own: str, rivals: Collection[str], unreached: Collection[str]
) -> bool:
    """Tell whether a member takes an instance for the holder of a target.

    `rivals` would be elected before it, `unreached` are the members from which
    the member hears nothing.
    """
    return own not in unreached and all(each in unreached for each in rivals)
