"""Refuse requests for which no engine has room, and tell when to return."""

import math
import random
from collections import Counter

from mintlanding.capacity.fleet_room import FleetRoom, Wanted
from mintlanding.capacity.options import CapacityOptions
from mintlanding.capacity.return_times import Refused, ReturnTimes
from mintlanding.core.logs import Logger
from mintlanding.node.clock import boot_seconds, loop_seconds
from mintlanding.node.request_plan import RequestPlan
from mintlanding.residency.worker_choice import WorkerView

# Least expected wait in seconds of a request that no engine has room for.
_MIN_WAIT = 0.1
# Least seconds between two log lines about a lack of room.
_LOG_SECONDS = 1.0
# Part of its longest wait that a caller which returns may wait again.
_WAIT_AFTER_RETURN = 0.5
# Bounds in seconds of the waits of callers that returned as told.
_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)


class FleetCapacity:
    """Room of the fleet and retry times, as one instance knows them."""

    def __init__(self, options: CapacityOptions, rnd: random.Random) -> None:
        """Start without retry times."""
        self.is_enabled = options.is_enabled
        self.refusals = 0
        self._returns = ReturnTimes(options, rnd)
        self._buckets: Counter[float] = Counter()
        self._seconds: float = 0
        self._started = 0
        self._refused_again = 0
        self._logged_at = float('-inf')
        self._logger = Logger('capacity')

    def note_arrival(self, plan: RequestPlan) -> None:
        """Recognise a caller that returns as told."""
        if self.is_enabled and not plan.sends:
            plan.is_returning |= self._returns.take_return(
                _key(plan), boot_seconds()
            )

    def with_room(
        self,
        plan: RequestPlan,
        views: dict[str, WorkerView],
        max_wait: float,
        members: int,
    ) -> FleetRoom:
        """Return the engines that can start a request in time.

        Without any, the plan gets its reason and retry time.
        """
        if not self.is_enabled or max_wait <= 0:
            return FleetRoom(views)
        early = self._returns.early_seconds(_key(plan), boot_seconds())
        wanted = Wanted(
            plan.fields.adapter.adapter,
            _workspace(plan),
            plan.priority,
            max_wait,
            is_early=early > 0 and not plan.sends,
            now=boot_seconds(),
        )
        room = FleetRoom.from_views(views, wanted)
        plan.return_gap = room.start_gap * members
        if not room.views and math.isfinite(room.wait) and not plan.is_sent:
            self.refusals += 1
            self._log_refusal(plan, room, boot_seconds())
            plan.reason = 'no engine has room in time'
            plan.retry_after = max(room.wait, early, _MIN_WAIT)
        return room

    def _log_refusal(
        self, plan: RequestPlan, room: FleetRoom, now: float
    ) -> None:
        """Log that no engine has room, at most once a second."""
        if now < self._logged_at + _LOG_SECONDS:
            return
        self._logged_at = now
        self._logger.info(
            'No engine has room in time.',
            request=plan.fields.request_id,
            priority=plan.priority,
            wait=round(room.wait, 2),
            refusals=self.refusals,
        )

    def begin_asking(self, plan: RequestPlan) -> None:
        """Forget the retry time of an earlier round of asking stewards."""
        if self.is_enabled:
            plan.retry_after = 0

    def note_reply(self, plan: RequestPlan, retry_after: float) -> None:
        """Record when a steward that refused expects to have a place.

        A caller can be served as soon as the first of the engines has one.
        """
        if not self.is_enabled:
            plan.retry_after = max(plan.retry_after, retry_after)
            return
        plan.retry_after = min(plan.retry_after or retry_after, retry_after)

    def note_refusal(self, plan: RequestPlan, max_wait: float) -> None:
        """Tell a caller that no engine admitted when to return."""
        if not self.is_enabled or plan.is_sent:
            return
        if plan.is_returning:
            self._refused_again += 1
        if not plan.retry_after:
            return
        plan.retry_after = self._returns.assign(
            Refused(
                _key(plan),
                plan.priority,
                plan.retry_after - _WAIT_AFTER_RETURN * max(0, max_wait),
                plan.return_gap,
                plan.time_left(loop_seconds()),
                _workspace(plan),
            ),
            boot_seconds(),
        )

    def note_start(self, plan: RequestPlan) -> None:
        """Record how long a caller waited after it returned as told."""
        if not plan.is_returning or plan.is_sent:
            return
        self._started += 1
        self._seconds += plan.waited
        self._buckets.update(
            bound for bound in _BUCKETS if plan.waited <= bound
        )

    def render(self) -> list[str]:
        """Return the metrics in the Prometheus text format."""
        name = 'mintlanding_return_wait_seconds'
        count = self._started + self._refused_again
        return [
            f'mintlanding_room_refusals_total {self.refusals}',
            f'mintlanding_returns_refused_total {self._refused_again}',
            f'# TYPE {name} histogram',
            *(
                f'{name}_bucket{{le="{bound}"}} {self._buckets[bound]}'
                for bound in _BUCKETS
            ),
            f'{name}_bucket{{le="+Inf"}} {count}',
            f'{name}_sum {self._seconds:.3f}',
            f'{name}_count {count}',
        ]


def _workspace(plan: RequestPlan) -> str:
    return plan.workspace.name if plan.workspace else ''


def _key(plan: RequestPlan) -> str:
    """Return the key of a refused request.

    Workspaces choose request ids themselves; one must not mark the requests of
    another as early.
    """
    return f'{_workspace(plan)}|{plan.fields.request_id}'
