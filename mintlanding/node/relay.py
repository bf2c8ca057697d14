"""Route requests to targets: check, admit, send, and respond exactly once."""

import asyncio
import random

from mintlanding.http1.server import CallerRequest
from mintlanding.node.admissions import Admissions, Reservation
from mintlanding.node.attempts import Attempts
from mintlanding.node.clock import boot_seconds, loop_seconds
from mintlanding.node.codec import Codec
from mintlanding.node.crash_watch import CrashWatch
from mintlanding.node.engine_reservations import EngineReservations
from mintlanding.node.limit_keeper import LimitKeeper
from mintlanding.node.quarantines import Quarantines
from mintlanding.node.request_log import RequestLog
from mintlanding.node.request_plan import AttemptResult, Refusal, RequestPlan
from mintlanding.node.request_planner import RequestPlanner
from mintlanding.node.response_timeouts import MAX_SENDS, ResponseTimeouts
from mintlanding.node.responses import ResponseForwarder
from mintlanding.node.retry_after import RetryAfter
from mintlanding.node.send_gate import STOPPING_REASON, SendGate
from mintlanding.node.settings import NodeSettings
from mintlanding.node.stream_origins import StreamOrigins
from mintlanding.node.stream_resumption import StreamResumption
from mintlanding.node.target_choice import MIN_TIME_LEFT, TargetChoice
from mintlanding.node.target_connector import TargetConnector
from mintlanding.node.targets import TargetTable
from mintlanding.node.view import FleetView
from mintlanding.residency.messages import GrantOutcome
from mintlanding.traffic.header_fields import CallerFields
from mintlanding.traffic.models import Target
from mintlanding.traffic.quotas import FleetQuotas
from mintlanding.traffic.retries import FleetRetryBudget

# Seconds before a request that a worker refused while loading is sent again.
_NOT_READY_PAUSE = 0.04
# Results of attempts that no other attempt follows.
_FINAL = frozenset(
    (
        AttemptResult.done,
        AttemptResult.broken,
        AttemptResult.late,
        AttemptResult.quarantined,
        AttemptResult.stopping,
        AttemptResult.gone,
    )
)
# Results of attempts that the send gate has stopped.
_UNSENT = frozenset(
    (
        AttemptResult.quarantined,
        AttemptResult.no_turn,
        AttemptResult.stopping,
        AttemptResult.gone,
    )
)


