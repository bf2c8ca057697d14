"""Whether any engine of a model can start a request in time.

Answers more requests than the engines serve: an instance would ask several
stewards in sequence, each of which refuses, and refuse the caller only then.
From the stewards' digests it refuses at once, with the time after which an
engine can start the request, and asks only engines that can.

An engine whose digest is missing or old counts as having room.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mintlanding.residency.messages import WorkerDigest
from mintlanding.residency.worker_choice import EngineRoom, WorkerView

# Seconds; a digest that is older says nothing. Statuses come every 0.25 s, and
# in large fleets through two hubs with 0.4 s each.
ROOM_LIFETIME = 1.5
_MILLISECONDS = 1000
# Share of engines without a queue from which the fleet is not short of room.
_EARLY_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a request needs; `max_wait` is in seconds, `now` the present time.

    `is_early`: it was refused, and returns earlier than it was told. It is
    served only once most engines have no queue.
    """

    adapter: str
    workspace: str
    priority: int
    max_wait: float
    is_early: bool = False
    now: float = 0


@dataclass(frozen=True, slots=True)
class FleetRoom:
    """Engines that can start a request in time.

    `wait` is the least expected wait in seconds among all engines, and
    `start_gap` the seconds between two starts at all of them together. `waits`
    are the expected waits that differ from those of the views.
    """

    views: Mapping[str, WorkerView]
    wait: float = 0
    start_gap: float = 0
    waits: Mapping[str, float] = field(default_factory=dict)

    @classmethod
    def from_views(
        cls, views: Mapping[str, WorkerView], wanted: Wanted
    ) -> 'FleetRoom':
        """Keep the engines that can start a request in time."""
        found: dict[str, WorkerView] = {}
        waits: dict[str, float] = {}
        least = float('inf')
        with_model = 0
        longest = 0 if wanted.is_early else wanted.max_wait
        for worker, view in views.items():
            if not view.has_model:
                continue
            with_model += 1
            wait = expected_wait(view, wanted)
            if wait < least:
                least = wait
            if wait <= longest:
                found[worker] = view
                if view.wait != wait and view.room is not None:
                    waits[worker] = wait
        if wanted.is_early and len(found) < with_model * _EARLY_SHARE:
            found = {}
        return cls(found, least, _fleet_gap(views.values()), waits)


def read_room(
    digest: WorkerDigest, age: float, at: float = math.inf
) -> EngineRoom | None:
    """Return the room in a digest that came at a time, None if it is old."""
    room = digest.room
    if room is None or not room.class_waits_ms or age > ROOM_LIFETIME:
        return None
    return EngineRoom(
        tuple(each / _MILLISECONDS for each in room.class_waits_ms),
        tuple(
            (workspace, priority, wait / _MILLISECONDS)
            for workspace, priority, wait in room.workspace_waits_ms
        ),
        room.start_gap_ms / _MILLISECONDS,
        at,
    )


def expected_wait(view: WorkerView, wanted: Wanted) -> float:
    """Return the expected seconds until an engine starts a request."""
    room = view.room
    if room is None:
        return 0
    waits = room.class_waits
    priority = wanted.priority
    wait = waits[priority] if priority < len(waits) else waits[-1]
    for line, line_priority, line_wait in room.workspace_waits:
        if line == wanted.workspace and line_priority == priority:
            wait = max(wait, line_wait)
    if wait > 0:
        # Those sent meanwhile are ahead; the engine started others as well.
        ahead = _sent_ahead(view, wanted) if view.sent else 0
        wait = max(
            0, wait + ahead * room.start_gap - max(0, wanted.now - room.at)
        )
    if view.load_wait > wait and view.can_order and wanted.adapter:
        return wait if wanted.adapter in view.ready else view.load_wait
    return wait


def _sent_ahead(view: WorkerView, wanted: Wanted) -> int:
    """Return how many requests sent since the digest go before another.

    Those of less urgent classes and of other workspaces in its class do not:
    the engine's fair order places them behind it.
    """
    return view.sent - sum(
        count
        for (workspace, priority), count in view.sent_lines.items()
        if priority > wanted.priority
        or (priority == wanted.priority and workspace != wanted.workspace)
    )


def _fleet_gap(views: Iterable[WorkerView]) -> float:
    """Return the seconds between two starts at all engines, 0 if unknown."""
    gaps = [view.room.start_gap for view in views if view.room is not None]
    rate = sum([1 / gap for gap in gaps if gap > 0])
    return 1 / rate if rate > 0 else 0
