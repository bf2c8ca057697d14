"""One worker under this agent's stewardship: orders, reports, reservations."""

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
    AskPermit,
    EvictOrder,
    FenceOrder,
    LoadOrder,
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
    """Carry out what the steward of one worker decides."""

    def __init__(
        self,
        context: AgentContext,
        target: Target,
        permits: PermitQueue,
        on_superseded: Callable[[str], None],
        publish: Callable[[WorkerDigest], None],
    ) -> None:
        """Take the worker; nothing runs before `start`."""
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
        self._waiting: dict[str, asyncio.Future[ReserveReply]] = {}
        self._held_permits: dict[int, str] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._told: WorkerDigest | None = None
        self.pinned_entries: set[str] = set()

    def start(self) -> None:
        """Begin to read reports and to tick."""
        spawn = self._context.application.spawn
        self._tasks = [spawn(self._read_reports()), spawn(self._run_ticks())]

    async def stop(self) -> None:
        """End the worker's tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._engine.close()

    async def reserve(self, req: ReserveRequest) -> ReserveReply:
        """Wait for the final answer to a reservation.

        An entry that stops waiting gives its reservation back.
        """
        fut: asyncio.Future[ReserveReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[req.reservation_id] = fut
        try:
            self.execute(self.steward.reserve(req, self._context.now))
            return await fut
        except asyncio.CancelledError:
            self.release(ReleaseRequest(req.reservation_id, req.worker))
            raise
        finally:
            self._waiting.pop(req.reservation_id, None)

    def release(self, req: ReleaseRequest) -> None:
        """Take a reservation back."""
        self.execute(self.steward.release(req, self._context.now))

    def take_pins(self, report: PinReport) -> None:
        """Take over the reservations of an entry."""
        self.pinned_entries.add(report.entry)
        self.execute(self.steward.pins(report, self._context.now))

    def execute(self, actions: Iterable[Action]) -> None:
        """Do what the steward decided and publish what changed."""
        for action in actions:
            match action:
                case ReserveReply():
                    self._answer(action)
                case LoadOrder() | EvictOrder() | FenceOrder():
                    self._context.application.spawn(self._order(action))
                case AskPermit():
                    self._ask_permit(action)
                case ReturnPermit():
                    self._return_permit(action)
        self._tell()

    def _answer(self, reply: ReserveReply) -> None:
        fut = self._waiting.get(reply.reservation_id)
        if fut is not None and not fut.done():
            fut.set_result(reply)

    def _tell(self) -> None:
        digest = self.steward.digest(self._context.now)
        if digest != self._told:
            self._told = digest
            self._publish(digest)

    async def _order(self, order: LoadOrder | EvictOrder | FenceOrder) -> None:
        match order:
            case LoadOrder():
                weights = self._weights(order.ref)
                outcome = await self._engine.load_adapter(
                    order.ref,
                    weights,
                    order.fencing,
                )
                settle = self.steward.load_done
            case EvictOrder():
                outcome = await self._engine.evict_adapter(
                    order.ref,
                    order.fencing,
                )
                settle = self.steward.evict_done
            case FenceOrder():
                outcome = await self._engine.change_role(
                    MIXED_ROLE,
                    order.fencing,
                )
                settle = self.steward.fence_done
        if isinstance(outcome, Failed):
            _logger.warning(
                'An order failed.',
                worker=self.target.name,
                order=type(order).__name__,
                code=int(outcome.code),
                detail=outcome.detail,
            )
        self._settle_order(order.order_id, outcome, settle)

    def _settle_order(
        self,
        order_id: int,
        outcome: Outcome[None],
        settle: Callable[[int, bool, float], Sequence[Action]],
    ) -> None:
        now = self._context.now
        if isinstance(outcome, Done):
            self.execute(settle(order_id, True, now))
        elif outcome.ran is not Ran.not_run:
            self.execute(self.steward.order_unanswered(order_id, now))
        else:
            self.execute(settle(order_id, False, now))
            if outcome.code is ResultCode.fencing_old:
                self._on_superseded(self.target.name)

    def _weights(self, ref: AdapterRef) -> str:
        found = self._context.directory.get('adapter-version', str(ref))
        return found.weights if isinstance(found, AdapterVersion) else ''

    def _ask_permit(self, ask: AskPermit) -> None:
        def answer(granted: bool, retry_after: float, permit: str) -> None:
            if granted:
                self._held_permits[ask.order_id] = permit
            now = self._context.now
            self.execute(
                self.steward.permit(ask.order_id, granted, retry_after, now),
            )

        self._permits.ask(is_urgent=ask.urgent, answer=answer)

    def _return_permit(self, action: ReturnPermit) -> None:
        permit = self._held_permits.pop(action.order_id, None)
        if permit is not None:
            self._permits.settle(permit, is_used=action.used)

    async def _read_reports(self) -> None:
        while True:
            outcome = await self._engine.report()
            if isinstance(outcome, Done):
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
