"""The order in which an engine serves the requests that wait for it.

Answers a workspace that sends several times its usual rate, and a burst of a
less urgent class. Urgent classes go first. Within a class, start-time fair
queueing: a workspace's virtual time advances by the engine time of what it
started, divided by its weight, and the one with the least goes next. A request
is ranked by its start, so a large prompt is not delayed by its own size.

Weights follow the usual use of the workspaces. With equal weights a small
workspace in a burst would take from a large one at its usual rate.
"""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from mintlanding.capacity.options import CapacityOptions
from mintlanding.residency.models import QueuedRequest

# Added to all weights, so that a workspace without any use has one.
_TINY_WEIGHT = 1e-6


@dataclass(slots=True)
class _Workspace:
    """Engine time that a workspace asked for, and its virtual times.

    `asked` decays; it is about the engine time asked for within `usual_time`.
    `finish` is the virtual time at which its last started request ends, by
    priority.
    """

    asked: float = 0
    at: float = 0
    finish: dict[int, float] = field(default_factory=dict)

    def asked_until(self, now: float, usual_time: float) -> float:
        """Return the engine time asked for, decayed until now."""
        return self.asked * math.exp((self.at - now) / usual_time)


class FairOrder:
    """Virtual times of the workspaces at one engine."""

    def __init__(self, options: CapacityOptions) -> None:
        """Start without any workspaces."""
        self._options = options
        self._workspaces: OrderedDict[str, _Workspace] = OrderedDict()
        # Start of the last started request of each class.
        self._virtual: dict[int, float] = {}
        self._now: float = 0

    def __len__(self) -> int:
        """Count the workspaces that are remembered."""
        return len(self._workspaces)

    def record_request(self, item: QueuedRequest, now: float) -> None:
        """Record that a workspace asks for engine time."""
        self._now = now
        each = self._workspace(item.req.workspace)
        usual_time = self._options.usual_time
        each.asked = each.asked_until(now, usual_time) + item.work
        each.at = now

    def record_start(self, item: QueuedRequest) -> float:
        """Charge a request that the engine starts; return the virtual time."""
        priority = item.req.priority
        each = self._workspace(item.req.workspace)
        virtual = self._virtual.get(priority, 0)
        start = max(virtual, each.finish.get(priority, 0))
        self._virtual[priority] = start
        charge = item.work / self._weights()[item.req.workspace]
        each.finish[priority] = start + charge
        return charge

    def record_unused(
        self, priority: int, workspace: str, charge: float
    ) -> None:
        """Return the charge of a request that did not run.

        It is the virtual time charged at the start: the weight may have
        changed since.
        """
        each = self._workspaces.get(workspace)
        if each is None or priority not in each.finish:
            return
        each.finish[priority] -= charge

    def sort(self, items: Sequence[QueuedRequest]) -> list[QueuedRequest]:
        """Return waiting requests in the order in which they are served."""
        lines: dict[tuple[int, str], list[QueuedRequest]] = {}
        for item in items:
            line = (item.req.priority, item.req.workspace)
            lines.setdefault(line, []).append(item)
        weights = self._weights()
        least = self._least_weight()
        ranked: list[tuple[int, float, float, int]] = []
        found: list[QueuedRequest] = []
        for (priority, workspace), line_items in lines.items():
            tag = self._start(priority, workspace)
            weight = weights.get(workspace, least)
            for item in sorted(line_items, key=_line_rank):
                ranked.append((priority, tag, item.rank, len(found)))
                found.append(item)
                tag += item.work / weight
        return [found[place] for *_, place in sorted(ranked)]

    def _start(self, priority: int, workspace: str) -> float:
        virtual = self._virtual.get(priority, 0)
        each = self._workspaces.get(workspace)
        if each is None:
            return virtual
        return max(virtual, each.finish.get(priority, 0))

    def _weights(self) -> dict[str, float]:
        """Return the usual use of each workspace, and a part of the mean."""
        least = self._least_weight()
        usual_time = self._options.usual_time
        return {
            name: each.asked_until(self._now, usual_time) + least
            for name, each in self._workspaces.items()
        }

    def _least_weight(self) -> float:
        usual_time = self._options.usual_time
        asked = sum(
            each.asked_until(self._now, usual_time)
            for each in self._workspaces.values()
        )
        mean = asked / max(1, len(self._workspaces))
        return mean * self._options.least_weight + _TINY_WEIGHT

    def _workspace(self, name: str) -> _Workspace:
        each = self._workspaces.setdefault(name, _Workspace())
        self._workspaces.move_to_end(name)
        if len(self._workspaces) > self._options.max_workspaces:
            self._workspaces.popitem(last=False)
        return each


def _line_rank(item: QueuedRequest) -> tuple[bool, float]:
    """Rank within a workspace: those that return as told, then the urgent."""
    return not item.is_returning, item.rank
