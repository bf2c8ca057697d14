"""Reserve a place at an engine for a request, and report its end."""

import random
from collections import Counter
from dataclasses import dataclass, field

from mintlanding.node.admissions import Admissions, Reservation
from mintlanding.node.clock import boot_seconds, loop_seconds
from mintlanding.node.fleet_capacity import FleetCapacity
from mintlanding.node.limit_keeper import LimitKeeper
from mintlanding.node.request_plan import RequestPlan
from mintlanding.node.send_gate import SendGate, no_target_reason
from mintlanding.node.settings import NodeSettings
from mintlanding.node.target_choice import MIN_TIME_LEFT, TargetChoice
from mintlanding.node.target_connector import TargetConnector
from mintlanding.node.targets import TargetTable
from mintlanding.node.view import FleetView
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionRequest,
    GrantOutcome,
)
from mintlanding.residency.worker_choice import choose_worker
from mintlanding.traffic.models import Target

# Least seconds that a request may wait for a place before its deadline. The
# objective may have passed while its body arrived, though a place is free.
_LEAST_WAIT = 0.05

# Engine, adapter and granter of a running request; the granter is empty if
# it runs without a grant.
EngineUse = tuple[str, str, str]


@dataclass(slots=True)
class EngineReservations:
    """What a reservation depends on, and the adapters in use by requests."""

    cfg: NodeSettings
    view: FleetView
    admissions: Admissions
    limits: LimitKeeper
    gate: SendGate
    choice: TargetChoice
    table: TargetTable
    connector: TargetConnector
    rnd: random.Random
    capacity: FleetCapacity = field(init=False)
    _in_use: Counter[EngineUse] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Start without refusals and retry times."""
        self.capacity = FleetCapacity(self.cfg.capacity, self.rnd)

    def in_use(self) -> tuple[tuple[str, str, str], ...]:
        """Return holder, worker and adapter of uses the holder may not know.

        These are the uses by requests that run without a grant, or with one
        by an earlier incarnation or holder.
        """
        found = []
        for worker, adapter, granter in self._in_use:
            holder = self.admissions.holder(worker)
            if holder and granter != self.admissions.granter(worker):
                found.append((holder, worker, adapter))
        return tuple(found)

    async def reserve(self, plan: RequestPlan) -> Reservation | None:
        """Reserve a place at the best engine that grants one in time."""
        now = loop_seconds()
        self.capacity.note_arrival(plan)
        # Members reach the targets to which only the own path is cut.
        unreachable = self.admissions.stewards.unreachable()
        excluded = plan.tried | (unreachable - self.connector.cut_targets())
        workers = [
            each
            for each in self.gate.candidates(plan)
            if each.target not in excluded
        ]
        plan.reason = (
            no_target_reason(plan)
            if workers
            else self.gate.no_target_reason(plan)
        )
        workers = await self.choice.outlast_pauses(plan, workers)
        may_fail = plan.route.is_idempotent
        healthy = [
            each
            for each in workers
            if self.table.admits(each.target, now, may_fail=may_fail)
        ]
        reachable = self.choice.without_unreachable_zones(healthy or workers)
        by_name = {each.target: each for each in reachable}
        views = self.admissions.views(list(by_name.values()))
        adapter = plan.fields.adapter.adapter
        key = str(plan.fields.adapter) if adapter else ''
        least_wait = self._least_wait(plan)
        max_wait = max(self._max_wait(plan), least_wait)
        members = max(1, len(self.view.members))
        room = self.capacity.with_room(plan, views, max_wait, members)
        is_by_speed = self.table.speeds.is_active(plan.service.name)
        order = choose_worker(
            key,
            adapter,
            room.views,
            self.cfg.facts.zone,
            self.cfg.choice if is_by_speed else self.cfg.choice.without_speed(),
            self.rnd,
            room.waits,
        )
        if order:
            self.capacity.begin_asking(plan)
        for number, worker in enumerate(order):
            reservation_id = plan.admission_id(f'{plan.sends}.{number}')
            is_last = number + 1 == len(order)
            reservation = await self._request_admission(
                plan,
                by_name[worker],
                reservation_id,
                least_wait,
                is_last=is_last,
            )
            if reservation is not None:
                plan.waited += loop_seconds() - now
                self.capacity.note_start(plan)
                return reservation
        plan.waited += loop_seconds() - now
        self.capacity.note_refusal(plan, max_wait)
        return None

    def usable_target(
        self, plan: RequestPlan, reservation: Reservation
    ) -> Target | None:
        """Return the target of a reservation; end one that is of no use."""
        target = self.view.targets.get(reservation.worker)
        is_usable = False
        try:
            # The worker may have restarted with another build meanwhile.
            is_usable = target is not None and self.gate.is_candidate(
                target, plan
            )
        finally:
            if not is_usable:
                self.admissions.end(
                    reservation.worker,
                    reservation.reservation_id,
                    GrantOutcome.unused,
                )
        return target if is_usable else None

    def end_unused(self, plan: RequestPlan) -> None:
        """End a reservation whose attempt could not follow any more."""
        unused, plan.reservation = plan.reservation, None
        if unused is not None:
            self.admissions.end(
                unused.worker, unused.reservation_id, GrantOutcome.unused
            )

    def begin(self, plan: RequestPlan, reservation: Reservation) -> EngineUse:
        """Count the adapter of a request as used at its engine."""
        worker = reservation.worker
        granter = ''
        if reservation.is_granted:
            granter = self.admissions.granter(worker)
        use = (worker, plan.fields.adapter.adapter, granter)
        self._in_use[use] += 1
        return use

    def end(
        self,
        plan: RequestPlan,
        reservation: Reservation,
        use: EngineUse,
        outcome: GrantOutcome,
    ) -> None:
        """Report the end of a request to whoever granted its reservation."""
        self._in_use[use] -= 1
        if not self._in_use[use]:
            self._in_use.pop(use)
        worker, reservation_id = reservation.worker, reservation.reservation_id
        if reservation.is_granted:
            self.admissions.end(worker, reservation_id, outcome, plan.times)
            return
        self.limits.end_own(AdmissionEnd(reservation_id, worker, outcome))

    def _max_wait(self, plan: RequestPlan) -> float:
        """Return the seconds for which a request may wait for an engine."""
        spent = loop_seconds() - plan.req.arrived
        left = plan.time_left(loop_seconds())
        max_wait = min(
            plan.route.objective * self.cfg.relay.max_wait_share - spent,
            left - MIN_TIME_LEFT,
        )
        if plan.sends or plan.waited:
            return max(max_wait, left / 3)
        return max_wait

    def _least_wait(self, plan: RequestPlan) -> float:
        """Return the seconds that a request may wait at least, usually none.

        Those of its objective may have passed before any steward was asked.
        """
        if self._max_wait(plan) > 0:
            return 0
        return min(_LEAST_WAIT, plan.time_left(loop_seconds()) - MIN_TIME_LEFT)

    async def _request_admission(
        self,
        plan: RequestPlan,
        target: Target,
        reservation_id: str,
        least_wait: float,
        *,
        is_last: bool,
    ) -> Reservation | None:
        options = self.cfg.relay
        spent = loop_seconds() - plan.req.arrived
        objective = plan.route.objective
        max_wait = max(self._max_wait(plan), least_wait)
        if max_wait <= 0:
            return None
        reroute_wait = max_wait
        if not is_last:
            reroute_wait *= options.reroute_wait_share
        adapter = plan.fields.adapter
        asked_at = boot_seconds()
        admission = AdmissionRequest(
            request_id=reservation_id,
            worker=target.target,
            model=adapter.model,
            adapter=adapter.adapter,
            workspace=plan.workspace.name if plan.workspace else '',
            prompt_tokens=plan.demand.prompt_tokens,
            output_tokens=plan.demand.output_tokens,
            priority=plan.priority,
            objective=objective - spent,
            max_wait=max_wait,
            deadline=plan.time_left(loop_seconds()),
            reroute_wait=reroute_wait,
            parts=plan.fields.parts,
            limits=self.limits.table.report(target.key, boot_seconds()),
            brittle=self.limits.brittle.report(target.key, boot_seconds()),
            cold=self.limits.report_cold(target),
            event_gap=plan.route.event_gap,
            is_returning=plan.is_returning,
        )
        reply = await self.admissions.reserve(admission)
        if reply is None:
            plan.reason = f'no reply from the steward of {target.target}'
            if not self.admissions.is_ready(target, adapter.adapter):
                return None
            if not await self._take_own_turn(plan, target, admission, asked_at):
                return None
            return Reservation(target.target, reservation_id, is_granted=False)
        if reply.is_granted:
            plan.take_turn(target.key, asked_at, boot_seconds())
            return Reservation(target.target, reservation_id, reply.version)
        plan.reason = f'{target.target}: {reply.reason}'
        if not reply.elsewhere:
            self.capacity.note_reply(plan, reply.retry_after)
        return None

    async def _take_own_turn(
        self,
        plan: RequestPlan,
        target: Target,
        admission: AdmissionRequest,
        asked_at: float,
    ) -> bool:
        """Wait for a turn in this instance's own part of an engine's limit."""
        if not self.limits.needs_turn(target):
            return True
        turn_asked_at = boot_seconds()
        reply = await self.admissions.take_own_turn(admission, asked_at)
        if not reply.is_granted:
            plan.reason = f'{target.target}: {reply.reason}'
            if not reply.elsewhere:
                self.capacity.note_reply(plan, reply.retry_after)
            return False
        plan.take_turn(target.key, turn_asked_at, boot_seconds())
        return True
