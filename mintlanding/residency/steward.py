"""The steward of one engine: admission, loads and unloads."""

import itertools
import math
import random
from collections.abc import Sequence

from mintlanding.capacity.fair_order import FairOrder
from mintlanding.capacity.options import CapacityOptions
from mintlanding.residency.adapter_slots import AdapterSlots
from mintlanding.residency.engine_pace import EnginePace
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionReply,
    AdmissionRequest,
    DigestRoom,
    GrantOutcome,
    WorkerDigest,
)
from mintlanding.residency.models import (
    Action,
    EngineCapacity,
    EngineReport,
    GrantedRequest,
    Order,
    OrderKind,
    OrderResult,
    PendingOrder,
    QueuedRequest,
    RequestReport,
    StewardCounters,
    StewardOptions,
)
from mintlanding.residency.pauses import PauseBudget
from mintlanding.residency.prefix_cache import PrefixCacheModel
from mintlanding.residency.queue import AdmissionQueue, missed_turns
from mintlanding.target_limits.brittle import (
    ROOM_REASON,
    BrittleRoom,
    RoomShare,
)
from mintlanding.target_limits.pacer import Pacer

# Weight of a new service time in the exponential moving average.
_SMOOTHING = 0.05
# Seconds; the expected service time before any request was served.
_INITIAL_SERVICE_TIME = 0.4
# Seconds after its deadline at which a grant without an end is removed.
_GRANT_GRACE = 0.3
# Seconds until the first report of an engine, which takes a round trip. Later
# ones are requested when they show the effect of an order.
_FIRST_REPORT_SECONDS = 0.05
# Least retry time in seconds that a refusal gives.
_MIN_RETRY_AFTER = 0.1
# Seconds after its expected end in which a load may still be under way.
_LOAD_MARGIN = 0.5
# Reason of a refusal because of a limit that the engine named.
_LIMIT_REASON = 'its limit is used up'
# Reason of a refusal because nothing may be sent to the engine's zone.
_EVACUATED_REASON = 'its zone is evacuated'
# Reason of a refusal because others of the queue go first.
_DISPLACED_REASON = 'others go first'
# Outcomes of grants whose requests did not run.
_NOT_RUN = frozenset(
    (
        GrantOutcome.not_ready,
        GrantOutcome.missing,
        GrantOutcome.full,
        GrantOutcome.unused,
    )
)
# Priorities and workspaces of which the digest names the wait, at most.
_MAX_CLASSES = 8
_MAX_LINES = 8
# Longest wait in milliseconds that a digest names.
_MAX_WAIT_MS = 60_000
# Retry times get up to this share of jitter, to spread the retries.
_RETRY_JITTER = 0.3
# The same for a brittle engine, whose room is short for longer.
_ROOM_RETRY_JITTER = 1.0


