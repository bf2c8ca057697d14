"""Request admissions from the stewards of workers."""

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field, replace

import msgspec

from mintlanding.capacity.fleet_room import ROOM_LIFETIME, read_room
from mintlanding.core.logs import Logger
from mintlanding.node.clock import boot_seconds
from mintlanding.node.limit_keeper import LimitKeeper
from mintlanding.node.membership import Membership
from mintlanding.node.settings import NodeSettings
from mintlanding.node.stewards import Stewards
from mintlanding.node.stream_times import StreamTimes
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

# Seconds after the maximal wait in which a queued request's reply may arrive.
_REPLY_GRACE = 0.15
# Seconds between reports of a worker whose steward is unreachable.
_OBSERVE_SECONDS = 0.5
# Seconds after the last choice of a worker from which no reports are requested.
_IDLE_SECONDS = 3.0
# Seconds for which it is known who granted a request: longer than one that is
# refused takes.
_GRANTED_SECONDS = 5.0
# Seconds for which the adapters in an old digest are taken for resident.
_DIGEST_LIFETIME = 8.0


@dataclass(slots=True)
class _Pending:
    """A request whose steward has not given the final reply."""

    worker: str
    reply: asyncio.Future[AdmissionReply]
    is_waiting: bool = False


# Target, whether its steward is reachable, whether the room and the adapters in
# the digest still count, and the requests sent since.
_ViewFacts = tuple[Target, bool, bool, bool, int]


@dataclass(slots=True)
class _LastDigest:
    """The last digest of a worker and the requests sent there since."""

    digest: WorkerDigest
    steward: str
    at: float
    sent: int = 0
    # The same by workspace and priority.
    sent_lines: Counter[tuple[str, int]] = field(default_factory=Counter)
    # The view made of it, and what else that depends on.
    view: WorkerView | None = None
    view_facts: _ViewFacts | None = None


@dataclass(frozen=True, slots=True)
class _ObservedWorker:
    """What a worker reported itself while its steward was unreachable."""

    incarnation: int
    ready: frozenset[str]
    has_model: bool
    at: float


@dataclass(slots=True)
class Reservation:
    """Right to run a request on a worker.

    Without a steward's grant it is only likely that the worker accepts it.
    """

    worker: str
    reservation_id: str
    version: int = 0
    is_granted: bool = True
    waited: float = 0


