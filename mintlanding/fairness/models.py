"""Requests, options and flows of the queues."""

from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass, field

from mintlanding.placement.messages import AdapterRef, Priority


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A pending reservation; `expires` is its latest start."""

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
    """Tunable parameters of a queue.

    `limit` is the maximum number of queued requests. `batch_share` is the
    minimum share of tokens that queued batch requests get next to interactive
    ones; their deadlines raise it to `max_batch_share` at most. A batch
    request is served first within `urgent_seconds` of its latest start;
    within `urgent_load_seconds` its load does not wait for spare permits.
    `max_credit` is the maximum credit, in tokens, that batch requests
    accumulate while their adapters load.
    """

    limit: int = 512
    batch_share: float = 0.1
    max_batch_share: float = 0.6
    urgent_seconds: float = 5
    urgent_load_seconds: float = 30
    max_credit: float = 2000


Group = OrderedDict[str, QueuedRequest]


def oldest(group: Group) -> QueuedRequest:
    """Return the oldest request of a group."""
    return next(iter(group.values()))


@dataclass(slots=True)
class Flow:
    """The queued requests of one workspace in one lane.

    `tag` is the virtual start time of the next request, in tokens.
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
        """Return the queued tokens divided by the weight."""
        return self.tokens / self.weight

    def add(self, item: QueuedRequest) -> None:
        """Append a request."""
        self.weight = item.weight
        self.tokens += item.tokens
        self.order[item.reservation_id] = item
        group = self.groups.setdefault(item.ref, OrderedDict())
        group[item.reservation_id] = item

    def discard(self, item: QueuedRequest) -> None:
        """Remove a request from any position."""
        self.tokens -= item.tokens
        self.order.pop(item.reservation_id)
        group = self.groups[item.ref]
        group.pop(item.reservation_id)
        if not group:
            self.groups.pop(item.ref)

    def newest(self) -> QueuedRequest:
        """Return the request that was added last."""
        return next(reversed(self.order.values()))

    def missing_groups(self, ready: Container[AdapterRef]) -> list[Group]:
        """Return the groups of requests whose adapter is not ready."""
        return [group for ref, group in self.groups.items() if ref not in ready]
