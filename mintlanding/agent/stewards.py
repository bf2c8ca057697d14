"""Claims of workers under a lease, and the runners of their stewards."""

import asyncio
from collections.abc import Callable, Iterable

from mintlanding.agent.context import AgentContext
from mintlanding.agent.lease_client import LeaseClient
from mintlanding.agent.limits import LimitsComponent
from mintlanding.agent.messages import (
    RELEASE_WORKER,
    REPORT_PINS,
    RESERVE_WORKER,
)
from mintlanding.agent.permits import PermitQueue
from mintlanding.agent.steward_runner import StewardRunner
from mintlanding.configuration.models import Target
from mintlanding.core.logs import Logger
from mintlanding.core.results import ResultCode
from mintlanding.membership.models import MemberState
from mintlanding.peers.messages import Empty
from mintlanding.placement.leases import (
    ClaimWorker,
    DropRecord,
    LeaseAction,
    OpenLease,
    RenewLease,
    StewardLeases,
    StewardshipLapsed,
    StewardshipLost,
    StewardshipWon,
    choose_steward,
)
from mintlanding.placement.messages import (
    PinReport,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
    WorkerDigest,
)

UNREACHABLE_STATES = frozenset(
    (
        MemberState.gone,
        MemberState.silent,
        MemberState.leaving,
    )
)

_logger = Logger('placement')