@dataclass(slots=True)
class Admissions:
    """Pending admissions, and the latest known state of all workers."""

    cfg: NodeSettings
    view: FleetView
    membership: Membership
    stewards: Stewards
    limits: LimitKeeper
    _pending: dict[str, _Pending] = field(default_factory=dict)
    # Who granted each request to a brittle target, and when.
    _granted: dict[str, tuple[str, float]] = field(default_factory=dict)
    _digests: dict[str, _LastDigest] = field(default_factory=dict)
    _observed: dict[str, _ObservedWorker] = field(default_factory=dict)
    _started: float = field(default_factory=boot_seconds)
    _chosen_at: float = float('-inf')
    _steward_changed: asyncio.Event = field(default_factory=asyncio.Event)
    _logger: Logger = field(default_factory=lambda: Logger('admissions'))

    def record_digests(
        self, steward: str, digests: tuple[WorkerDigest, ...]
    ) -> None:
        """Record the digests of a steward's workers."""
        now = boot_seconds()
        for digest in digests:
            self._digests[digest.worker] = _LastDigest(digest, steward, now)

    def views(self, targets: list[Target]) -> dict[str, WorkerView]:
        """Return what the choice among workers depends on."""
        now = boot_seconds()
        self._chosen_at = now
        self.record_digests(self.membership.instance, self.stewards.digests())
        return {each.target: self._view_of(each, now) for each in targets}

    async def run(self) -> None:
        """Fetch reports of workers whose stewards are unreachable.

        None are needed while no request chooses among workers, as before the
        first traffic, when no worker of the fleet has a steward yet.
        """
        while True:
            await asyncio.sleep(_OBSERVE_SECONDS)
            self._forget_departed()
            now = boot_seconds()
            if now > self._chosen_at + _IDLE_SECONDS:
                continue
            unreachable = [
                each
                for each in self.view.engines().values()
                if not self._is_steward_reachable(each.target, now)
                and not each.is_leaving
            ]
            if unreachable:
                self._logger.info(
                    'Stewards unreachable; requesting reports of workers.',
                    count=len(unreachable),
                    first=unreachable[0].target,
                    holder=self.holder(unreachable[0].target),
                )
            await asyncio.gather(*(self._observe(each) for each in unreachable))

    def _forget_departed(self) -> None:
        """Drop what is known of workers that are no targets any more."""
        for known in (self._digests, self._observed):
            for worker in known.keys() - self.view.targets.keys():
                known.pop(worker, None)

    def record_missing(self, worker: str, adapter: str) -> None:
        """Record that an adapter is not resident on a worker after all."""
        observed = self._observed.get(worker)
        if observed is not None:
            self._observed[worker] = replace(
                observed,
                ready=observed.ready - {adapter},
            )
        known = self._digests.get(worker)
        if known is None or adapter not in known.digest.ready:
            return
        left = tuple(each for each in known.digest.ready if each != adapter)
        known.digest = msgspec.structs.replace(known.digest, ready=left)
        known.view = None

    def holder(self, worker: str) -> str:
        """Return the instance that admits requests, empty for none."""
        target = self.view.targets.get(worker)
        if target is not None and not self.view.is_engine(target):
            return self.limits.holder(worker)
        record = self.view.ownership.get(worker)
        return '' if record is None else record.holder

    def unreachable_zones(self) -> frozenset[str]:
        """Return the other zones none of whose members is reachable."""
        return self.membership.status_exchange.unreachable_zones(boot_seconds())

    def granter(self, worker: str) -> str:
        """Return the process that now grants admissions to a worker."""
        holder = self.holder(worker)
        return (
            f'{holder}/{self.membership.status_exchange.incarnation_of(holder)}'
        )

    def is_ready(self, target: Target, adapter: str) -> bool:
        """Tell whether an adapter is probably resident on a worker."""
        return not adapter or adapter in self._ready(target, boot_seconds())

    def notify_waiters(self) -> None:
        """Wake requests that wait for a steward to start or be reachable."""
        self._steward_changed.set()
        self._steward_changed = asyncio.Event()

    def receive(self, reply: AdmissionReply) -> bool:
        """Process a reply; return false if its request is not pending.

        An earlier request for another worker may have had the same id.
        """
        pending = self._pending.get(reply.request_id)
        if pending is None or reply.worker != pending.worker:
            return False
        if reply.is_waiting:
            pending.is_waiting = True
        elif not pending.reply.done():
            pending.reply.set_result(reply)
        return True

    async def reserve(self, req: AdmissionRequest) -> AdmissionReply | None:
        """Request an admission; return None without a reply of the steward.

        A holder that has just released the worker, or claimed it, has none. It
        counts as a refusal where the next one is about to keep a limit.
        """
        holder = self.holder(req.worker)
        pending = _Pending(
            req.worker, asyncio.get_running_loop().create_future()
        )
        self._pending[req.request_id] = pending
        is_replied = False
        try:
            if not await self._send_request(holder, req):
                return None if holder else self._refuse_unheld(req)
            reply = await self._await_reply(holder, req, pending)
            is_replied = reply is not None
            if reply is None:
                return None
            if reply.is_unheld:
                return self._refuse_unheld(req)
            self._record_reply(holder, reply)
            return reply
        finally:
            self._pending.pop(req.request_id, None)
            if not is_replied:
                self.end(req.worker, req.request_id, GrantOutcome.unused)

    def _refuse_unheld(self, req: AdmissionRequest) -> AdmissionReply | None:
        """Return a refusal if the next holder of a limit is awaited."""
        target = self.view.targets.get(req.worker)
        if target is None or self.limits.may_act_unheld(target):
            return None
        return AdmissionReply(
            req.request_id, req.worker, elsewhere=True, reason='no steward'
        )

    async def take_turn(self, req: AdmissionRequest) -> AdmissionReply:
        """Request a turn within the limit of a plain target.

        Without a reply of the holder the own part of the limit counts.
        """
        asked_at = boot_seconds()
        reply = await self.reserve(req)
        if reply is None:
            return await self.take_own_turn(req, asked_at)
        return reply

    async def take_own_turn(
        self, req: AdmissionRequest, asked_at: float
    ) -> AdmissionReply:
        """Wait for a turn in the own part of a limit.

        The time since the holder was asked counts as waited.
        """
        spent = boot_seconds() - asked_at
        return await self.limits.reserve_own(
            msgspec.structs.replace(
                req,
                objective=req.objective - spent,
                max_wait=max(0, req.max_wait - spent),
                deadline=max(0, req.deadline - spent),
                reroute_wait=max(0, req.reroute_wait - spent),
            )
        )

    def end(
        self,
        worker: str,
        reservation_id: str,
        outcome: GrantOutcome,
        times: StreamTimes | None = None,
    ) -> None:
        """Report the end of a request to the holder of its worker.

        The one that granted it has to know as well.
        """
        message = AdmissionEnd(reservation_id, worker, outcome)
        if times is not None:
            message = AdmissionEnd(
                reservation_id,
                worker,
                outcome,
                round(times.first_event, 3),
                round(times.longest_pause, 3),
            )
        self.limits.end_own(message)
        holder = self.holder(worker)
        granter, _ = self._granted.pop(reservation_id, (holder, 0))
        for receiver in {holder, granter}:
            if receiver == self.membership.instance:
                self.stewards.end(message)
            elif self.membership.mesh is not None:
                self.membership.mesh.send(receiver, message)

    def _record_reply(self, holder: str, reply: AdmissionReply) -> None:
        self.limits.holder_replied(reply.worker)
        target = self.view.targets.get(reply.worker)
        is_brittle = target is not None and self.limits.is_brittle(target)
        if not reply.is_granted or not is_brittle:
            return
        now = boot_seconds()
        self._granted[reply.request_id] = (holder, now)
        while self._granted:
            oldest = next(iter(self._granted))
            if now <= self._granted[oldest][1] + _GRANTED_SECONDS:
                break
            self._granted.pop(oldest)

    async def _send_request(self, holder: str, req: AdmissionRequest) -> bool:
        known = self._digests.get(req.worker)
        if known is not None:
            known.sent += 1
            known.sent_lines[(req.workspace, req.priority)] += 1
        await self._wait_for_steward(holder, req)
        if holder == self.membership.instance:
            self.stewards.reserve(req, self._receive_local)
            return True
        mesh = self.membership.mesh
        if mesh is None or not self.membership.is_reachable(
            holder, boot_seconds()
        ):
            return False
        return mesh.send(holder, req)

    async def _wait_for_steward(
        self, holder: str, req: AdmissionRequest
    ) -> None:
        """Wait for a holder to become known just after the start.

        When all processes were killed, callers return before the first
        statuses are exchanged.
        """
        left = self._started + self.cfg.relay.start_window - boot_seconds()
        target = self.view.targets.get(req.worker)
        if left <= 0 or target is None or not self.view.is_engine(target):
            return
        if self.is_ready(target, req.adapter):
            return
        # The caller logs that the steward did not reply.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                min(left, req.max_wait, req.reroute_wait)
            ):
                while not self._is_steward_known(holder, req.worker):
                    await self._steward_changed.wait()

    def _is_steward_known(self, holder: str, worker: str) -> bool:
        if holder == self.membership.instance:
            return worker in self.stewards.stewards
        return self.membership.is_reachable(holder, boot_seconds())

    def _receive_local(self, reply: AdmissionReply) -> None:
        self.receive(reply)

    async def _await_reply(
        self,
        holder: str,
        req: AdmissionRequest,
        pending: _Pending,
    ) -> AdmissionReply | None:
        timeout = self.cfg.relay.steward_timeout
        done, _ = await asyncio.wait((pending.reply,), timeout=timeout)
        if not done and not pending.is_waiting:
            if self.membership.mesh is not None:
                self.membership.mesh.redial(holder)
            return None
        left = req.max_wait + _REPLY_GRACE - timeout
        while not done and left > 0:
            step = min(left, self.cfg.fleet.member_timeout / 2)
            done, _ = await asyncio.wait((pending.reply,), timeout=step)
            left -= step
            is_own = holder == self.membership.instance
            if is_own or self.membership.is_reachable(holder, boot_seconds()):
                continue
            if not done:
                return None
        return pending.reply.result() if done else None

    def _view_of(self, target: Target, now: float) -> WorkerView:
        known = self._digests.get(target.target)
        is_reachable = self._is_steward_reachable(target.target, now)
        if not is_reachable and self._has_observed(target, now):
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
                # A steward without a digest yet may still admit requests.
                can_order=is_reachable,
                is_reachable=is_reachable,
                has_model=target.model != '',
                ready=self._ready(target, now),
            )
        facts = (
            target,
            is_reachable,
            self._has_room(known, now),
            now <= known.at + _DIGEST_LIFETIME,
            known.sent,
        )
        # In a large fleet few digests change between two requests.
        if known.view is None or known.view_facts != facts:
            known.view = self._read_digest(known, target, now, facts)
            known.view_facts = facts
        return known.view

    def _read_digest(
        self, known: _LastDigest, target: Target, now: float, facts: _ViewFacts
    ) -> WorkerView:
        _, is_reachable, has_room, _, sent = facts
        digest = known.digest
        return WorkerView(
            worker=target.target,
            zone=target.zone,
            wait=digest.wait,
            load_wait=digest.load_wait,
            running=digest.running + digest.queued,
            sent=sent,
            slots=target.slots,
            can_order=digest.can_order and is_reachable,
            is_reachable=is_reachable,
            has_model=digest.has_model,
            ready=self._ready(target, now),
            hot=frozenset(digest.hot),
            room=read_room(digest, 0, known.at) if has_room else None,
            prefill_rate=digest.prefill_rate,
            token_us=digest.token_us,
            sent_lines=known.sent_lines,
        )

    def _has_room(self, known: _LastDigest, now: float) -> bool:
        """Return whether the digest tells the room of the engine.

        What an earlier steward has in its queue says nothing of the present.
        """
        return (
            known.digest.room is not None
            and now <= known.at + ROOM_LIFETIME
            and known.steward == self.holder(known.digest.worker)
        )

    def _is_steward_reachable(self, worker: str, now: float) -> bool:
        holder = self.holder(worker)
        is_own = holder == self.membership.instance
        return is_own or self.membership.is_reachable(holder, now)

    def _has_observed(self, target: Target, now: float) -> bool:
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
        self._observed[target.target] = _ObservedWorker(
            report.incarnation,
            frozenset(name for name, _ in report.adapters),
            bool(report.models),
            boot_seconds(),
        )

    def _ready(self, target: Target, now: float) -> frozenset[str]:
        if not self._is_steward_reachable(
            target.target, now
        ) and self._has_observed(target, now):
            return self._observed[target.target].ready
        known = self._digests.get(target.target)
        if known is None or now > known.at + _DIGEST_LIFETIME:
            return frozenset(name for name, _ in target.adapters)
        if known.digest.incarnation != target.incarnation:
            return frozenset()
        return frozenset(known.digest.ready)
