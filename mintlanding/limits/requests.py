"""Reservations of one instance: charged here, or drawn from the holder.

A request is charged when its tokens are reserved. Unused tokens are refunded
when it is settled. A request that was refused here while its grant was in
flight is settled with 0 tokens, repeatedly until the holder acknowledges it.
"""

from collections import Counter
from dataclasses import dataclass, field, replace
from math import inf

import msgspec

from mintlanding.core.results import Done, Failed, ResultCode
from mintlanding.limits.holders import HolderView
from mintlanding.limits.messages import (
    Draw,
    Grant,
    GrantDelivered,
    Refuse,
    Reservation,
    ReserveOutcome,
    Settle,
    Settled,
)
from mintlanding.limits.options import LimitsOptions
from mintlanding.limits.outbox import Outbox
from mintlanding.limits.pools import Pool
from mintlanding.limits.settlements import Settlements

_MAX_HOPS = 2
_TOMBSTONE_SECONDS = 60.0
_RETRY_INTERVAL_SECONDS = 0.001


@dataclass(slots=True)
class _Pending:
    """A draw that waits for the holder's reply, a refill or seats."""

    draw: Draw
    deadline: float
    holder: str = ''
    ready_at: float = inf


@dataclass(slots=True)
class _Granted:
    """The instance at which a request is charged, and since when."""

    holder: str
    at: float