class Relay:
    """Reverse proxy for callers' requests."""

    def __init__(
        self,
        cfg: NodeSettings,
        view: FleetView,
        admissions: Admissions,
        origins: StreamOrigins,
        limits: LimitKeeper,
        codec: Codec,
        rnd: random.Random,
    ) -> None:
        """Take the shared view, admissions by stewards and stream origins."""
        self.quotas = FleetQuotas(boot_seconds())
        self.budget = FleetRetryBudget(cfg.retries)
        self.target_table = TargetTable(rnd, cfg.target_speed)
        self.log = RequestLog()
        self.retry_after = RetryAfter(cfg.relay, rnd)
        self.connector = TargetConnector.from_config(
            cfg, view, admissions.membership
        )
        self.quarantines = Quarantines.from_config(cfg)
        self.crash_watch = CrashWatch(
            self.quarantines.parts, self.quarantines.requests, self.connector
        )
        self._cfg = cfg
        self._view = view
        self._admissions = admissions
        self._limits = limits
        self._codec = codec
        self._gate = SendGate(view, self.quarantines, limits, cfg.facts.regions)
        self.planned_stop = self._gate.planned_stop
        self.pauses = self._gate.pauses
        self._resumption = StreamResumption(view, origins)
        self._choice = TargetChoice(
            cfg, view, admissions, limits, self._gate, self.target_table, rnd
        )
        self._planner = RequestPlanner(
            cfg,
            view,
            self._gate,
            self.quarantines,
            self.quotas,
            self.retry_after,
            rnd,
        )
        self.reservations = EngineReservations(
            cfg,
            view,
            admissions,
            limits,
            self._gate,
            self._choice,
            self.target_table,
            self.connector,
            rnd,
        )
        self._attempts = self._make_attempts()
        # Requests that are being served.
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_ending = False

    @property
    def opened(self) -> int:
        """Return how many connections to targets were opened."""
        return self.connector.pool.opened

    @property
    def evacuated_zones(self) -> int:
        """Return the number of zones whose targets get no requests."""
        return len(self._view.evacuated)

    async def handle(self, req: CallerRequest) -> None:
        """Serve one request up to its final response."""
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await self._handle(req)

    @property
    def requests_under_way(self) -> int:
        """Return how many requests are being served."""
        return len(self._tasks)

    async def end_requests(self) -> None:
        """Answer the requests that the end of the process would cut off.

        Streams that have begun have no answer left; they break.
        """
        self._is_ending = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _handle(self, req: CallerRequest) -> None:
        try:
            plan = await self._accept(req)
        except asyncio.CancelledError:
            self._refuse_unplanned(req)
            raise
        except Exception as exc:
            self._fail_unplanned(req, exc)
            return
        if plan is None:
            return
        try:
            self._finish(plan, await self._run(plan))
        except asyncio.CancelledError:
            if not self._is_ending or req.is_disconnected:
                self._refund_unsent(plan)
                self.log.ended(plan, AttemptResult.gone.value, loop_seconds())
                raise
            plan.reason = STOPPING_REASON
            result = AttemptResult.not_sent
            if plan.is_sent:
                result = AttemptResult.lost
            self._finish(plan, result)
        except Exception as exc:
            self._fail(plan, exc)

    def prune(self) -> None:
        """Close idle connections; forget targets that were removed."""
        self.connector.pool.prune()
        runs = {each.key for each in self._view.targets.values()}
        self.crash_watch.retain(runs)
        self._gate.pauses.prune(boot_seconds())
        self.target_table.retain(self._view.targets.values())

    def stop(self) -> None:
        """Close idle connections."""
        self.crash_watch.stop()
        self.connector.stop()

    def _make_attempts(self) -> Attempts:
        timeouts = ResponseTimeouts(
            self._cfg.relay,
            self._gate,
            self.budget,
            self._admissions,
            self.reservations,
        )
        forwarder = ResponseForwarder(
            self._cfg.relay,
            self._codec,
            timeouts,
            self.target_table,
            self.connector,
            self.quarantines,
            self.crash_watch,
            self._resumption,
        )
        return Attempts(
            self._codec,
            self._view,
            self._admissions,
            self._limits,
            self._gate,
            self.quarantines,
            self.crash_watch,
            self.budget,
            self.connector,
            self.target_table,
            timeouts,
            self._resumption,
            forwarder,
            self.log,
        )

    async def _accept(self, req: CallerRequest) -> RequestPlan | None:
        """Return the plan of a request, None if it was refused."""
        fields = self._codec.read_caller(req.headers)
        if self._view.config is None:
            await self._planner.wait_for_config()
        plan = self._planner.plan(req, fields)
        if isinstance(plan, Refusal):
            self._refuse(req, fields, plan)
            return None
        ends_at = self.planned_stop.ends_at
        if ends_at is not None:
            now = loop_seconds()
            self.log.log_accepted_late(plan, ends_at - now, plan.time_left(now))
        return plan

    async def _run(self, plan: RequestPlan) -> AttemptResult:
        self.budget.note_request(plan.service.name, plan.req.arrived)
        if await self._resumption.locate(plan):
            return await self._serve(plan)
        return AttemptResult.not_sent

    # Errors that no code expects.

    def _fail_unplanned(self, req: CallerRequest, exc: Exception) -> None:
        """Refuse a request whose routing raised: nothing has been sent."""
        self.log.log_unforeseen_error(req.get(b'x-request-id'), '', exc)
        self._refuse_unplanned(req)

    def _refuse_unplanned(self, req: CallerRequest) -> None:
        if not req.is_answered:
            headers = self._codec.own_response_headers(
                '', self.retry_after.seconds()
            )
            req.respond(503, headers, b'')

    def _fail(self, plan: RequestPlan, exc: Exception) -> None:
        """Answer a request whose handling raised, by what was sent of it."""
        self.log.log_unforeseen_error(
            plan.fields.request_id.encode(), plan.target, exc
        )
        if plan.req.is_answered:
            return
        plan.reason = f'unforeseen {type(exc).__name__}'
        plan.failure = None
        result = AttemptResult.lost if plan.is_sent else AttemptResult.not_sent
        self._finish(plan, result)

    def _refuse(
        self,
        req: CallerRequest,
        fields: CallerFields,
        refusal: Refusal,
    ) -> None:
        self.log.refused(
            fields,
            refusal.status,
            refusal.reason,
            refusal.retry_after,
            self._view,
        )
        headers = self._codec.own_response_headers(
            fields.request_id, refusal.retry_after
        )
        req.respond(refusal.status, headers, b'')

    def _finish(self, plan: RequestPlan, result: AttemptResult) -> None:
        now = loop_seconds()
        req = plan.req
        if result is AttemptResult.done:
            self.log.ended(plan, 'served', now)
            return
        self._refund_unsent(plan)
        if plan.is_abandoned:
            self.log.ended(plan, AttemptResult.gone.value, now)
            req.abort()
            return
        self.log.ended(plan, result.value, now)
        if req.is_streaming or result is AttemptResult.broken:
            req.abort()
            return
        if plan.failure is not None:
            failure = plan.failure
            req.respond(failure.status, failure.headers, failure.body)
            return
        status = 503
        if plan.is_sent:
            status = 504 if result is AttemptResult.late else 502
        retry_after = plan.retry_after or self.retry_after.seconds()
        if result is AttemptResult.stopping:
            retry_after = self._cfg.relay.isolated_retry_after
        headers = self._codec.own_response_headers(
            plan.fields.request_id,
            retry_after if status == 503 else 0,
        )
        req.respond(status, headers, b'')

    def _refund_unsent(self, plan: RequestPlan) -> None:
        """Give back to the quota what no target was asked for."""
        if plan.workspace is not None and not plan.is_sent:
            self.quotas.refund(plan.workspace.name, plan.charged)

    async def _serve(self, plan: RequestPlan) -> AttemptResult:
        if plan.service.engine is None:
            return await self._serve_plain(plan)
        try:
            return await self._serve_engine(plan)
        finally:
            self.reservations.end_unused(plan)

    # Plain services.

    async def _serve_plain(self, plan: RequestPlan) -> AttemptResult:
        result = AttemptResult.not_sent
        while (
            plan.sends < MAX_SENDS
            and plan.time_left(loop_seconds()) > MIN_TIME_LEFT
        ):
            target = await self._choice.plain_target(plan)
            if target is None:
                plan.reason = plan.reason or self._gate.no_target_reason(plan)
                return result
            result = await self._attempt_in_turn(plan, target)
            if not self._can_retry(plan, result, target):
                return result
        return result

    async def _attempt_in_turn(
        self, plan: RequestPlan, target: Target
    ) -> AttemptResult:
        """Attempt a request; report its end if the target has little room."""
        turn_id, plan.turn_id = plan.turn_id, ''
        outcome = GrantOutcome.failed
        try:
            result = await self._attempts.run(plan, target, 0)
            outcome = _outcome(result, plan)
            return result
        finally:
            if turn_id and self._limits.is_brittle(target):
                self._admissions.end(target.target, turn_id, outcome)

    def _can_retry(
        self, plan: RequestPlan, result: AttemptResult, target: Target
    ) -> bool:
        """Tell whether a request may be retried; log the failed attempt."""
        if result in _FINAL or plan.is_abandoned:
            return False
        if result is AttemptResult.no_turn:
            return True
        if not self._gate.pauses.wait(target.target, boot_seconds()):
            plan.tried.add(target.target)
        self.log.log_failed_attempt(
            plan, result.value, plan.time_left(loop_seconds())
        )
        if result in {AttemptResult.not_sent, AttemptResult.failed}:
            return True
        if result is AttemptResult.lost:
            is_exhausted = plan.runs >= plan.route.attempts
            if is_exhausted or not plan.route.is_idempotent:
                return False
        if not self.budget.take(plan.service.name, loop_seconds()):
            plan.reason = 'no retry budget'
            return False
        return True

    # Engines.

    async def _serve_engine(self, plan: RequestPlan) -> AttemptResult:
        result = AttemptResult.not_sent
        while (
            plan.sends < MAX_SENDS
            and plan.time_left(loop_seconds()) > MIN_TIME_LEFT
        ):
            reservation, plan.reservation = plan.reservation, None
            reservation = reservation or await self.reservations.reserve(plan)
            if reservation is None:
                return result
            target = self.reservations.usable_target(plan, reservation)
            if target is None:
                continue
            result = await self._attempt_reserved(plan, reservation, target)
            if result is AttemptResult.missing:
                adapter = plan.fields.adapter.adapter
                self._admissions.record_missing(reservation.worker, adapter)
                self.log.log_failed_attempt(
                    plan, result.value, plan.time_left(loop_seconds())
                )
            if plan.is_abandoned:
                return result
            if result in {AttemptResult.not_run, AttemptResult.missing}:
                if not self.budget.take(plan.service.name, loop_seconds()):
                    plan.reason = 'no retry budget'
                    return result
                await asyncio.sleep(_NOT_READY_PAUSE)
                continue
            if not self._can_retry(plan, result, target):
                return result
        return result

    async def _attempt_reserved(
        self,
        plan: RequestPlan,
        reservation: Reservation,
        target: Target,
    ) -> AttemptResult:
        outcome = GrantOutcome.failed
        use = self.reservations.begin(plan, reservation)
        try:
            result = await self._attempts.run(
                plan, target, self._required_version(plan)
            )
            outcome = _outcome(result, plan)
            is_fair = self._cfg.capacity.is_enabled
            if is_fair and result is AttemptResult.not_sent:
                # Its workspace is not charged for what never ran.
                outcome = GrantOutcome.unused
            return result
        finally:
            self.reservations.end(plan, reservation, use, outcome)

    def _required_version(self, plan: RequestPlan) -> int:
        """Return the version that must run, 0 while it may still be loading."""
        adapter = plan.fields.adapter
        newest = self._view.version(adapter.model, adapter.adapter)
        if newest is None:
            return 0
        is_due = boot_seconds() > newest.seen_at + self._cfg.bounds.version / 2
        return newest.version if is_due else 0


def _outcome(result: AttemptResult, plan: RequestPlan) -> GrantOutcome:
    if result is AttemptResult.done:
        return GrantOutcome.served
    if result in _UNSENT:
        return GrantOutcome.unused
    if result is AttemptResult.missing:
        return GrantOutcome.missing
    if result is AttemptResult.not_run:
        has_adapter = bool(plan.fields.adapter.adapter)
        return GrantOutcome.not_ready if has_adapter else GrantOutcome.full
    return GrantOutcome.failed
