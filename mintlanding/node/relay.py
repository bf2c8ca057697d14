"""Route requests to targets: check, admit, send, and respond exactly once."""

import asyncio
import random
from collections import Counter

from mintlanding.core.exceptions import (
    InvalidResponse,
    RequestNotSent,
    ResponseLost,
    ResponseTimeout,
)
from mintlanding.http1.client import ClientConnection
from mintlanding.http1.models import BodyFraming, ResponseHead
from mintlanding.http1.server import CallerRequest
from mintlanding.node.admissions import Admissions, Reservation
from mintlanding.node.clock import boot_seconds
from mintlanding.node.codec import Codec
from mintlanding.node.crash_watch import CrashWatch
from mintlanding.node.events import EventBuffer
from mintlanding.node.limit_keeper import LimitKeeper
from mintlanding.node.quarantines import Quarantines
from mintlanding.node.request_log import RequestLog
from mintlanding.node.request_plan import (
    AttemptResult,
    FailedResponse,
    Refusal,
    RequestPlan,
)
from mintlanding.node.send_gate import SendGate, no_target_reason
from mintlanding.node.settings import NodeSettings
from mintlanding.node.stream_origins import StreamOrigins
from mintlanding.node.target_choice import (
    MIN_TIME_LEFT,
    PartReader,
    ReadPart,
    TargetChoice,
    TargetSearch,
)
from mintlanding.node.target_connector import TargetConnector
from mintlanding.node.targets import TargetTable
from mintlanding.node.view import FleetView
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionRequest,
    GrantOutcome,
)
from mintlanding.residency.worker_choice import choose_worker
from mintlanding.streams.messages import StreamOrigin
from mintlanding.traffic.header_fields import (
    CallerFields,
    HopFields,
    TargetResponse,
)
from mintlanding.traffic.models import Demand, RouteKind, Target
from mintlanding.traffic.quotas import FleetQuotas
from mintlanding.traffic.retries import FleetRetryBudget

# Attempts of one request, including those that targets refused.
_MAX_SENDS = 4
# Seconds before a request that a worker refused while loading is sent again.
_NOT_READY_PAUSE = 0.04
# Seconds that a request waits for the first configuration; reading the store
# takes a fraction of that.
_CONFIG_TIMEOUT = 0.15
_CONFIG_POLL_SECONDS = 0.01

