"""The choice of the adapter to evict."""

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
    """Evict the adapter that was used least recently."""
    return slot.used


class EvictionChooser:
    """Choose among the adapters that are neither pinned nor busy."""

    def __init__(
        self,
        options: StewardOptions,
        slots: SlotTable,
        admission: Admission,
        authority: Authority,
        popularity: DecayedPopularity,
    ) -> None:
        """Keep references to the steward's components, which it updates."""
        self._min_unused_time = options.min_unused_time
        self._key = EVICTIONS.get(options.eviction)
        self._slots = slots
        self._queue = admission.queue
        self._reservations = admission.reservations
        self._authority = authority
        self._popularity = popularity

    def count(self, now: float) -> int:
        """Count the slots that an eviction could free."""
        return len(self._candidates(now))

    def choose(self, now: float) -> Slot | None:
        """Return the slot to evict, None when evicting is not allowed."""
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
        """Return idle slots, or else those not used for `min_unused_time`.

        A recently used slot is kept even if its requests are queued, because
        while the batch is full loads would only replace each other.
        """
        if not self._authority.may_evict(now):
            return []
        evictable = [slot for slot in self._slots if self._is_evictable(slot)]
        idle = [
            slot for slot in evictable if not self._queue.count_for(slot.ref)
        ]
        before = now - self._min_unused_time
        return idle or [slot for slot in evictable if slot.used < before]

    def _is_evictable(self, slot: Slot) -> bool:
        is_resident = slot.state is SlotState.resident
        is_used = slot.is_busy or self._reservations.pins(slot.ref) > 0
        return is_resident and not is_used
