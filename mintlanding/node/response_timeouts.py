"""How long a request waits for a target that is silent."""

from dataclasses import dataclass

from mintlanding.core.exceptions import ResponseTimeout
from mintlanding.node.admissions import Admissions
from mintlanding.node.clock import loop_seconds
from mintlanding.node.engine_reservations import EngineReservations
from mintlanding.node.request_plan import RequestPlan
from mintlanding.node.send_gate import SendGate
from mintlanding.node.settings import RelayOptions
from mintlanding.node.target_search import PartReader, ReadPart, TargetSearch
from mintlanding.traffic.retries import FleetRetryBudget

# Attempts of one request, including those that targets refused.
MAX_SENDS = 4


@dataclass(slots=True)
class ResponseTimeouts:
    """What the timeouts of responses depend on."""

    options: RelayOptions
    gate: SendGate
    budget: FleetRetryBudget
    admissions: Admissions
    reservations: EngineReservations

    async def read_or_switch(
        self, plan: RequestPlan, read: PartReader[ReadPart]
    ) -> ReadPart | None:
        """Read on from a silent target until another one takes the request.

        A sound target may be silent for a while, and what it has done so far is
        lost with its connection. Raise ResponseTimeout to give it up; return
        None if there is no other one.
        """
        if not self._may_give_up(plan):
            return None
        is_late = plan.time_left(loop_seconds()) <= 0
        if plan.service.engine is None or is_late:
            raise ResponseTimeout('no response in time')
        plan.tried.add(plan.target)
        search = TargetSearch(self.reservations.reserve(plan), self.admissions)
        try:
            part = await search.read_meanwhile(read, plan.deadline)
            if part is None and self._may_give_up(plan):
                plan.reservation = search.take()
        finally:
            search.end()
        if plan.reservation is not None:
            raise ResponseTimeout('no response, and another engine is free')
        return part

    def response_timeout(self, plan: RequestPlan) -> float:
        """Return how long an attempt may wait for its response to begin."""
        left = max(0.001, plan.time_left(loop_seconds()))
        can_retry = plan.route.is_idempotent and (
            plan.runs < plan.route.attempts
        )
        if not can_retry:
            return left
        timeout = plan.route.objective * self.options.first_event_factor
        return min(left, timeout)

    def event_timeout(self, plan: RequestPlan, event_at: float) -> float:
        """Return how long to wait for bytes after the last whole event.

        A stalled target may send bytes now and then without ending an event.
        """
        left = max(0.001, plan.time_left(loop_seconds()))
        is_resumable = plan.route.is_resumable
        if not is_resumable or plan.runs >= plan.route.attempts:
            return left
        longest = self.options.first_event_factor * plan.route.objective
        return min(left, max(0.001, event_at + longest - loop_seconds()))

    def _may_give_up(self, plan: RequestPlan) -> bool:
        """Tell whether a silent target may be given up for another attempt."""
        if plan.time_left(loop_seconds()) <= 0:
            return True
        others = [
            each
            for each in self.gate.candidates(plan)
            if each.target not in plan.tried and each.target != plan.target
        ]
        can_send = bool(others) and plan.sends < MAX_SENDS
        return can_send and self.budget.has_room(
            plan.service.name, loop_seconds()
        )