# Statuses that tell a caller that its request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


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
        self.target_table = TargetTable(rnd)
        self.log = RequestLog()
        self.is_isolated = False
        self._in_use: Counter[tuple[str, str, str]] = Counter()
        self._cfg = cfg
        self._view = view
        self._admissions = admissions
        self._origins = origins
        self._limits = limits
        self._codec = codec
        self._rnd = rnd
        self.connector = TargetConnector.from_config(
            cfg, view, admissions.membership
        )
        self._pool = self.connector.pool
        self.quarantines = Quarantines.from_config(cfg)
        self.crash_watch = CrashWatch(
            self.quarantines.parts, self.quarantines.requests, self.connector
        )
        self._gate = SendGate(view, self.quarantines, limits)
        self.planned_stop = self._gate.planned_stop
        self.pauses = self._gate.pauses
        self._choice = TargetChoice(
            cfg, view, admissions, limits, self._gate, self.target_table, rnd
        )

    @property
    def opened(self) -> int:
        """Return how many connections to targets were opened."""
        return self._pool.opened

    def in_use(self) -> tuple[tuple[str, str, str], ...]:
        """Return holder, worker and adapter of uses the holder may not know.

        These are the uses by requests that run without a grant, or with one
        by an earlier incarnation or holder.
        """
        found = []
        for worker, adapter, granter in self._in_use:
            holder = self._admissions.holder(worker)
            if holder and granter != self._admissions.granter(worker):
                found.append((holder, worker, adapter))
        return tuple(found)

    async def handle(self, req: CallerRequest) -> None:
        """Serve one request up to its final response."""
        try:
            plan = await self._accept(req)
        except Exception as exc:
            self._fail_unplanned(req, exc)
            return
        if plan is None:
            return
        try:
            self._finish(plan, await self._run(plan))
        except asyncio.CancelledError:
            self._refund_unsent(plan)
            self.log.ended(plan, 'gone', self._now())
            raise
        except Exception as exc:
            self._fail(plan, exc)

    def prune(self) -> None:
        """Close idle connections; forget targets that were removed."""
        self._pool.prune()
        runs = {each.key for each in self._view.targets.values()}
        self.crash_watch.retain(runs)
        self._gate.pauses.retain(runs, boot_seconds())
        self.target_table.retain(set(self._view.targets))

    def stop(self) -> None:
        """Close idle connections."""
        self.crash_watch.stop()
        self.connector.stop()

    async def _accept(self, req: CallerRequest) -> RequestPlan | None:
        """Return the plan of a request, None if it was refused."""
        fields = self._codec.read_caller(req.headers)
        if self._view.config is None:
            await self._wait_for_config()
        plan = self._plan(req, fields)
        if isinstance(plan, Refusal):
            self._refuse(req, fields, plan)
            return None
        return plan

    async def _run(self, plan: RequestPlan) -> AttemptResult:
        self.budget.note_request(plan.service.name, plan.req.arrived)
        if await self._locate_stream(plan):
            return await self._serve(plan)
        return AttemptResult.not_sent

    # Errors that no code expects.

    def _fail_unplanned(self, req: CallerRequest, exc: Exception) -> None:
        """Refuse a request whose routing raised: nothing has been sent."""
        self.log.log_unforeseen_error(req.get(b'x-request-id'), '', exc)
        if not req.is_answered:
            headers = self._codec.own_response_headers('', self._retry_after())
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

    # Routing, authentication and quotas.

    async def _wait_for_config(self) -> None:
        """Wait for the first configuration after a restart."""
        deadline = self._now() + _CONFIG_TIMEOUT
        while self._view.config is None and self._now() < deadline:
            await asyncio.sleep(_CONFIG_POLL_SECONDS)

    def _plan(
        self, req: CallerRequest, fields: CallerFields
    ) -> RequestPlan | Refusal:
        view = self._view
        if view.config is None:
            return Refusal(503, 'configuration missing', self._retry_after())
        path = req.target.partition(b'?')[0].decode('latin-1')
        if not fields.request_id or not path.startswith('/'):
            return Refusal(400, 'request id or path missing')
        route = view.route(fields.host, path)
        if route is None:
            return self._refuse_unknown('no route', 404)
        workspace = None
        if not route.is_public and view.config.workspaces:
            workspace = view.workspace(fields.key)
            if workspace is None:
                return self._refuse_unknown('no such key', 401)
        service = view.choose_service(route, self._rnd)
        if service is None:
            return Refusal(503, 'no service', self._retry_after())
        wanted = route.timeout
        if fields.deadline is not None:
            wanted = min(wanted, fields.deadline)
        deadline = req.arrived + wanted - self._cfg.relay.response_margin
        plan = RequestPlan(
            req,
            fields,
            route,
            workspace,
            service,
            deadline,
            fields.demand or Demand(),
            self.quarantines.digest(view.fleet_key, fields, req),
        )
        if self.planned_stop.refuses(route, self._now()):
            retry_after = self._cfg.relay.isolated_retry_after
            return Refusal(503, 'the instance stops', retry_after)
        barrier = self._gate.refusal(plan)
        if barrier is not None:
            return Refusal(503, barrier.reason, barrier.retry_after)
        return self._charge_quota(plan)

    def _refuse_unknown(self, reason: str, status: int) -> Refusal:
        """Refuse as unknown, or as retryable by an old configuration."""
        age = boot_seconds() - self._view.fresh_at
        if age > self._cfg.bounds.contact + self._cfg.bounds.apply:
            return Refusal(
                503, f'{reason} in an old configuration', self._retry_after()
            )
        return Refusal(status, reason)

    def _charge_quota(self, plan: RequestPlan) -> RequestPlan | Refusal:
        workspace = plan.workspace
        if workspace is None:
            return plan
        amount = 1.0
        if workspace.counts_tokens:
            amount = float(plan.demand.total or workspace.plain_tokens)
        wait = self.quotas.admit(workspace, amount, boot_seconds())
        if wait > 0:
            return Refusal(429, f'quota of {workspace.name} exceeded', wait)
        plan.charged = amount
        return plan

    def _refund_unsent(self, plan: RequestPlan) -> None:
        if plan.workspace is not None and not plan.is_sent:
            self.quotas.refund(plan.workspace.name, plan.charged)

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
        now = self._now()
        req = plan.req
        if result is AttemptResult.done:
            self.planned_stop.record_run(plan.route, now - req.arrived)
            self.log.ended(plan, 'served', now)
            return
        self._refund_unsent(plan)
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
        retry_after = plan.retry_after or self._retry_after()
        headers = self._codec.own_response_headers(
            plan.fields.request_id,
            retry_after if status == 503 else 0,
        )
        req.respond(status, headers, b'')

    async def _serve(self, plan: RequestPlan) -> AttemptResult:
        if plan.service.engine is None:
            return await self._serve_plain(plan)
        try:
            return await self._serve_engine(plan)
        finally:
            self._end_unused_reservation(plan)

    # Streams that a caller resumes.

    async def _locate_stream(self, plan: RequestPlan) -> bool:
        """Find the build that began a stream which the caller resumes.

        Return false if the stream cannot go on here; `plan.reason` says why.
        """
        route, fields = plan.route, plan.fields
        if not route.is_resumable or not fields.last_event:
            return True
        plan.events = EventBuffer(fields.last_event)
        origin = None
        if fields.resumes:
            origin = await self._origins.find(fields.resumes)
        if origin is not None:
            return self._continue_at(plan, origin)
        # Several services may share the route, and any may have begun it.
        if len(route.shares) == 1:
            plan.began_at_build = self._origins.only_build(plan.service.name)
        if plan.began_at_build is None:
            plan.reason = f'unknown origin of stream {fields.resumes!r}'
        return plan.began_at_build is not None

    def _continue_at(self, plan: RequestPlan, origin: StreamOrigin) -> bool:
        """Bind a request to the service and build that began its stream."""
        service = self._view.service(origin.service)
        if service is None or origin.service not in dict(plan.route.shares):
            plan.reason = (
                f'service {origin.service!r}, which began the stream, '
                f'is not on route {plan.route.name!r}'
            )
            return False
        plan.service = service
        plan.began_at_build = origin.build
        return True

    def _announce_origin(self, plan: RequestPlan) -> None:
        """Let other instances resume the stream if its caller goes there."""
        if plan.route.is_resumable and plan.began_at_build is None:
            self._origins.announce(_origin(plan))

    # Plain services.

    async def _serve_plain(self, plan: RequestPlan) -> AttemptResult:
        result = AttemptResult.not_sent
        while plan.sends < _MAX_SENDS and self._time_left(plan) > MIN_TIME_LEFT:
            target = await self._choice.plain_target(plan)
            if target is None:
                plan.reason = plan.reason or no_target_reason(plan)
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
            result = await self._attempt(plan, target, 0)
            outcome = _outcome(result, plan)
            return result
        finally:
            if turn_id and self._limits.is_brittle(target):
                self._admissions.end(target.target, turn_id, outcome)

    def _can_retry(
        self, plan: RequestPlan, result: AttemptResult, target: Target
    ) -> bool:
        """Tell whether a request may be retried; log the failed attempt."""
        if result in {
            AttemptResult.done,
            AttemptResult.broken,
            AttemptResult.late,
            AttemptResult.quarantined,
        }:
            return False
        if result is AttemptResult.no_turn:
            return True
        if not self._gate.pauses.wait(target.key, boot_seconds()):
            plan.tried.add(target.target)
        self.log.log_failed_attempt(plan, result.value, self._time_left(plan))
        if result in {AttemptResult.not_sent, AttemptResult.failed}:
            return True
        if result is AttemptResult.lost:
            is_exhausted = plan.runs >= plan.route.attempts
            if is_exhausted or not plan.route.is_idempotent:
                return False
        if not self.budget.take(plan.service.name, self._now()):
            plan.reason = 'no retry budget'
            return False
        return True

    # Engines.

    async def _serve_engine(self, plan: RequestPlan) -> AttemptResult:
        result = AttemptResult.not_sent
        while plan.sends < _MAX_SENDS and self._time_left(plan) > MIN_TIME_LEFT:
            reservation, plan.reservation = plan.reservation, None
            reservation = reservation or await self._reserve(plan)
            if reservation is None:
                return result
            target = self._reserved_target(plan, reservation)
            if target is None:
                continue
            result = await self._attempt_reserved(plan, reservation, target)
            if result is AttemptResult.missing:
                adapter = plan.fields.adapter.adapter
                self._admissions.record_missing(reservation.worker, adapter)
                self.log.log_failed_attempt(
                    plan, result.value, self._time_left(plan)
                )
            if result in {AttemptResult.not_run, AttemptResult.missing}:
                if not self.budget.take(plan.service.name, self._now()):
                    plan.reason = 'no retry budget'
                    return result
                await asyncio.sleep(_NOT_READY_PAUSE)
                continue
            if not self._can_retry(plan, result, target):
                return result
        return result

    def _reserved_target(
        self, plan: RequestPlan, reservation: Reservation
    ) -> Target | None:
        """Return the target of a reservation; end one that is of no use."""
        target = self._view.targets.get(reservation.worker)
        is_usable = False
        try:
            # The worker may have restarted with another build meanwhile.
            is_usable = target is not None and self._gate.is_candidate(
                target, plan
            )
        finally:
            if not is_usable:
                self._admissions.end(
                    reservation.worker,
                    reservation.reservation_id,
                    GrantOutcome.unused,
                )
        return target if is_usable else None

    def _end_unused_reservation(self, plan: RequestPlan) -> None:
        """End a reservation whose attempt could not follow any more."""
        unused, plan.reservation = plan.reservation, None
        if unused is not None:
            self._admissions.end(
                unused.worker, unused.reservation_id, GrantOutcome.unused
            )

    async def _attempt_reserved(
        self,
        plan: RequestPlan,
        reservation: Reservation,
        target: Target,
    ) -> AttemptResult:
        outcome = GrantOutcome.failed
        use = (
            reservation.worker,
            plan.fields.adapter.adapter,
            self._admissions.granter(reservation.worker)
            if reservation.is_granted
            else '',
        )
        self._in_use[use] += 1
        try:
            result = await self._attempt(
                plan, target, self._required_version(plan)
            )
            outcome = _outcome(result, plan)
            return result
        finally:
            self._in_use[use] -= 1
            if not self._in_use[use]:
                self._in_use.pop(use)
            if reservation.is_granted:
                self._admissions.end(
                    reservation.worker,
                    reservation.reservation_id,
                    outcome,
                    plan.times,
                )
            else:
                self._limits.end_own(
                    AdmissionEnd(
                        reservation.reservation_id, reservation.worker, outcome
                    )
                )

    async def _reserve(self, plan: RequestPlan) -> Reservation | None:
        now = self._now()
        # Members reach the targets to which only the own path is cut.
        unreachable = self._admissions.stewards.unreachable()
        excluded = plan.tried | (unreachable - self.connector.cut_targets())
        workers = [
            each
            for each in self._gate.candidates(plan)
            if each.target not in excluded
        ]
        plan.reason = no_target_reason(plan)
        workers = await self._choice.outlast_pauses(plan, workers)
        may_fail = plan.route.is_idempotent
        healthy = [
            each
            for each in workers
            if self.target_table.admits(each.target, now, may_fail=may_fail)
        ]
        reachable = self._choice.without_unreachable_zones(healthy or workers)
        by_name = {each.target: each for each in reachable}
        views = self._admissions.views(list(by_name.values()))
        adapter = plan.fields.adapter.adapter
        key = str(plan.fields.adapter) if adapter else ''
        order = choose_worker(
            key,
            adapter,
            views,
            self._cfg.facts.zone,
            self._cfg.choice,
            self._rnd,
        )
        for number, worker in enumerate(order):
            reservation_id = f'{plan.fields.request_id}.{plan.sends}.{number}'
            is_last = number + 1 == len(order)
            reservation = await self._request_admission(
                plan,
                by_name[worker],
                reservation_id,
                is_last=is_last,
            )
            if reservation is not None:
                plan.waited += self._now() - now
                return reservation
        plan.waited += self._now() - now
        return None

    async def _request_admission(
        self,
        plan: RequestPlan,
        target: Target,
        reservation_id: str,
        *,
        is_last: bool,
    ) -> Reservation | None:
        options = self._cfg.relay
        spent = self._now() - plan.req.arrived
        objective = plan.route.objective
        max_wait = min(
            objective * options.max_wait_share - spent,
            self._time_left(plan) - MIN_TIME_LEFT,
        )
        if plan.sends or plan.waited:
            max_wait = max(max_wait, self._time_left(plan) / 3)
        if max_wait <= 0:
            return None
        reroute_wait = max_wait
        if not is_last:
            reroute_wait *= options.reroute_wait_share
        adapter = plan.fields.adapter
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
            deadline=self._time_left(plan),
            reroute_wait=reroute_wait,
            parts=plan.fields.parts,
            limits=self._limits.table.report(target.key, boot_seconds()),
            brittle=self._limits.brittle.report(target.key, boot_seconds()),
            event_gap=plan.route.event_gap,
        )
        reply = await self._admissions.reserve(admission)
        if reply is None:
            plan.reason = f'no reply from the steward of {target.target}'
            if not self._admissions.is_ready(target, adapter.adapter):
                return None
            if not await self._take_own_turn(plan, target, admission):
                return None
            return Reservation(target.target, reservation_id, is_granted=False)
        if reply.is_granted:
            plan.take_turn(target.key, boot_seconds())
            return Reservation(target.target, reservation_id, reply.version)
        plan.reason = f'{target.target}: {reply.reason}'
        if not reply.elsewhere:
            plan.retry_after = max(plan.retry_after, reply.retry_after)
        return None

    async def _take_own_turn(
        self, plan: RequestPlan, target: Target, admission: AdmissionRequest
    ) -> bool:
        """Wait for a turn in this instance's own part of an engine's limit."""
        if not self._limits.needs_turn(target):
            return True
        reply = await self._limits.reserve_own(admission)
        if not reply.is_granted:
            plan.reason = f'{target.target}: {reply.reason}'
            plan.retry_after = reply.retry_after
            return False
        plan.take_turn(target.key, boot_seconds())
        return True

    def _required_version(self, plan: RequestPlan) -> int:
        """Return the version that must run, 0 while it may still be loading."""
        adapter = plan.fields.adapter
        newest = self._view.version(adapter.model, adapter.adapter)
        if newest is None:
            return 0
        is_due = boot_seconds() > newest.seen_at + self._cfg.bounds.version / 2
        return newest.version if is_due else 0

    # One attempt.

    async def _attempt(
        self, plan: RequestPlan, target: Target, version: int
    ) -> AttemptResult:
        plan.target = target.target
        plan.build = target.build
        plan.sends += 1
        now = self._now()
        is_reusable = plan.route.is_idempotent
        try:
            conn = await self.connector.acquire(
                target,
                is_fresh=not is_reusable,
                seconds=max(MIN_TIME_LEFT, self._time_left(plan)),
                request_id=plan.fields.request_id,
            )
            plan.through = conn.member
        except RequestNotSent as exc:
            plan.reason = f'no connection to {target.target}: {exc}'
            self.target_table.failed(target.target, now)
            self._admissions.stewards.mark_unreachable(target.target)
            return AttemptResult.not_sent
        try:
            return await self._send_if_open(plan, target, version, conn)
        finally:
            self._pool.release(conn)

    async def _send_if_open(
        self,
        plan: RequestPlan,
        target: Target,
        version: int,
        conn: ClientConnection,
    ) -> AttemptResult:
        """Send a request, unless something bars it by now."""
        barrier = self._gate.check(plan, target)
        if barrier is not None:
            plan.reason = barrier.reason
            plan.retry_after = barrier.retry_after or plan.retry_after
            return barrier.result
        number = self.target_table.begin(target.target, self._now())
        try:
            return await self._exchange(plan, target, version, conn, number)
        finally:
            self.target_table.end(target.target, number)

    async def _exchange(
        self,
        plan: RequestPlan,
        target: Target,
        version: int,
        conn: ClientConnection,
        number: int,
    ) -> AttemptResult:
        req = plan.req
        left = self._time_left(plan)
        head = self._codec.target_request_head(
            req.method,
            req.target,
            req.headers,
            len(req.body),
            HopFields(
                target=target.target,
                workspace=plan.workspace.name if plan.workspace else '',
                time_left=left,
                version=version,
                priority=plan.priority if plan.service.engine else None,
                last_event=plan.last_event,
            ),
        )
        try:
            conn.send(head + req.body)
        except RequestNotSent as exc:
            plan.reason = f'{target.target}: {exc}'
            return AttemptResult.not_sent
        plan.turn = None
        plan.record_sent(boot_seconds())
        plan.is_sent = True
        plan.is_stream_begun = False
        plan.limit = None
        plan.runs += 1
        plan.entry = self._view.entry_state(target.target)
        plan.view_age = boot_seconds() - self._view.fresh_at
        self._announce_origin(plan)
        if plan.route.kind is RouteKind.unsafe:
            req.outlives_caller = True
        try:
            response_head = await self._read_head(plan, conn)
            self.target_table.record_response_start(
                target.target, number, self._now()
            )
            response = self._codec.read_response(
                response_head,
                plan.fields.request_id,
            )
            return await self._handle_response(
                plan, target, conn, response_head, response
            )
        except asyncio.CancelledError:
            self.crash_watch.record_departure(target, plan.as_lost())
            raise
        except ResponseLost as exc:
            plan.reason = f'{target.target}: {exc}'
            await self._record_loss(plan, target, exc)
            is_late = self._time_left(plan) <= 0
            return AttemptResult.late if is_late else AttemptResult.lost

    async def _record_loss(
        self, plan: RequestPlan, target: Target, exc: ResponseLost
    ) -> None:
        """Record a lost response; of a suspect, wait for what it means."""
        self.target_table.failed(target.target, self._now())
        if isinstance(exc, ResponseTimeout):
            self.connector.paths.record_silence(target.key)
        self.crash_watch.record_loss(target, plan.as_lost(), exc)
        if self.quarantines.requests.is_suspected(plan.digest):
            await self.crash_watch.settle(target)

    async def _read_head(
        self, plan: RequestPlan, conn: ClientConnection
    ) -> ResponseHead:
        """Wait for a response, longer if no other target could give one."""
        while True:
            try:
                return await conn.read_head(self._response_timeout(plan))
            except ResponseTimeout:
                head = await self._read_or_switch(plan, conn.read_head)
                if head is not None:
                    return head

    async def _read_or_switch(
        self, plan: RequestPlan, read: PartReader[ReadPart]
    ) -> ReadPart | None:
        """Read on from a silent target until another one takes the request.

        A sound target may be silent for a while, and what it has done so far is
        lost with its connection. Raise ResponseTimeout to give it up; return
        None if there is no other one.
        """
        if not self._may_give_up(plan):
            return None
        if plan.service.engine is None or self._time_left(plan) <= 0:
            raise ResponseTimeout('no response in time')
        plan.tried.add(plan.target)
        search = TargetSearch(self._reserve(plan), self._admissions)
        try:
            part = await search.read_meanwhile(read, plan.deadline)
            if part is None and self._may_give_up(plan):
                plan.reservation = search.take()
        finally:
            search.end()
        if plan.reservation is not None:
            raise ResponseTimeout('no response, and another engine is free')
        return part

    def _may_give_up(self, plan: RequestPlan) -> bool:
        """Tell whether a silent target may be given up for another attempt."""
        if self._time_left(plan) <= 0:
            return True
        others = [
            each
            for each in self._gate.candidates(plan)
            if each.target not in plan.tried and each.target != plan.target
        ]
        can_send = bool(others) and plan.sends < _MAX_SENDS
        return can_send and self.budget.has_room(plan.service.name, self._now())

    def _response_timeout(self, plan: RequestPlan) -> float:
        """Return how long an attempt may wait for its response to begin."""
        left = max(0.001, self._time_left(plan))
        can_retry = plan.route.is_idempotent and (
            plan.runs < plan.route.attempts
        )
        if not can_retry:
            return left
        timeout = plan.route.objective * self._cfg.relay.first_event_factor
        return min(left, timeout)

    async def _handle_response(
        self,
        plan: RequestPlan,
        target: Target,
        conn: ClientConnection,
        head: ResponseHead,
        response: TargetResponse,
    ) -> AttemptResult:
        now = self._now()
        plan.framing = head.framing.value
        plan.limit = response.limit
        if not _is_own(conn, response):
            conn.abort()
            raise ResponseLost('the response belongs to another request')
        self._record_response(plan, target, response)
        if response.is_not_run:
            return await self._handle_refusal(plan, target, conn, response)
        _check_promise(plan, response)
        if plan.req.is_streaming and not _continues(plan, head, response):
            # Whatever else it is, the caller would take it for events.
            plan.reason = (
                f'{target.target}: status {head.status} and '
                f'{_media_type(head)!r} do not continue a stream'
            )
            self.target_table.failed(target.target, now)
            return AttemptResult.lost
        is_stream = (
            plan.route.kind is RouteKind.stream
            and response.is_success
            and head.framing is not BodyFraming.none
        )
        if is_stream and response.is_signed:
            return await self._pass_stream(plan, target, conn, head)
        if response.is_success and not response.is_signed:
            raise ResponseLost('the response has no signature')
        body, is_whole = await self._hold_body(conn, plan)
        if not is_whole:
            return await self._pass_body(plan, conn, head, body)
        is_repeatable = plan.route.is_idempotent and not response.is_success
        if is_repeatable and plan.runs < plan.route.attempts:
            if self.budget.take(plan.service.name, now):
                plan.reason = f'{target.target}: status {response.status}'
                plan.tried.add(target.target)
                plan.failure = FailedResponse(
                    head.status,
                    self._codec.response_headers(head),
                    body,
                )
                return AttemptResult.failed
        self.quarantines.record_answer(plan, is_success=response.is_success)
        plan.req.respond(head.status, self._codec.response_headers(head), body)
        return AttemptResult.done

    async def _handle_refusal(
        self,
        plan: RequestPlan,
        target: Target,
        conn: ClientConnection,
        response: TargetResponse,
    ) -> AttemptResult:
        plan.runs -= 1
        plan.is_sent = plan.runs > 0
        plan.reason = f'{target.target}: not run, {response.status}'
        await self._hold_body(conn, plan)
        is_certain = response.names_request and plan.sends == 1
        if conn.is_reused and not is_certain:
            # If it refuses an earlier request, this one may still run.
            conn.abort()
        if not response.is_from(target.target):
            return AttemptResult.not_sent
        return (
            AttemptResult.missing
            if response.is_misdirected
            else AttemptResult.not_run
        )

    def _record_response(
        self, plan: RequestPlan, target: Target, response: TargetResponse
    ) -> None:
        """Record what a response says about its target."""
        self.target_table.record_response(target.target, response, self._now())
        self._limits.record_response(target, response, plan.sent_at)
        if not response.is_from(target.target):
            return
        if response.is_leaving:
            self._view.mark_leaving(target.key)
        if response.pause:
            self._gate.pauses.record(target.key, response.pause, boot_seconds())
            self.log.log_pause(plan, response.pause)

    async def _hold_body(
        self, conn: ClientConnection, plan: RequestPlan
    ) -> tuple[bytes, bool]:
        """Return the body and true, or the start of one too large to hold."""
        body = bytearray()
        while chunk := await conn.read_chunk(max(0.001, self._time_left(plan))):
            body += chunk
            self._check_time(plan)
            if len(body) > self._cfg.relay.held_bytes:
                return bytes(body), False
        return bytes(body), True

    async def _pass_body(
        self,
        plan: RequestPlan,
        conn: ClientConnection,
        head: ResponseHead,
        start: bytes,
    ) -> AttemptResult:
        """Pass on a large body, whose start has been read, as it arrives."""
        req = plan.req
        req.begin(head.status, self._codec.response_headers(head))
        try:
            chunk = start
            while chunk:
                req.write(chunk)
                await req.conn.drain()
                self._check_time(plan)
                chunk = await conn.read_chunk(self._time_left(plan))
        except ResponseLost as exc:
            plan.reason = f'{plan.target}: body interrupted: {exc}'
            self.target_table.failed(plan.target, self._now())
            return AttemptResult.broken
        req.end()
        return AttemptResult.done

    def _check_time(self, plan: RequestPlan) -> None:
        if self._time_left(plan) <= 0:
            raise ResponseTimeout('the body did not end before the deadline')

    async def _pass_stream(
        self,
        plan: RequestPlan,
        target: Target,
        conn: ClientConnection,
        head: ResponseHead,
    ) -> AttemptResult:
        req = plan.req
        if not req.is_streaming:
            req.begin(head.status, self._codec.response_headers(head))
            plan.media_type = _media_type(head)
        plan.is_stream_begun = True
        plan.events.begin_response()
        try:
            await self._pass_events(plan, conn)
            _check_stream_end(head, plan.events)
            await self._check_engine(head, target)
        except ResponseLost as exc:
            plan.reason = f'{plan.target}: stream interrupted: {exc}'
            await self._record_loss(plan, target, exc)
            if not plan.route.is_resumable or self._time_left(plan) <= 0:
                return AttemptResult.broken
            return AttemptResult.lost
        self.quarantines.record_answer(plan, is_success=True)
        req.end()
        return AttemptResult.done

    async def _check_engine(self, head: ResponseHead, target: Target) -> None:
        """Raise ResponseLost if an engine ended together with its stream.

        Without length or chunks, a crash between two events looks like the end
        of the stream.
        """
        if head.is_delimited:
            return
        if await self.crash_watch.refuses_connections(target):
            raise ResponseLost('the engine crashed at the end of the stream')

    async def _pass_events(
        self, plan: RequestPlan, conn: ClientConnection
    ) -> None:
        """Pass on a stream; only whole events if it may be resumed."""
        req = plan.req
        is_resumable = plan.route.is_resumable
        event_at = self._now()
        while chunk := await self._read_events(plan, conn, event_at):
            whole = plan.events.take(chunk)
            passed = whole if is_resumable else chunk
            if whole:
                plan.times.record_event(boot_seconds())
            if passed:
                req.write(passed)
                await req.conn.drain()
            if whole:
                plan.times.record_passed(boot_seconds())
                event_at = self._now()
            if whole and plan.began_at_build is None:
                plan.began_at_build = plan.build
                if is_resumable:
                    self._origins.confirm(_origin(plan))
            if is_resumable:
                plan.last_event = plan.events.last_id

    async def _read_events(
        self, plan: RequestPlan, conn: ClientConnection, event_at: float
    ) -> bytes:
        """Wait for bytes, longer if no other target could continue."""
        while True:
            try:
                return await conn.read_chunk(
                    self._event_timeout(plan, event_at)
                )
            except ResponseTimeout:
                chunk = await self._read_or_switch(plan, conn.read_chunk)
                if chunk is not None:
                    return chunk
                event_at = self._now()

    def _event_timeout(self, plan: RequestPlan, event_at: float) -> float:
        """Return how long to wait for bytes after the last whole event.

        A stalled target may send bytes now and then without ending an event.
        """
        left = max(0.001, self._time_left(plan))
        is_resumable = plan.route.is_resumable
        if not is_resumable or plan.runs >= plan.route.attempts:
            return left
        longest = self._cfg.relay.first_event_factor * plan.route.objective
        return min(left, max(0.001, event_at + longest - self._now()))

    def _time_left(self, plan: RequestPlan) -> float:
        return plan.deadline - self._now()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _retry_after(self) -> float:
        """Return the seconds after which a caller should retry."""
        options = self._cfg.relay
        pause = (
            options.isolated_retry_after
            if self.is_isolated
            else (options.retry_after)
        )
        return pause * self._rnd.uniform(0.6, 1.4)


