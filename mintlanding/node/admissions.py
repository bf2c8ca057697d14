"""Ask the stewards of workers for places."""

import asyncio
import contextlib
from dataclasses import dataclass, field, replace

from mintlanding.core.logs import Logger
from mintlanding.node.clock import boot_seconds
from mintlanding.node.membership import Membership
from mintlanding.node.settings import NodeSettings
from mintlanding.node.stewards import Stewards
from mintlanding.node.view import FleetView
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionReply,
    AdmissionRequest,
    GrantOutcome,
    WorkerDigest,
)
from mintlanding.residency.worker_choice import WorkerView
from mintlanding.traffic.models import Target

# Seconds after its patience for which a waiting request's answer is awaited.
_REPLY_GRACE = 0.15
# Seconds between reports of a worker whose steward is not heard of.
_OBSERVE_SECONDS = 0.5
# Seconds for which an old digest still tells what a worker probably holds.
_DIGEST_LIFE = 8.0


@dataclass(slots=True)
class _Pending:
    """A request whose steward has not given the final answer."""

    answer: asyncio.Future[AdmissionReply]
    is_waiting: bool = False


@dataclass(slots=True)
class _Known:
    """The last digest of a worker, and what was sent there since."""

    digest: WorkerDigest
    steward: str
    at: float
    sent: int = 0


@dataclass(frozen=True, slots=True)
class _Observed:
    """What a worker's own report says, where no steward tells."""

    incarnation: int
    ready: frozenset[str]
    has_model: bool
    at: float


@dataclass(slots=True)
class Place:
    """A place on a worker; without a steward's word it is only likely."""

    worker: str
    reservation: str
    version: int = 0
    is_granted: bool = True
    waited: float = 0


