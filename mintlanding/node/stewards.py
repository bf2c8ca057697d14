"""Run the stewards of the workers that this instance holds.

A steward queues requests for a worker and loads or evicts its adapters.
"""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator, Sequence

import msgspec

from mintlanding.core.exceptions import (
    InvalidResponse,
    RequestNotSent,
    ResponseLost,
    ResponseTimeout,
)
from mintlanding.core.logs import Logger, describe_exception
from mintlanding.http1.client import ClientConnection, ConnectionPool
from mintlanding.http1.models import ResponseHead
from mintlanding.links.mesh import Reply
from mintlanding.links.messages import Message
from mintlanding.node.clock import boot_seconds
from mintlanding.node.codec import Codec
from mintlanding.node.limit_keeper import LimitKeeper
from mintlanding.node.membership import Membership
from mintlanding.node.settings import NodeSettings
from mintlanding.node.view import FleetView
from mintlanding.residency.engine_pace import EnginePace
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionReply,
    AdmissionRequest,
    WorkerDigest,
)
from mintlanding.residency.models import (
    Action,
    EngineCapacity,
    EngineReport,
    Order,
    OrderResult,
    RequestReport,
)
from mintlanding.residency.order_history import OrderHistory
from mintlanding.residency.steward import EngineSteward
from mintlanding.traffic.models import Target

# Seconds for the response to an order, which takes milliseconds. An order that
# is repeated needlessly is merely refused.
_ORDER_SECONDS = 0.06
# Seconds for an engine's report; only one is requested at a time.
_REPORT_SECONDS = 0.3
# Seconds between updates for changes that trigger no event.
_TICK_SECONDS = 0.1
# Seconds for which this instance avoids a worker that it could not reach.
_UNREACHABLE_SECONDS = 2.0

# Seconds that a starting process needs to register, renewals included.
_JOIN_SECONDS = 0.15

_OK = 200
_ENCODER = msgspec.msgpack.Encoder()

ReplyCallback = Callable[[AdmissionReply], None]


