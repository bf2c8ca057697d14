"""Run the stewards of the workers that this instance holds."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence

from mintlanding.core.exceptions import RequestNotSent, ResponseLost
from mintlanding.core.logs import Logger
from mintlanding.http1.client import ConnectionPool
from mintlanding.links.mesh import Reply
from mintlanding.links.messages import Message
from mintlanding.node.clock import boot_seconds
from mintlanding.node.codec import Codec
from mintlanding.node.membership import Membership
from mintlanding.node.settings import NodeSettings
from mintlanding.node.view import FleetView
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
from mintlanding.residency.steward import EngineSteward
from mintlanding.traffic.models import Target

# Seconds for the answer to an order, which takes milliseconds; one that is
# repeated for nothing costs a refusal.
_ORDER_SECONDS = 0.06
# Seconds for the answer to a question, which is never asked twice at a time.
_REPORT_SECONDS = 0.3
# Seconds between looks at what nothing else wakes a steward for.
_TICK_SECONDS = 0.1
# Seconds for which a worker that could not be reached is left to others.
_UNREACHABLE_SECONDS = 2.0

# Seconds that a process which starts takes to register, renewals included.
_JOIN_SECONDS = 0.15

_OK = 200

Answer = Callable[[AdmissionReply], None]


class Stewards:
    """A steward each held worker, its orders and its answers."""

    def __init__(
        self,
        cfg: NodeSettings,
        view: FleetView,
        membership: Membership,
        codec: Codec,
        rnd: random.Random,
    ) -> None:
        """Hold nothing yet."""
        self.stewards: dict[str, EngineSteward] = {}
        self.on_begin: Callable[[], None] = lambda: None
        self._cfg = cfg
        self._view = view
        self._membership = membership
        self._codec = codec
        self._rnd = rnd
        self._pool = ConnectionPool(cfg.client)
        self._answers: dict[str, Answer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._unreachable: dict[str, float] = {}
        self._started = boot_seconds()
        self._logger = Logger('steward')

    def unreachable(self) -> frozenset[str]:
        """Return the workers that could not be reached lately."""
        now = boot_seconds()
        return frozenset(
            worker
            for worker, at in self._unreachable.items()
            if now < at + _UNREACHABLE_SECONDS
        )

    def note_unreachable(self, worker: str) -> None:
        """Note that a worker could not be connected to."""
        self._unreachable[worker] = boot_seconds()

    def note_reached(self, worker: str) -> None:
        """Note that a worker could be connected to."""
        self._unreachable.pop(worker, None)

    def digests(self) -> tuple[WorkerDigest, ...]:
        """Summarise all held workers."""
        now = boot_seconds()
        return tuple(each.digest(now) for each in self.stewards.values())

    async def run(self) -> None:
        """Look after authority, targets and versions."""
        while True:
            self.update()
            await asyncio.sleep(_TICK_SECONDS)

    def update(self) -> None:
        """Match the stewards to holds, targets and authority."""
        now = boot_seconds()
        engines = self._view.engines()
        held = self._membership.holds.held()
        for worker in tuple(self.stewards):
            target = engines.get(worker)
            steward = self.stewards[worker]
            if target is None or worker not in held:
                self._retire(worker, now)
            elif target.incarnation != steward.incarnation:
                self._retire(worker, now)
                self._begin(target, now)
        for worker in held:
            target = engines.get(worker)
            if target is not None and worker not in self.stewards:
                self._begin(target, now)
        for worker, steward in self.stewards.items():
            self._refresh(worker, steward, engines[worker], now)

    def update_versions(self) -> None:
        """Tell the stewards the newest versions."""
        now = boot_seconds()
        for worker, steward in tuple(self.stewards.items()):
            for (_, adapter), named in self._view.versions.items():
                if steward.shelf.newest(adapter) < named.version:
                    actions = steward.set_newest_version(
                        adapter, named.version, now
                    )
                    self._act(worker, actions)

    def record_adapter_use(
        self,
        instance: str,
        in_use: tuple[tuple[str, str], ...],
    ) -> None:
        """Tell the stewards which adapters an instance uses."""
        now = boot_seconds()
        for worker, steward in self.stewards.items():
            adapters = frozenset(
                adapter for name, adapter in in_use if name == worker
            )
            steward.record_adapter_use(instance, adapters, now)

    def receive(self, peer: str, message: Message, reply: Reply) -> bool:
        """Take a message about admission; false if it is none."""
        if isinstance(message, AdmissionRequest):
            self.reserve(message, lambda answer: _send(reply, answer))
        elif isinstance(message, AdmissionEnd):
            self.end(message)
        else:
            return False
        return True

    def reserve(self, req: AdmissionRequest, answer: Answer) -> None:
        """Ask the steward of a worker; the answer may come later."""
        steward = self.stewards.get(req.worker)
        if steward is None:
            answer(
                AdmissionReply(
                    req.request_id,
                    req.worker,
                    elsewhere=True,
                    reason='no steward',
                ),
            )
            return
        self._answers[req.request_id] = answer
        self._act(req.worker, steward.reserve(req, boot_seconds()))

    def end(self, message: AdmissionEnd) -> None:
        """Tell the steward of a worker that a request has ended."""
        self._answers.pop(message.request_id, None)
        steward = self.stewards.get(message.worker)
        if steward is not None:
            self._act(message.worker, steward.end(message, boot_seconds()))

    def stop(self) -> None:
        """End everything."""
        for task in tuple(self._tasks):
            task.cancel()
        for timer in self._timers.values():
            timer.cancel()
        self._pool.close()

    def _begin(self, target: Target, now: float) -> None:
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
                places=engine.adapter_places(model),
                batch_limit=engine.batch_limit,
                token_capacity=engine.token_capacity,
            ),
            self._cfg.steward,
            self._rnd,
        )
        self.stewards[target.target] = steward
        self._logger.info(
            'A steward begins.',
            worker=target.target,
            incarnation=target.incarnation,
        )
        self._act(target.target, steward.begin(now))
        for (_, adapter), named in self._view.versions.items():
            steward.shelf.set_newest_version(adapter, named.version, now)
        self.on_begin()

    def _retire(self, worker: str, now: float) -> None:
        steward = self.stewards[worker]
        self._act(worker, steward.drain(now))
        self.stewards.pop(worker)
        timer = self._timers.pop(worker, None)
        if timer is not None:
            timer.cancel()
        self._logger.info('A steward ends.', worker=worker)

    def _refresh(
        self,
        worker: str,
        steward: EngineSteward,
        target: Target,
        now: float,
    ) -> None:
        may_order = self._membership.holds.may_order(worker, now)
        if may_order != steward.may_order:
            self._logger.info(
                'Orders may go out.' if may_order else 'No orders go out.',
                worker=worker,
                until=round(self._membership.holds.authority.until() - now, 2),
            )
        orders_at = self._membership.holds.orders_at(worker, now)
        if now < self._started + self._cfg.relay.start_patience:
            orders_at = min(orders_at, now + _JOIN_SECONDS)
        self._act(worker, steward.set_authority(may_order, now, orders_at))
        if target.is_leaving and not steward.is_leaving:
            self._act(worker, steward.drain(now))
        self._act(worker, steward.tick(now))

    def _act(self, worker: str, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, AdmissionReply):
                self._answer(action)
            elif isinstance(action, RequestReport):
                self._spawn(self._ask_report(worker))
            else:
                self._spawn(self._order(worker, action))
        self._arm(worker)

    def _answer(self, reply: AdmissionReply) -> None:
        if reply.is_waiting or reply.is_granted:
            answer = self._answers.get(reply.request_id)
        else:
            answer = self._answers.pop(reply.request_id, None)
            self._log_refusal(reply)
        if answer is not None:
            answer(reply)

    def _log_refusal(self, reply: AdmissionReply) -> None:
        steward = self.stewards.get(reply.worker)
        if steward is None:
            return
        self._logger.info(
            'A place was refused.',
            request=reply.request_id,
            worker=reply.worker,
            reason=reply.reason,
            running=steward.running,
            queued=len(steward.queue),
            places=len(steward.shelf.ready(boot_seconds())),
            may_order=steward.may_order,
            retry_after=round(reply.retry_after, 2),
        )

    def _arm(self, worker: str) -> None:
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
                self._wake,
                worker,
            )

    def _wake(self, worker: str) -> None:
        self._timers.pop(worker, None)
        steward = self.stewards.get(worker)
        if steward is not None:
            self._act(worker, steward.tick(boot_seconds()))

    async def _order(self, worker: str, order: Order) -> None:
        steward = self.stewards.get(worker)
        target = self._view.targets.get(worker)
        if steward is None:
            return
        result = OrderResult.not_sent
        if target is not None and target.incarnation == steward.incarnation:
            result = await self._send_order(target, order)
        self._logger.info(
            'An order was answered.',
            worker=worker,
            order=order.kind.value,
            adapter=order.adapter,
            version=order.version,
            expected=order.expected,
            result=result.value,
        )
        self._act(worker, steward.order_done(order, result, boot_seconds()))

    async def _send_order(self, target: Target, order: Order) -> OrderResult:
        try:
            conn = await self._pool.acquire(target.address)
        except RequestNotSent as exc:
            self.note_unreachable(target.target)
            self._note_unsent(target.target, exc)
            return OrderResult.not_sent
        # The connection may have taken a while: authority is asked last.
        if not self._membership.holds.may_order(target.target, boot_seconds()):
            self._pool.release(conn)
            return OrderResult.not_sent
        payload = self._codec.order_request(
            order,
            target.target,
            self._membership.instance,
            self._membership.holds.fencing(target.target),
            '{0}:{1}'.format(*target.address),
        )
        try:
            conn.send(payload)
            head = await conn.read_head(_ORDER_SECONDS)
            await conn.read_body(_ORDER_SECONDS)
        except RequestNotSent as exc:
            self._note_unsent(target.target, exc)
            return OrderResult.not_sent
        except ResponseLost as exc:
            self._note_unsent(target.target, exc)
            return OrderResult.lost
        finally:
            self._pool.release(conn)
        self.note_reached(target.target)
        return self._codec.order_result(head.status)

    async def fetch_report(self, target: Target) -> EngineReport | None:
        """Ask an engine what it holds; None when it does not tell."""
        payload = self._codec.report_request(
            target.target,
            '{0}:{1}'.format(*target.address),
        )
        try:
            conn = await self._pool.acquire(target.address)
        except RequestNotSent as exc:
            self.note_unreachable(target.target)
            self._note_silence(target.target, exc)
            return None
        try:
            conn.send(payload)
            head = await conn.read_head(_REPORT_SECONDS)
            body = await conn.read_body(_REPORT_SECONDS)
            report = self._view.records.decode_report(body)
        except (RequestNotSent, ResponseLost, ValueError) as exc:
            self._note_silence(target.target, exc)
            return None
        finally:
            self._pool.release(conn)
        return report if head.status == _OK else None

    async def _ask_report(self, worker: str) -> None:
        target = self._view.targets.get(worker)
        if target is None:
            return
        report = await self.fetch_report(target)
        steward = self.stewards.get(worker)
        if report is None or steward is None:
            return
        self._logger.info(
            'An engine reported.',
            worker=worker,
            orders_taken=report.orders_taken,
            adapters=len(report.adapters),
            coming=len(report.coming),
        )
        self._act(worker, steward.report(report, boot_seconds()))

    def _note_unsent(self, worker: str, exc: Exception) -> None:
        self._logger.info('An order failed.', worker=worker, reason=str(exc))

    def _note_silence(self, worker: str, exc: Exception) -> None:
        self._logger.info('No report.', worker=worker, reason=str(exc))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._logger.error(
                'A call of a steward failed.',
                reason=repr(task.exception()),
            )


def _send(reply: Reply, answer: AdmissionReply) -> None:
    reply(answer)
