"""Which part of the fleet shares the quotas with this instance right now.

Answers a flood that begins shortly before or after a part of the fleet is cut
off. An instance that is cut off goes on to serve callers, and neither side
hears what the other one admits. So what an instance may admit shrinks with the
silence of the others, before they count as unreachable, and a member whose
record ends while it is silent keeps its share: it may only be cut off from the
store.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

# Ages of a member's last status, in status intervals, up to which it counts in
# full, and from which it does not count.
_HEARD_INTERVALS = 1.25
_SILENT_INTERVALS = 2.0
# Seconds for which a member whose record has ended keeps its share.
_DEPARTED_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class MemberContact:
    """Another member: seconds since its last status, and whether it leaves."""

    age: float
    is_leaving: bool = False


@dataclass(slots=True)
class FleetReach:
    """Counts the members that this instance hears, and all that may serve."""

    _contacts: dict[str, MemberContact] = field(default_factory=dict)
    _departed: dict[str, float] = field(default_factory=dict)

    def departed(self) -> frozenset[str]:
        """Return the members that ended silently a short while ago."""
        return frozenset(self._departed)

    def update(
        self, contacts: Mapping[str, MemberContact], interval: float, now: float
    ) -> tuple[float, int]:
        """Return how many members are heard, and of how many, self included.

        `interval` is the time in seconds between two statuses. A member whose
        status is late counts in part.
        """
        for member, contact in self._contacts.items():
            if member not in contacts and not contact.is_leaving:
                self._departed.setdefault(member, now)
        self._contacts = dict(contacts)
        for departed, at in tuple(self._departed.items()):
            if departed in contacts or now >= at + _DEPARTED_SECONDS:
                self._departed.pop(departed)
        heard = sum(
            _heard_part(each.age / interval) for each in contacts.values()
        )
        return 1 + heard, 1 + len(contacts) + len(self._departed)


def _heard_part(age: float) -> float:
    """Return how much a member counts by its age in status intervals."""
    left = _SILENT_INTERVALS - age
    return max(0, min(1, left / (_SILENT_INTERVALS - _HEARD_INTERVALS)))
