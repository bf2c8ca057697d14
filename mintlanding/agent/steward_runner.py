"""Runs the steward of one worker: orders, reports and reservations."""

import asyncio
from collections.abc import Callable, Iterable, Sequence

from mintlanding.agent.context import AgentContext
from mintlanding.agent.permits import PermitQueue
from mintlanding.configuration.models import AdapterVersion, Target
from mintlanding.core.logs import Logger
from mintlanding.core.results import Done, Failed, Outcome, Ran, ResultCode
from mintlanding.engines.client import EngineClient
from mintlanding.engines.messages import EngineReport as ReportMessage
from mintlanding.engines.models import TargetTimeouts
from mintlanding.placement.messages import (
    AdapterRef,
    EngineReport,
    PinReport,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
    WorkerDigest,
)
from mintlanding.placement.models import (
    Action,
    EvictOrder,
    FenceOrder,
    LoadOrder,
    RequestPermit,
    ReturnPermit,
    StewardOptions,
    WorkerSpec,
)
from mintlanding.placement.steward import Steward

REPORT_SECONDS = 1
TICK_SECONDS = 0.2
MIXED_ROLE = 'mixed'

_logger = Logger('placement')


class StewardRunner:
    """Execute the actions of the steward of one worker."""

    def __init__(
        self,
        context: AgentContext,
        target: Target,
        permits: PermitQueue,
        on_superseded: Callable[[str], None],
        publish: Callable[[WorkerDigest], None],
    ) -> None:
        """Build the steward; nothing runs before `start`."""
        self.target = target
        self._context = context
        self._permits = permits
        self._on_superseded = on_superseded
        self._publish = publish
        self._engine = EngineClient.from_config(target.url, TargetTimeouts())
        self.steward = Steward.from_config(
            WorkerSpec(
                target.name,
                target.zone,
                target.slots,
                target.batch_limit,
                target.checks_fencing,
            ),
            StewardOptions(),
            context.random(f'steward/{target.name}'),
            context.own.instance,
            context.own.address,
        )
        self._pending_replies: dict[str, asyncio.Future[ReserveReply]] = {}
        self._held_permits: dict[int, str] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._published: WorkerDigest | None = None
        self.pinned_entries: set[str] = set()
        # The highest fencing token that the engine has reported.
        self.reported_token = 0

    def start(self) -> None:
        """Start reading reports and the periodic work."""
        supervise = self._context.application.supervise
        worker = self.target.name
        self._tasks = [
            supervise(f'reports of {worker}', self._read_reports),
            supervise(f'steward of {worker}', self._run_ticks),
        ]

    async def stop(self) -> None:
        """Cancel the tasks and close the connection to the engine."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._engine.close()

    async def reserve(self, req: ReserveRequest) -> ReserveReply:
        """Wait for the final reply to a reservation.

        The reservation is released if the entry stops waiting.
        """
        fut: asyncio.Future[ReserveReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_replies[req.reservation_id] = fut
        try:
            self.execute(self.steward.reserve(req, self._context.now))
            return await fut
        except asyncio.CancelledError:
            self.release(ReleaseRequest(req.reservation_id, req.worker))
            raise
        finally:
            self._pending_replies.pop(req.reservation_id, None)

    def release(self, req: ReleaseRequest) -> None:
        """Release a reservation."""
        self.execute(self.steward.release(req, self._context.now))

    def handle_pins(self, report: PinReport) -> None:
        """Pass the active reservations of an entry to the steward.

        A report to an earlier steward may lack reservations of the time since.
        """
        if report.fencing not in {0, self.steward.fencing}:
            return
        self.pinned_entries.add(report.entry)
        self.execute(self.steward.pins(report, self._context.now))

    def execute(self, actions: Iterable[Action]) -> None:
        """Execute actions of the steward; publish the digest if it changed."""
        for action in actions:
            match action:
                case ReserveReply():
                    self._answer(action)
                case LoadOrder() | EvictOrder() | FenceOrder():
                    self._context.application.spawn(self._send_order(action))
                case RequestPermit():
                    self._request_permit(action)
                case ReturnPermit():
                    self._return_permit(action)
        self._publish_digest()

    def _answer(self, reply: ReserveReply) -> None:
        fut = self._pending_replies.get(reply.reservation_id)
        if fut is not None and not fut.done():
            fut.set_result(reply)

    def _publish_digest(self) -> None:
        digest = self.steward.digest(self._context.now)
        if digest != self._published:
            self._published = digest
            self._publish(digest)

    async def _send_order(
        self, order: LoadOrder | EvictOrder | FenceOrder
    ) -> None:
        match order:
            case LoadOrder():
                weights = self._weights(order.ref)
                outcome = await self._engine.load_adapter(
                    order.ref,
                    weights,
                    order.fencing,
                )
                finish = self.steward.load_done
            case EvictOrder():
                outcome = await self._engine.evict_adapter(
                    order.ref,
                    order.fencing,
                )
                finish = self.steward.evict_done
            case FenceOrder():
                outcome = await self._engine.change_role(
                    MIXED_ROLE,
                    order.fencing,
                )
                finish = self.steward.fence_done
        if isinstance(outcome, Failed):
            _logger.warning(
                'Order failed.',
                worker=self.target.name,
                order=type(order).__name__,
                code=int(outcome.code),
                detail=outcome.detail,
            )
        self._finish_order(order, outcome, finish)

    def _finish_order(
        self,
        order: LoadOrder | EvictOrder | FenceOrder,
        outcome: Outcome[None],
        finish: Callable[[int, bool, float], Sequence[Action]],
    ) -> None:
        now = self._context.now
        if isinstance(outcome, Done):
            self.execute(finish(order.order_id, True, now))
        elif outcome.ran is not Ran.not_run:
            self.execute(self.steward.order_unanswered(order.order_id, now))
        else:
            self.execute(finish(order.order_id, False, now))
            is_refused = outcome.code is ResultCode.fencing_old
            # Orders of an earlier lease may arrive after those of this one.
            if is_refused and order.fencing == self.steward.fencing:
                self._on_superseded(self.target.name)

    def _weights(self, ref: AdapterRef) -> str:
        found = self._context.directory.get('adapter-version', str(ref))
        return found.weights if isinstance(found, AdapterVersion) else ''

    def _request_permit(self, request: RequestPermit) -> None:
        def callback(granted: bool, retry_after: float, permit: str) -> None:
            if granted:
                self._held_permits[request.order_id] = permit
            now = self._context.now
            self.execute(
                self.steward.permit(
                    request.order_id, granted, retry_after, now
                ),
            )

        self._permits.request(is_urgent=request.urgent, callback=callback)

    def _return_permit(self, action: ReturnPermit) -> None:
        permit = self._held_permits.pop(action.order_id, None)
        if permit is not None:
            self._permits.settle(permit, is_used=action.used)

    async def _read_reports(self) -> None:
        while True:
            outcome = await self._engine.report()
            if isinstance(outcome, Done):
                token = outcome.value.fencing
                self.reported_token = max(self.reported_token, token)
                report = self._as_report(outcome.value)
                self.execute(
                    self.steward.engine_report(report, self._context.now),
                )
            await asyncio.sleep(REPORT_SECONDS)

    async def _run_ticks(self) -> None:
        while True:
            self.execute(self.steward.tick(self._context.now))
            await asyncio.sleep(TICK_SECONDS)

    def _as_report(self, message: ReportMessage) -> EngineReport:
        return EngineReport(
            self.target.name,
            message.incarnation,
            _as_refs(message.resident),
            _as_refs(message.loading),
            _as_refs(message.busy),
            message.running,
        )


def _as_refs(names: Iterable[str]) -> tuple[AdapterRef, ...]:
    pairs = (name.partition('@') for name in names)
    return tuple(AdapterRef(pair[0], pair[2]) for pair in pairs)
