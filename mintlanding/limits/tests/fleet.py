"""Limits nodes that share a clock; tests deliver their messages."""

import random

from mintlanding.core.results import Done
from mintlanding.limits.messages import (
    ReserveOutcome,
    SeatsHandedOver,
    SeatsLost,
    SeatsReceived,
    Send,
)
from mintlanding.limits.node import LimitsNode
from mintlanding.limits.options import LimitsOptions, Rate
from mintlanding.membership.models import Member, MemberState

WORKSPACE = 'quotes'
RATE = Rate(100, 300)


def member(name, zone='a', state=MemberState.live, incarnation=1):
    return Member(name, zone, 'region', name, incarnation, state)


class Fleet:
    """Nodes with evenly distributed seats; `queue` has messages in flight."""

    def __init__(
        self,
        size=3,
        seat_count=6,
        rates=None,
        options=None,
        now=1000.0,
        zones=('a',),
    ):
        self.now = now
        self.options = options or LimitsOptions()
        self.rates = rates or {WORKSPACE: RATE}
        self.seat_count = seat_count
        self.names = [f'i{number}' for number in range(size)]
        self.zones = {
            name: zones[place % len(zones)]
            for place, name in enumerate(self.names)
        }
        self.seats = {
            name: frozenset(range(place, seat_count, size))
            for place, name in enumerate(self.names)
        }
        self.incarnations = dict.fromkeys(self.names, 1)
        self.queue = []
        self.answers = {}
        self.admitted = []
        self.sent = 0
        self.lost = set()
        self.nodes = {name: self.build(name) for name in self.names}
        for name in self.names:
            self.do(name, 'assign_seats', self.seats[name])
        self.see(self.names)

    def build(self, name):
        node = LimitsNode.from_config(
            name,
            self.incarnations[name],
            self.zones[name],
            self.options,
            random.Random(name),
        )
        node.configure(self.rates, self.seat_count, self.now)
        return node

    def see(self, live, at=None):
        members = [member(name, self.zones[name]) for name in live]
        for name in at or self.nodes:
            self.do(name, 'observe_members', members)

    def do(self, name, method, *args):
        actions = getattr(self.nodes[name], method)(*args, self.now)
        for action in actions:
            self.carry(name, action)

    def carry(self, name, action):
        if isinstance(action, Send):
            self.sent += 1
            self.queue.append((name, action.instance, action.message))
        elif isinstance(action, SeatsLost):
            self.lost.add(name)
        elif isinstance(action, SeatsHandedOver):
            self.seats[name] -= action.seats
        elif isinstance(action, SeatsReceived):
            self.seats[name] |= action.seats
        elif isinstance(action, ReserveOutcome):
            answers = self.answers.setdefault(action.request_id, [])
            answers.append((self.now, action.outcome))
            if isinstance(action.outcome, Done):
                tokens = action.outcome.value.tokens
                self.admitted.append((self.now, tokens, action.request_id))

    def deliver(self, place=0, drop=False, keep=False):
        sender, receiver, message = self.queue[place]
        if not keep:
            self.queue.pop(place)
        if not drop and receiver in self.nodes:
            self.do(receiver, 'receive', message, sender)

    def deliver_all(self, limit=2000):
        while self.queue and limit:
            limit -= 1
            self.deliver()

    def run(self, seconds, step=0.01):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + step)
            for name in tuple(self.nodes):
                if self.nodes[name].next_wake(self.now) <= self.now:
                    self.do(name, 'tick')
            self.deliver_all()

    def restart(self, name):
        self.incarnations[name] += 1
        self.nodes[name] = self.build(name)

    def outcome(self, request_id):
        ((_, outcome),) = self.answers[request_id]
        return outcome

    def is_done(self, request_id):
        return isinstance(self.outcome(request_id), Done)

    def level(self, workspace=WORKSPACE):
        buckets = [node.pools[workspace].bucket for node in self.nodes.values()]
        for bucket in buckets:
            bucket.advance(self.now)
        return sum(bucket.level for bucket in buckets)

    def holder(self, workspace=WORKSPACE):
        node = next(iter(self.nodes.values()))
        return node._view.holder(workspace)

    def worst_overshoot(self, rate=RATE):
        """Return the largest excess of any window over rate * t + burst."""
        worst = level = 0.0
        last = None
        for at, tokens, _ in sorted(self.admitted):
            if last is not None:
                level = max(0.0, level - (at - last) * rate.rate)
            last = at
            level += tokens
            worst = max(worst, level - rate.burst)
        return worst if self.admitted else 0.0