def _origin(plan: RequestPlan) -> StreamOrigin:
    return StreamOrigin(
        plan.fields.request_id, plan.service.name, plan.build, plan.sends
    )


def _check_promise(plan: RequestPlan, response: TargetResponse) -> None:
    """Raise InvalidResponse for a refusal of a request that may have run.

    Callers take these statuses for a promise and send the request again.
    """
    if response.status in _NOT_RUN_STATUSES and not plan.route.is_idempotent:
        raise InvalidResponse(
            f'status {response.status} without word whether the request ran',
        )


def _is_own(conn: ClientConnection, response: TargetResponse) -> bool:
    """Tell whether a response is taken for that to the last request.

    Any response names its request, except for refusals. One without a name is
    believed on a used connection, too, since only requests that may be repeated
    are sent there.
    """
    if response.is_not_run or not conn.is_reused:
        return response.matches_request
    return response.names_request


def _media_type(head: ResponseHead) -> str:
    media_type, _, _ = head.get(b'content-type').partition(b';')
    return media_type.strip().lower().decode('latin-1')


def _continues(
    plan: RequestPlan, head: ResponseHead, response: TargetResponse
) -> bool:
    """Tell whether a response may go on with the stream that has begun."""
    return (
        response.is_success
        and response.is_signed
        and head.framing is not BodyFraming.none
        and _media_type(head) == plan.media_type
    )


def _check_stream_end(head: ResponseHead, events: EventBuffer) -> None:
    """Raise ResponseLost if a stream ended before its last event.

    Without length or chunks, the close of the connection looks the same after
    the last event and after a crash of the target.
    """
    if events.partial_bytes:
        raise ResponseLost(
            f'it ended {events.partial_bytes} bytes into an event',
        )
    if not head.is_delimited and not events.has_events:
        raise ResponseLost('the connection was closed before the first event')


def _outcome(result: AttemptResult, plan: RequestPlan) -> GrantOutcome:
    if result is AttemptResult.done:
        return GrantOutcome.served
    if result in {AttemptResult.quarantined, AttemptResult.no_turn}:
        return GrantOutcome.unused
    if result is AttemptResult.missing:
        return GrantOutcome.missing
    if result is AttemptResult.not_run:
        has_adapter = bool(plan.fields.adapter.adapter)
        return GrantOutcome.not_ready if has_adapter else GrantOutcome.full
    return GrantOutcome.failed
