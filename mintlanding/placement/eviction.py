"""Which resident adapter gives its slot to another one."""

from collections.abc import Callable

from mintlanding.core.registry import Registry
from mintlanding.placement.models import Slot
from mintlanding.placement.popularity import DecayedPopularity

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
