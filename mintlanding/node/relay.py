"""The way of a request: judge, admit, send, answer; one final answer each."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from mintlanding.core.exceptions import RequestNotSent, ResponseLost
from mintlanding.http1.client import ClientConnection, ConnectionPool
from mintlanding.http1.models import Headers, ResponseHead
from mintlanding.http1.server import CallerRequest
from mintlanding.node.admissions import Admissions, Place
from mintlanding.node.clock import boot_seconds
from mintlanding.node.codec import Codec
from mintlanding.node.events import EventBuffer
from mintlanding.node.request_log import RequestLog
from mintlanding.node.settings import NodeSettings
from mintlanding.node.targets import TargetBook
from mintlanding.node.view import FleetView
from mintlanding.residency.messages import AdmissionRequest, GrantOutcome
from mintlanding.residency.worker_choice import choose_worker
from mintlanding.traffic.header_fields import (
    CallerFields,
    HopFields,
    TargetAnswer,
)
from mintlanding.traffic.models import (
    Demand,
    Route,
    RouteKind,
    Service,
    Target,
    Workspace,
)
from mintlanding.traffic.quotas import FleetQuotas
from mintlanding.traffic.retries import FleetRetryBudget
from mintlanding.traffic.routes import choose_service

# Sends of one request, those that targets refused included.
_MAX_SENDS = 4
# Seconds before a request that a loading worker refused is sent again.
_NOT_READY_PAUSE = 0.04
# Seconds that a request waits for the first configuration; reading the store
# takes a fraction of that.
_CONFIG_PATIENCE = 0.15
_CONFIG_POLL_SECONDS = 0.01
# A request is not sent on with less than this many seconds left.
_LEAST_TIME = 0.05


class Ended(StrEnum):
    """How one try at a target ended.

    `not_run`: the target says that it did not run the request. `lost`: it
    may have run. `failed`: it ran and failed, and is tried elsewhere.
    `broken`: a part of the answer had gone to the caller.
    """

    done = 'done'
    not_sent = 'not_sent'
    not_run = 'not_run'
    missing = 'missing'
    failed = 'failed'
    lost = 'lost'
    late = 'late'
    broken = 'broken'


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """A target's own failure, passed on unless a further try succeeds."""

    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class Plan:
    """What was decided about a request before it is sent anywhere.

    `until` is the monotonic time by which the final answer leaves.
    """

    req: CallerRequest
    fields: CallerFields
    route: Route
    workspace: Workspace | None
    service: Service
    until: float
    demand: Demand
    charge: float = 0
    sends: int = 0
    runs: int = 0
    tried: set[str] = field(default_factory=set)
    events: EventBuffer | None = None
    last_event: str = ''
    target: str = ''
    waited: float = 0
    is_sent: bool = False
    retry_after: float = 0
    reason: str = ''
    failure: FailedAnswer | None = None

    @property
    def priority(self) -> int:
        """Return the rank, which a workspace may set for all its requests."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer without a send."""

    status: int
    reason: str
    retry_after: float = 0


