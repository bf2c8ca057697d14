"""Reservations of one worker: queue, grants, refusals, one answer each."""

from mintlanding.core.results import ResultCode
from mintlanding.fairness.models import QueuedRequest
from mintlanding.fairness.policies import QUEUES
from mintlanding.placement.messages import (
    AdapterRef,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
)
from mintlanding.placement.models import Reservation, StewardOptions, WorkerSpec
from mintlanding.placement.reservations import ReservationBook
from mintlanding.placement.throughput import DrainRate

_Code = ResultCode
# No caller is told to come back sooner than this many seconds.
_MIN_RETRY_AFTER = 0.1
# Bounds on numbers of other processes, so that no account can be broken.
_MIN_TOKENS = 1.0
_MIN_WEIGHT = 0.001
_MAX_NUMBER = 1e9


class Admission:
    """Queue reservations and answer each of them once.

    A request that cannot start within its wait is refused at once, with the
    time that the worker needs to work off what stands before it.
    """

    def __init__(self, spec: WorkerSpec, options: StewardOptions) -> None:
        """Start empty."""
        self.queue = QUEUES.get(options.queue)(options.queue_options)
        self.book = ReservationBook(
            options.reservation_life, options.answers_kept
        )
        self.drain_rate = DrainRate(spec.batch_limit)
        self._batch_limit = spec.batch_limit
        self._start_within = options.start_within
        self._ready_since: dict[AdapterRef, float] = {}
        self._entries: dict[str, str] = {}

    def knows(self, reservation_id: str) -> bool:
        """Tell whether a reservation waits, is granted or was answered."""
        return (
            self.queue.is_waiting(reservation_id)
            or self.book.get(reservation_id) is not None
            or self.book.answer(reservation_id) is not None
        )

    def repeat(
        self,
        req: ReserveRequest,
        is_resident: bool,
    ) -> list[ReserveReply]:
        """Return the answer given before, none while it waits.

        A grant is not repeated once its adapter is lost; its pin stays, for
        the first answer may be in use.
        """
        reservation = self.book.get(req.reservation_id)
        reply = self.book.answer(req.reservation_id)
        if reservation is not None and is_resident:
            reply = reservation.reply
        elif reservation is not None:
            reply = ReserveReply(
                req.reservation_id,
                code=_Code.no_target,
                detail='the adapter was lost',
                retry_after=_MIN_RETRY_AFTER,
            )
        return [] if reply is None else [reply]

    def enqueue(self, req: ReserveRequest, now: float) -> list[ReserveReply]:
        """Queue a new reservation or refuse it."""
        item = _waiting_item(req, now)
        ahead = self.queue.tokens_ahead(
            item.workspace,
            item.weight,
            item.priority,
        )
        delay = self.drain_rate.seconds_for(ahead)
        if ahead and delay > req.wait:
            code = _Code.deadline_unreachable
            return [self.refuse_new(req, code, now, delay - req.wait)]
        self._entries[req.reservation_id] = req.entry
        dropped = self.queue.push(item)
        if dropped is None:
            return []
        return [self.refuse(dropped, _Code.queue_full, now)]

    def refuse_new(
        self,
        req: ReserveRequest,
        code: ResultCode,
        now: float,
        retry_after: float = 0,
    ) -> ReserveReply:
        """Refuse a request that was never queued."""
        reply = ReserveReply(
            req.reservation_id,
            code=code,
            retry_after=max(retry_after, _MIN_RETRY_AFTER),
        )
        return self._answer(reply, now)

    def refuse(
        self,
        item: QueuedRequest,
        code: ResultCode,
        now: float,
        detail: str = '',
        retry_after: float = 0,
    ) -> ReserveReply:
        """Refuse an item that was taken from the queue."""
        ahead = self.queue.tokens_ahead(
            item.workspace,
            item.weight,
            item.priority,
        )
        delay = max(
            retry_after,
            self.drain_rate.seconds_for(ahead),
            _MIN_RETRY_AFTER,
        )
        reply = ReserveReply(
            item.reservation_id,
            code=code,
            detail=detail,
            retry_after=delay,
        )
        return self._answer(reply, now)

    def refuse_all(
        self,
        code: ResultCode,
        now: float,
        detail: str = '',
    ) -> list[ReserveReply]:
        """Refuse everything that waits."""
        items = self.queue.clear()
        return [self.refuse(item, code, now, detail) for item in items]

    def refuse_ref(
        self,
        ref: AdapterRef,
        code: ResultCode,
        now: float,
        retry_after: float = 0,
    ) -> list[ReserveReply]:
        """Refuse what waits for an adapter that does not load."""
        return [
            self.refuse(item, code, now, retry_after=retry_after)
            for item in self.queue.remove_ref(ref)
        ]

    def refuse_entry(self, entry: str, now: float) -> list[ReserveReply]:
        """Refuse what an entry waits for that is gone."""
        gone = [key for key, name in self._entries.items() if name == entry]
        items = [self.queue.remove(reservation_id) for reservation_id in gone]
        code = _Code.draining
        return [
            self.refuse(item, code, now) for item in items if item is not None
        ]

    def expire(self, now: float) -> list[ReserveReply]:
        """Refuse what has waited as long as it was ready to."""
        replies = []
        for item in self.queue.expire(now):
            is_ready = item.ref in self._ready_since
            detail = '' if is_ready else 'the adapter is not loaded yet'
            code = _Code.deadline_unreachable
            replies.append(self.refuse(item, code, now, detail))
        return replies

    def grant(self, fencing: int, now: float) -> list[ReserveReply]:
        """Grant what is ready until the batch is full."""
        replies: list[ReserveReply] = []
        while len(self.book) < self._batch_limit:
            rate = self.drain_rate.tokens_per_second
            item = self.queue.pop(now, rate)
            if item is None:
                break
            replies.append(self._grant(item, fencing, now))
        return replies

    def release(self, req: ReleaseRequest, now: float) -> Reservation | None:
        """End a granted reservation and settle its tokens."""
        reservation = self.book.release(req.reservation_id)
        if reservation is None:
            return None
        item = reservation.item
        if item is not None:
            used = _bounded(req.used, 0)
            self.queue.settle(item, used)
            self.drain_rate.note(used, now - reservation.granted)
        self._bar(req.reservation_id, now)
        return reservation

    def withdraw(self, req: ReleaseRequest, now: float) -> list[ReserveReply]:
        """End a reservation that waits or has not come yet."""
        item = self.queue.remove(req.reservation_id)
        if item is not None:
            code = _Code.deadline_unreachable
            return [self.refuse(item, code, now, 'withdrawn by its entry')]
        if self.book.answer(req.reservation_id) is None:
            self._bar(req.reservation_id, now)
        return []

    def set_ready(self, refs: set[AdapterRef], now: float) -> None:
        """Say which adapters requests can run on now."""
        for gone in self._ready_since.keys() - refs:
            self._ready_since.pop(gone)
            self.queue.set_ready(gone, is_ready=False)
        for ref in refs - self._ready_since.keys():
            self._ready_since[ref] = now
            self.queue.set_ready(ref, is_ready=True)

    def _grant(
        self, item: QueuedRequest, fencing: int, now: float
    ) -> ReserveReply:
        ready_since = self._ready_since[item.ref]
        reply = ReserveReply(
            item.reservation_id,
            start_within=self._start_within,
            fencing=fencing,
            stalled=max(0, ready_since - item.arrived),
        )
        entry = self._entries.pop(item.reservation_id, '')
        self.book.grant(
            Reservation(
                item.reservation_id,
                item.ref,
                now,
                entry,
                item,
                reply,
            ),
        )
        return reply

    def _answer(self, reply: ReserveReply, now: float) -> ReserveReply:
        self._entries.pop(reply.reservation_id, None)
        self.book.keep_answer(reply, now)
        return reply

    def _bar(self, reservation_id: str, now: float) -> None:
        """Refuse a late copy of a request that was released."""
        reply = ReserveReply(
            reservation_id,
            code=_Code.deadline_unreachable,
            detail='the reservation was released',
            retry_after=_MIN_RETRY_AFTER,
        )
        self.book.keep_answer(reply, now)


def _waiting_item(req: ReserveRequest, now: float) -> QueuedRequest:
    return QueuedRequest(
        reservation_id=req.reservation_id,
        workspace=req.workspace,
        ref=req.ref,
        tokens=_bounded(req.tokens, _MIN_TOKENS),
        weight=_bounded(req.weight, _MIN_WEIGHT),
        priority=req.priority,
        arrived=now,
        expires=now + _bounded(req.wait, 0),
    )


def _bounded(number: float, least: float) -> float:
    """Return the number in its bounds, the least one for what is none."""
    return min(max(least, number), _MAX_NUMBER)
