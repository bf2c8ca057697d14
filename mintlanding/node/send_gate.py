"""The one place that decides whether a request may go to a target now.

Every way to a target passes here: first attempts, retries, resumed streams,
requests that waited in a queue, and plain services as well as engines. What
was true when a target was chosen may have changed by the time its connection
is open, so the checks run again right before the request is sent.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from mintlanding.core.registry import Registry
from mintlanding.node.clock import boot_seconds
from mintlanding.node.limit_keeper import LimitKeeper
from mintlanding.node.planned_stop import PlannedStop
from mintlanding.node.quarantines import Quarantines
from mintlanding.node.request_plan import AttemptResult, RequestPlan
from mintlanding.node.view import FleetView
from mintlanding.target_limits.brittle import TURN_SECONDS
from mintlanding.traffic.homes import RegionMap
from mintlanding.traffic.models import Target
from mintlanding.traffic.pauses import TargetPauses

# Reason of refusals by a process that ends before the response would.
STOPPING_REASON = 'the instance stops'


@dataclass(frozen=True, slots=True)
class Barrier:
    """Why a request may not be sent; `retry_after` is in seconds."""

    result: AttemptResult
    reason: str
    retry_after: float = 0


SendCheck = Callable[['SendGate', RequestPlan, Target], Barrier | None]
SEND_CHECKS: Registry[SendCheck] = Registry('send check')


@dataclass(slots=True)
class SendGate:
    """What the checks depend on."""

    view: FleetView
    quarantines: Quarantines
    limits: LimitKeeper
    regions: RegionMap = RegionMap()
    pauses: TargetPauses = field(default_factory=TargetPauses)
    planned_stop: PlannedStop = field(default_factory=PlannedStop)

    def candidates(self, plan: RequestPlan) -> list[Target]:
        """Return the targets that may run the rest of a request."""
        self.view.remove_lapsed(boot_seconds())
        return [
            each
            for each in self.view.targets_of(plan.service.name)
            if self.is_candidate(each, plan)
        ]

    def is_candidate(self, target: Target, plan: RequestPlan) -> bool:
        """Tell whether a target that was chosen may still run a request."""
        if self.view.evacuated.is_evacuated(target.zone):
            return False
        if not self.regions.allows_target(target.zone, plan.homes):
            return False
        return may_continue(target, plan)

    def no_target_reason(self, plan: RequestPlan) -> str:
        """Return the reason of a refusal for lack of a target."""
        targets = self.view.targets_of(plan.service.name)
        zones = {each.zone for each in targets if may_continue(each, plan)}
        if not zones:
            return no_target_reason(plan)
        left = {
            each
            for each in zones
            if self.regions.allows_target(each, plan.homes)
        }
        if not left:
            return f'no target in the regions {sorted(plan.homes or ())}'
        if all(self.view.evacuated.is_evacuated(each) for each in left):
            return 'all zones with targets are evacuated'
        return no_target_reason(plan)

    def refusal(self, plan: RequestPlan) -> Barrier | None:
        """Return why a request may not be sent to any target."""
        reason, wait = self.quarantines.refusal(plan)
        if not reason:
            return None
        return Barrier(AttemptResult.quarantined, reason, wait)

    def check(self, plan: RequestPlan, target: Target) -> Barrier | None:
        """Return why a request may not be sent to a target right now."""
        for _, check in SEND_CHECKS:
            barrier = check(self, plan, target)
            if barrier is not None:
                return barrier
        self.quarantines.begin_trial(plan)
        self.limits.contacts.record_sent(target.key, boot_seconds())
        return None


def may_continue(target: Target, plan: RequestPlan) -> bool:
    """Tell whether a target may run a request, or the rest of its stream."""
    return plan.began_at_build in {None, target.build}


def no_target_reason(plan: RequestPlan) -> str:
    """Return the reason of a refusal for lack of a target."""
    if plan.began_at_build is None:
        return 'no target'
    return f'no target of build {plan.began_at_build!r}'


@SEND_CHECKS.register('time')
def check_time(
    gate: SendGate, plan: RequestPlan, target: Target
) -> Barrier | None:
    """Check that the caller still waits.

    A process that was suspended since the target was chosen goes on here.
    """
    late = asyncio.get_running_loop().time() - plan.deadline
    if late < 0:
        return None
    reason = f'its time had run out {late:.2f} s before it could be sent'
    return Barrier(AttemptResult.not_sent, reason)


@SEND_CHECKS.register('caller')
def check_caller(
    gate: SendGate, plan: RequestPlan, target: Target
) -> Barrier | None:
    """Check that nothing is begun for a caller that has left."""
    if not plan.req.is_disconnected:
        return None
    reason = f'its caller left before it was sent to {target.target}'
    return Barrier(AttemptResult.gone, reason)


@SEND_CHECKS.register('planned stop')
def check_planned_stop(
    gate: SendGate, plan: RequestPlan, target: Target
) -> Barrier | None:
    """Check that a request planned before the stop ends before the process.

    One that has run cannot be refused any more.
    """
    has_run = plan.is_sent or plan.req.is_streaming
    if has_run or not gate.planned_stop.refuses(plan.deadline):
        return None
    return Barrier(AttemptResult.stopping, STOPPING_REASON)


@SEND_CHECKS.register('entry')
def check_entry(
    gate: SendGate, plan: RequestPlan, target: Target
) -> Barrier | None:
    """Check that the target has not left or restarted since it was chosen."""
    current = gate.view.targets.get(target.target)
    if (
        current is not None
        and current.key == target.key
        and not current.is_leaving
    ):
        return None
    reason = f'{target.target} left before the request was sent'
    return Barrier(AttemptResult.not_sent, reason)


@SEND_CHECKS.register('evacuation')
def check_evacuation(
    gate: SendGate, plan: RequestPlan, target: Target
) -> Barrier | None:
    """Check that the target's zone has not been evacuated meanwhile."""
    if not gate.view.evacuated.is_evacuated(target.zone):
        return None
    reason = f'{target.target}: zone {target.zone} is evacuated'
    return Barrier(AttemptResult.not_sent, reason)