@dataclass(slots=True)
class Admissions:
    """Places asked for, and what stewards tell of their workers."""

    cfg: NodeSettings
    view: FleetView
    membership: Membership
    stewards: Stewards
    _pending: dict[str, _Pending] = field(default_factory=dict)
    _known: dict[str, _Known] = field(default_factory=dict)
    _observed: dict[str, _Observed] = field(default_factory=dict)
    _started: float = field(default_factory=boot_seconds)
    _met: asyncio.Event = field(default_factory=asyncio.Event)
    _logger: Logger = field(default_factory=lambda: Logger('admissions'))

    def hear(self, steward: str, digests: tuple[WorkerDigest, ...]) -> None:
        """Take what a steward tells of its workers."""
        now = boot_seconds()
        for digest in digests:
            self._known[digest.worker] = _Known(digest, steward, now)

    def views(self, targets: list[Target]) -> dict[str, WorkerView]:
        """Return the workers as a choice among them sees them."""
        now = boot_seconds()
        self.hear(self.membership.instance, self.stewards.digests())
        return {each.target: self._view_of(each, now) for each in targets}

    async def run(self) -> None:
        """Ask the workers whose stewards are not heard of."""
        while True:
            await asyncio.sleep(_OBSERVE_SECONDS)
            now = boot_seconds()
            unheard = [
                each
                for each in self.view.engines().values()
                if not self._is_heard(each.target, now) and not each.is_leaving
            ]
            if unheard:
                self._logger.info(
                    'Workers are asked themselves.',
                    count=len(unheard),
                    first=unheard[0].target,
                    holder=self.holder(unheard[0].target),
                )
            await asyncio.gather(*(self._observe(each) for each in unheard))

    def note_missing(self, worker: str, adapter: str) -> None:
        """Note that a worker does not hold what it was thought to."""
        observed = self._observed.get(worker)
        if observed is not None:
            self._observed[worker] = replace(
                observed,
                ready=observed.ready - {adapter},
            )

    def holder(self, worker: str) -> str:
        """Return the instance whose steward looks after a worker."""
        record = self.view.holds.get(worker)
        return '' if record is None else record.holder

    def silent_zones(self) -> frozenset[str]:
        """Return the zones that are probably cut off from this one."""
        return self.membership.words.silent_zones(boot_seconds())

    def granter(self, worker: str) -> str:
        """Return the process that grants places on a worker now."""
        holder = self.holder(worker)
        return f'{holder}/{self.membership.words.boot_of(holder)}'

    def is_ready(self, target: Target, adapter: str) -> bool:
        """Tell whether a worker probably holds an adapter."""
        return not adapter or adapter in self._ready(target, boot_seconds())

    def note_met(self) -> None:
        """Wake who waits for a steward that begins or is heard of."""
        self._met.set()
        self._met = asyncio.Event()

    def receive(self, reply: AdmissionReply) -> bool:
        """Take an answer; false if nobody waits for it."""
        pending = self._pending.get(reply.request_id)
        if pending is None:
            return False
        if reply.is_waiting:
            pending.is_waiting = True
        elif not pending.answer.done():
            pending.answer.set_result(reply)
        return True

    async def reserve(self, req: AdmissionRequest) -> AdmissionReply | None:
        """Ask for a place; None when the steward does not answer."""
        holder = self.holder(req.worker)
        pending = _Pending(asyncio.get_running_loop().create_future())
        self._pending[req.request_id] = pending
        answered = False
        try:
            if not await self._ask(holder, req):
                return None
            reply = await self._await_reply(holder, req, pending)
            answered = reply is not None
            return reply
        finally:
            self._pending.pop(req.request_id, None)
            if not answered:
                self.end(req.worker, req.request_id, GrantOutcome.unused)

    def end(
        self,
        worker: str,
        reservation: str,
        outcome: GrantOutcome,
    ) -> None:
        """Tell the steward that a request has ended."""
        message = AdmissionEnd(reservation, worker, outcome)
        holder = self.holder(worker)
        if holder == self.membership.instance:
            self.stewards.end(message)
        elif self.membership.mesh is not None:
            self.membership.mesh.send(holder, message)

    async def _ask(self, holder: str, req: AdmissionRequest) -> bool:
        known = self._known.get(req.worker)
        if known is not None:
            known.sent += 1
        await self._await_start(holder, req)
        if holder == self.membership.instance:
            self.stewards.reserve(req, self._take_own)
            return True
        mesh = self.membership.mesh
        if mesh is None or not self.membership.is_heard(holder, boot_seconds()):
            return False
        return mesh.send(holder, req)

    async def _await_start(self, holder: str, req: AdmissionRequest) -> None:
        """Wait for a holder while the instances get to know each other.

        Load it answers: all processes were killed, and their callers are
        back before the first words are.
        """
        left = self._started + self.cfg.relay.start_patience - boot_seconds()
        target = self.view.targets.get(req.worker)
        if left <= 0 or target is None or self.is_ready(target, req.adapter):
            return
        # The caller logs that the steward gave no word.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                min(left, req.max_wait, req.reroute_wait)
            ):
                while not self._is_met(holder, req.worker):
                    await self._met.wait()

    def _is_met(self, holder: str, worker: str) -> bool:
        if holder == self.membership.instance:
            return worker in self.stewards.stewards
        return self.membership.is_heard(holder, boot_seconds())

    def _take_own(self, reply: AdmissionReply) -> None:
        self.receive(reply)

    async def _await_reply(
        self,
        holder: str,
        req: AdmissionRequest,
        pending: _Pending,
    ) -> AdmissionReply | None:
        timeout = self.cfg.relay.steward_timeout
        done, _ = await asyncio.wait((pending.answer,), timeout=timeout)
        if not done and not pending.is_waiting:
            if self.membership.mesh is not None:
                self.membership.mesh.redial(holder)
            return None
        left = req.max_wait + _REPLY_GRACE - timeout
        while not done and left > 0:
            step = min(left, self.cfg.fleet.silence / 2)
            done, _ = await asyncio.wait((pending.answer,), timeout=step)
            left -= step
            is_own = holder == self.membership.instance
            if is_own or self.membership.is_heard(holder, boot_seconds()):
                continue
            if not done:
                return None
        return pending.answer.result() if done else None

    def _view_of(self, target: Target, now: float) -> WorkerView:
        known = self._known.get(target.target)
        is_heard = self._is_heard(target.target, now)
        if not is_heard and self._observes(target, now):
            observed = self._observed[target.target]
            return WorkerView(
                target.target,
                target.zone,
                slots=target.slots,
                has_model=observed.has_model,
                ready=observed.ready,
            )
        if known is None or known.digest.incarnation != target.incarnation:
            return WorkerView(
                target.target,
                target.zone,
                slots=target.slots,
                # A steward that has told nothing yet is simply asked.
                can_order=is_heard,
                is_heard=is_heard,
                has_model=target.model != '',
                ready=self._ready(target, now),
            )
        digest = known.digest
        return WorkerView(
            worker=target.target,
            zone=target.zone,
            wait=digest.wait,
            load_wait=digest.load_wait,
            running=digest.running + digest.queued,
            sent=known.sent,
            slots=target.slots,
            can_order=digest.can_order and is_heard,
            is_heard=is_heard,
            has_model=digest.has_model,
            ready=self._ready(target, now),
            hot=frozenset(digest.hot),
        )

    def _is_heard(self, worker: str, now: float) -> bool:
        holder = self.holder(worker)
        is_own = holder == self.membership.instance
        return is_own or self.membership.is_heard(holder, now)

    def _observes(self, target: Target, now: float) -> bool:
        observed = self._observed.get(target.target)
        return (
            observed is not None
            and observed.incarnation == target.incarnation
            and now < observed.at + 4 * _OBSERVE_SECONDS
        )

    async def _observe(self, target: Target) -> None:
        report = await self.stewards.fetch_report(target)
        if report is None:
            return
        self._observed[target.target] = _Observed(
            report.incarnation,
            frozenset(name for name, _ in report.adapters),
            bool(report.models),
            boot_seconds(),
        )

    def _ready(self, target: Target, now: float) -> frozenset[str]:
        if not self._is_heard(target.target, now) and self._observes(
            target,
            now,
        ):
            return self._observed[target.target].ready
        known = self._known.get(target.target)
        if known is None or now > known.at + _DIGEST_LIFE:
            return frozenset(name for name, _ in target.adapters)
        if known.digest.incarnation != target.incarnation:
            return frozenset()
        return frozenset(known.digest.ready)
