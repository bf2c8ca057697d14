"""Which resident adapter gives its slot to another one."""

from collections.abc import Callable

from mintlanding.core.registry import Registry
from mintlanding.placement.admission import Admission
from mintlanding.placement.authority import Authority
from mintlanding.placement.models import Slot, SlotState, StewardOptions
from mintlanding.placement.popularity import DecayedPopularity
from mintlanding.placement.slots import SlotTable

EvictionKey = Callable[[Slot, DecayedPopularity], float]
EVICTIONS: Registry[EvictionKey] = Registry('eviction policy')


@EVICTIONS.register('popularity')
def by_popularity(slot: Slot, popularity: DecayedPopularity) -> float:
    """Evict the adapter with the lowest decayed popularity."""
    return popularity.score(slot.ref)


@EVICTIONS.register('lru')
def by_last_use(slot: Slot, popularity: DecayedPopularity) -> float:
    """Evict the adapter that was granted the longest ago."""
    return slot.used


class VictimChooser:
    """Choose among the adapters that are neither pinned nor busy."""

    def __init__(
        self,
        options: StewardOptions,
        slots: SlotTable,
        admission: Admission,
        authority: Authority,
        popularity: DecayedPopularity,
    ) -> None:
        """Share the state of the steward."""
        self._patience = options.demand_patience
        self._key = EVICTIONS.get(options.eviction)
        self._slots = slots
        self._queue = admission.queue
        self._book = admission.book
        self._authority = authority
        self._popularity = popularity

    def count(self, now: float) -> int:
        """Count the slots that can be had by an eviction."""
        return len(self._candidates(now))

    def choose(self, now: float) -> Slot | None:
        """Return the slot to evict, none when none may be."""
        return min(
            self._candidates(now),
            key=lambda slot: self._key(slot, self._popularity),
            default=None,
        )

    def lowest_score(self, now: float) -> float | None:
        """Return the popularity of the least popular candidate."""
        scores = [
            self._popularity.score(slot.ref) for slot in self._candidates(now)
        ]
        return min(scores, default=None)

    def _candidates(self, now: float) -> list[Slot]:
        """Return idle slots, else those whose requests got no place lately.

        A slot just loaded is kept, or else loads would only swap places
        while the batch is full.
        """
        if not self._authority.may_evict(now):
            return []
        evictable = [slot for slot in self._slots if self._is_evictable(slot)]
        idle = [
            slot for slot in evictable if not self._queue.count_for(slot.ref)
        ]
        before = now - self._patience
        return idle or [slot for slot in evictable if slot.used < before]

    def _is_evictable(self, slot: Slot) -> bool:
        is_resident = slot.state is SlotState.resident
        is_used = slot.is_busy or self._book.pins(slot.ref) > 0
        return is_resident and not is_used
