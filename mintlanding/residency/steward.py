"""The steward of one engine: who runs, what is loaded, what gives way."""

import itertools
import math
import random
from collections.abc import Sequence

from mintlanding.residency.adapter_slots import Shelf
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionReply,
    AdmissionRequest,
    GrantOutcome,
    WorkerDigest,
)
from mintlanding.residency.models import (
    Action,
    EngineCapacity,
    EngineReport,
    Granted,
    Order,
    OrderKind,
    OrderResult,
    OrderUnderWay,
    RequestReport,
    StewardCounters,
    StewardOptions,
    Waiting,
)
from mintlanding.residency.prefix_cache import PrefixMemory
from mintlanding.residency.queue import AdmissionQueue

# Share of a measured hold time in the running mean.
_SMOOTHING = 0.05
# Seconds that a request holds its place before any was measured.
_FIRST_HOLD = 0.4
# Seconds after its deadline at which a grant that nobody ended is dropped.
_GRANT_GRACE = 0.3
# No caller is told to come back sooner than this many seconds.
_MIN_RETRY_AFTER = 0.1
# Told times are spread by up to this share, so that callers come apart.
_RETRY_SPREAD = 0.3


class EngineSteward:
    """Decide for one worker; each event returns the actions to carry out.

    Orders go out one at a time. Without authority nothing is ordered, and
    requests run on what is there.
    """

    def __init__(
        self,
        worker: str,
        incarnation: int,
        room: EngineCapacity,
        options: StewardOptions,
        rnd: random.Random,
    ) -> None:
        """Start without authority and without knowledge of the engine."""
        self.worker = worker
        self.incarnation = incarnation
        self.counters = StewardCounters()
        self.is_known = False
        self.may_order = False
        self.orders_at = float('inf')
        self.is_leaving = False
        self.shelf = Shelf(room, options)
        self.queue = AdmissionQueue(options)
        self._options = options
        self._rnd = rnd
        self._room = room
        self._granted: dict[str, Granted] = {}
        self._tokens = 0
        self._prefixes = PrefixMemory(options.prefix_limit)
        self._read_until: float = 0
        self._hold = _FIRST_HOLD
        self._under_way: OrderUnderWay | None = None
        self._report_at: float | None = None
        self._unload_from = float('-inf')
        self._unknown_since = float('-inf')
        # When a place came free last, and a request was served last.
        self._freed_at = float('-inf')
        self._served_at = float('-inf')

    @property
    def running(self) -> int:
        """Count the requests on the engine."""
        return len(self._granted)

    def begin(self, now: float) -> Sequence[Action]:
        """Ask the engine what it holds."""
        self._report_at = now
        self._unknown_since = now
        self._unload_from = now + self._options.users_wait
        return self._proceed(now)

    def record_adapter_use(
        self,
        instance: str,
        adapters: frozenset[str],
        now: float,
    ) -> None:
        """Take an instance's word on the adapters that it uses here."""
        self.shelf.record_adapter_use(instance, adapters, now)

    def reserve(self, req: AdmissionRequest, now: float) -> Sequence[Action]:
        """Grant, queue or refuse a request."""
        if req.request_id in self._granted or req.request_id in self.queue:
            return []
        self._expire_grants(now)
        if req.adapter:
            self.shelf.note_request(req.adapter, now)
        reason = self._barrier(req, now)
        if reason:
            return [self._refusal(req, now, reason, elsewhere=True)]
        cost = self._reading_seconds(req)
        # Least slack first: what takes long to read has to start sooner.
        rank = now + req.objective - cost
        rank += req.priority * self._options.priority_step
        wait = self.expected_wait(req.adapter, rank, now)
        if self.queue.is_full or wait > min(req.max_wait, req.reroute_wait):
            return [self._refusal(req, now, 'overloaded', wait=wait)]
        item = Waiting(req, rank, now + req.max_wait, cost)
        self.queue.push(item)
        actions = self._proceed(now)
        if req.request_id in self.queue:
            item.is_told = True
            actions.append(
                AdmissionReply(req.request_id, self.worker, is_waiting=True)
            )
        return actions

    def end(self, message: AdmissionEnd, now: float) -> Sequence[Action]:
        """End a request, granted or waiting."""
        if self.queue.remove(message.request_id) is not None:
            return self._proceed(now)
        granted = self._granted.pop(message.request_id, None)
        if granted is None:
            return []
        req = granted.req
        self._tokens -= _size(req)
        self._freed_at = now
        self.shelf.unpin(req.adapter, now)
        if message.outcome is GrantOutcome.served:
            self._served_at = now
            held = now - granted.since
            self._hold += _SMOOTHING * (held - self._hold)
        if message.outcome is GrantOutcome.not_ready:
            self.counters.not_ready += 1
            self.shelf.delay(req.adapter, now + self._options.order_pause)
        if message.outcome is GrantOutcome.missing:
            self.counters.missing += 1
            self.shelf.delay(req.adapter, float('inf'))
            self._ask_report(now)
        return self._proceed(now)

    def order_done(
        self,
        order: Order,
        outcome: OrderResult,
        now: float,
    ) -> Sequence[Action]:
        """Take the answer to the order under way."""
        under_way = self._under_way
        if under_way is None or under_way.order is not order:
            return []
        if outcome in {OrderResult.lost, OrderResult.not_sent}:
            self.counters.lost_orders += 1
            under_way.is_lost |= outcome is OrderResult.lost
            under_way.failures += 1
            under_way.resend_at = now + self._options.order_pause
            return []
        if outcome is OrderResult.conflict and self._is_busy(under_way, now):
            return []
        self._under_way = None
        if outcome is OrderResult.accepted:
            self.shelf.taken(order, now)
            self._note_taken(order, now)
        elif outcome is OrderResult.holds:
            self.shelf.holds(order, now)
            self._note_taken(order, now)
        else:
            self._settle_conflict(order, now)
        return self._proceed(now)

    def report(self, report: EngineReport, now: float) -> Sequence[Action]:
        """Take a lagging report; an older incarnation's is ignored."""
        if report.incarnation != self.incarnation or self._under_way:
            return []
        if self.is_known and report.orders_taken < self.shelf.orders_taken:
            return []
        self.shelf.adopt(report, now)
        if not self.shelf.has_model and now < self.shelf.model_until + (
            self._options.report_pause
        ):
            return []
        if report.requests == 0 and not self._granted:
            self._unload_from = now
        self.is_known = True
        self._report_at = None
        return self._proceed(now)

    def set_newest_version(
        self,
        adapter: str,
        version: int,
        now: float,
    ) -> Sequence[Action]:
        """Take the newest version of an adapter."""
        self.shelf.set_newest_version(adapter, version, now)
        return self._proceed(now)

    def set_authority(
        self,
        may_order: bool,
        now: float,
        orders_at: float = math.inf,
    ) -> Sequence[Action]:
        """Begin or cease to give orders; the engine is asked anew.

        `orders_at` is when a steward without authority expects it.
        """
        self.orders_at = now if may_order else orders_at
        if may_order == self.may_order:
            return []
        self.may_order = may_order
        if may_order:
            self._report_at = now
        return self._proceed(now)

    def drain(self, now: float) -> Sequence[Action]:
        """Take no more requests for a worker that leaves."""
        self.is_leaving = True
        return [
            self._refusal(item.req, now, 'leaving', elsewhere=True)
            for item in self.queue
            if self.queue.remove(item.req.request_id)
        ]

    def tick(self, now: float) -> Sequence[Action]:
        """Act on what time brings: ended loads, patience, repeats."""
        self._expire_grants(now)
        return self._proceed(now)

    def next_event(self, now: float) -> float | None:
        """Return when `tick` has something to do."""
        times = [self.shelf.next_ready(now), self.queue.next_expiry()]
        if self.queue and self._read_until > now:
            times.append(self._read_until - self._options.backlog_limit)
        if self._under_way is not None:
            times.append(self._under_way.resend_at)
        times.append(self._report_at)
        return min((each for each in times if each is not None), default=None)

    def digest(self, now: float) -> WorkerDigest:
        """Summarise the worker for the other instances."""
        return WorkerDigest(
            worker=self.worker,
            incarnation=self.incarnation,
            can_order=math.isfinite(self._orders_wait(now)),
            running=self.running,
            queued=len(self.queue),
            wait=round(self.expected_wait('', float('inf'), now), 3),
            load_wait=round(self._load_wait(now), 3),
            has_model=self.shelf.has_model or self._is_asked(now),
            ready=self.shelf.ready(now),
            hot=self.shelf.hot(self._hold / self._hot_places(), now),
        )

    def expected_wait(self, adapter: str, rank: float, now: float) -> float:
        """Return the seconds until a request of a rank probably starts."""
        ahead, cost = self.queue.cost_ahead(rank)
        backlog = max(0, self._read_until - now) + cost
        reading = max(0, backlog - self._options.backlog_limit)
        excess = self.running + ahead + 1 - self._room.batch_limit
        batch = max(0, excess) * self._place_gap(now)
        load: float = 0
        if adapter and not self.shelf.is_ready(adapter, now):
            load = self.shelf.load_seconds(adapter)
            if self.shelf.get(adapter) is None:
                load += self._load_wait(now)
        return max(reading, batch, load)

    def _orders_wait(self, now: float) -> float:
        """Return the seconds until orders go out, inf if that is unknown."""
        authority = 0 if self.may_order else max(0, self.orders_at - now)
        if self.is_known:
            return authority
        if not self._is_asked(now):
            return float('inf')
        return max(authority, self._options.report_pause)

    def _is_asked(self, now: float) -> bool:
        """Tell whether the engine will probably soon say what it holds."""
        until = self._unknown_since + self._options.report_patience
        return not self.is_known and now < until

    def _load_wait(self, now: float) -> float:
        """Return the seconds until a further adapter's load can begin."""
        wait = self._orders_wait(now)
        if math.isinf(wait):
            wait = 0
        return self._place_wait(now) + wait

    def _place_wait(self, now: float) -> float:
        """Return the seconds until a further adapter probably gets a place.

        Places come free as runs end; loads pass a few at a time.
        """
        wanted = self.queue.adapters()
        missing = sum(self.shelf.get(adapter) is None for adapter in wanted)
        passing = missing + self.shelf.in_transit(now)
        limit = self._options.transit_limit
        transit = max(0, passing + 1 - limit) * self._options.load_time / limit
        lacking = missing + 1 - self.shelf.spare(wanted, now)
        places = max(1, self._room.places)
        return max(transit, max(0, lacking) * self._hold / places)

    def _place_gap(self, now: float) -> float:
        """Return the seconds in which one place of the batch comes free.

        Load it answers: an engine that hangs or has slowed down, whose batch
        is full and stays so.
        """
        if self._is_hung(now):
            return now - self._freed_at
        return self._hold / self._room.batch_limit

    def _is_hung(self, now: float) -> bool:
        """Tell whether a full batch freed no place while one usually ends."""
        is_full = self.running >= self._room.batch_limit
        return is_full and now - self._freed_at > self._hold

    def _is_stalled(self, now: float) -> bool:
        """Tell whether several requests run for long and none was served."""
        before = now - self._options.stall_time
        if self._served_at > before:
            return False
        oldest = itertools.islice(
            self._granted.values(),
            self._options.stall_requests,
        )
        old = sum(each.since < before for each in oldest)
        return old >= self._options.stall_requests

    def _hopeless(self, now: float) -> list[Waiting]:
        """Return the waiting that will not start within their patience.

        Only where the engine is at fault: under mere load each place that is
        waited for elsewhere costs a load, and the wait is as long.
        """
        is_hung = self._is_hung(now)
        is_silent = self._is_silent()
        if not (is_hung or is_silent):
            return []
        gap = self._place_gap(now)
        found: list[Waiting] = []
        for ahead, item in enumerate(self.queue):
            wait = (ahead + 1 - len(found)) * gap
            adapter = item.req.adapter
            needs_order = adapter and not self.shelf.is_coming(adapter)
            if is_hung and now + wait > item.expires:
                found.append(item)
            elif is_silent and needs_order:
                found.append(item)
        return found

    def _is_silent(self) -> bool:
        """Tell whether the engine has left several orders unanswered."""
        under_way = self._under_way
        if under_way is None:
            return False
        return under_way.failures >= self._options.silent_orders

    def _hot_places(self) -> float:
        return max(1, self._options.hot_share * self._room.batch_limit)

    def _barrier(self, req: AdmissionRequest, now: float) -> str:
        if self.is_leaving:
            return 'leaving'
        if _size(req) > self._room.token_capacity:
            return 'too large'
        if not (self.shelf.has_model or self._is_asked(now)):
            return 'no model'
        if self._is_stalled(now):
            return 'stalled'
        if not req.adapter or self.shelf.get(req.adapter) is not None:
            return ''
        if self._is_silent():
            return 'orders are unanswered'
        if self._orders_wait(now) > min(req.max_wait, req.reroute_wait):
            return 'no orders'
        return ''

    def _proceed(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for item in self.queue.expired(now):
            self.queue.remove(item.req.request_id)
            reason = f'no place in time, {self._blocker(item.req, now)}'
            actions.append(self._refusal(item.req, now, reason))
        actions.extend(self._grant_all(now))
        for item in self._hopeless(now):
            self.queue.remove(item.req.request_id)
            reason = f'not in time, {self._blocker(item.req, now)}'
            actions.append(self._refusal(item.req, now, reason, elsewhere=True))
        actions.extend(self._order(now))
        return actions

    def _grant_all(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if not self.shelf.has_model:
            return actions
        for item in self.queue:
            if self._is_full(now):
                break
            req = item.req
            if req.adapter and not self.shelf.is_ready(req.adapter, now):
                continue
            if self._tokens + _size(req) > self._token_limit():
                continue
            actions.append(self._grant(item, now))
        return actions

    def _is_full(self, now: float) -> bool:
        if self.running >= self._room.batch_limit:
            return True
        return self._read_until - now > self._options.backlog_limit

    def _blocker(self, req: AdmissionRequest, now: float) -> str:
        """Return what a request waits for, as its refusal tells."""
        if not self.shelf.has_model:
            return 'the model is missing'
        if self.running >= self._room.batch_limit:
            return 'the batch is full'
        if self._read_until - now > self._options.backlog_limit:
            return 'prompts are behind'
        if req.adapter and not self.shelf.is_ready(req.adapter, now):
            return self._load_blocker(req.adapter)
        return 'memory is full'

    def _load_blocker(self, adapter: str) -> str:
        held = self.shelf.get(adapter)
        if held is not None and held.stale_since is not None:
            return 'its new version waits'
        if held is not None:
            return 'its adapter loads'
        if not (self.may_order and self.is_known):
            return 'no orders go out'
        if self._under_way is not None:
            return 'an order is unanswered'
        return 'no adapter gives way'

    def _token_limit(self) -> float:
        if not self._granted:
            return self._room.token_capacity
        return self._room.token_capacity * self._options.token_share

    def _grant(self, item: Waiting, now: float) -> AdmissionReply:
        req = item.req
        self.queue.remove(req.request_id)
        expires = now + req.deadline + _GRANT_GRACE
        self._granted[req.request_id] = Granted(req, now, expires)
        self._tokens += _size(req)
        if self.running == self._room.batch_limit:
            self._freed_at = now
        cost = self._reading_seconds(req)
        self._prefixes.note(req.adapter, req.parts)
        self._read_until = max(self._read_until, now) + cost
        self.counters.grants += 1
        version = 0
        held = self.shelf.get(req.adapter)
        if held is not None:
            version = held.version
            self.shelf.pin(req.adapter, now)
        return AdmissionReply(
            req.request_id,
            self.worker,
            is_granted=True,
            version=version,
        )

    def _order(self, now: float) -> list[Action]:
        if self._report_at is not None and now >= self._report_at:
            self._report_at = now + self._options.report_pause
            return [RequestReport()]
        if not self.may_order:
            return []
        if self._under_way is not None:
            return self._repeat(self._under_way, now)
        if not self.is_known or self._report_at is not None:
            return []
        order = self._next_order(now)
        if order is None:
            return []
        self.shelf.begin(order, now)
        self._under_way = OrderUnderWay(order)
        return [order]

    def _repeat(self, under_way: OrderUnderWay, now: float) -> list[Action]:
        resend_at = under_way.resend_at
        if resend_at is None or now < resend_at:
            return []
        under_way.resend_at = None
        return [under_way.order]

    def _next_order(self, now: float) -> Order | None:
        if not self.shelf.has_model:
            return self._make(OrderKind.load, '')
        if self.shelf.in_transit(now) >= self._options.transit_limit:
            return None
        stale = self.shelf.replaceable(now)
        if stale:
            return self._make(OrderKind.load, stale[0].adapter)
        wanted = self.queue.adapters()
        missing = [
            adapter for adapter in wanted if self.shelf.get(adapter) is None
        ]
        if not missing:
            return None
        if self.shelf.has_room():
            return self._make(OrderKind.load, missing[0])
        victim = self.shelf.victim(wanted, now)
        if victim is None or now < self._unload_from:
            return None
        return self._make(OrderKind.unload, victim.adapter)

    def _make(self, kind: OrderKind, adapter: str) -> Order:
        return Order(
            kind,
            self._room.model,
            adapter,
            self.shelf.orders_taken,
            self.shelf.newest(adapter) if kind is OrderKind.load else 0,
        )

    def _is_busy(self, under_way: OrderUnderWay, now: float) -> bool:
        """Repeat a refused order, since another may be carried out still."""
        self.counters.conflicts += 1
        under_way.conflicts += 1
        if under_way.is_lost or under_way.conflicts > self._options.busy_tries:
            return False
        under_way.resend_at = now + self._options.order_pause
        return True

    def _note_taken(self, order: Order, now: float) -> None:
        if not order.adapter:
            self.is_known = False
            self._unknown_since = float('-inf')
            self._report_at = self.shelf.model_until
            return
        if order.kind is OrderKind.load:
            self.counters.loads += 1
        else:
            self.counters.unloads += 1
            self._prefixes.forget(order.adapter)

    def _settle_conflict(self, order: Order, now: float) -> None:
        """Ask what holds; a load stays counted until a report tells."""
        if order.adapter and order.kind is OrderKind.load:
            self.shelf.delay(order.adapter, float('inf'))
        self.is_known = False
        self._unknown_since = now
        self._ask_report(now)

    def _ask_report(self, now: float) -> None:
        if self._report_at is None:
            self._report_at = now + self._options.report_pause

    def _expire_grants(self, now: float) -> None:
        over = [
            key for key, each in self._granted.items() if each.expires <= now
        ]
        for key in over:
            req = self._granted.pop(key).req
            self._freed_at = now
            self._tokens -= _size(req)
            self.shelf.unpin(req.adapter, now)

    def _reading_seconds(self, req: AdmissionRequest) -> float:
        unread = self._prefixes.unread(
            req.adapter,
            req.parts,
            req.prompt_tokens,
        )
        return unread / self._options.prompt_rate

    def _refusal(
        self,
        req: AdmissionRequest,
        now: float,
        reason: str,
        wait: float = 0,
        elsewhere: bool = False,
    ) -> AdmissionReply:
        self.counters.refusals += 1
        expected = wait or self.expected_wait(req.adapter, float('inf'), now)
        spread = 1 + _RETRY_SPREAD * self._rnd.random()
        return AdmissionReply(
            req.request_id,
            self.worker,
            retry_after=max(_MIN_RETRY_AFTER, expected) * spread,
            elsewhere=elsewhere,
            reason=reason,
        )


def _size(req: AdmissionRequest) -> int:
    return req.prompt_tokens + req.output_tokens
