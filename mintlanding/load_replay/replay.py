"""Replay of callers' requests against stewards with model engines.

All runs on a virtual clock with a fixed step, without a network. Equal seeds
give equal results.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial

from mintlanding.capacity.fleet_room import Wanted, read_room
from mintlanding.capacity.options import CapacityOptions
from mintlanding.capacity.return_times import Refused, ReturnTimes
from mintlanding.load_replay.admission import Admission
from mintlanding.load_replay.calls import (
    MAX_WAIT_SHARE,
    MODEL,
    Call,
    Reservation,
    make_end,
    make_request,
)
from mintlanding.load_replay.engine_model import EngineModel, Run, WeightStore
from mintlanding.load_replay.exceptions import ReplayError
from mintlanding.load_replay.models import EngineRates, EngineSpec, LoadRecord
from mintlanding.load_replay.policies import Policy
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionReply,
    GrantOutcome,
    WorkerDigest,
)
from mintlanding.residency.models import Action, Order, RequestReport
from mintlanding.residency.worker_choice import WorkerView

STEP = 0.005
STATUS_SECONDS = 0.25
# Statuses that are older count as no room anyway.
MAX_STATUS_SECONDS = 10
# Seconds after which callers return that do not wait as told.
_IMPATIENT_GAP = 0.05
# Seconds that a run takes at most; callers do not return later.
_RUN_SECONDS = 1.0
# Seconds until a request is sent again that its engine rejected.
_RESEND_DELAY = 0.02
# Retry time in seconds where no engine is left that names one.
_LOST_RETRY_AFTER = 1.0
# Seconds after the last arrival and deadline by which all requests have ended.
_MAX_OVERTIME = 600.0
_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Fleet:
    """Engines and instances of a replay.

    `zones` are those of the instances. Callers of `impatient` workspaces return
    soon and often until their deadline.
    """

    engines: Sequence[EngineSpec]
    zones: Sequence[str]
    rates: EngineRates
    impatient: frozenset[str] = frozenset()

    @classmethod
    def from_record(cls, record: LoadRecord, instances: int = 0) -> 'Fleet':
        """Return the fleet of a record; `instances` overrides its number.

        Each zone with requests has at least one instance.
        """
        header = record.header
        zones = sorted({req.zone for req in record.requests}) or ['']
        count = max(len(zones), instances or header.instances)
        return cls(
            header.engines,
            tuple(itertools.islice(itertools.cycle(zones), count)),
            header.rates,
            frozenset(f'w{number}' for number in header.impatient),
        )


@dataclass(slots=True)
class Engine:
    """An engine with its steward; runs are named by reservation."""

    spec: EngineSpec
    admission: Admission
    model: EngineModel
    digest: WorkerDigest
    calls: dict[str, Call] = field(default_factory=dict)
    is_lost: bool = False
    # Whether instances know of the loss.
    is_gone: bool = False
    # When the admission next depends on time.
    wake_at: float = 0


@dataclass(slots=True)
class Instance:
    """An instance that receives callers' requests."""

    zone: str
    returns: ReturnTimes
    rnd: random.Random
    sent: Counter[str] = field(default_factory=Counter)
    # The same of each engine by workspace and priority.
    sent_lines: defaultdict[str, Counter[tuple[str, int]]] = field(
        default_factory=lambda: defaultdict(Counter)
    )


@dataclass(frozen=True, slots=True)
class Attempt:
    """A request of a caller to an instance, until it is answered."""

    instance: Instance
    arrived: float
    is_returning: bool