@dataclass(slots=True)
class Requests:
    """Requests of this instance and draws of other instances."""

    options: LimitsOptions
    view: HolderView
    outbox: Outbox
    pools: dict[str, Pool]
    settlements: Settlements
    answers: list[ReserveOutcome] = field(default_factory=list)
    _pending: dict[str, _Pending] = field(default_factory=dict)
    _delayed: dict[str, _Pending] = field(default_factory=dict)
    _granted: dict[str, _Granted] = field(default_factory=dict)
    _forwarded: dict[str, _Granted] = field(default_factory=dict)
    _settled_draws: dict[str, float] = field(default_factory=dict)
    _pending_counts: Counter[str] = field(default_factory=Counter)

    def reserve(self, draw: Draw, now: float) -> None:
        """Charge a request here or at the holder of its workspace."""
        known = (self._pending, self._delayed, self._granted)
        if any(draw.request_id in each for each in known):
            return
        pool = self.pools.get(draw.workspace)
        if pool is None:
            self._fail(draw, ResultCode.limits_unavailable)
            return
        if not draw.tokens >= 0:  # noqa: WPS508 also refuses NaN
            self._fail(draw, ResultCode.missing_field)
            return
        if draw.tokens > pool.limit.burst:
            self._fail(draw, ResultCode.larger_than_burst)
            return
        holder = self.view.holder(draw.workspace)
        if holder in {self.view.instance, ''}:
            self._charge_or_delay(draw, pool, now)
            return
        due = now + self.options.flush if self._pending_counts[holder] else now
        self._pending_counts[holder] += 1
        deadline = now + self.options.request_timeout
        self._pending[draw.request_id] = _Pending(draw, deadline, holder)
        self.outbox.put(holder, draw, due)

    def handle_draw(self, draw: Draw, now: float) -> None:
        """Charge the draw of another instance, or forward it to the holder."""
        if draw.request_id in self._settled_draws:
            return
        pool = self.pools.get(draw.workspace)
        if pool is None or not draw.tokens >= 0:  # noqa: WPS508
            self._reject(draw, None, now)
            return
        if pool.bucket.has_charge(draw.request_id):
            return
        holder = self.view.holder(draw.workspace)
        is_here = holder in {self.view.instance, '', draw.origin}
        if is_here or draw.hops >= _MAX_HOPS:
            self._charge_or_delay(draw, pool, now)
            return
        self._forwarded[draw.request_id] = _Granted(holder, now)
        forwarded = msgspec.structs.replace(draw, hops=draw.hops + 1)
        self.outbox.put(holder, forwarded, now)

    def handle_grant(self, message: Grant, sender: str, now: float) -> None:
        """Complete a request; settle a grant that arrived too late with 0."""
        pending = self._pending.get(message.request_id)
        if pending is None or pending.deadline <= now:
            if message.request_id in self._granted:
                granted = self._granted[message.request_id]
                if granted.holder == sender:
                    return
            settle = Settle(message.request_id, message.workspace, 0)
            self.settlements.send(settle, sender, now)
            return
        self._drop_pending(message.request_id)
        if message.wants_ack:
            delivered = GrantDelivered(message.request_id, message.workspace)
            self.outbox.put(sender, delivered, now)
        self._succeed(pending.draw, sender, now)

    def handle_refusal(self, message: Refuse) -> None:
        """Fail a request for which the holder has not enough tokens."""
        pending = self._drop_pending(message.request_id)
        if pending is not None:
            code = ResultCode(message.code)
            self._fail(pending.draw, code, message.retry_after)

    def handle_delivery(self, message: GrantDelivered, now: float) -> None:
        """Record that a grant has been delivered."""
        pool = self.pools.get(message.workspace)
        if pool is not None:
            pool.expire(now)
            pool.bucket.confirm_delivery(message.request_id, now)

    def settle(self, message: Settle, now: float) -> None:
        """Refund the unused tokens of a request of this instance."""
        granted = self._granted.pop(message.request_id, None)
        if granted is None:
            return
        if granted.holder == self.view.instance:
            self._settle_here(message, now)
            return
        self.settlements.send(message, granted.holder, now)

    def handle_settle(self, message: Settle, sender: str, now: float) -> None:
        """Refund the unused tokens of a request of another instance."""
        due = now + self.options.lazy
        self.outbox.put(sender, Settled(message.request_id), due)
        self._delayed.pop(message.request_id, None)
        forwarded = self._forwarded.pop(message.request_id, None)
        if forwarded is not None:
            self.settlements.send(message, forwarded.holder, now)
        self._settled_draws[message.request_id] = now
        self._settle_here(message, now)

    def tick(self, now: float) -> None:
        """Retry delayed draws, fail those past their deadline, settle."""
        self._retry_delayed(now)
        for pending in tuple(self._pending.values()):
            if pending.deadline > now:
                break
            self._time_out(pending, now)
        self.settlements.tick(now)

    def prune(self, now: float) -> None:
        """Drop records that are too old to be needed."""
        before = now - self.options.settle_within
        for pool in self.pools.values():
            pool.bucket.forget_charges(before)
        _drop_old(self._granted, before)
        _drop_old(self._forwarded, now - _TOMBSTONE_SECONDS)
        while self._settled_draws:
            name, settled_at = next(iter(self._settled_draws.items()))
            if settled_at > now - _TOMBSTONE_SECONDS:
                return
            self._settled_draws.pop(name)

    def next_wake(self) -> float:
        """Return when `tick` has to be called next."""
        first = next(iter(self._pending.values()), None)
        moments = [first.deadline] if first else []
        moments += [
            min(each.deadline, each.ready_at) for each in self._delayed.values()
        ]
        moments.append(self.settlements.next_wake())
        return min(moments, default=inf)

    def _charge_or_delay(self, draw: Draw, pool: Pool, now: float) -> None:
        """Charge now, wait for a refill that is due soon, or refuse."""
        self._retry_delayed(now)
        ahead = sum(
            each.draw.tokens
            for each in self._delayed.values()
            if each.draw.workspace == draw.workspace
        )
        if not ahead and self._charge(draw, pool, now):
            return
        pool.expire(now)
        wait = pool.bucket.time_until(draw.tokens + ahead, now)
        ready_at = inf
        if wait is not None and wait <= self.options.linger:
            ready_at = now + wait
        elif not self._is_rebalancing(pool, now):
            self._reject(draw, pool, now, ahead)
            return
        deadline = now + self.options.patience
        delayed = _Pending(draw, deadline, ready_at=ready_at)
        self._delayed[draw.request_id] = delayed

    def _is_rebalancing(self, pool: Pool, now: float) -> bool:
        is_fresh = now < self.view.rebalanced_at + self.options.renew
        return is_fresh and len(pool.usable()) < pool.seat_count

    def _charge(self, draw: Draw, pool: Pool, now: float) -> bool:
        pool.expire(now)
        is_local = draw.origin == self.view.instance
        until = None if is_local else now + self.options.delivery_time
        name = draw.request_id
        if not pool.bucket.take(name, draw.tokens, now, until):
            return False
        if is_local:
            self._succeed(draw, self.view.instance, now)
        else:
            wants_ack = pool.bucket.is_full_within(self.options.delivery_time)
            grant = Grant(name, draw.workspace, wants_ack)
            self.outbox.put(draw.origin, grant, now)
        return True

    def _retry_delayed(self, now: float) -> None:
        blocked: set[str] = set()
        for name, delayed in tuple(self._delayed.items()):
            workspace = delayed.draw.workspace
            pool = self.pools.get(workspace)
            is_over = pool is None or delayed.deadline <= now
            if pool is not None and workspace not in blocked:
                if self._charge(delayed.draw, pool, now):
                    self._delayed.pop(name)
                    continue
            if is_over:
                self._delayed.pop(name)
                self._reject(delayed.draw, pool, now)
                continue
            blocked.add(workspace)
            delayed.ready_at = max(
                delayed.ready_at, now + _RETRY_INTERVAL_SECONDS
            )

    def _time_out(self, pending: _Pending, now: float) -> None:
        draw = pending.draw
        self._drop_pending(draw.request_id)
        settle = Settle(draw.request_id, draw.workspace, 0)
        self.settlements.send(settle, pending.holder, now)
        pool = self.pools.get(draw.workspace)
        if pool is not None and self._charge(draw, pool, now):
            return
        wait = self.options.renew
        self._fail(draw, ResultCode.limits_unavailable, wait)

    def _settle_here(self, message: Settle, now: float) -> None:
        pool = self.pools.get(message.workspace)
        if pool is not None:
            pool.expire(now)
            pool.bucket.settle(message.request_id, message.used, now)

    def _reject(
        self,
        draw: Draw,
        pool: Pool | None,
        now: float,
        ahead: float = 0,
    ) -> None:
        code = ResultCode.limits_unavailable
        wait = self.options.renew
        if pool is not None and pool.usable():
            code = ResultCode.rate_exceeded
            pool.expire(now)
            refill = pool.bucket.time_until(draw.tokens + ahead, now)
            wait = self.options.term if refill is None else refill
        if draw.origin == self.view.instance:
            self._fail(draw, code, wait)
            return
        refusal = Refuse(draw.request_id, int(code), wait)
        self.outbox.put(draw.origin, refusal, now)

    def _succeed(self, draw: Draw, holder: str, now: float) -> None:
        self._granted[draw.request_id] = _Granted(holder, now)
        done = Done(Reservation(draw.request_id, draw.workspace, draw.tokens))
        self.answers.append(ReserveOutcome(draw.request_id, done))

    def _fail(
        self,
        draw: Draw,
        code: ResultCode,
        retry_after: float | None = None,
    ) -> None:
        failed = replace(Failed.of(code), retry_after=retry_after)
        self.answers.append(ReserveOutcome(draw.request_id, failed))

    def _drop_pending(self, request_id: str) -> _Pending | None:
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            self._pending_counts[pending.holder] -= 1
        return pending


def _drop_old(table: dict[str, _Granted], before: float) -> None:
    while table:
        name, granted = next(iter(table.items()))
        if granted.at >= before:
            return
        table.pop(name)
