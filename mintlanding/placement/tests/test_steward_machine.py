"""Invariants of stewards under any sequence of events."""

import random
from collections import Counter

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from mintlanding.placement.messages import (
    AdapterRef,
    EngineReport,
    PinReport,
    Priority,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
)
from mintlanding.placement.models import (
    EvictOrder,
    FenceOrder,
    LeaseState,
    LoadOrder,
    RequestPermit,
    ReturnPermit,
    StewardOptions,
    WorkerSpec,
)
from mintlanding.placement.steward import Steward

OPTIONS = StewardOptions(reservation_lifetime=60, load_tries=2)
SLOTS = 3
BATCH = 3
REFS = [AdapterRef(f'adapter-{number}', 'v1') for number in range(7)]
ENTRIES = ('entry-1', 'entry-2')


class Engine:
    """A fake engine that executes orders at once and responds on demand."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.highest_token = 0
        self.incarnation = 1
        self.resident = set()
        self.loading = {}
        self.answers = []
        self.loaders = set()
        self.snapshots = []

    def execute(self, steward, order):
        if self.checks_fencing:
            if order.fencing < self.highest_token:
                self.answers.append((steward, order, False))
                return False
            self.highest_token = order.fencing
        if isinstance(order, LoadOrder):
            is_here = order.ref in {*self.resident, *self.loading.values()}
            used = len(self.resident) + len(self.loading)
            if is_here or used >= SLOTS:
                # Only another steward's load can be the cause, and only on
                # an engine that accepts orders of both.
                assert not self.checks_fencing
                assert self.loaders - {steward}
                self.answers.append((steward, order, False))
                return False
            self.loaders.add(steward)
            self.loading[order.order_id] = order.ref
            return True
        if isinstance(order, EvictOrder):
            self.resident.discard(order.ref)
        self.answers.append((steward, order, True))
        return True

    def finish_load(self, steward, order, ok):
        ref = self.loading.pop(order.order_id, None)
        if ref is None:
            return
        if ok:
            self.resident.add(ref)
        self.answers.append((steward, order, ok))

    def restart(self):
        self.incarnation += 1
        self.resident.clear()
        self.loading.clear()

    def report(self, busy):
        return EngineReport(
            'w',
            self.incarnation,
            resident=tuple(sorted(self.resident)),
            loading=tuple(sorted(self.loading.values())),
            busy=tuple(sorted(busy)),
        )


class StewardMachine(RuleBasedStateMachine):
    """One engine, its successive stewards, two entries and the permits."""

    checks_fencing = True

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.rnd = random.Random(3)
        self.engine = Engine(self.checks_fencing)
        self.stewards = []
        self.known_incarnation = {}
        self.asks = []
        self.loads = []
        self.permits = set()
        self.active = {}
        self.asked = {}
        self.answered = {}
        self.asked_of = {}
        self.floor = Counter()
        self.number = 0
        self.fencing = 0
        self.start_steward()

    @initialize(is_steady=st.sampled_from((True, True, True, False)))
    def begin(self, is_steady):
        if is_steady:
            self.become_steady()

    def start_steward(self):
        spec = WorkerSpec('w', 'zone', SLOTS, BATCH, self.checks_fencing)
        steward = Steward.from_config(spec, OPTIONS, self.rnd)
        self.fencing += 1
        steward.number = self.fencing
        steward.has_pins = False
        steward.taken = self.now
        self.stewards.append(steward)
        self.known_incarnation[steward] = self.engine.incarnation
        self.run(steward, steward.take_over(self.fencing, self.now))

    @property
    def steward(self):
        return self.stewards[-1]

    def run(self, steward, actions):
        for action in actions:
            self.execute(steward, action)

    def execute(self, steward, action):
        if isinstance(action, ReserveReply):
            self.take_reply(steward, action)
        elif isinstance(action, RequestPermit):
            self.asks.append((steward, action))
        elif isinstance(action, ReturnPermit):
            self.permits.discard((steward, action.order_id))
        else:
            assert action.fencing == steward.number
            self.check_order(steward, action)
            is_taken = self.engine.execute(steward, action)
            if isinstance(action, LoadOrder) and is_taken:
                self.loads.append((steward, action))

    def check_order(self, steward, action):
        lapsed = steward.state is LeaseState.lapsed
        if isinstance(action, EvictOrder):
            assert not (lapsed and not self.checks_fencing)
            is_over = self.now >= steward.taken + OPTIONS.reservation_lifetime
            assert steward.has_pins or is_over
            if action.fencing >= self.engine.highest_token:
                assert action.ref not in self.active.values()
        if isinstance(action, FenceOrder):
            assert self.checks_fencing

    def take_reply(self, steward, reply):
        key = (steward, reply.reservation_id)
        assert key not in self.answered, 'a second final answer'
        self.answered[key] = reply
        if reply.code:
            assert reply.retry_after > 0
            return
        req = self.asked[reply.reservation_id]
        if self.known_incarnation[steward] == self.engine.incarnation:
            if steward is self.steward:
                assert req.ref in self.engine.resident
        assert reply.fencing == steward.number
        if reply.fencing < self.floor[req.entry]:
            return
        if req.ref not in self.engine.resident:
            return  # the engine refuses the call
        self.active[reply.reservation_id] = req.ref

    @rule(
        which=st.integers(0, len(REFS) - 1),
        wait=st.sampled_from((0, 0.5, 5, 30)),
        priority=st.sampled_from(list(Priority)),
        entry=st.sampled_from(ENTRIES),
        workspace=st.sampled_from(('one', 'two')),
        is_old=st.booleans(),
    )
    def reserve(self, which, wait, priority, entry, workspace, is_old):
        self.number += 1
        req = ReserveRequest(
            reservation_id=f'r{self.number}',
            worker='w',
            workspace=workspace,
            ref=REFS[which],
            tokens=self.rnd.randint(1, 200),
            priority=priority,
            wait=wait,
            entry=entry,
        )
        steward = self.stewards[0] if is_old else self.steward
        self.asked[req.reservation_id] = req
        self.asked_of[req.reservation_id] = steward
        self.run(steward, steward.reserve(req, self.now))

    def settle_all(self):
        """Complete all pending orders and permit requests."""
        steps = 0
        while self.asks or self.loads or self.engine.answers:
            steps += 1
            assert steps < 200, 'loads and evictions without end'
            self.answer_ask(True, 0)
            self.finish_load(True)
            self.deliver_answer(0, False)

    @rule(numbers=st.lists(st.integers(0, len(REFS) - 1), max_size=4))
    def serve(self, numbers):
        for which in numbers:
            for entry in ENTRIES[: 1 + which % 2]:
                self.reserve(which, 30, Priority.interactive, entry, 'one', 0)
        self.settle_all()

    @rule(first=st.integers(0, len(REFS) - 1), is_old=st.booleans())
    def ask_for_others(self, first, is_old):
        """Reserve several adapters, perhaps through an old steward."""
        for step in range(SLOTS):
            which = (first + step) % len(REFS)
            priority = Priority.interactive
            self.reserve(which, 30, priority, ENTRIES[0], 'one', is_old)
        self.settle_all()

    @rule()
    def replace_steward(self):
        self.take_over()
        self.settle_all()
        self.become_steady()

    @rule()
    def serve_and_release(self):
        for reservation_id in sorted(self.active)[:2]:
            self.release_one(reservation_id, 1)
        self.settle_all()

    @rule(seconds=st.sampled_from((0, 2)))
    def take_over_in_traffic(self, seconds):
        self.take_over()
        self.now += seconds
        self.settle_all()

    @rule(data=st.data())
    def reserve_again(self, data):
        if not self.asked:
            return
        reservation_id = data.draw(st.sampled_from(sorted(self.asked)))
        steward = self.asked_of[reservation_id]
        was = self.answered.get((steward, reservation_id))
        replies = steward.reserve(self.asked[reservation_id], self.now)
        if reservation_id in self.active:
            assert list(replies) == [was]
        elif was is not None and replies:
            self.answered.pop((steward, reservation_id))
            self.run(steward, replies)

    @rule(data=st.data(), is_doubled=st.booleans())
    def release(self, data, is_doubled):
        if not self.active:
            return
        reservation_id = data.draw(st.sampled_from(sorted(self.active)))
        self.release_one(reservation_id, 1 + is_doubled)

    def release_one(self, reservation_id, times):
        self.active.pop(reservation_id)
        req = ReleaseRequest(reservation_id, 'w', 50)
        for steward in self.stewards:
            for _ in range(times):
                self.run(steward, steward.release(req, self.now))

    @rule(data=st.data())
    def withdraw(self, data):
        if not self.asked:
            return
        reservation_id = data.draw(st.sampled_from(sorted(self.asked)))
        if reservation_id in self.active:
            return
        steward = self.asked_of[reservation_id]
        req = ReleaseRequest(reservation_id, 'w')
        self.run(steward, steward.release(req, self.now))

    @rule(granted=st.booleans(), retry_after=st.floats(0, 1))
    def answer_ask(self, granted, retry_after):
        if not self.asks:
            return
        steward, ask = self.asks.pop(0)
        if granted:
            self.permits.add((steward, ask.order_id))
        actions = steward.permit(ask.order_id, granted, retry_after, self.now)
        self.run(steward, actions)

    @rule()
    def lose_ask(self):
        if self.asks:
            self.asks.pop()

    @rule(ok=st.sampled_from((True, True, True, False)))
    def finish_load(self, ok):
        if self.loads:
            steward, order = self.loads.pop(0)
            self.engine.finish_load(steward, order, ok)

    @rule(index=st.integers(0, 5), is_doubled=st.booleans())
    def deliver_answer(self, index, is_doubled):
        if index >= len(self.engine.answers):
            return
        steward, order, ok = self.engine.answers.pop(index)
        for _ in range(1 + is_doubled):
            if isinstance(order, LoadOrder):
                actions = steward.load_done(order.order_id, ok, self.now)
            elif isinstance(order, EvictOrder):
                actions = steward.evict_done(order.order_id, ok, self.now)
            else:
                actions = steward.fence_done(order.order_id, ok, self.now)
            self.run(steward, actions)

    @rule(is_noticed=st.booleans())
    def lose_answer(self, is_noticed):
        if not self.engine.answers:
            return
        steward, order, _ = self.engine.answers.pop()
        if is_noticed:
            actions = steward.order_unanswered(order.order_id, self.now)
            self.run(steward, actions)

    @rule()
    def measure(self):
        busy = set(self.active.values())
        self.engine.snapshots.append((self.now, self.engine.report(busy)))

    @rule(index=st.integers(0, 3), is_doubled=st.booleans())
    def deliver_report(self, index, is_doubled):
        since = self.now - OPTIONS.report_lag
        fresh = [row for row in self.engine.snapshots if row[0] >= since]
        self.engine.snapshots = fresh
        if index >= len(fresh):
            return
        report = fresh[index][1]
        steward = self.steward
        for _ in range(1 + is_doubled):
            known = self.known_incarnation[steward]
            self.known_incarnation[steward] = max(known, report.incarnation)
            self.run(steward, steward.engine_report(report, self.now))

    @rule()
    def measure_and_deliver(self):
        self.measure()
        self.deliver_report(len(self.engine.snapshots) - 1, False)

    @rule()
    def restart_engine(self):
        self.engine.restart()
        self.loads.clear()
        self.active.clear()

    @rule(seconds=st.sampled_from((0.01, 0.3, 1, 2, 7)))
    def advance(self, seconds):
        self.now += seconds
        for steward in self.stewards:
            self.run(steward, steward.tick(self.now))

    @rule()
    def lose_lease(self):
        self.run(self.steward, self.steward.lease_lost(self.now))

    @rule()
    def renew_lease(self):
        steward = self.steward
        self.run(steward, steward.lease_renewed(float('inf'), self.now))

    @rule()
    def take_over(self):
        old = self.steward
        self.run(old, old.lease_lost(self.now))
        self.start_steward()

    @rule()
    def gather_pins(self):
        steward = self.steward
        for entry in ENTRIES:
            self.floor[entry] = steward.number
            pins = tuple(
                (reservation_id, ref)
                for reservation_id, ref in self.active.items()
                if self.asked[reservation_id].entry == entry
            )
            report = PinReport('w', entry, pins)
            self.run(steward, steward.pins(report, self.now))
        steward.has_pins = True
        self.run(steward, steward.pins_complete(self.now))

    @rule(entry=st.sampled_from(ENTRIES))
    def lose_entry(self, entry):
        steward = self.steward
        self.run(steward, steward.entry_gone(entry, self.now))

    @rule()
    def become_steady(self):
        """Let a quiet period pass, so that runs reach the ordinary state."""
        while self.engine.answers:
            self.deliver_answer(0, False)
        self.gather_pins()
        self.now += OPTIONS.report_lag + OPTIONS.start_within
        self.measure_and_deliver()

    @invariant()
    def slots_are_never_exceeded(self):
        used = len(self.engine.resident) + len(self.engine.loading)
        assert used <= SLOTS

    @invariant()
    def batch_limit_is_never_exceeded(self):
        digest = self.steward.digest(self.now)
        assert digest.running <= BATCH + len(self.active)

    @invariant()
    def adapters_in_use_stay_resident(self):
        assert set(self.active.values()) <= self.engine.resident

    def teardown(self):
        for _ in range(3):
            self.now += 100
            for steward in self.stewards:
                self.run(steward, steward.tick(self.now))
        assert not self.permits, 'permits that were not returned'
        for reservation_id, steward in self.asked_of.items():
            assert (steward, reservation_id) in self.answered


class UncheckedStewardMachine(StewardMachine):
    """The same with an engine that accepts orders of every steward."""

    checks_fencing = False


class LateEvictionsMachine(StewardMachine):
    """The same with evictions that arrive late, until their calls end.

    The engine checks tokens: evictions of former stewards come as late.
    """

    def __init__(self):
        self.is_holding = False
        self.held = []
        super().__init__()

    def execute(self, steward, action):
        if not (self.is_holding and isinstance(action, EvictOrder)):
            super().execute(steward, action)
            return
        self.check_order(steward, action)
        self.held.append((self.now, steward, action))

    @rule(is_holding=st.booleans())
    def hold_evictions(self, is_holding):
        self.is_holding = is_holding

    @rule(index=st.integers(0, 3))
    def arrive(self, index):
        if index < len(self.held):
            _, steward, order = self.held.pop(index)
            self.engine.execute(steward, order)

    @rule(first=st.integers(0, len(REFS) - 1), rounds=st.integers(1, 5))
    def overtake_evictions(self, first, rounds):
        """Let reports and requests pass by the evictions under way."""
        self.ask_for_others(first, False)
        while self.active:
            self.serve_and_release()
        self.is_holding = True
        self.ask_for_others(first + SLOTS, False)
        for _ in range(rounds):
            self.advance(2)
            self.engine.snapshots.clear()
            self.measure_and_deliver()
        for _, _, order in self.held:
            self.reserve(REFS.index(order.ref), 30, 0, ENTRIES[0], 'one', False)
        self.arrive(0)

    @invariant()
    def calls_end(self):
        due = [
            each
            for each in self.held
            if self.now >= each[0] + OPTIONS.call_timeout
        ]
        for each in due:
            self.held.remove(each)
            _, steward, order = each
            actions = steward.order_unanswered(order.order_id, self.now)
            self.run(steward, actions)

    def teardown(self):
        # Calls end within the lifetime of their reservations, which is over
        # when the first of these orders times out.
        self.active.clear()
        super().teardown()


TestLateEvictions = LateEvictionsMachine.TestCase
# A failure takes minutes to shrink.
TestLateEvictions.settings = settings(phases=(Phase.generate,))
TestChecked = StewardMachine.TestCase
TestUnchecked = UncheckedStewardMachine.TestCase