class FleetReplay:
    """Engines with stewards, and instances that know them by digests.

    Callers return once at the time that they are told, if it is within a third
    of their remaining time, and reach the instance that refused them.
    """

    def __init__(
        self,
        fleet: Fleet,
        policy: Policy,
        seed: int = 7,
        *,
        status_seconds: float = STATUS_SECONDS,
    ) -> None:
        """Start all stewards; statuses come every `status_seconds`."""
        self.now: float = 0
        self.store = WeightStore(fleet.rates)
        # Stewards asked, and those asked for each request that was refused.
        self.asked = 0
        self.asked_by_refused: list[int] = []
        self._fleet = fleet
        self._policy = policy
        self._status_seconds = status_seconds
        self._rnd = random.Random(seed)
        self._numbers = itertools.count()
        # What is due at a time, in order.
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._pending: dict[str, Attempt] = {}
        options = CapacityOptions(is_enabled=policy.has_return_times)
        self._instances = [
            Instance(
                zone,
                ReturnTimes(options, random.Random(f'{seed}.{number}')),
                random.Random(f'{seed}.i{number}'),
            )
            for number, zone in enumerate(fleet.zones)
        ]
        self._by_zone: defaultdict[str, list[Instance]] = defaultdict(list)
        for instance in self._instances:
            self._by_zone[instance.zone].append(instance)
        self.engines = {
            spec.name: self._make_engine(spec, seed) for spec in fleet.engines
        }

    def run(self, calls: Iterable[Call], seconds: float = 0) -> None:
        """Replay calls for some seconds, or until all of them have ended.

        Raise ReplayError if one does not end, or if the model is violated.
        """
        latest: float = 0
        for call in calls:
            at_zone = self._by_zone.get(call.zone, self._instances)
            arrive = partial(self._arrive, call, self._rnd.choice(at_zone))
            self._schedule(call.arrived, arrive)
            latest = max(latest, call.arrived + call.kind.deadline)
        statuses = 0
        while self._is_running(seconds):
            if self.now >= statuses * self._status_seconds:
                statuses += 1
                self._exchange_statuses()
            while self._due and self._due[0][0] <= self.now:
                heapq.heappop(self._due)[-1]()
            for engine in self.engines.values():
                self._advance(engine)
            self.now += STEP
            if self.now > max(seconds, latest + _MAX_OVERTIME):
                raise ReplayError(f'{len(self._pending)} request(s) do not end')

    def _is_running(self, seconds: float) -> bool:
        if seconds:
            return self.now < seconds
        return bool(self._due or self._pending)

    def _make_engine(self, spec: EngineSpec, seed: int) -> Engine:
        rnd = random.Random(f'{seed}.{spec.name}')
        rates = self._fleet.rates
        admission = self._policy.make_admission(spec, rates, rnd)
        engine = Engine(
            spec,
            admission,
            EngineModel(spec, rates, self.store),
            admission.digest(0),
        )
        self._act(engine, admission.start(0))
        self._act(engine, admission.set_authority(True, 0))
        if spec.lost_at_ms >= 0:
            lose = partial(self._lose, engine)
            self._schedule(spec.lost_at_ms / _MILLISECONDS, lose)
        return engine

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at, next(self._numbers), action))

    def _exchange_statuses(self) -> None:
        for engine in self.engines.values():
            engine.is_gone = engine.is_lost
            engine.digest = engine.admission.digest(self.now)
        for instance in self._instances:
            instance.sent.clear()
            instance.sent_lines.clear()

    def _advance(self, engine: Engine) -> None:
        if engine.is_lost:
            return
        for run in engine.model.advance(self.now):
            self._end(engine, run)
        for run in engine.model.abort(self.now):
            self._abort(engine, run)
        if not engine.model.runs and self.now < engine.wake_at:
            return
        self._act(engine, engine.admission.tick(self.now))
        wake_at = engine.admission.next_event(self.now)
        engine.wake_at = float('inf') if wake_at is None else wake_at

    def _arrive(self, call: Call, instance: Instance) -> None:
        call.attempts += 1
        is_returning = (
            self._policy.has_return_times
            and instance.returns.take_return(call.name, self.now)
        )
        attempt = Attempt(instance, self.now, is_returning)
        self._pending[call.name] = attempt
        self._route(call, attempt)

    def _route(self, call: Call, attempt: Attempt) -> None:
        """Ask engines in turn, or refuse the call."""
        instance = attempt.instance
        waited = self.now - attempt.arrived
        max_wait = MAX_WAIT_SHARE * call.kind.objective - waited
        views = {
            engine.spec.name: self._view(engine, instance)
            for engine in self.engines.values()
            if not engine.is_gone and _serves(engine.spec, call.service)
        }
        if not views or max_wait <= 0:
            self._refuse(call, _LOST_RETRY_AFTER)
            return
        wanted = Wanted(
            call.adapter,
            call.workspace,
            call.kind.priority,
            max_wait,
            is_early=instance.returns.early_seconds(call.name, self.now) > 0,
        )
        choice = self._policy.choose(wanted, views, instance.zone, instance.rnd)
        told = choice.wait
        last = len(choice.order) - 1
        for place, worker in enumerate(choice.order):
            reservation = Reservation(
                f'{call.name}/{next(self._numbers)}',
                worker,
                call.kind.objective - waited,
                max_wait,
                max_wait if place == last else max_wait / 2,
                attempt.is_returning,
            )
            reply = self._reserve(call, reservation, instance)
            if reply is None:
                return
            told = max(told, reply.retry_after)
        gap = choice.start_gap * len(self._instances)
        self._refuse(call, told, gap, len(choice.order))

    def _reserve(
        self, call: Call, reservation: Reservation, instance: Instance
    ) -> AdmissionReply | None:
        """Ask one steward; return its refusal, None if it did not refuse."""
        worker = reservation.worker
        engine = self.engines[worker]
        line = (call.workspace, call.kind.priority)
        instance.sent[worker] += 1
        instance.sent_lines[worker][line] += 1
        self.asked += 1
        if engine.is_lost:
            return AdmissionReply(
                reservation.name, worker, retry_after=_LOST_RETRY_AFTER
            )
        engine.calls[reservation.name] = call
        engine.wake_at = self.now
        req = make_request(call, reservation, self.now)
        actions = engine.admission.reserve(req, self.now)
        return self._act(engine, actions, reservation.name)

    def _refuse(
        self, call: Call, wait: float, gap: float = 0, asked: int = 0
    ) -> None:
        attempt = self._pending.pop(call.name)
        instance = attempt.instance
        self.asked_by_refused.append(asked)
        left = call.arrived + call.kind.deadline - self.now
        if self._policy.has_return_times:
            wait -= 0.5 * MAX_WAIT_SHARE * call.kind.objective
            refused = Refused(
                call.name, call.kind.priority, wait, gap, left, call.workspace
            )
            wait = instance.returns.assign(refused, self.now)
        call.retry_at.append(self.now + wait)
        arrive = partial(self._arrive, call, instance)
        if call.workspace in self._fleet.impatient:
            if left > _IMPATIENT_GAP + _RUN_SECONDS:
                self._schedule(self.now + _IMPATIENT_GAP, arrive)
        elif call.attempts == 1 and wait <= left / 3:
            self._schedule(self.now + wait, arrive)

    def _view(self, engine: Engine, instance: Instance) -> WorkerView:
        """Return an engine as an instance knows it by its last digest."""
        digest = engine.digest
        name = engine.spec.name
        return WorkerView(
            name,
            engine.spec.zone,
            wait=digest.wait,
            load_wait=digest.load_wait,
            running=digest.running + digest.queued,
            sent=instance.sent[name],
            slots=engine.spec.slots,
            can_order=digest.can_order,
            is_reachable=True,
            has_model=digest.has_model,
            ready=frozenset(digest.ready),
            hot=frozenset(digest.hot),
            room=read_room(digest, 0),
            prefill_rate=digest.prefill_rate,
            token_us=digest.token_us,
            sent_lines=instance.sent_lines[name],
        )

    def _act(
        self, engine: Engine, actions: Sequence[Action], reservation: str = ''
    ) -> AdmissionReply | None:
        """Execute actions; return the refusal of a reservation."""
        refusal = None
        for action in actions:
            if isinstance(action, RequestReport):
                report = engine.model.report(MODEL, self.now)
                more = engine.admission.report(report, self.now)
            elif isinstance(action, Order):
                outcome = engine.model.execute(action, self.now)
                more = engine.admission.order_done(action, outcome, self.now)
            elif action.is_granted:
                more = self._grant(engine, action.request_id)
            else:
                more = ()
                if not action.is_waiting:
                    call = engine.calls.pop(action.request_id)
                    if action.request_id == reservation:
                        refusal = action
                    else:
                        self._refuse(call, action.retry_after, asked=1)
            refusal = self._act(engine, more, reservation) or refusal
        return refusal

    def _grant(self, engine: Engine, reservation: str) -> Sequence[Action]:
        """Send a granted request, which an engine rejects while it loads."""
        call = engine.calls[reservation]
        if engine.model.has_adapter(call.adapter, self.now):
            call.started = self.now
            engine.model.add(
                reservation,
                call.prompt,
                call.output,
                self.now,
                call.arrived + call.kind.deadline,
            )
            return ()
        engine.calls.pop(reservation)
        self._reroute(call)
        message = AdmissionEnd(
            reservation, engine.spec.name, GrantOutcome.not_ready
        )
        return engine.admission.end(message, self.now)

    def _reroute(self, call: Call) -> None:
        route = partial(self._route, call, self._pending[call.name])
        self._schedule(self.now + _RESEND_DELAY, route)

    def _lose(self, engine: Engine) -> None:
        """End an engine; its requests are sent to others."""
        engine.is_lost = True
        calls = list(engine.calls.values())
        engine.calls.clear()
        for call in calls:
            self._reroute(call)

    def _abort(self, engine: Engine, run: Run) -> None:
        """End a request at its deadline, as an instance does."""
        call = engine.calls.pop(run.name)
        self._pending.pop(call.name)
        call.is_served = True
        call.is_on_time = False
        message = AdmissionEnd(run.name, engine.spec.name, GrantOutcome.failed)
        self._act(engine, engine.admission.end(message, self.now))

    def _end(self, engine: Engine, run: Run) -> None:
        call = engine.calls.pop(run.name)
        attempt = self._pending.pop(call.name)
        call.is_served = True
        waited = run.sent - attempt.arrived + run.first_event
        call.is_on_time = (
            waited <= call.kind.objective
            and run.last_event <= call.arrived + call.kind.deadline
        )
        message = make_end(run, engine.spec.name)
        self._act(engine, engine.admission.end(message, self.now))


def _serves(engine: EngineSpec, service: str) -> bool:
    return engine.service in {'', service}
