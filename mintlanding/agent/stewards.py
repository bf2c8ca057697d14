"""Stewardship of the zone's workers under a lease of the key-value service."""

import asyncio
from collections.abc import Callable, Iterable

from mintlanding.agent.context import AgentContext
from mintlanding.agent.lease_client import LeaseCalls
from mintlanding.agent.limits import LimitsPart
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

UNREACHED_STATES = frozenset(
    (
        MemberState.gone,
        MemberState.silent,
        MemberState.leaving,
    )
)

_logger = Logger('placement')


class StewardsPart:
    """Claim workers, run a runner for each, answer entries."""

    def __init__(
        self,
        context: AgentContext,
        limits: LimitsPart,
        digests: Callable[[], dict[str, WorkerDigest]],
        publish: Callable[[WorkerDigest], None],
    ) -> None:
        """Serve reservations; `digests` tells of other stewards."""
        self._context = context
        self._permits = PermitQueue(limits, context.clock)
        self._digests = digests
        self._publish = publish
        self._runners: dict[str, StewardRunner] = {}
        self._leases = StewardLeases(
            context.own.instance,
            context.cfg.agent.steward_lease,
        )
        self._calls = LeaseCalls(context, self._leases, self._execute)
        self._is_leaving = False
        context.server.add(RESERVE_WORKER, self._reserve)
        context.server.add(RELEASE_WORKER, self._release)
        context.server.add(REPORT_PINS, self._take_pins)

    async def start(self) -> None:
        """Begin to claim."""
        self._context.application.spawn(self._permits.run())
        self._context.application.spawn(self._run_ticks())

    async def drain(self, timeout: float) -> None:
        """Take no more reservations, then give the workers back."""
        self._is_leaving = True
        now = self._context.now
        for runner in self._runners.values():
            runner.execute(runner.steward.drain(now))
        await self._calls.drop()

    def follow_members(self) -> None:
        """Tell the stewards which entries are gone."""
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

    async def _take_pins(self, report: PinReport, sender: str) -> Empty:
        runner = self._runners.get(report.worker)
        if runner is not None:
            runner.take_pins(report)
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
        actions = self._leases.tick(self._wanted(), now)
        self._execute(actions)
        for runner in self._runners.values():
            if runner.target.name in self._leases.held:
                runner.execute(
                    runner.steward.lease_renewed(self._leases.expires_at, now),
                )

    def _wanted(self) -> list[str]:
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
            # The others take this instance for the steward, as it was before
            # a restart.
            return True
        if digest is not None:
            steward = members.get(digest.steward)
            if steward and steward.state not in UNREACHED_STATES:
                return False
        chosen = choose_steward(worker.name, own.zone, members.values())
        return chosen == own.instance

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
                case OpenLease() | RenewLease() | ClaimWorker():
                    self._context.application.spawn(self._calls.call(action))
                case StewardshipWon():
                    self._take_over(action)
                case StewardshipLapsed(worker=worker):
                    self._lapse(worker)
                case StewardshipLost(worker=worker):
                    self._lose(worker)

    def _take_over(self, won: StewardshipWon) -> None:
        target = self._context.directory.get('target', won.worker)
        if not isinstance(target, Target):
            return
        runner = self._runners.get(won.worker)
        if runner is None:
            runner = StewardRunner(
                self._context,
                target,
                self._permits,
                self._give_way,
                self._publish,
            )
            self._runners[won.worker] = runner
            runner.start()
        runner.pinned_entries.clear()
        _logger.info(
            'Stewardship begins.',
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

    def _lapse(self, worker: str) -> None:
        runner = self._runners.get(worker)
        if runner is not None:
            _logger.warning('The lease has lapsed.', worker=worker)
            runner.execute(runner.steward.lease_lost(self._context.now))

    def _lose(self, worker: str) -> None:
        runner = self._runners.pop(worker, None)
        if runner is not None:
            _logger.warning('Another agent is steward.', worker=worker)
            runner.execute(runner.steward.superseded(self._context.now))
            self._context.application.spawn(runner.stop())

    def _give_way(self, worker: str) -> None:
        """Take an engine's word that a newer steward exists."""
        self._leases.held.pop(worker, None)
        self._leases.lapsed.pop(worker, None)
        self._lose(worker)

    def _stop_removed(self) -> None:
        configured = {each.name for each in self._zone_workers()}
        for worker in set(self._runners) - configured:
            self._give_way(worker)

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