class Relay:
    """Serve callers' requests."""

    def __init__(
        self,
        cfg: NodeSettings,
        view: FleetView,
        admissions: Admissions,
        codec: Codec,
        rnd: random.Random,
    ) -> None:
        """Share the view and the stewards' words."""
        self.quotas = FleetQuotas()
        self.budget = FleetRetryBudget(cfg.retries)
        self.book = TargetBook(rnd)
        self.log = RequestLog()
        self.is_isolated = False
        self._in_use: Counter[tuple[str, str, str]] = Counter()
        self._cfg = cfg
        self._view = view
        self._admissions = admissions
        self._codec = codec
        self._rnd = rnd
        self._pool = ConnectionPool(cfg.client)

    @property
    def opened(self) -> int:
        """Count the connections opened to targets."""
        return self._pool.opened

    def in_use(self) -> tuple[tuple[str, str, str], ...]:
        """Return holder, worker and adapter of requests it may not know.

        Those are the requests that run without a grant, or by a grant of an
        earlier process or holder.
        """
        found = []
        for worker, adapter, granter in self._in_use:
            holder = self._admissions.holder(worker)
            if holder and granter != self._admissions.granter(worker):
                found.append((holder, worker, adapter))
        return tuple(found)

    async def handle(self, req: CallerRequest) -> None:
        """Serve one request to its final answer."""
        fields = self._codec.read_caller(req.headers)
        if self._view.config is None:
            await self._await_config()
        plan = self._judge(req, fields)
        if isinstance(plan, Refusal):
            self._refuse(req, fields, plan)
            return
        self.budget.note_request(plan.service.name, req.arrived)
        if plan.route.kind is RouteKind.stream and plan.route.is_resumable:
            plan.events = EventBuffer()
        try:
            if plan.service.engine is None:
                ended = await self._serve_plain(plan)
            else:
                ended = await self._serve_engine(plan)
        except asyncio.CancelledError:
            self.log.ended(plan, 'gone', self._now())
            raise
        self._conclude(plan, ended)

    def prune(self) -> None:
        """Close idle connections; forget targets that are gone."""
        self._pool.prune()
        self.book.keep(set(self._view.targets))

    def stop(self) -> None:
        """Close idle connections."""
        self._pool.close()

    # Before anything is sent.

    async def _await_config(self) -> None:
        """Wait for the store's first answer, for callers of a restart."""
        until = self._now() + _CONFIG_PATIENCE
        while self._view.config is None and self._now() < until:
            await asyncio.sleep(_CONFIG_POLL_SECONDS)

    def _judge(
        self, req: CallerRequest, fields: CallerFields
    ) -> Plan | Refusal:
        view = self._view
        if view.config is None:
            return Refusal(503, 'no configuration', self._pause())
        path = req.target.partition(b'?')[0].decode('latin-1')
        if not fields.request_id or not path.startswith('/'):
            return Refusal(400, 'no request id or path')
        route = view.route(fields.host, path)
        if route is None:
            return self._unknown('no route', 404)
        workspace = None
        if not route.is_public and view.config.workspaces:
            workspace = view.workspace(fields.key)
            if workspace is None:
                return self._unknown('no such key', 401)
        service = view.service(choose_service(route, self._rnd))
        if service is None:
            return Refusal(503, 'no service', self._pause())
        wanted = route.timeout
        if fields.deadline is not None:
            wanted = min(wanted, fields.deadline)
        until = req.arrived + wanted - self._cfg.relay.answer_margin
        plan = Plan(
            req,
            fields,
            route,
            workspace,
            service,
            until,
            fields.demand or Demand(),
        )
        return self._charge(plan)

    def _unknown(self, reason: str, status: int) -> Refusal:
        """Refuse for good only by a configuration that is surely in force."""
        age = boot_seconds() - self._view.fresh_at
        if age > self._cfg.bounds.contact + self._cfg.bounds.apply:
            return Refusal(503, f'{reason}, old configuration', self._pause())
        return Refusal(status, reason)

    def _charge(self, plan: Plan) -> Plan | Refusal:
        workspace = plan.workspace
        if workspace is None:
            return plan
        amount = 1.0
        if workspace.counts_tokens:
            amount = float(plan.demand.total or workspace.plain_tokens)
        wait = self.quotas.admit(workspace, amount, boot_seconds())
        if wait > 0:
            return Refusal(429, f'over the cap of {workspace.name}', wait)
        plan.charge = amount
        return plan

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
        headers = self._codec.own_answer(fields.request_id, refusal.retry_after)
        req.respond(refusal.status, headers, b'')

    def _conclude(self, plan: Plan, ended: Ended) -> None:
        now = self._now()
        req = plan.req
        if ended is Ended.done:
            self.log.ended(plan, 'served', now)
            return
        if plan.workspace is not None and not plan.is_sent:
            self.quotas.refund(plan.workspace.name, plan.charge)
        self.log.ended(plan, ended.value, now)
        if req.is_streaming or ended is Ended.broken:
            req.abort()
            return
        if plan.failure is not None:
            failure = plan.failure
            req.respond(failure.status, failure.headers, failure.body)
            return
        status = 503
        if plan.is_sent:
            status = 504 if ended is Ended.late else 502
        retry_after = plan.retry_after or self._pause()
        headers = self._codec.own_answer(
            plan.fields.request_id,
            retry_after if status == 503 else 0,
        )
        req.respond(status, headers, b'')

    # Plain services.

    async def _serve_plain(self, plan: Plan) -> Ended:
        ended = Ended.not_sent
        while plan.sends < _MAX_SENDS and self._left(plan) > _LEAST_TIME:
            target = self.book.choose(
                self._within_reach(self._view.targets_of(plan.service.name)),
                plan.tried,
                self._cfg.facts.zone,
                self._now(),
                may_fail=plan.route.is_idempotent,
            )
            if target is None:
                plan.reason = plan.reason or 'no target'
                return ended
            ended = await self._try(plan, target, 0)
            if not self._may_go_on(plan, ended, target):
                return ended
        return ended

    def _may_go_on(self, plan: Plan, ended: Ended, target: Target) -> bool:
        """Tell whether a request may be sent to another target."""
        if ended in {Ended.done, Ended.broken, Ended.late}:
            return False
        plan.tried.add(target.target)
        self.log.tried(plan, ended.value, self._left(plan))
        if ended in {Ended.not_sent, Ended.failed}:
            return True
        if ended is Ended.lost:
            is_over = plan.runs >= plan.route.attempts
            if is_over or not plan.route.is_idempotent:
                return False
        if not self.budget.take(plan.service.name, self._now()):
            plan.reason = 'no retry budget'
            return False
        return True

    # Engines.

    async def _serve_engine(self, plan: Plan) -> Ended:
        ended = Ended.not_sent
        while plan.sends < _MAX_SENDS and self._left(plan) > _LEAST_TIME:
            place = await self._admit(plan)
            if place is None:
                return ended
            target = self._view.targets.get(place.worker)
            if target is None:
                self._admissions.end(
                    place.worker,
                    place.reservation,
                    GrantOutcome.unused,
                )
                continue
            ended = await self._try_place(plan, place, target)
            if ended is Ended.missing:
                adapter = plan.fields.adapter.adapter
                self._admissions.note_missing(place.worker, adapter)
                self.log.tried(plan, ended.value, self._left(plan))
            if ended in {Ended.not_run, Ended.missing}:
                if not self.budget.take(plan.service.name, self._now()):
                    plan.reason = 'no retry budget'
                    return ended
                await asyncio.sleep(_NOT_READY_PAUSE)
                continue
            if not self._may_go_on(plan, ended, target):
                return ended
        return ended

    async def _try_place(
        self,
        plan: Plan,
        place: Place,
        target: Target,
    ) -> Ended:
        outcome = GrantOutcome.failed
        using = (
            place.worker,
            plan.fields.adapter.adapter,
            self._admissions.granter(place.worker) if place.is_granted else '',
        )
        self._in_use[using] += 1
        try:
            ended = await self._try(plan, target, self._version(plan))
            outcome = _outcome(ended, plan)
            return ended
        finally:
            self._in_use[using] -= 1
            if not self._in_use[using]:
                self._in_use.pop(using)
            if place.is_granted:
                self._admissions.end(
                    place.worker,
                    place.reservation,
                    outcome,
                )

    async def _admit(self, plan: Plan) -> Place | None:
        now = self._now()
        barred = plan.tried | self._admissions.stewards.unreachable()
        workers = [
            each
            for each in self._view.targets_of(plan.service.name)
            if each.target not in barred
        ]
        may_fail = plan.route.is_idempotent
        sound = [
            each
            for each in workers
            if self.book.admits(each.target, now, may_fail=may_fail)
        ]
        near = self._within_reach(sound or workers)
        named = {each.target: each for each in near}
        views = self._admissions.views(list(named.values()))
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
        plan.reason = 'no target'
        for number, worker in enumerate(order):
            reservation = f'{plan.fields.request_id}.{plan.sends}.{number}'
            is_last = number + 1 == len(order)
            place = await self._ask(
                plan,
                named[worker],
                reservation,
                is_last=is_last,
            )
            if place is not None:
                plan.waited += self._now() - now
                return place
        plan.waited += self._now() - now
        return None

    def _within_reach(self, workers: list[Target]) -> list[Target]:
        """Leave out zones that are cut off, if others have targets.

        That is where nobody is heard of and a connection failed lately. Load
        it answers: each connection there costs a caller the whole time to
        connect.
        """
        silent = self._admissions.silent_zones()
        if not silent:
            return workers
        targets = self._view.targets
        failed = self._admissions.stewards.unreachable()
        cut = silent & {
            targets[name].zone for name in failed if name in targets
        }
        return [each for each in workers if each.zone not in cut] or workers

    async def _ask(
        self,
        plan: Plan,
        target: Target,
        reservation: str,
        *,
        is_last: bool,
    ) -> Place | None:
        options = self._cfg.relay
        spent = self._now() - plan.req.arrived
        objective = plan.route.objective
        max_wait = min(
            objective * options.max_wait_share - spent,
            self._left(plan) - _LEAST_TIME,
        )
        if plan.sends:
            max_wait = max(max_wait, self._left(plan) / 3)
        if max_wait <= 0:
            return None
        reroute_wait = max_wait
        if not is_last:
            reroute_wait *= options.reroute_wait_share
        adapter = plan.fields.adapter
        reply = await self._admissions.reserve(
            AdmissionRequest(
                request_id=reservation,
                worker=target.target,
                model=adapter.model,
                adapter=adapter.adapter,
                workspace=plan.workspace.name if plan.workspace else '',
                prompt_tokens=plan.demand.prompt_tokens,
                output_tokens=plan.demand.output_tokens,
                priority=plan.priority,
                objective=objective - spent,
                max_wait=max_wait,
                deadline=self._left(plan),
                reroute_wait=reroute_wait,
                parts=plan.fields.parts,
            ),
        )
        if reply is None:
            plan.reason = f'no word from the steward of {target.target}'
            if self._admissions.is_ready(target, adapter.adapter):
                return Place(target.target, reservation, is_granted=False)
            return None
        if reply.is_granted:
            return Place(target.target, reservation, reply.version)
        plan.reason = f'{target.target}: {reply.reason}'
        if not reply.elsewhere:
            plan.retry_after = max(plan.retry_after, reply.retry_after)
        return None

    def _version(self, plan: Plan) -> int:
        """Return the version that must run, once it had time to come."""
        adapter = plan.fields.adapter
        named = self._view.version(adapter.model, adapter.adapter)
        if named is None:
            return 0
        is_due = boot_seconds() > named.seen + self._cfg.bounds.version / 2
        return named.version if is_due else 0

    # One try.

    async def _try(self, plan: Plan, target: Target, version: int) -> Ended:
        plan.target = target.target
        plan.sends += 1
        now = self._now()
        is_reusable = plan.route.is_idempotent
        try:
            conn = await self._pool.acquire(
                target.address,
                is_fresh=not is_reusable,
                seconds=min(self._cfg.client.connect_timeout, self._left(plan)),
            )
        except RequestNotSent as exc:
            plan.reason = f'no connection to {target.target}: {exc}'
            self.book.failed(target.target, now)
            self._admissions.stewards.note_unreachable(target.target)
            return Ended.not_sent
        number = self.book.begin(target.target, now)
        try:
            return await self._exchange(plan, target, version, conn, number)
        finally:
            self._pool.release(conn)
            self.book.end(target.target, number)

    async def _exchange(
        self,
        plan: Plan,
        target: Target,
        version: int,
        conn: ClientConnection,
        number: int,
    ) -> Ended:
        req = plan.req
        left = self._left(plan)
        head = self._codec.hop_head(
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
            return Ended.not_sent
        plan.is_sent = True
        plan.runs += 1
        if plan.route.kind is RouteKind.unsafe:
            req.outlives_caller = True
        try:
            answer_head = await conn.read_head(self._try_seconds(plan))
            self.book.heard(target.target, number, self._now())
            answer = self._codec.read_answer(
                answer_head,
                plan.fields.request_id,
            )
            return await self._take(plan, target, conn, answer_head, answer)
        except ResponseLost as exc:
            plan.reason = f'{target.target}: {exc}'
            self.book.failed(target.target, self._now())
            is_late = self._left(plan) <= 0
            return Ended.late if is_late else Ended.lost

    def _try_seconds(self, plan: Plan) -> float:
        """Return how long a try may wait for its answer to begin."""
        left = max(0.001, self._left(plan))
        may_repeat = plan.route.is_idempotent and (
            plan.runs < plan.route.attempts
        )
        if not may_repeat:
            return left
        patience = plan.route.objective * self._cfg.relay.first_event_factor
        return min(left, patience)

    async def _take(
        self,
        plan: Plan,
        target: Target,
        conn: ClientConnection,
        head: ResponseHead,
        answer: TargetAnswer,
    ) -> Ended:
        now = self._now()
        if not answer.is_ours:
            raise ResponseLost('the answer belongs to another request')
        self.book.answered(target.target, answer, now)
        if answer.is_not_run:
            plan.runs -= 1
            plan.is_sent = plan.runs > 0
            plan.reason = f'{target.target}: not run, {answer.status}'
            await self._read_all(conn, plan)
            is_other = answer.target not in {'', target.target}
            if is_other:
                return Ended.not_sent
            return Ended.missing if answer.is_misdirected else Ended.not_run
        is_stream = plan.route.kind is RouteKind.stream and answer.is_success
        if is_stream and answer.is_stamped:
            return await self._pass_stream(plan, conn, head)
        body = await self._read_all(conn, plan)
        is_repeatable = plan.route.is_idempotent and not answer.is_success
        if is_repeatable and plan.runs < plan.route.attempts:
            if self.budget.take(plan.service.name, now):
                plan.reason = f'{target.target}: status {answer.status}'
                plan.tried.add(target.target)
                plan.failure = FailedAnswer(
                    head.status,
                    self._codec.answer_headers(head),
                    body,
                )
                return Ended.failed
        if answer.is_success and not answer.is_stamped:
            raise ResponseLost('the answer bears no signature')
        plan.req.respond(head.status, self._codec.answer_headers(head), body)
        return Ended.done

    async def _read_all(self, conn: ClientConnection, plan: Plan) -> bytes:
        parts: list[bytes] = []
        while piece := await conn.read_piece(max(0.001, self._left(plan))):
            parts.append(piece)
        return b''.join(parts)

    async def _pass_stream(
        self,
        plan: Plan,
        conn: ClientConnection,
        head: ResponseHead,
    ) -> Ended:
        req = plan.req
        if not req.is_streaming:
            req.begin(head.status, self._codec.answer_headers(head))
        events = plan.events
        try:
            while piece := await conn.read_piece(self._event_seconds(plan)):
                whole = piece if events is None else events.take(piece)
                if whole:
                    req.write(whole)
                    await req.conn.drain()
                if events is not None:
                    plan.last_event = events.last_id
        except ResponseLost as exc:
            plan.reason = f'{plan.target}: stream broke off: {exc}'
            self.book.failed(plan.target, self._now())
            if events is None or self._left(plan) <= 0:
                return Ended.broken
            events.drop_rest()
            return Ended.lost
        if events is not None and events.has_rest:
            events.drop_rest()
            return Ended.lost
        req.end()
        return Ended.done

    def _event_seconds(self, plan: Plan) -> float:
        left = max(0.001, self._left(plan))
        if plan.events is None or plan.runs >= plan.route.attempts:
            return left
        longest = self._cfg.relay.first_event_factor * plan.route.objective
        return min(left, longest)

    def _left(self, plan: Plan) -> float:
        return plan.until - self._now()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _pause(self) -> float:
        """Return when to come back; another instance may serve at once."""
        options = self._cfg.relay
        pause = (
            options.isolated_retry_after
            if self.is_isolated
            else (options.retry_after)
        )
        return pause * self._rnd.uniform(0.6, 1.4)


def _outcome(ended: Ended, plan: Plan) -> GrantOutcome:
    if ended is Ended.done:
        return GrantOutcome.served
    if ended is Ended.missing:
        return GrantOutcome.missing
    if ended is Ended.not_run:
        has_adapter = bool(plan.fields.adapter.adapter)
        return GrantOutcome.not_ready if has_adapter else GrantOutcome.full
    return GrantOutcome.failed
