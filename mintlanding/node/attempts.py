"""Send a request to one target, and judge the response."""

import asyncio
from dataclasses import dataclass

from mintlanding.core.exceptions import (
    InvalidResponse,
    RequestNotSent,
    ResponseLost,
    ResponseTimeout,
)
from mintlanding.http1.client import ClientConnection
from mintlanding.http1.models import BodyFraming, ResponseHead
from mintlanding.node.admissions import Admissions
from mintlanding.node.clock import boot_seconds, loop_seconds
from mintlanding.node.codec import Codec
from mintlanding.node.crash_watch import CrashWatch
from mintlanding.node.limit_keeper import LimitKeeper
from mintlanding.node.quarantines import Quarantines
from mintlanding.node.request_log import RequestLog
from mintlanding.node.request_plan import (
    AttemptResult,
    FailedResponse,
    RequestPlan,
)
from mintlanding.node.response_timeouts import ResponseTimeouts
from mintlanding.node.responses import ResponseForwarder, media_type
from mintlanding.node.send_gate import SendGate
from mintlanding.node.stream_resumption import StreamResumption
from mintlanding.node.target_choice import MIN_TIME_LEFT
from mintlanding.node.target_connector import TargetConnector
from mintlanding.node.targets import TargetTable
from mintlanding.node.view import FleetView
from mintlanding.traffic.header_fields import HopFields, TargetResponse
from mintlanding.traffic.models import RouteKind, Target
from mintlanding.traffic.retries import FleetRetryBudget

