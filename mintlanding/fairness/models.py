"""State of the queue of waiting reservations."""

from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass, field

from mintlanding.placement.messages import AdapterRef, Priority


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A reservation that waits; `expires` is the latest start it accepts."""

    reservation_id: str
    workspace: str
    ref: AdapterRef
    tokens: float
    weight: float
    priority: Priority
    arrived: float
    expires: float
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class QueueOptions:
    """Bounds of a queue.

    `batch_share` is the least share of tokens that waiting batch requests
    get beside interactive ones; `max_batch_share` is the most that their
    deadlines can raise it to. `urgent_seconds` before its latest start a
    batch request goes first, `urgent_load_seconds` before it no longer waits
    for spare permits. `max_credit` bounds in tokens what batch saves up while
    its adapters load.
    """

    limit: int = 512
    batch_share: float = 0.1
    max_batch_share: float = 0.6
    urgent_seconds: float = 5
    urgent_load_seconds: float = 30
    max_credit: float = 2000


Group = OrderedDict[str, QueuedRequest]


def oldest(group: Group) -> QueuedRequest:
    """Return the first item of a group."""
    return next(iter(group.values()))


@dataclass(slots=True)
class Flow:
    """The waiting requests of one workspace in one lane.

    `tag` is the virtual time in tokens at which the next one starts.
    """

    workspace: str
    tag: float = 0
    weight: float = 1
    tokens: float = 0
    order: Group = field(default_factory=OrderedDict)
    groups: dict[AdapterRef, Group] = field(default_factory=dict)
    ready: list[tuple[int, AdapterRef]] = field(default_factory=list)

    @property
    def backlog(self) -> float:
        """Return the waiting tokens for the weight."""
        return self.tokens / self.weight

    def add(self, item: QueuedRequest) -> None:
        """Append an item."""
        self.weight = item.weight
        self.tokens += item.tokens
        self.order[item.reservation_id] = item
        group = self.groups.setdefault(item.ref, OrderedDict())
        group[item.reservation_id] = item

    def discard(self, item: QueuedRequest) -> None:
        """Take an item out wherever it stands."""
        self.tokens -= item.tokens
        self.order.pop(item.reservation_id)
        group = self.groups[item.ref]
        group.pop(item.reservation_id)
        if not group:
            self.groups.pop(item.ref)

    def newest(self) -> QueuedRequest:
        """Return the item that came last."""
        return next(reversed(self.order.values()))

    def blocked(self, ready: Container[AdapterRef]) -> list[Group]:
        """Return the groups whose adapter is not ready."""
        return [group for ref, group in self.groups.items() if ref not in ready]