class EngineSteward:
    """Decide for one worker; each event returns the actions to execute.

    Orders are sent one at a time. Without authority no order is sent, and
    requests run only on the adapters that are already resident.
    """

    def __init__(
        self,
        worker: str,
        incarnation: int,
        capacity: EngineCapacity,
        options: StewardOptions,
        rnd: random.Random,
        pace: EnginePace | None = None,
        capacity_options: CapacityOptions | None = None,
    ) -> None:
        """Start without authority and without knowledge of the engine.

        `pace` is that of another engine of the same service, if one is known.
        """
        self._capacity_options = capacity_options or CapacityOptions()
        # Set where requests are served in a fair order.
        self._fair_order: FairOrder | None = None
        if self._capacity_options.is_enabled:
            self._fair_order = FairOrder(self._capacity_options)
        self.worker = worker
        self.incarnation = incarnation
        self.counters = StewardCounters()
        self.is_known = False
        self.may_order = False
        self.orders_at = float('inf')
        self.is_leaving = False
        self.is_evacuated = False
        self.adapter_slots = AdapterSlots(capacity, options)
        self.queue = AdmissionQueue(options, self._fair_order)
        # Set while the engine names a limit of requests per second.
        self.pacer: Pacer | None = None
        # Set while the engine is brittle.
        self.room: BrittleRoom | None = None
        self.pauses = PauseBudget(options.pauses)
        self.pace = pace or EnginePace(
            options.initial_prefill_rate, options.initial_token_time
        )
        self._options = options
        self._rnd = rnd
        self._capacity = capacity
        self._granted: dict[str, GrantedRequest] = {}
        self._tokens = 0
        self._prefixes = PrefixCacheModel(options.max_prefix_parts)
        self._prefill_until: float = 0
        self._service_time = _INITIAL_SERVICE_TIME
        self._pending_order: PendingOrder | None = None
        self._has_report = False
        self._report_at: float | None = None
        self._unload_after = float('-inf')
        self._unknown_since = float('-inf')
        # When a batch slot was last freed, and a request last served.
        self._slot_freed_at = float('-inf')
        self._served_at = float('-inf')
        # After `report_timeout` a report with fewer orders no longer lags: the
        # engine has counted fewer than its responses said.
        self._order_ended_at = float('-inf')

    @property
    def running(self) -> int:
        """Return the number of granted requests."""
        return len(self._granted)

    def start(self, now: float) -> Sequence[Action]:
        """Request the first report of the engine."""
        self._report_at = now
        self._unknown_since = now
        self._unload_after = now + self._options.usage_report_wait
        return self._proceed(now)

    def record_adapter_use(
        self,
        instance: str,
        adapters: frozenset[str],
        now: float,
    ) -> None:
        """Record which adapters an instance reports to use on this worker."""
        self.adapter_slots.record_adapter_use(instance, adapters, now)

    def reserve(self, req: AdmissionRequest, now: float) -> Sequence[Action]:
        """Grant, queue or refuse a request."""
        if req.request_id in self._granted or req.request_id in self.queue:
            return []
        self._expire_grants(now)
        if req.adapter:
            self.adapter_slots.record_request(req.adapter, now)
        reason = self._refusal_reason(req, now)
        if reason:
            return [self._refusal(req, now, reason, elsewhere=True)]
        cost = self._prefill_seconds(req)
        # Least slack first: a prompt with a long prefill must start sooner.
        rank = now + req.objective - cost
        rank += req.priority * self._options.priority_step
        item = QueuedRequest(
            req,
            rank,
            now + req.max_wait,
            cost,
            work=cost + req.output_tokens * self.pace.token_time,
            is_returning=req.is_returning,
        )
        if self._fair_order is not None:
            self._fair_order.record_request(item, now)
        ahead, cost_ahead = self.queue.cost_before(item)
        wait = self._expected_wait(req.adapter, ahead, cost_ahead, now)
        has_place = not self.queue.is_full or (
            self._fair_order is not None and ahead < len(self.queue)
        )
        if not has_place or wait > min(req.max_wait, req.reroute_wait):
            return [self._refusal(req, now, 'overloaded', wait=wait)]
        self.queue.push(item)
        actions = self._proceed(now)
        if self._fair_order is not None:
            actions.extend(self._displace(now))
        if req.request_id in self.queue:
            item.is_acknowledged = True
            actions.append(
                AdmissionReply(req.request_id, self.worker, is_waiting=True)
            )
        return actions

    def end(self, message: AdmissionEnd, now: float) -> Sequence[Action]:
        """End a granted or queued request."""
        if self.queue.remove(message.request_id) is not None:
            return self._proceed(now)
        granted = self._granted.pop(message.request_id, None)
        outcome = message.outcome
        if self.room is not None:
            outcome = self._room_outcome(granted, outcome)
            self.room.record_end(message.request_id, outcome, now)
        if granted is None:
            return []
        req = granted.req
        is_unused = message.outcome is GrantOutcome.unused
        if is_unused and self.pacer is not None:
            self.pacer.give_back(now)
        self._tokens -= _total_tokens(req)
        self._slot_freed_at = now
        self.adapter_slots.unpin(req.adapter, now)
        self.pauses.end(req.event_gap)
        if self._fair_order is not None and message.outcome in _NOT_RUN:
            self._fair_order.record_unused(
                req.priority, req.workspace, granted.charge
            )
        if message.outcome is GrantOutcome.served:
            self._record_served(granted, message, now)
        if outcome is GrantOutcome.not_ready:
            self.counters.not_ready += 1
            self.adapter_slots.postpone_ready(
                req.adapter, now + self._options.resend_delay
            )
        if message.outcome is GrantOutcome.missing:
            self.counters.missing += 1
            self.adapter_slots.mark_unknown(req.adapter)
            self._schedule_report(now)
        return self._proceed(now)

    def _room_outcome(
        self, granted: GrantedRequest | None, outcome: GrantOutcome
    ) -> GrantOutcome:
        """Tell an engine without room from one that loads an adapter."""
        if outcome is not GrantOutcome.not_ready or granted is None:
            return outcome
        loaded_at = self.adapter_slots.loaded_at(granted.req.adapter)
        if granted.since <= loaded_at + _LOAD_MARGIN:
            return outcome
        return GrantOutcome.full

    def _record_served(
        self, granted: GrantedRequest, message: AdmissionEnd, now: float
    ) -> None:
        self._served_at = now
        service_time = now - granted.since
        self._service_time += _SMOOTHING * (service_time - self._service_time)
        if message.first_event <= 0:
            return
        req = granted.req
        self.pace.record_run(
            message.first_event, req.output_tokens, service_time
        )
        self.pace.record_first_event(
            granted.prompt_tokens,
            granted.tokens_ahead,
            granted.since,
            message.first_event,
        )
        if req.event_gap > 0:
            self.pauses.record_pause(
                req.event_gap, message.longest_pause, granted.pause_share
            )

    def order_done(
        self,
        order: Order,
        outcome: OrderResult,
        now: float,
    ) -> Sequence[Action]:
        """Apply the result of the pending order."""
        pending = self._pending_order
        if pending is None or pending.order is not order:
            return []
        if outcome in {OrderResult.lost, OrderResult.not_sent}:
            self.counters.lost_orders += 1
            pending.is_lost |= outcome is OrderResult.lost
            pending.failures += 1
            pending.resend_at = now + self._options.resend_delay
            return []
        if outcome is OrderResult.conflict and self._retry_conflict(
            pending, now
        ):
            return []
        self._pending_order = None
        self._order_ended_at = now
        if outcome is OrderResult.accepted:
            self.adapter_slots.apply_accepted(order, now)
            self._record_accepted(order, now)
        elif outcome is OrderResult.holds:
            self.adapter_slots.apply_in_effect(order, now)
            self._record_accepted(order, now)
        else:
            self._handle_conflict(order, now)
        return self._proceed(now)

    def report(self, report: EngineReport, now: float) -> Sequence[Action]:
        """Apply a lagging report; ignore one of another incarnation."""
        if report.incarnation != self.incarnation or self._pending_order:
            return []
        if report.orders_taken < self.adapter_slots.orders_taken and (
            self.is_known
            and now < self._order_ended_at + self._options.report_timeout
        ):
            return []
        self.adapter_slots.apply_report(report, now)
        if (
            not self.adapter_slots.has_model
            and now
            < self.adapter_slots.model_until + (self._options.report_lag)
        ):
            return []
        if report.requests == 0 and not self._granted:
            self._unload_after = now
        self.is_known = True
        self._has_report = True
        self._report_at = None
        return self._proceed(now)

    def set_newest_version(
        self,
        adapter: str,
        version: int,
        now: float,
    ) -> Sequence[Action]:
        """Set the newest version of an adapter."""
        self.adapter_slots.set_newest_version(adapter, version, now)
        return self._proceed(now)

    def set_limit(
        self,
        limit: float | None,
        now: float,
        starts_at: float = -math.inf,
    ) -> Sequence[Action]:
        """Grant at most `limit` requests per second from now on.

        `starts_at` is when a new steward may begin.
        """
        if limit is None:
            self.pacer = None
        elif self.pacer is None:
            self.pacer = Pacer(limit, now)
        else:
            self.pacer.set_limit(limit, now)
        if self.pacer is not None:
            self.pacer.hold_until(starts_at)
        return self._proceed(now)

    def set_room_share(
        self,
        share: RoomShare | None,
        slots: int,
        now: float,
        starts_at: float = -math.inf,
    ) -> Sequence[Action]:
        """Send no more than a share of the room of a brittle engine.

        `slots` are those that the engine itself has named, `starts_at` is when
        a new steward may begin.
        """
        slots = min(slots, self._capacity.batch_limit)
        if share is None:
            self.room = None
        elif self.room is None:
            self.room = BrittleRoom(slots, share, now, starts_at)
            self.room.adopt(
                (request_id, each.since, each.expires)
                for request_id, each in self._granted.items()
            )
        else:
            self.room.set_slots(slots)
            self.room.set_share(share, now)
        return self._proceed(now)

    def set_authority(
        self,
        may_order: bool,
        now: float,
        orders_at: float = math.inf,
    ) -> Sequence[Action]:
        """Start or stop sending orders; a start requests a new report.

        Without authority, `orders_at` is when it is expected.
        """
        self.orders_at = now if may_order else orders_at
        if may_order == self.may_order:
            return []
        self.may_order = may_order
        if may_order:
            self._report_at = now
        return self._proceed(now)

    def drain(self, now: float) -> Sequence[Action]:
        """Refuse all queued and new requests; granted ones run to their end."""
        self.is_leaving = True
        return self._refuse_queued('leaving', now)

    def set_evacuated(self, is_evacuated: bool, now: float) -> Sequence[Action]:
        """Refuse all requests while the engine's zone is evacuated."""
        self.is_evacuated = is_evacuated
        if not is_evacuated:
            return []
        return self._refuse_queued(_EVACUATED_REASON, now)

    def _refuse_queued(self, reason: str, now: float) -> list[Action]:
        """Send all queued requests to other engines."""
        return [
            self._refusal(item.req, now, reason, elsewhere=True)
            for item in self.queue
            if self.queue.remove(item.req.request_id)
        ]

    def tick(self, now: float) -> Sequence[Action]:
        """Handle what depends on time: ended loads, expiry, resends."""
        self._expire_grants(now)
        return self._proceed(now)

    def next_event(self, now: float) -> float | None:
        """Return when `tick` should be called next."""
        times = [self.adapter_slots.next_ready(now), self.queue.next_expiry()]
        if self.queue and self._prefill_until > now:
            times.append(
                self._prefill_until - self._options.max_prefill_backlog
            )
        head = self.queue.first
        if head is not None:
            pause = self.pauses.wait(head.cost, now)
            times.append(now + pause if pause > 0 else None)
        turn = 0 if self.pacer is None else self.pacer.wait(now)
        if self.queue and turn > 0:
            times.append(now + turn)
        if self.queue and self.room is not None:
            room = self.room.wait(now)
            times.append(now + room if 0 < room < math.inf else None)
        if self._pending_order is not None:
            times.append(self._pending_order.resend_at)
        times.append(self._report_at)
        return min((each for each in times if each is not None), default=None)

    def digest(self, now: float) -> WorkerDigest:
        """Summarise the worker for the other instances."""
        return WorkerDigest(
            worker=self.worker,
            incarnation=self.incarnation,
            can_order=self._can_order(now),
            running=self.running,
            queued=len(self.queue),
            wait=round(self.expected_wait('', float('inf'), now), 3),
            load_wait=round(self._load_wait(now), 3),
            has_model=self.adapter_slots.has_model or self._is_report_due(now),
            ready=self.adapter_slots.ready(now),
            hot=self.adapter_slots.hot_adapters(
                self._service_time / self._hot_batch_slots(), now
            ),
            room=self._room_digest(now),
            **self.pace.digest_fields(),
        )

    def _room_digest(self, now: float) -> DigestRoom | None:
        """Return the expected waits by class, and of the longest lines."""
        if self._fair_order is None:
            return None
        class_waits = [self._wait_ms(0, 0, now)]
        lines: dict[tuple[str, int], tuple[int, float]] = {}
        ahead = 0
        cost: float = 0
        for item in self.queue:
            ahead += 1
            cost += item.cost
            priority = item.req.priority
            lines[(item.req.workspace, priority)] = (ahead, cost)
            if priority + 1 < _MAX_CLASSES:
                missing = priority + 1 - len(class_waits)
                class_waits += class_waits[-1:] * missing
                del class_waits[priority + 1 :]
                class_waits.append(self._wait_ms(ahead, cost, now))
        waits = [
            (workspace, priority, self._wait_ms(*place, now))
            for (workspace, priority), place in lines.items()
        ]
        waits.sort(key=lambda each: -each[-1])
        return DigestRoom(
            tuple(class_waits),
            tuple(waits[:_MAX_LINES]),
            _milliseconds(self._start_gap(now)),
        )

    def _wait_ms(self, ahead: int, cost: float, now: float) -> int:
        return _milliseconds(self._expected_wait('', ahead, cost, now))

    def _start_gap(self, now: float) -> float:
        """Return the expected seconds between two starts."""
        turn = 0 if self.pacer is None else 1 / self.pacer.rate
        return max(
            self._batch_slot_interval(now),
            self.queue.cost / max(1, len(self.queue)),
            turn,
        )

    def expected_wait(self, adapter: str, rank: float, now: float) -> float:
        """Return the expected seconds until a request of this rank starts."""
        ahead, cost = self.queue.cost_ahead(rank)
        return self._expected_wait(adapter, ahead, cost, now)

    def _expected_wait(
        self, adapter: str, ahead: int, cost: float, now: float
    ) -> float:
        """Return the expected seconds until a request starts.

        `ahead` and `cost` are number and prefill time of those ahead of it.
        """
        backlog = max(0, self._prefill_until - now) + cost
        prefill = max(
            0,
            backlog - self._options.max_prefill_backlog,
            self.pauses.expected_wait(cost, now),
        )
        excess = self.running + ahead + 1 - self._capacity.batch_limit
        batch = max(0, excess) * self._batch_slot_interval(now)
        load: float = 0
        if adapter and not self.adapter_slots.is_ready(adapter, now):
            load = self.adapter_slots.load_seconds(adapter)
            if self.adapter_slots.get(adapter) is None:
                load += self._load_wait(now)
        turn: float = 0
        if self.pacer is not None:
            turn = self.pacer.wait(now, ahead)
        room: float = 0
        if self.room is not None:
            room = self.room.expected_wait(now, ahead)
        return max(prefill, batch, load, turn, room)

    def _can_order(self, now: float) -> bool:
        """Return whether a load can be expected to begin."""
        if self._is_unresponsive():
            return False
        return math.isfinite(self._orders_wait(now))

    def _orders_wait(self, now: float) -> float:
        """Return the seconds until orders can be sent, inf if unknown."""
        authority = 0 if self.may_order else max(0, self.orders_at - now)
        if self.is_known:
            return authority
        if not self._is_report_due(now):
            return float('inf')
        if not self._has_report:
            return max(authority, _FIRST_REPORT_SECONDS)
        return max(authority, self._options.report_lag)

    def _is_report_due(self, now: float) -> bool:
        """Return whether a report may still be expected in time."""
        until = self._unknown_since + self._options.report_timeout
        return not self.is_known and now < until

    def _load_wait(self, now: float) -> float:
        """Return the seconds until the load of a further adapter can begin."""
        wait = self._orders_wait(now)
        if math.isinf(wait):
            wait = 0
        return self._slot_wait(now) + wait

    def _slot_wait(self, now: float) -> float:
        """Return the expected seconds until a further adapter gets a slot.

        Slots are freed as requests end; loads are limited in concurrency.
        """
        wanted = self.queue.adapters()
        missing = sum(
            self.adapter_slots.get(adapter) is None for adapter in wanted
        )
        loads = missing + self.adapter_slots.count_loading(now)
        limit = self._options.max_concurrent_loads
        load_delay = max(0, loads + 1 - limit) * self._options.load_time / limit
        missing_slots = (
            missing + 1 - self.adapter_slots.count_available(wanted, now)
        )
        slots = max(1, self._capacity.slots)
        return max(
            load_delay, max(0, missing_slots) * self._service_time / slots
        )

    def _batch_slot_interval(self, now: float) -> float:
        """Return the expected seconds until one batch slot is freed.

        An engine that hangs or has slowed down keeps its batch full; the time
        since the last end is then the better estimate.
        """
        if self._is_hung(now):
            return now - self._slot_freed_at
        return self._service_time / self._capacity.batch_limit

    def _is_hung(self, now: float) -> bool:
        """Return whether a full batch freed no slot for a service time.

        In a fair order it is several: long prompts of a less urgent class slow
        the whole batch, and must not cost the urgent requests their places.
        """
        is_full = self.running >= self._capacity.batch_limit
        limit = self._service_time
        if self._fair_order is not None:
            limit *= self._capacity_options.hang_factor
        return is_full and now - self._slot_freed_at > limit

    def _is_stalled(self, now: float) -> bool:
        """Return whether several requests run for long and none was served."""
        options = self._options
        overdue = 0
        for each in itertools.islice(
            self._granted.values(), options.stall_requests
        ):
            usual = self.pace.expected_run(each.req.output_tokens)
            limit = max(options.min_stall_time, options.stall_factor * usual)
            overdue += max(each.since, self._served_at) + limit < now
        return overdue >= options.stall_requests

    def _unservable(self, now: float) -> list[QueuedRequest]:
        """Return the queued requests that will not start in time.

        Applies only to a hung or unresponsive engine. Under mere load another
        worker would have to load the adapter as well, and its queue is as long.
        """
        is_hung = self._is_hung(now)
        is_unresponsive = self._is_unresponsive()
        if not (is_hung or is_unresponsive):
            return []
        gap = self._batch_slot_interval(now)
        found: list[QueuedRequest] = []
        for ahead, item in enumerate(self.queue):
            wait = (ahead + 1 - len(found)) * gap
            adapter = item.req.adapter
            needs_order = (
                adapter
                and not self.adapter_slots.is_resident_or_loading(adapter)
            )
            if is_hung and now + wait > item.expires:
                found.append(item)
            elif is_unresponsive and needs_order:
                found.append(item)
        return found

    def _is_unresponsive(self) -> bool:
        """Return whether the engine has left several orders unanswered."""
        pending = self._pending_order
        if pending is None:
            return False
        return pending.failures >= self._options.max_unanswered_orders

    def _hot_batch_slots(self) -> float:
        return max(
            1, self._options.hot_batch_share * self._capacity.batch_limit
        )

    def _refusal_reason(self, req: AdmissionRequest, now: float) -> str:
        if self.is_leaving:
            return 'leaving'
        if self.is_evacuated:
            return _EVACUATED_REASON
        if _total_tokens(req) > self._capacity.token_capacity:
            return 'too large'
        if not (self.adapter_slots.has_model or self._is_report_due(now)):
            return 'no model'
        if self._is_stalled(now):
            return 'stalled'
        if not req.adapter or self.adapter_slots.get(req.adapter) is not None:
            return ''
        if self._is_unresponsive():
            return 'orders are unanswered'
        if self._orders_wait(now) > min(req.max_wait, req.reroute_wait):
            return 'no orders'
        return ''

    def _displace(self, now: float) -> list[Action]:
        """Refuse the queued requests that others have moved too far back."""
        actions: list[Action] = []
        ahead = 0
        cost: float = 0
        for item in self.queue:
            wait = self._expected_wait('', ahead, cost, now)
            is_beyond = ahead >= self._options.max_queue_length
            if is_beyond or now + wait > item.expires:
                self.queue.remove(item.req.request_id)
                self.counters.displaced += 1
                actions.append(
                    self._refusal(item.req, now, _DISPLACED_REASON, wait=wait)
                )
                continue
            ahead += 1
            cost += item.cost
        return actions

    def _proceed(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for item in self.queue.expired(now):
            self.queue.remove(item.req.request_id)
            reason = f'no place in time, {self._wait_reason(item.req, now)}'
            actions.append(self._refusal(item.req, now, reason))
        actions.extend(self._grant_all(now))
        for item in self._unservable(now):
            self.queue.remove(item.req.request_id)
            reason = f'not in time, {self._wait_reason(item.req, now)}'
            actions.append(self._refusal(item.req, now, reason, elsewhere=True))
        if self.pacer is not None:
            for item in missed_turns(self.queue, self.pacer, now):
                self.queue.remove(item.req.request_id)
                actions.append(self._refusal(item.req, now, _LIMIT_REASON))
        actions.extend(self._issue_orders(now))
        return actions

    def _grant_all(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if not self.adapter_slots.has_model:
            return actions
        for item in self.queue:
            if self._is_full(now):
                break
            req = item.req
            if req.adapter and not self.adapter_slots.is_ready(
                req.adapter, now
            ):
                continue
            if self._tokens + _total_tokens(req) > self._token_limit():
                if self._is_patience_exhausted(item, now):
                    break
                continue
            if self.pauses.wait(item.cost, now) > 0:
                break
            actions.append(self._grant(item, now))
        return actions

    def _is_patience_exhausted(self, item: QueuedRequest, now: float) -> bool:
        """Return whether a request that lacks memory is no longer overtaken."""
        if self._fair_order is None:
            return False
        left = (1 - self._capacity_options.patience) * item.req.max_wait
        return item.expires - now <= left

    def _is_full(self, now: float) -> bool:
        if self.running >= self._capacity.batch_limit:
            return True
        if self.pacer is not None and self.pacer.wait(now) > 0:
            return True
        if self.room is not None and self.room.wait(now) > 0:
            return True
        return self._prefill_until - now > self._options.max_prefill_backlog

    def _wait_reason(self, req: AdmissionRequest, now: float) -> str:
        """Return what a request waits for, as the reason of its refusal."""
        if not self.adapter_slots.has_model:
            return 'the model is missing'
        if self.running >= self._capacity.batch_limit:
            return 'the batch is full'
        if self.pacer is not None and self.pacer.wait(now) > 0:
            return _LIMIT_REASON
        if self.room is not None and self.room.wait(now) > 0:
            return ROOM_REASON
        if self._prefill_until - now > self._options.max_prefill_backlog:
            return 'prompts are behind'
        if req.adapter and not self.adapter_slots.is_ready(req.adapter, now):
            return self._load_wait_reason(req.adapter)
        if self.pauses.expected_wait(self._prefill_seconds(req), now) > 0:
            return 'running streams bear no more prompts'
        return 'memory is full'

    def _load_wait_reason(self, adapter: str) -> str:
        if self.adapter_slots.is_stale(adapter):
            return 'its new version waits'
        if self.adapter_slots.get(adapter) is not None:
            return 'its adapter loads'
        if not (self.may_order and self.is_known):
            return 'no orders go out'
        if self._pending_order is not None:
            return 'an order is unanswered'
        return 'no adapter gives way'

    def _token_limit(self) -> float:
        if not self._granted:
            return self._capacity.token_capacity
        return self._capacity.token_capacity * self._options.max_memory_share

    def _grant(self, item: QueuedRequest, now: float) -> AdmissionReply:
        req = item.req
        self.queue.remove(req.request_id)
        charge: float = 0
        if self._fair_order is not None:
            charge = self._fair_order.record_start(item)
        expires = now + req.deadline + _GRANT_GRACE
        if self.pacer is not None:
            self.pacer.take(now)
        if self.room is not None:
            self.room.begin(req.request_id, now, expires)
        self._tokens += _total_tokens(req)
        cost = self._prefill_seconds(req)
        self._prefixes.note(req.adapter, req.parts)
        self._prefill_until = max(self._prefill_until, now) + cost
        rate = self.pace.prefill_rate
        self._granted[req.request_id] = GrantedRequest(
            req,
            now,
            expires,
            prompt_tokens=cost * rate,
            tokens_ahead=(self._prefill_until - now - cost) * rate,
            pause_share=self.pauses.share,
            charge=charge,
        )
        self.pace.record_prompt(cost * rate, now)
        self.pauses.begin(req.event_gap, cost, now)
        if self.running == self._capacity.batch_limit:
            self._slot_freed_at = now
        self.counters.grants += 1
        version = 0
        slot = self.adapter_slots.get(req.adapter)
        if slot is not None:
            version = slot.version
            self.adapter_slots.pin(req.adapter, now)
        return AdmissionReply(
            req.request_id,
            self.worker,
            is_granted=True,
            version=version,
        )

    def _issue_orders(self, now: float) -> list[Action]:
        if self._report_at is not None and now >= self._report_at:
            self._report_at = now + self._options.report_lag
            return [RequestReport()]
        if not self.may_order:
            return []
        if self._pending_order is not None:
            return self._resend(self._pending_order, now)
        if not self.is_known or self._report_at is not None:
            return []
        order = self._next_order(now)
        if order is None:
            return []
        self.adapter_slots.start_order(order, now)
        self._pending_order = PendingOrder(order)
        return [order]

    def _resend(self, pending: PendingOrder, now: float) -> list[Action]:
        resend_at = pending.resend_at
        if resend_at is None or now < resend_at:
            return []
        pending.resend_at = None
        return [pending.order]

    def _next_order(self, now: float) -> Order | None:
        if not self.adapter_slots.has_model:
            return self._make_order(OrderKind.load, '')
        if (
            self.adapter_slots.count_loading(now)
            >= self._options.max_concurrent_loads
        ):
            return None
        stale = self.adapter_slots.replaceable_slots(now)
        if stale:
            return self._make_order(OrderKind.load, stale[0].adapter)
        wanted = self.queue.adapters()
        missing = [
            adapter
            for adapter in wanted
            if self.adapter_slots.get(adapter) is None
        ]
        if not missing:
            return None
        if self.adapter_slots.has_free_slot():
            return self._make_order(OrderKind.load, missing[0])
        victim = self.adapter_slots.choose_victim(wanted, now)
        if victim is None or now < self._unload_after:
            return None
        return self._make_order(OrderKind.unload, victim.adapter)

    def _make_order(self, kind: OrderKind, adapter: str) -> Order:
        return Order(
            kind,
            self._capacity.model,
            adapter,
            self.adapter_slots.orders_taken,
            self.adapter_slots.newest(adapter) if kind is OrderKind.load else 0,
        )

    def _retry_conflict(self, pending: PendingOrder, now: float) -> bool:
        """Send a rejected order again: the engine may be busy with another."""
        self.counters.conflicts += 1
        pending.conflicts += 1
        if pending.is_lost or pending.conflicts > self._options.max_conflicts:
            return False
        pending.resend_at = now + self._options.resend_delay
        return True

    def _record_accepted(self, order: Order, now: float) -> None:
        if not order.adapter:
            self.is_known = False
            self._unknown_since = float('-inf')
            self._report_at = self.adapter_slots.model_until
            return
        if order.kind is OrderKind.load:
            self.counters.loads += 1
        else:
            self.counters.unloads += 1
            self._prefixes.forget(order.adapter)

    def _handle_conflict(self, order: Order, now: float) -> None:
        """Request a report; until it arrives a load keeps its slot."""
        if order.adapter and order.kind is OrderKind.load:
            self.adapter_slots.mark_unknown(order.adapter)
        self.is_known = False
        self._unknown_since = now
        self._schedule_report(now)

    def _schedule_report(self, now: float) -> None:
        if self._report_at is None:
            self._report_at = now + self._options.report_lag

    def _expire_grants(self, now: float) -> None:
        expired = [
            key for key, each in self._granted.items() if each.expires <= now
        ]
        for key in expired:
            req = self._granted.pop(key).req
            self._slot_freed_at = now
            self._tokens -= _total_tokens(req)
            self.pauses.end(req.event_gap)
            self.adapter_slots.unpin(req.adapter, now)

    def _prefill_seconds(self, req: AdmissionRequest) -> float:
        uncached_tokens = self._prefixes.uncached_tokens(
            req.adapter,
            req.parts,
            req.prompt_tokens,
        )
        return uncached_tokens / self.pace.prefill_rate

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
        jitter = _RETRY_JITTER if self.room is None else _ROOM_RETRY_JITTER
        spread = 1 + jitter * self._rnd.random()
        return AdmissionReply(
            req.request_id,
            self.worker,
            retry_after=max(_MIN_RETRY_AFTER, expected) * spread,
            elsewhere=elsewhere,
            reason=reason,
        )


def _milliseconds(seconds: float) -> int:
    return round(min(seconds * 1000, _MAX_WAIT_MS))


def _total_tokens(req: AdmissionRequest) -> int:
    return req.prompt_tokens + req.output_tokens
