"""Which availability zones get no requests, as operators have asked.

Answers maintenance under load: all targets of a zone leave traffic at once,
and all return at once, often cold. Each instance decides from its own copy of
the store, so that an evacuation needs no coordinator and holds for instances
that start meanwhile. Targets of a zone that has returned count as cold until
entries written after the return can have arrived.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

# Seconds after a return within which the targets' own entries, written with
# each heartbeat, may not have arrived yet.
ENTRY_DELAY = 3.0


@dataclass(slots=True)
class EvacuatedZones:
    """The zones under evacuation, and when others returned."""

    _zones: set[str] = field(default_factory=set)
    _returned_at: dict[str, float] = field(default_factory=dict)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the evacuated zones by name."""
        return iter(sorted(self._zones))

    def __len__(self) -> int:
        """Return the number of evacuated zones."""
        return len(self._zones)

    def begin(self, zone: str) -> bool:
        """Start an evacuation; return false if it is under way already."""
        if zone in self._zones:
            return False
        self._zones.add(zone)
        return True

    def end(self, zone: str, now: float) -> bool:
        """End an evacuation; return false if there is none."""
        if zone not in self._zones:
            return False
        self._zones.remove(zone)
        self._returned_at[zone] = now
        return True

    def is_evacuated(self, zone: str) -> bool:
        """Return whether targets of a zone get no requests."""
        return zone in self._zones

    def returned_at(self, zone: str) -> float:
        """Return when a zone returned, -inf if it was never evacuated."""
        return self._returned_at.get(zone, -math.inf)
