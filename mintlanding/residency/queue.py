"""Who waits for an engine, in which order, and for how long.

Load it answers: requests come faster than prompts are read. Those on time
go before those that are late, urgent ones before others; what cannot start
within its patience is refused at once with the time it would have to wait.
"""

import bisect
from collections.abc import Iterator

from mintlanding.residency.models import StewardOptions, Waiting


class AdmissionQueue:
    """Waiting requests in the order of their rank."""

    def __init__(self, options: StewardOptions) -> None:
        """Start empty."""
        self.cost: float = 0
        self._options = options
        self._items: list[Waiting] = []
        self._by_id: dict[str, Waiting] = {}

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self._items)

    def __iter__(self) -> Iterator[Waiting]:
        """Go through the waiting requests in order."""
        return iter(tuple(self._items))

    def __contains__(self, request_id: str) -> bool:
        """Tell whether a request waits."""
        return request_id in self._by_id

    @property
    def is_full(self) -> bool:
        """Tell whether no more may wait."""
        return len(self._items) >= self._options.queue_limit

    def cost_ahead(self, rank: float) -> tuple[int, float]:
        """Return the number and the reading time of those that go first."""
        end = bisect.bisect_right(self._items, rank, key=_rank)
        ahead = self._items[:end]
        return len(ahead), sum(item.cost for item in ahead)

    def push(self, item: Waiting) -> None:
        """Add a request."""
        bisect.insort_right(self._items, item, key=_rank)
        self._by_id[item.req.request_id] = item
        self.cost += item.cost

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out."""
        item = self._by_id.pop(request_id, None)
        if item is not None:
            self._items.remove(item)
            self.cost -= item.cost
        return item

    def expired(self, now: float) -> list[Waiting]:
        """Return those whose patience is over."""
        return [item for item in self._items if item.expires <= now]

    def next_expiry(self) -> float | None:
        """Return when the next patience is over."""
        return min((item.expires for item in self._items), default=None)

    def adapters(self) -> dict[str, None]:
        """Return the adapters that are waited for, in order."""
        return dict.fromkeys(
            item.req.adapter for item in self._items if item.req.adapter
        )


def _rank(item: Waiting) -> float:
    return item.rank