class Stewards:
    """The stewards of all held workers, with their timers and calls."""

    def __init__(
        self,
        cfg: NodeSettings,
        view: FleetView,
        membership: Membership,
        codec: Codec,
        limits: LimitKeeper,
        rnd: random.Random,
    ) -> None:
        """Start without stewards."""
        self.stewards: dict[str, EngineSteward] = {}
        self.order_history = OrderHistory()
        self.on_steward_start: Callable[[], None] = lambda: None
        # Called when the path to a worker may be cut.
        self.on_unreachable: Callable[[Target], None] = lambda target: None
        self._cfg = cfg
        self._view = view
        self._membership = membership
        self._codec = codec
        self._limits = limits
        self._rnd = rnd
        # An order that is given up must not arrive after the next holder's.
        self._pool = ConnectionPool(cfg.client, discards_unsent=True)
        self._reply_callbacks: dict[str, ReplyCallback] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._unreachable: dict[str, float] = {}
        self._orders_under_way: Counter[str] = Counter()
        # Pace of the engine of each service whose steward was started last.
        self._paces: dict[str, EnginePace] = {}
        self._started = boot_seconds()
        # Tasks that failed last time, with their worker.
        self._failing: set[tuple[str, str]] = set()
        self._logger = Logger('steward')

    def unreachable(self) -> frozenset[str]:
        """Return the workers to which a connection failed recently."""
        now = boot_seconds()
        return frozenset(
            worker
            for worker, at in self._unreachable.items()
            if now < at + _UNREACHABLE_SECONDS
        )

    def mark_unreachable(self, worker: str) -> None:
        """Record that a connection to a worker failed."""
        self._unreachable[worker] = boot_seconds()

    def mark_reachable(self, worker: str) -> None:
        """Record that a connection to a worker succeeded."""
        self._unreachable.pop(worker, None)

    def has_order_under_way(self, worker: str) -> bool:
        """Tell whether an order is being sent to a worker."""
        return self._orders_under_way[worker] > 0

    def digests(self) -> tuple[WorkerDigest, ...]:
        """Return the digests of all held workers that can be sent."""
        now = boot_seconds()
        found: list[WorkerDigest] = []

        def collect(worker: str, steward: EngineSteward) -> None:
            digest = steward.digest(now)
            # One that has no encoding would hold up the whole status.
            _ENCODER.encode(digest)
            found.append(digest)

        self._for_each('digest', collect)
        return tuple(found)

    async def run(self) -> None:
        """Update the stewards periodically until cancelled."""
        while True:
            self.update()
            await asyncio.sleep(_TICK_SECONDS)

    def update(self) -> None:
        """Adapt the stewards to ownership, targets and authority."""
        now = boot_seconds()
        engines = self._view.engines()
        held = self._membership.ownership.held_workers()
        for worker in dict.fromkeys((*self.stewards, *held)):
            target = engines.get(worker) if worker in held else None
            with self._isolate('adapt', worker):
                self._adapt(worker, target, now)

        def refresh(worker: str, steward: EngineSteward) -> None:
            self._refresh(worker, steward, engines[worker], now)

        self._for_each('refresh', refresh)

    def update_versions(self) -> None:
        """Pass the newest adapter versions to the stewards."""
        now = boot_seconds()

        def pass_versions(worker: str, steward: EngineSteward) -> None:
            for (_, adapter), newest in self._view.versions.items():
                if steward.adapter_slots.newest(adapter) < newest.version:
                    actions = steward.set_newest_version(
                        adapter, newest.version, now
                    )
                    self._execute(worker, actions)

        self._for_each('versions', pass_versions)

    def update_limits(self) -> None:
        """Pass the limits that engines named to the stewards."""
        now = boot_seconds()

        def pass_limit(worker: str, steward: EngineSteward) -> None:
            target = self._view.targets.get(worker)
            if target is not None and target.incarnation == steward.incarnation:
                self._set_limit(steward, target, now)

        self._for_each('limits', pass_limit)

    def record_adapter_use(
        self,
        instance: str,
        in_use: tuple[tuple[str, str], ...],
    ) -> None:
        """Record which adapters an instance uses without a grant."""
        now = boot_seconds()

        def record(worker: str, steward: EngineSteward) -> None:
            adapters = frozenset(
                adapter for name, adapter in in_use if name == worker
            )
            steward.record_adapter_use(instance, adapters, now)

        self._for_each('use', record)

    def receive(self, peer: str, message: Message, reply: Reply) -> bool:
        """Process an admission message; return false for any other."""
        if isinstance(message, AdmissionRequest):
            self.reserve(message, lambda admission: _send(reply, admission))
        elif isinstance(message, AdmissionEnd):
            self.end(message)
        else:
            return False
        return True

    def reserve(self, req: AdmissionRequest, on_reply: ReplyCallback) -> None:
        """Request an admission; `on_reply` may be called later and twice."""
        self._limits.merge(req.limits, boot_seconds())
        self._limits.merge_brittle(req.brittle, boot_seconds())
        self._limits.merge_cold(req.cold, boot_seconds())
        target = self._view.targets.get(req.worker)
        if target is not None and not self._view.is_engine(target):
            self._limits.reserve(req, on_reply)
            return
        steward = self.stewards.get(req.worker)
        if steward is None:
            on_reply(
                AdmissionReply(
                    req.request_id,
                    req.worker,
                    elsewhere=True,
                    reason='no steward',
                    is_unheld=True,
                ),
            )
            return
        if target is not None and self._limits.is_cold(target):
            # Its entry may have arrived since the last update.
            self._set_limit(steward, target, boot_seconds())
        self._reply_callbacks[req.request_id] = on_reply
        self._execute(req.worker, steward.reserve(req, boot_seconds()))

    def end(self, message: AdmissionEnd) -> None:
        """Report the end of a request to the steward of its worker."""
        self._reply_callbacks.pop(message.request_id, None)
        self._limits.end(message)
        steward = self.stewards.get(message.worker)
        if steward is not None:
            self._execute(message.worker, steward.end(message, boot_seconds()))

    def stop(self) -> None:
        """Cancel all tasks and timers and close connections."""
        for task in tuple(self._tasks):
            task.cancel()
        for timer in self._timers.values():
            timer.cancel()
        self._pool.close()

    def _for_each(
        self, task: str, work: Callable[[str, EngineSteward], None]
    ) -> None:
        """Call for each steward; one that raises costs only its worker."""
        for worker, steward in tuple(self.stewards.items()):
            with self._isolate(task, worker):
                work(worker, steward)

    @contextlib.contextmanager
    def _isolate(self, task: str, worker: str) -> Iterator[None]:
        """Log an error, once until the task has succeeded for the worker."""
        try:
            yield
        except Exception as exc:
            if (task, worker) not in self._failing:
                self._failing.add((task, worker))
                self._logger.error(
                    'Steward failed.',
                    worker=worker,
                    task=task,
                    **describe_exception(exc),
                )
        else:
            self._failing.discard((task, worker))

    def _adapt(self, worker: str, target: Target | None, now: float) -> None:
        """Start or stop the steward of a worker, if the target calls for it."""
        steward = self.stewards.get(worker)
        if steward is not None:
            if target and target.incarnation == steward.incarnation:
                return
            self._stop_steward(worker, now)
        if target is None:
            return
        try:
            self._start_steward(target, now)
        except Exception:
            # Tried again with the next update.
            self.stewards.pop(worker, None)
            raise

    def _start_steward(self, target: Target, now: float) -> None:
        service = self._view.service(target.service)
        if service is None or service.engine is None:
            return
        engine = service.engine
        models = {each.name: each for each in engine.models}
        model = target.model or next(iter(models), '')
        steward = EngineSteward(
            target.target,
            target.incarnation,
            EngineCapacity(
                model=model,
                load_time=models[model].load_time if model in models else 1,
                slots=engine.adapter_limit(model),
                batch_limit=engine.batch_limit,
                token_capacity=engine.token_capacity,
            ),
            self._cfg.steward,
            self._rnd,
            self._known_pace(target.service),
            self._cfg.capacity,
        )
        self.stewards[target.target] = steward
        self._paces[target.service] = steward.pace
        self._logger.info(
            'Steward started.',
            worker=target.target,
            incarnation=target.incarnation,
        )
        self._execute(target.target, steward.start(now))
        for (_, adapter), newest in self._view.versions.items():
            steward.adapter_slots.set_newest_version(
                adapter, newest.version, now
            )
        self.on_steward_start()

    def _known_pace(self, service: str) -> EnginePace | None:
        """Return the pace of the last engine of a service, if one is known."""
        pace = self._paces.get(service)
        return None if pace is None else pace.copy()

    def _stop_steward(self, worker: str, now: float) -> None:
        steward = self.stewards[worker]
        try:
            self._execute(worker, steward.drain(now))
        finally:
            self.stewards.pop(worker)
            timer = self._timers.pop(worker, None)
            if timer is not None:
                timer.cancel()
        self._logger.info('Steward stopped.', worker=worker)

    def _refresh(
        self,
        worker: str,
        steward: EngineSteward,
        target: Target,
        now: float,
    ) -> None:
        may_order = self._membership.ownership.may_order(worker, now)
        if may_order != steward.may_order:
            self._logger.info(
                'Orders allowed.' if may_order else 'Orders suspended.',
                worker=worker,
                until=round(
                    self._membership.ownership.authority.until() - now, 2
                ),
            )
        orders_from = self._membership.ownership.orders_from(worker, now)
        if now < self._started + self._cfg.relay.start_window:
            orders_from = min(orders_from, now + _JOIN_SECONDS)
        self._execute(
            worker, steward.set_authority(may_order, now, orders_from)
        )
        self._set_limit(steward, target, now)
        if target.is_leaving and not steward.is_leaving:
            self._execute(worker, steward.drain(now))
        is_evacuated = self._view.evacuated.is_evacuated(target.zone)
        if is_evacuated != steward.is_evacuated:
            self._execute(worker, steward.set_evacuated(is_evacuated, now))
        self._execute(worker, steward.tick(now))

    def _set_limit(
        self, steward: EngineSteward, target: Target, now: float
    ) -> None:
        limit = self._limits.holder_limit(target.key)
        if limit is not None or steward.pacer is not None:
            turns_from = self._limits.turns_from(target)
            self._execute(
                target.target, steward.set_limit(limit, now, turns_from)
            )
        share = self._limits.holder_share(target.key)
        if share is not None or steward.room is not None:
            starts_at = self._limits.steward_start(target)
            self._execute(
                target.target,
                steward.set_room_share(share, target.slots, now, starts_at),
            )

    def _execute(self, worker: str, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, AdmissionReply):
                self._deliver_reply(action)
            elif isinstance(action, RequestReport):
                self._spawn(self._request_report(worker))
            else:
                self._spawn(self._run_order(worker, action))
        self._set_timer(worker)

    def _deliver_reply(self, reply: AdmissionReply) -> None:
        if reply.is_waiting:
            on_reply = self._reply_callbacks.get(reply.request_id)
        else:
            # The final reply: a member that dies does not report the end.
            on_reply = self._reply_callbacks.pop(reply.request_id, None)
        if not (reply.is_waiting or reply.is_granted):
            self._log_refusal(reply)
        if on_reply is not None:
            on_reply(reply)

    def _log_refusal(self, reply: AdmissionReply) -> None:
        steward = self.stewards.get(reply.worker)
        if steward is None:
            return
        self._logger.info(
            'Admission refused.',
            request=reply.request_id,
            worker=reply.worker,
            reason=reply.reason,
            running=steward.running,
            queued=len(steward.queue),
            places=len(steward.adapter_slots.ready(boot_seconds())),
            may_order=steward.may_order,
            retry_after=round(reply.retry_after, 2),
        )

    def _set_timer(self, worker: str) -> None:
        timer = self._timers.pop(worker, None)
        if timer is not None:
            timer.cancel()
        steward = self.stewards.get(worker)
        if steward is None:
            return
        now = boot_seconds()
        at = steward.next_event(now)
        if at is not None:
            self._timers[worker] = asyncio.get_running_loop().call_later(
                max(0.001, at - now),
                self._on_timer,
                worker,
            )

    def _on_timer(self, worker: str) -> None:
        self._timers.pop(worker, None)
        steward = self.stewards.get(worker)
        if steward is not None:
            self._execute(worker, steward.tick(boot_seconds()))

    async def _run_order(self, worker: str, order: Order) -> None:
        steward = self.stewards.get(worker)
        target = self._view.targets.get(worker)
        if steward is None:
            return
        result = OrderResult.not_sent
        began = boot_seconds()
        if target is not None and target.incarnation == steward.incarnation:
            self._orders_under_way[worker] += 1
            # Unless it ends in order, it may have been sent.
            result = OrderResult.lost
            try:
                result = await self._send_order(target, order)
            except Exception as exc:
                self._logger.error(
                    'Sending an order failed.',
                    worker=worker,
                    **describe_exception(exc),
                )
            finally:
                self._record_order(worker, result)
                self._orders_under_way.subtract((worker,))
                self._orders_under_way += Counter()
        self._logger.info(
            'Order answered.',
            worker=worker,
            order=order.kind.value,
            adapter=order.adapter,
            version=order.version,
            expected=order.expected,
            result=result.value,
            fencing=self.order_history.token(worker),
            seconds=round(boot_seconds() - began, 3),
        )
        self._execute(worker, steward.order_done(order, result, boot_seconds()))

    def _record_order(self, worker: str, result: OrderResult) -> None:
        if result is not OrderResult.not_sent:
            self._membership.ownership.record_order(
                worker, is_answered=result is not OrderResult.lost
            )

    async def _send_order(self, target: Target, order: Order) -> OrderResult:
        try:
            conn = await self._pool.acquire(target.address)
        except RequestNotSent as exc:
            self.mark_unreachable(target.target)
            self.on_unreachable(target)
            self._log_failed_order(target.target, exc)
            return OrderResult.not_sent
        try:
            return await self._send_order_on(conn, target, order)
        finally:
            self._pool.release(conn)

    async def _send_order_on(
        self, conn: ClientConnection, target: Target, order: Order
    ) -> OrderResult:
        # Connecting may take a while, so both are checked last.
        if not (
            self._is_current(target)
            and self._membership.ownership.may_order(
                target.target, boot_seconds()
            )
        ):
            return OrderResult.not_sent
        token = self._membership.ownership.fencing_token(target.target)
        self._record_token(target.target, token)
        payload = self._codec.order_request(
            order,
            target.target,
            self._membership.instance,
            token,
            '{0}:{1}'.format(*target.address),
        )
        try:
            conn.send(payload)
            head = await conn.read_head(_ORDER_SECONDS)
            await conn.read_body(_ORDER_SECONDS)
        except RequestNotSent as exc:
            self._log_failed_order(target.target, exc)
            return OrderResult.not_sent
        except ResponseLost as exc:
            self._log_failed_order(target.target, exc)
            if not isinstance(exc, ResponseTimeout | InvalidResponse):
                self.on_unreachable(target)
            self.order_history.give_up(target.target, boot_seconds())
            return OrderResult.lost
        self.mark_reachable(target.target)
        self._record_response(target, head)
        return self._codec.order_result(head.status)

    def _is_current(self, target: Target) -> bool:
        """Tell whether a target has not started anew since it was read."""
        known = self._view.targets.get(target.target)
        return known is not None and known.incarnation == target.incarnation

    def _record_token(self, worker: str, token: int) -> None:
        before = self.order_history.token(worker)
        age = self.order_history.begin(worker, token, boot_seconds())
        if age is not None:
            self._logger.warning(
                'Earlier order may arrive under another token.',
                worker=worker,
                before=before,
                fencing=token,
                age=round(age, 3),
            )

    async def fetch_report(self, target: Target) -> EngineReport | None:
        """Return the report of an engine, None without a valid response."""
        payload = self._codec.report_request(
            target.target,
            '{0}:{1}'.format(*target.address),
        )
        try:
            conn = await self._pool.acquire(target.address)
        except RequestNotSent as exc:
            self.mark_unreachable(target.target)
            self.on_unreachable(target)
            self._log_missing_report(target.target, exc)
            return None
        try:
            conn.send(payload)
            head = await conn.read_head(_REPORT_SECONDS)
            body = await conn.read_body(_REPORT_SECONDS)
            report = self._view.records.decode_report(body)
        except (RequestNotSent, ResponseLost, ValueError) as exc:
            self._log_missing_report(target.target, exc)
            return None
        finally:
            self._pool.release(conn)
        self._record_response(target, head)
        return report if head.status == _OK else None

    def _record_response(self, target: Target, head: ResponseHead) -> None:
        """Record what the response to an order or report says of a target.

        One without a limit is no response to a caller's request, and does not
        end a limit that such a response has named.
        """
        response = self._codec.read_response(head, '')
        if response.is_leaving:
            self._view.mark_leaving(target.key)
        if response.limit is not None or response.brittle is not None:
            self._limits.record_response(target, response, boot_seconds())

    async def _request_report(self, worker: str) -> None:
        target = self._view.targets.get(worker)
        if target is None:
            return
        report = await self.fetch_report(target)
        steward = self.stewards.get(worker)
        if report is None or steward is None:
            return
        self._logger.info(
            'Engine report received.',
            worker=worker,
            orders_taken=report.orders_taken,
            adapters=len(report.adapters),
            coming=len(report.coming),
        )
        self._execute(worker, steward.report(report, boot_seconds()))

    def _log_failed_order(self, worker: str, exc: Exception) -> None:
        self._logger.info('Order failed.', worker=worker, reason=str(exc))

    def _log_missing_report(self, worker: str, exc: Exception) -> None:
        self._logger.info(
            'Engine report failed.',
            worker=worker,
            reason=str(exc),
        )

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._logger.error(
                'Steward task failed.',
                reason=repr(task.exception()),
            )


def _send(reply: Reply, admission: AdmissionReply) -> None:
    reply(admission)