class StewardsComponent:
    """Claim workers, run their stewards and serve reservations.

    The steward of a worker queues requests for it and loads and evicts its
    adapters. The agent that claimed the worker under its lease runs it.
    """

    def __init__(
        self,
        context: AgentContext,
        limits: LimitsComponent,
        digests: Callable[[], dict[str, WorkerDigest]],
        publish: Callable[[WorkerDigest], None],
    ) -> None:
        """Register the methods.

        `digests` returns the digests of all workers, also of other stewards;
        `publish` sends the digest of a local one.
        """
        self._context = context
        self._permits = PermitQueue(limits, context.clock)
        self._digests = digests
        self._publish = publish
        self._runners: dict[str, StewardRunner] = {}
        self._leases = StewardLeases(
            context.own.instance,
            context.cfg.agent.steward_lease,
        )
        self._lease_client = LeaseClient(
            context, self._leases, self._execute, self._known_token
        )
        # Tokens that engines reported to stewards that were given up.
        self._reported_tokens: dict[str, int] = {}
        self._is_leaving = False
        context.server.add(RESERVE_WORKER, self._reserve)
        context.server.add(RELEASE_WORKER, self._release)
        context.server.add(REPORT_PINS, self._handle_pins)

    async def start(self) -> None:
        """Start claiming workers."""
        supervise = self._context.application.supervise
        supervise('permits', self._permits.run)
        supervise('stewards', self._run_ticks)

    async def drain(self, timeout: float) -> None:
        """Drain all stewards, then revoke the lease of the workers."""
        self._is_leaving = True
        now = self._context.now
        for runner in self._runners.values():
            runner.execute(runner.steward.drain(now))
        await self._lease_client.revoke()

    def update_members(self) -> None:
        """Report entries that are gone to the stewards."""
        for member in self._context.members.values():
            if member.state is MemberState.gone:
                self._drop_entry(member.instance)
        self._complete_pins()

    async def _reserve(
        self,
        req: ReserveRequest,
        sender: str,
    ) -> ReserveReply:
        runner = self._runners.get(req.worker)
        if runner is None:
            code = int(ResultCode.no_target)
            return ReserveReply(
                req.reservation_id,
                code,
                'not the steward of this worker',
            )
        return await runner.reserve(req)

    async def _release(self, req: ReleaseRequest, sender: str) -> Empty:
        runner = self._runners.get(req.worker)
        if runner is not None:
            runner.release(req)
        return Empty()

    async def _handle_pins(self, report: PinReport, sender: str) -> Empty:
        runner = self._runners.get(report.worker)
        if runner is not None:
            runner.handle_pins(report)
            self._complete_pins()
        return Empty()

    async def _run_ticks(self) -> None:
        while True:
            if not self._is_leaving:
                self._tick()
            await asyncio.sleep(self._context.cfg.agent.tick_interval)

    def _tick(self) -> None:
        now = self._context.now
        self._stop_removed()
        actions = self._leases.tick(self._workers_to_claim(), now)
        self._execute(actions)
        for runner in self._runners.values():
            if runner.target.name in self._leases.held:
                runner.execute(
                    runner.steward.lease_renewed(self._leases.expires_at, now),
                )

    def _workers_to_claim(self) -> list[str]:
        return [
            worker.name
            for worker in self._zone_workers()
            if worker.name in self._leases.held or self._should_claim(worker)
        ]

    def _should_claim(self, worker: Target) -> bool:
        own = self._context.own
        members = self._context.members
        digest = self._digests().get(worker.name)
        if digest is not None and digest.steward == own.instance:
            # Other members still expect this instance to be the steward, as
            # it was before its restart.
            return True
        if digest is not None:
            steward = members.get(digest.steward)
            if steward and steward.state not in UNREACHABLE_STATES:
                return False
        chosen = choose_steward(worker.name, own.zone, members.values())
        return chosen == own.instance

    def _known_token(self, worker: str) -> int:
        digest = self._digests().get(worker)
        published = 0 if digest is None else digest.fencing
        return max(published, self._reported_tokens.get(worker, 0))

    def _zone_workers(self) -> list[Target]:
        directory = self._context.directory
        return [
            each
            for each in directory.list('target')
            if isinstance(each, Target)
            and each.zone == self._context.own.zone
            and getattr(directory.service(each.service), 'engine', False)
        ]

    def _execute(self, actions: Iterable[LeaseAction]) -> None:
        for action in actions:
            match action:
                case OpenLease() | RenewLease() | ClaimWorker() | DropRecord():
                    self._context.application.spawn(
                        self._lease_client.execute(action)
                    )
                case StewardshipWon():
                    self._take_over(action)
                case StewardshipLapsed(worker=worker):
                    self._handle_lapsed(worker)
                case StewardshipLost(worker=worker):
                    self._handle_lost(worker)

    def _take_over(self, won: StewardshipWon) -> None:
        target = self._context.directory.get('target', won.worker)
        if not isinstance(target, Target):
            self._leases.release(won.worker)
            return
        runner = self._runners.get(won.worker)
        if runner is None:
            runner = StewardRunner(
                self._context,
                target,
                self._permits,
                self._release_worker,
                self._publish,
            )
            self._runners[won.worker] = runner
            runner.start()
        runner.pinned_entries.clear()
        _logger.info(
            'Stewardship started.',
            worker=won.worker,
            fencing=won.fencing,
        )
        runner.execute(
            runner.steward.take_over(
                won.fencing,
                self._context.now,
                self._leases.expires_at,
            ),
        )
        self._complete_pins()

    def _handle_lapsed(self, worker: str) -> None:
        runner = self._runners.get(worker)
        if runner is not None:
            _logger.warning('Worker lease expired.', worker=worker)
            runner.execute(runner.steward.lease_lost(self._context.now))

    def _handle_lost(self, worker: str) -> None:
        runner = self._runners.pop(worker, None)
        if runner is not None:
            _logger.warning('Worker managed by another agent.', worker=worker)
            runner.execute(runner.steward.superseded(self._context.now))
            self._context.application.spawn(runner.stop())

    def _release_worker(self, worker: str) -> None:
        """Stop the steward of a worker that is removed or has a newer steward.

        An engine rejects the fencing token of this steward if a newer one
        exists; that may be known before the lease is lost.
        """
        runner = self._runners.get(worker)
        if runner is not None:
            self._reported_tokens[worker] = runner.reported_token
        self._leases.release(worker)
        self._handle_lost(worker)

    def _stop_removed(self) -> None:
        configured = {each.name for each in self._zone_workers()}
        for worker in set(self._runners) - configured:
            self._release_worker(worker)

    def _drop_entry(self, instance: str) -> None:
        for runner in self._runners.values():
            runner.execute(
                runner.steward.entry_gone(instance, self._context.now),
            )

    def _complete_pins(self) -> None:
        expected = {
            each.instance
            for each in self._context.members.values()
            if each.state is not MemberState.gone
            and each.region == self._context.own.region
        }
        for runner in self._runners.values():
            if expected <= runner.pinned_entries:
                runner.execute(
                    runner.steward.pins_complete(self._context.now),
                )