# Statuses that tell a caller that its request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(slots=True)
class Attempts:
    """What an attempt depends on, and what learns from its response."""

    codec: Codec
    view: FleetView
    admissions: Admissions
    limits: LimitKeeper
    gate: SendGate
    quarantines: Quarantines
    crash_watch: CrashWatch
    budget: FleetRetryBudget
    connector: TargetConnector
    table: TargetTable
    timeouts: ResponseTimeouts
    resumption: StreamResumption
    forwarder: ResponseForwarder
    log: RequestLog

    async def run(
        self, plan: RequestPlan, target: Target, version: int
    ) -> AttemptResult:
        """Send a request that must run on a version at least, 0 for any."""
        plan.target = target.target
        plan.build = target.build
        plan.sends += 1
        now = loop_seconds()
        is_reusable = plan.route.is_idempotent
        try:
            conn = await self.connector.acquire(
                target,
                is_fresh=not is_reusable,
                seconds=max(MIN_TIME_LEFT, plan.time_left(loop_seconds())),
                request_id=plan.fields.request_id,
                homes=plan.homes,
            )
            plan.through = conn.member
        except RequestNotSent as exc:
            plan.reason = f'no connection to {target.target}: {exc}'
            self.table.failed(target.target, now)
            self.admissions.stewards.mark_unreachable(target.target)
            return AttemptResult.not_sent
        try:
            return await self._send_if_open(plan, target, version, conn)
        finally:
            self.connector.pool.release(conn)

    async def _send_if_open(
        self,
        plan: RequestPlan,
        target: Target,
        version: int,
        conn: ClientConnection,
    ) -> AttemptResult:
        """Send a request, unless something bars it by now."""
        barrier = self.gate.check(plan, target)
        if barrier is not None:
            plan.reason = barrier.reason
            plan.retry_after = barrier.retry_after or plan.retry_after
            return barrier.result
        number = self.table.begin(target.target, loop_seconds())
        try:
            return await self._exchange(plan, target, version, conn, number)
        finally:
            self.table.end(target, number, loop_seconds())

    async def _exchange(
        self,
        plan: RequestPlan,
        target: Target,
        version: int,
        conn: ClientConnection,
        number: int,
    ) -> AttemptResult:
        req = plan.req
        left = plan.time_left(loop_seconds())
        head = self.codec.target_request_head(
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
        plan.is_refused = False
        plan.is_stream_begun = False
        plan.limit = None
        plan.runs += 1
        plan.entry = self.view.entry_state(target.target)
        plan.view_age = boot_seconds() - self.view.fresh_at
        self.resumption.announce(plan)
        if plan.route.kind is RouteKind.unsafe:
            req.outlives_caller = True
        try:
            response_head = await self._read_head(plan, conn)
            plan.response_seconds = self.table.record_response_start(
                target.target, number, loop_seconds()
            )
            response = self.codec.read_response(
                response_head,
                plan.fields.request_id,
            )
            return await self._handle_response(
                plan, target, conn, response_head, response
            )
        except asyncio.CancelledError:
            if not plan.is_refused:
                self.crash_watch.record_departure(target, plan.as_lost())
            raise
        except ResponseLost as exc:
            plan.reason = f'{target.target}: {exc}'
            await self.forwarder.record_loss(plan, target, exc)
            is_late = plan.time_left(loop_seconds()) <= 0
            return AttemptResult.late if is_late else AttemptResult.lost

    async def _read_head(
        self, plan: RequestPlan, conn: ClientConnection
    ) -> ResponseHead:
        """Wait for a response, longer if no other target could give one."""
        while True:
            try:
                return await conn.read_head(
                    self.timeouts.response_timeout(plan)
                )
            except ResponseTimeout:
                head = await self.timeouts.read_or_switch(plan, conn.read_head)
                if head is not None:
                    return head

    async def _handle_response(
        self,
        plan: RequestPlan,
        target: Target,
        conn: ClientConnection,
        head: ResponseHead,
        response: TargetResponse,
    ) -> AttemptResult:
        now = loop_seconds()
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
                f'{media_type(head)!r} do not continue a stream'
            )
            self.table.failed(target.target, now)
            return AttemptResult.lost
        is_stream = (
            plan.route.kind is RouteKind.stream
            and response.is_success
            and head.framing is not BodyFraming.none
        )
        if is_stream and response.is_signed:
            return await self.forwarder.pass_stream(plan, target, conn, head)
        if response.is_success and not response.is_signed:
            raise ResponseLost('the response has no signature')
        body, is_whole = await self.forwarder.hold_body(conn, plan)
        if not is_whole:
            return await self.forwarder.pass_body(plan, conn, head, body)
        is_repeatable = plan.route.is_idempotent and not response.is_success
        if is_repeatable and plan.runs < plan.route.attempts:
            if self.budget.take(plan.service.name, now):
                plan.reason = f'{target.target}: status {response.status}'
                plan.tried.add(target.target)
                plan.failure = FailedResponse(
                    head.status,
                    self.codec.response_headers(head),
                    bytes(body),
                )
                self.forwarder.release_body(plan)
                return AttemptResult.failed
        self.quarantines.record_answer(plan, is_success=response.is_success)
        plan.req.respond(
            head.status, self.codec.response_headers(head), bytes(body)
        )
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
        is_certain = not conn.is_reused or (
            response.names_request and plan.sends == 1
        )
        if is_certain:
            plan.is_refused = True
            plan.req.outlives_caller = False
        await self.forwarder.hold_body(conn, plan)
        self.forwarder.release_body(plan)
        if not is_certain:
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
        self.table.record_response(target.target, response, loop_seconds())
        if plan.service.engine is None:
            self.table.record_speed(
                target, response, plan.response_seconds, loop_seconds()
            )
        else:
            # Stewards learn the speed of engines.
            self.table.record_service(target, response)
        self.limits.record_response(target, response, plan.sent_at)
        if not response.is_from(target.target):
            return
        if response.is_leaving:
            self.view.mark_leaving(target.key)
        if response.pause:
            self.gate.pauses.record(
                target.target, response.pause, boot_seconds()
            )
            self.log.log_pause(plan, response.pause)


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


def _continues(
    plan: RequestPlan, head: ResponseHead, response: TargetResponse
) -> bool:
    """Tell whether a response may go on with the stream that has begun."""
    return (
        response.is_success
        and response.is_signed
        and head.framing is not BodyFraming.none
        and media_type(head) == plan.media_type
    )
