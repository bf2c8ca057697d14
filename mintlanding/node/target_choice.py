"""Choose the target of a request, or wait for one that takes it in time."""

import asyncio
import random
from dataclasses import dataclass

from mintlanding.node.admissions import Admissions
from mintlanding.node.clock import boot_seconds, loop_seconds
from mintlanding.node.limit_keeper import LimitKeeper
from mintlanding.node.request_plan import RequestPlan
from mintlanding.node.send_gate import SendGate
from mintlanding.node.settings import NodeSettings
from mintlanding.node.targets import TargetTable
from mintlanding.node.view import FleetView
from mintlanding.residency.messages import AdmissionRequest
from mintlanding.traffic.models import Target

# Least seconds before the deadline with which a request is still sent.
MIN_TIME_LEFT = 0.05
# Seconds between looks at whether a target has responded for the first time.
_CONTACT_POLL_SECONDS = 0.01


@dataclass(slots=True)
class TargetChoice:
    """What the choice of a target depends on.

    Targets that pause or have a limit are left out as long as others can serve;
    a request waits for them only if their time comes before its deadline.
    """

    cfg: NodeSettings
    view: FleetView
    admissions: Admissions
    limits: LimitKeeper
    gate: SendGate
    table: TargetTable
    rnd: random.Random

    async def plain_target(self, plan: RequestPlan) -> Target | None:
        """Return a plain target to which the request may be sent now.

        Targets with a limit are asked for a turn at once. If all have one, and
        none a turn, the request waits for that which is expected first.
        """
        targets = [
            each
            for each in self.without_unreachable_zones(
                self.gate.candidates(plan)
            )
            if each.target not in plan.tried
        ]
        targets = await self.outlast_pauses(plan, targets)
        targets = await self._outlast_first_contacts(plan, targets)
        now = boot_seconds()
        full = {
            each.target for each in targets if self.limits.wait(each, now) > 0
        }
        while target := self.table.choose(
            targets,
            full,
            self.cfg.facts.zone,
            loop_seconds(),
            may_fail=plan.route.is_idempotent,
        ):
            if not self.limits.needs_turn(target):
                return target
            if await self._take_turn(plan, target, 0):
                return target
            full.add(target.target)
        now = boot_seconds()
        limited = [each for each in targets if self.limits.needs_turn(each)]
        if not limited:
            return None
        first = min(limited, key=lambda each: self.limits.wait(each, now))
        if await self._take_turn(plan, first, self._longest_turn(plan)):
            return first
        return None

    async def outlast_pauses(
        self, plan: RequestPlan, targets: list[Target]
    ) -> list[Target]:
        """Return the targets that have not asked for a pause.

        If all have, wait for the first one that accepts requests again. Return
        none if that is too late.
        """
        now = boot_seconds()
        pauses = self.gate.pauses
        ready = [each for each in targets if not pauses.wait(each.target, now)]
        if ready or not targets:
            return ready
        first = min(targets, key=lambda each: pauses.wait(each.target, now))
        wait = pauses.wait(first.target, now)
        left = plan.time_left(loop_seconds())
        # The response takes its time after the pause.
        if wait > left - min(plan.route.objective, left / 3):
            plan.reason = f'{first.target}: it asked for a pause'
            plan.retry_after = wait * self.rnd.uniform(1, 1.4)
            return []
        wait = pauses.join(first.target, now)
        plan.waited += wait
        await asyncio.sleep(wait)
        return [first]

    async def _outlast_first_contacts(
        self, plan: RequestPlan, targets: list[Target]
    ) -> list[Target]:
        """Return the targets whose limits may be known, as soon as one is."""
        begin = loop_seconds()
        while True:
            now = boot_seconds()
            known = [
                each
                for each in targets
                if self.limits.names_limit(each)
                or not self.limits.contacts.wait(each.key, now)
            ]
            if (
                known
                or not targets
                or plan.time_left(loop_seconds()) < MIN_TIME_LEFT
            ):
                plan.waited += loop_seconds() - begin
                return known
            await asyncio.sleep(_CONTACT_POLL_SECONDS)

    def without_unreachable_zones(self, workers: list[Target]) -> list[Target]:
        """Leave out zones that are cut off, if others have targets.

        A zone counts as cut off if none of its members is reachable and a
        connection to one of its targets failed recently. Each connection there
        would cost a caller the whole connect timeout.
        """
        unreachable = self.admissions.unreachable_zones()
        if not unreachable:
            return workers
        targets = self.view.targets
        failed = self.admissions.stewards.unreachable()
        cut_off = unreachable & {
            targets[name].zone for name in failed if name in targets
        }
        return [each for each in workers if each.zone not in cut_off] or workers

    def _longest_turn(self, plan: RequestPlan) -> float:
        """Return how many seconds a request may wait for a limited target."""
        left = plan.time_left(loop_seconds())
        spent = loop_seconds() - plan.req.arrived
        objective = plan.route.objective * self.cfg.relay.max_wait_share
        return max(
            0, min(left - MIN_TIME_LEFT, max(objective - spent, left / 3))
        )

    async def _take_turn(
        self, plan: RequestPlan, target: Target, max_wait: float
    ) -> bool:
        """Wait for a turn within the limit of a plain target."""
        begin = loop_seconds()
        asked_at = boot_seconds()
        plan.turns += 1
        turn_id = plan.admission_id(f't{plan.turns}')
        reply = await self.admissions.take_turn(
            AdmissionRequest(
                request_id=turn_id,
                worker=target.target,
                model='',
                adapter='',
                workspace='',
                prompt_tokens=0,
                output_tokens=0,
                priority=plan.priority,
                objective=plan.route.objective - (begin - plan.req.arrived),
                max_wait=max_wait,
                deadline=plan.time_left(loop_seconds()),
                reroute_wait=max_wait,
                limits=self.limits.table.report(target.key, boot_seconds()),
                brittle=self.limits.brittle.report(target.key, boot_seconds()),
                cold=self.limits.report_cold(target),
            ),
        )
        plan.waited += loop_seconds() - begin
        if reply.is_granted:
            plan.take_turn(target.key, asked_at, boot_seconds(), turn_id)
            return True
        plan.reason = f'{target.target}: {reply.reason}'
        plan.retry_after = min(
            plan.retry_after or reply.retry_after, reply.retry_after
        )
        self.limits.record_refusal(target, reply.retry_after)
        return False
