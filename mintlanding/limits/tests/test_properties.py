"""What must hold whatever is lost, doubled, late, cut, paused or restarted."""

import copy
import dataclasses

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mintlanding.core.results import Failed
from mintlanding.limits.options import LimitsOptions, Rate
from mintlanding.limits.tests.fleet import WORKSPACE, Fleet

TERMS = LimitsOptions(term=3, renew=1, pause=5, grace=12, flat_members=24)
ZONED = LimitsOptions(
    term=9, zone_term=3, renew=1, pause=5, grace=20, flat_members=1
)
PLACES = st.integers(0, 3)
TOLERANCE = 1e-6


class LimitsMachine(RuleBasedStateMachine):
    """Nodes of one fleet against a bucket that has seen all answers."""

    options = TERMS
    zones = ('a', 'b')

    @initialize(is_warm=st.sampled_from((True, True, True, False)))
    def begin(self, is_warm):
        self.fleet = Fleet(
            size=4, seat_count=6, options=self.options, zones=self.zones
        )
        self.net = {}
        self.paused = {}
        self.count = 0
        self.lowered_at = None
        self.rate = Rate(100, 300)
        self.first_rate = self.rate
        self.unlowered = set()
        if is_warm:
            self.fleet.run(15, step=0.2)

    @rule(place=PLACES, tokens=st.sampled_from((5, 20, 60, 150, 300)))
    def reserve(self, place, tokens):
        name = self.fleet.names[place]
        if name in self.paused or name not in self.fleet.nodes:
            return
        self.count += 1
        self.fleet.do(
            name, 'reserve', f'r{self.count}@{name}', WORKSPACE, tokens
        )

    @rule(tokens=st.sampled_from((5, 25, 50)))
    def reserve_all_there_is(self, tokens):
        """Let every node ask until it is refused."""
        for name in self.running():
            for _ in range(300 // tokens):
                self.count += 1
                request_id = f'r{self.count}@{name}'
                self.fleet.do(name, 'reserve', request_id, WORKSPACE, tokens)
                answer = self.fleet.answers.get(request_id)
                if answer and isinstance(answer[0][1], Failed):
                    break
        self.deliver_all()

    @rule(place=st.integers(0, 30), part=st.sampled_from((0, 0.5, 1)))
    def settle(self, place, part):
        done = [each for each in self.fleet.admitted if each[2] not in self.net]
        if not done:
            return
        _, tokens, request_id = done[place % len(done)]
        name = request_id.partition('@')[2]
        if name in self.paused or name not in self.fleet.nodes:
            return
        self.net[request_id] = tokens * part
        self.fleet.do(
            name, 'settle', request_id, WORKSPACE, tokens, tokens * part
        )

    @rule(seconds=st.sampled_from((0.001, 0.1, 1, 4)))
    def wait_without_deliveries(self, seconds):
        self.fleet.now += seconds
        for name in self.running():
            self.fleet.do(name, 'tick')

    @rule(seconds=st.sampled_from((0.02, 0.3, 2, 6)))
    def run(self, seconds):
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self.fleet.now = min(end, self.fleet.now + 0.25)
            for name in self.running():
                self.fleet.do(name, 'tick')
            self.deliver_all()

    @rule(place=st.integers(0, 50), how=st.sampled_from(('', 'drop', 'keep')))
    def deliver(self, place, how):
        if not self.fleet.queue:
            return
        place %= len(self.fleet.queue)
        if self.fleet.queue[place][1] in self.paused:
            return
        self.fleet.deliver(place, drop=how == 'drop', keep=how == 'keep')

    @rule()
    def deliver_all(self):
        held = []
        while self.fleet.queue:
            if self.fleet.queue[0][1] in self.paused:
                held.append(self.fleet.queue.pop(0))
            else:
                self.fleet.deliver()
        self.fleet.queue = held

    @rule(place=PLACES)
    def pause(self, place):
        name = self.fleet.names[place]
        if name in self.fleet.nodes and name not in self.paused:
            self.paused[name] = self.fleet.now

    @precondition(lambda self: self.paused)
    @rule()
    def resume(self):
        name, _ = self.paused.popitem()
        self.fleet.do(name, 'tick')

    @rule(place=PLACES)
    def restart(self, place):
        name = self.fleet.names[place]
        self.paused.pop(name, None)
        self.fleet.restart(name)
        self.unlowered.discard(name)
        self.fleet.do(name, 'assign_seats', self.fleet.seats[name])

    @rule(place=PLACES, seen=st.sets(PLACES))
    def disagree(self, place, seen):
        name = self.fleet.names[place]
        if name in self.running():
            live = [self.fleet.names[each] for each in sorted(seen)]
            self.fleet.see(live, at=[name])

    @rule()
    def agree(self):
        self.fleet.see(self.fleet.names, at=self.running())

    @rule(place=PLACES)
    def reclaim(self, place):
        name = self.fleet.names[place]
        if name in self.running():
            self.fleet.do(name, 'assign_seats', self.fleet.seats[name])

    @rule(giver=PLACES, taker=PLACES)
    def move_seat(self, giver, taker):
        """Let the taker have a seat of one that gave it up or is paused."""
        old, new = self.fleet.names[giver], self.fleet.names[taker]
        if old == new or new not in self.running() or not self.fleet.seats[old]:
            return
        paused_at = self.paused.get(old)
        if paused_at is not None:
            if self.fleet.now - paused_at <= self.options.grace:
                return
        seat = min(self.fleet.seats[old])
        self.fleet.seats[old] -= {seat}
        self.fleet.seats[new] |= {seat}
        if paused_at is None:
            self.fleet.do(old, 'assign_seats', self.fleet.seats[old])
        self.fleet.do(new, 'assign_seats', self.fleet.seats[new])

    @precondition(lambda self: self.lowered_at is None)
    @rule()
    def lower_rate(self):
        self.rate = Rate(20, 60)
        self.fleet.rates = {WORKSPACE: self.rate}
        self.unlowered = set(self.fleet.names)
        self.lowered_at = float('inf')

    @precondition(lambda self: self.unlowered)
    @rule(place=PLACES)
    def configure(self, place):
        name = self.fleet.names[place]
        if name in self.running():
            self.fleet.do(name, 'configure', self.fleet.rates, 6)
            self.unlowered.discard(name)

    @rule(place=PLACES)
    def drain(self, place):
        name = self.fleet.names[place]
        if name in self.running():
            self.fleet.do(name, 'drain')

    def running(self):
        return [name for name in self.fleet.names if name not in self.paused]

    @invariant()
    def no_window_exceeds_rate_and_burst(self):
        if not hasattr(self, 'fleet'):
            return
        if self.lowered_at == float('inf') and not self.unlowered:
            self.lowered_at = self.fleet.now
        self.check(self.first_rate, 0)
        if self.lowered_at is not None:
            self.check(self.rate, self.lowered_at)

    def check(self, rate, since):
        level, last = 0.0, since
        for at, tokens, request_id in self.fleet.admitted:
            if at <= since:
                continue
            level = max(0, level - (at - last) * rate.rate)
            level += self.net.get(request_id, tokens)
            last = at
            assert level <= rate.burst + TOLERANCE

    @invariant()
    def a_seat_has_one_user(self):
        if not hasattr(self, 'fleet'):
            return
        users = [seat for name in self.fleet.nodes for seat in self.uses(name)]
        assert len(users) == len(set(users))

    @invariant()
    def all_buckets_together_hold_no_more_than_the_burst(self):
        if not hasattr(self, 'fleet') or self.lowered_at is not None:
            return
        held = 0
        for name, node in self.fleet.nodes.items():
            if name in self.paused:
                node = copy.deepcopy(node)
                node.tick(self.fleet.now)
            pool = node.pools[WORKSPACE]
            pool.expire(self.fleet.now)
            pool.bucket.advance(self.fleet.now)
            held += max(pool.bucket.level, 0) + pool.bucket.flight
        assert held <= self.rate.burst + TOLERANCE

    def uses(self, name):
        now = self.fleet.now
        pool = self.fleet.nodes[name].pools[WORKSPACE]
        is_over = now - self.paused.get(name, now) > self.options.pause
        lent = {seat for seat, each in pool.lent.items() if each.until > now}
        return [
            seat
            for seat, hold in pool.holds.items()
            if hold.until > now and seat not in lent and not is_over
        ]

    @invariant()
    def every_request_has_one_answer_at_most(self):
        if hasattr(self, 'fleet'):
            assert all(len(each) == 1 for each in self.fleet.answers.values())

    def teardown(self):
        if not hasattr(self, 'fleet'):
            return
        while self.paused:
            self.resume()
        self.run(1)
        open_ids = {f'r{number + 1}' for number in range(self.count)}
        answered = {each.partition('@')[0] for each in self.fleet.answers}
        restarted = {
            name
            for name, number in self.fleet.incarnations.items()
            if number > 1
        }
        if not restarted:
            assert open_ids == answered


class ZonedLimitsMachine(LimitsMachine):
    """The same with holders of zones between."""

    options = ZONED


class MixedLimitsMachine(LimitsMachine):
    """The same where each view may be flat or have zones."""

    options = dataclasses.replace(ZONED, flat_members=3)


TestMixedLimits = MixedLimitsMachine.TestCase
TestLimits = LimitsMachine.TestCase
TestZonedLimits = ZonedLimitsMachine.TestCase
