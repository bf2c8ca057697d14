"""Pass the response of a target on to the caller."""

from dataclasses import dataclass

from mintlanding.core.exceptions import ResponseLost, ResponseTimeout
from mintlanding.http1.client import ClientConnection
from mintlanding.http1.models import ResponseHead
from mintlanding.http1.server import CallerRequest
from mintlanding.node.clock import boot_seconds, loop_seconds
from mintlanding.node.codec import Codec
from mintlanding.node.crash_watch import CrashWatch
from mintlanding.node.events import EventBuffer
from mintlanding.node.quarantines import Quarantines
from mintlanding.node.request_plan import AttemptResult, RequestPlan
from mintlanding.node.response_timeouts import ResponseTimeouts
from mintlanding.node.settings import RelayOptions
from mintlanding.node.stream_resumption import StreamResumption
from mintlanding.node.target_connector import TargetConnector
from mintlanding.node.targets import TargetTable
from mintlanding.traffic.models import Target

# Copies of a held response: the buffer it is collected in, and the body that is
# passed on.
_HELD_COPIES = 2


@dataclass(slots=True)
class ResponseForwarder:
    """Pass on whole responses, large bodies and streams of events."""

    options: RelayOptions
    codec: Codec
    timeouts: ResponseTimeouts
    table: TargetTable
    connector: TargetConnector
    quarantines: Quarantines
    crash_watch: CrashWatch
    resumption: StreamResumption

    async def hold_body(
        self, conn: ClientConnection, plan: RequestPlan
    ) -> tuple[bytearray, bool]:
        """Return the body and true, or the start of one too large to hold.

        The body of a failed attempt may be kept beside it.
        """
        try:
            return await self._hold_body(conn, plan)
        except ResponseLost:
            self.release_body(plan)
            raise

    def release_body(self, plan: RequestPlan) -> None:
        """Count only what is kept once an attempt has ended."""
        kept = len(plan.failure.body) if plan.failure is not None else 0
        plan.req.hold_response(kept)

    async def _hold_body(
        self, conn: ClientConnection, plan: RequestPlan
    ) -> tuple[bytearray, bool]:
        kept = len(plan.failure.body) if plan.failure is not None else 0
        body = bytearray()
        while chunk := await conn.read_chunk(
            max(0.001, plan.time_left(loop_seconds()))
        ):
            body += chunk
            plan.req.hold_response(kept + _HELD_COPIES * len(body))
            self._check_time(plan)
            if len(body) > self._held_limit(plan):
                return body, False
        return body, True

    def _held_limit(self, plan: RequestPlan) -> int:
        if plan.req.is_memory_exceeded:
            return self.options.held_bytes_exceeded
        if plan.req.is_memory_short:
            return self.options.held_bytes_short
        return self.options.held_bytes

    async def pass_body(
        self,
        plan: RequestPlan,
        conn: ClientConnection,
        head: ResponseHead,
        start: bytearray,
    ) -> AttemptResult:
        """Pass on a large body, whose start has been read, as it arrives.

        The start is emptied, since callers of this method still refer to it.
        """
        req = plan.req
        req.begin(head.status, self.codec.response_headers(head))
        req.write(start)
        start.clear()
        self._forget_failure(plan)
        try:
            while True:
                await _drain(req, conn)
                self._check_time(plan)
                chunk = await conn.read_chunk(plan.time_left(loop_seconds()))
                if not chunk:
                    break
                req.write(chunk)
                # Nothing refers to it while a slow caller is waited for.
                del chunk
        except ResponseLost as exc:
            plan.reason = f'{plan.target}: body interrupted: {exc}'
            self.table.failed(plan.target, loop_seconds())
            return AttemptResult.broken
        req.end()
        return AttemptResult.done

    async def pass_stream(
        self,
        plan: RequestPlan,
        target: Target,
        conn: ClientConnection,
        head: ResponseHead,
    ) -> AttemptResult:
        req = plan.req
        if not req.is_streaming:
            req.begin(head.status, self.codec.response_headers(head))
            plan.media_type = media_type(head)
            self._forget_failure(plan)
        plan.is_stream_begun = True
        plan.events.begin_response()
        try:
            await self._pass_events(plan, conn)
            _check_stream_end(head, plan.events)
            await self._check_engine(head, target)
        except ResponseLost as exc:
            plan.reason = f'{plan.target}: stream interrupted: {exc}'
            await self.record_loss(plan, target, exc)
            if (
                not plan.route.is_resumable
                or plan.time_left(loop_seconds()) <= 0
            ):
                return AttemptResult.broken
            return AttemptResult.lost
        self.quarantines.record_answer(plan, is_success=True)
        req.end()
        return AttemptResult.done

    async def record_loss(
        self, plan: RequestPlan, target: Target, exc: ResponseLost
    ) -> None:
        """Record a lost response; of a suspect, wait for what it means."""
        self.table.failed(target.target, loop_seconds())
        if isinstance(exc, ResponseTimeout):
            self.connector.paths.record_silence(target.key)
        self.crash_watch.record_loss(target, plan.as_lost(), exc)
        if self.quarantines.requests.is_suspected(plan.digest):
            await self.crash_watch.settle(target)

    def _forget_failure(self, plan: RequestPlan) -> None:
        """Keep nothing of a failed attempt once another answer has begun."""
        plan.failure = None
        plan.req.hold_response(0)

    def _check_time(self, plan: RequestPlan) -> None:
        if plan.time_left(loop_seconds()) <= 0:
            raise ResponseTimeout('the body did not end before the deadline')

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
        event_at = loop_seconds()
        while chunk := await self._read_events(plan, conn, event_at):
            whole = plan.events.take(chunk)
            req.hold_response(plan.events.held_bytes)
            passed = whole if is_resumable else chunk
            has_event = bool(whole)
            if has_event:
                plan.times.record_event(boot_seconds())
            if passed:
                req.write(passed)
            del chunk, whole, passed
            await _drain(req, conn)
            if has_event:
                plan.times.record_passed(boot_seconds())
                event_at = loop_seconds()
                self.resumption.confirm(plan)
            if is_resumable:
                plan.last_event = plan.events.last_id

    async def _read_events(
        self, plan: RequestPlan, conn: ClientConnection, event_at: float
    ) -> bytes:
        """Wait for bytes, longer if no other target could continue."""
        while True:
            try:
                return await conn.read_chunk(
                    self.timeouts.event_timeout(plan, event_at)
                )
            except ResponseTimeout:
                chunk = await self.timeouts.read_or_switch(
                    plan, conn.read_chunk
                )
                if chunk is not None:
                    return chunk
                event_at = loop_seconds()


async def _drain(req: CallerRequest, conn: ClientConnection) -> None:
    """Wait for a slow caller, and read nothing from the target meanwhile."""
    if req.conn.is_slow:
        conn.pause()
        await req.conn.drain()


def media_type(head: ResponseHead) -> str:
    essence, _, _ = head.get(b'content-type').partition(b';')
    return essence.strip().lower().decode('latin-1')


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