@SEND_CHECKS.register('home')
def check_home(
    gate: SendGate, plan: RequestPlan, target: Target
) -> Barrier | None:
    """Check that the target is in a region where the request may run."""
    if gate.regions.allows_target(target.zone, plan.homes):
        return None
    reason = f'{target.target}: zone {target.zone} is in no home region'
    return Barrier(AttemptResult.not_sent, reason)


@SEND_CHECKS.register('quarantine')
def check_quarantine(
    gate: SendGate, plan: RequestPlan, target: Target
) -> Barrier | None:
    """Check again what other instances may have learned meanwhile."""
    return gate.refusal(plan)


@SEND_CHECKS.register('limit')
def check_limit(
    gate: SendGate, plan: RequestPlan, target: Target
) -> Barrier | None:
    """Check that a request has a turn at a target that named a limit."""
    if not gate.limits.is_limited(target):
        return None
    # The holder may not have known that the target is cold when it granted a
    # turn that was asked for before it was known here.
    is_valid = plan.turn_asked_at >= gate.limits.limited_since(target)
    if plan.turn == target.key and is_valid:
        return None
    reason = f'{target.target}: no turn within its limit'
    return Barrier(AttemptResult.no_turn, reason)


@SEND_CHECKS.register('room')
def check_room(
    gate: SendGate, plan: RequestPlan, target: Target
) -> Barrier | None:
    """Check that a request has a recent turn at a brittle target."""
    if not gate.limits.is_brittle(target):
        return None
    is_recent = boot_seconds() < plan.turn_at + TURN_SECONDS
    if plan.turn == target.key and is_recent:
        return None
    reason = f'{target.target}: no turn within its room'
    return Barrier(AttemptResult.no_turn, reason)


@SEND_CHECKS.register('first contact')
def check_first_contact(
    gate: SendGate, plan: RequestPlan, target: Target
) -> Barrier | None:
    """Check that the limits of a plain target may be known.

    An engine's steward bounds what is sent there in any case.
    """
    if plan.service.engine is not None or gate.limits.names_limit(target):
        return None
    if not gate.limits.contacts.wait(target.key, boot_seconds()):
        return None
    reason = f'{target.target}: its first response is awaited'
    return Barrier(AttemptResult.no_turn, reason)


@SEND_CHECKS.register('pause')
def check_pause(
    gate: SendGate, plan: RequestPlan, target: Target
) -> Barrier | None:
    """Check that the target has not asked this instance for a pause."""
    wait = gate.pauses.wait(target.target, boot_seconds())
    if not wait:
        return None
    reason = f'{target.target}: it asked for a pause'
    return Barrier(AttemptResult.no_turn, reason, wait)
