"""Simulate a few limits nodes on a virtual clock, for `measure_limits`."""

import heapq
import random
from dataclasses import dataclass, field

from mintlanding.core.results import Done
from mintlanding.limits import messages
from mintlanding.limits.options import LimitsOptions, Rate
from mintlanding.limits.policies import POLICIES
from mintlanding.membership.models import Member

RUN_SECONDS, WARMUP_SECONDS, DETECTION_SECONDS = 200.0, 12.0, 2.0
FAULT_AT, PARTITION_END, REPLACE_SECONDS = 60.0, 120.0, 20.0
ZONES = ('a', 'b', 'c')
SHARES = (0.35, 0.35, 0.2, 0.06, 0.04)


@dataclass
class Request:
    at: float
    workspace: str
    tokens: float
    answered_at: float = 0
    is_admitted: bool = False


@dataclass
class Run:
    policy: str
    size: int
    rate: float
    seed: int
    load: float
    skew: bool = False
    flood: bool = False
    fault: str = ''
    now: float = 0
    sent: int = 0
    partitioned_zones: frozenset = frozenset()
    leaving: str = ''
    nodes: dict = field(default_factory=dict)
    zones: dict = field(default_factory=dict)
    seats: dict = field(default_factory=dict)
    wakes: dict = field(default_factory=dict)
    requests: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    heap: list = field(default_factory=list)
    sequence: int = 0

    def simulate(self):
        self.rnd, self.traffic = (
            random.Random(self.seed),
            random.Random(self.seed),
        )
        self.limits = {
            f'w{n}': Rate(self.rate * share, 3 * self.rate * share)
            for n, share in enumerate(SHARES)
        }
        for n in range(self.size):
            self.join(ZONES[n % 3], frozenset((n, n + self.size)))
        self.update_members()
        for workspace in self.limits:
            self.schedule(WARMUP_SECONDS, self.arrive, workspace, True, 0)
        if self.fault in {'death', 'outage'}:
            self.schedule(FAULT_AT, self.kill)
        elif self.fault == 'replace':
            self.schedule(30, self.replace, tuple(self.nodes))
        elif self.fault == 'cut':
            self.schedule(FAULT_AT, self.set_partitioned_zones, frozenset('c'))
            self.schedule(
                PARTITION_END, self.set_partitioned_zones, frozenset()
            )
        while self.heap[0][0] < RUN_SECONDS:
            self.now, _, callback, args = heapq.heappop(self.heap)
            callback(*args)
        return self

    def schedule(self, when, callback, *args):
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, callback, args))

    def join(self, zone, seats=frozenset()):
        name = f'i{len(self.zones)}'
        self.zones[name], self.seats[name] = zone, seats
        cls = POLICIES.get(self.policy)
        self.nodes[name] = cls.from_config(
            name, 1, zone, LimitsOptions(), self.rnd
        )
        self.call_node(name, 'configure', self.limits, 2 * self.size)
        self.call_node(name, 'assign_seats', seats)

    def update_members(self):
        for name in tuple(self.nodes):
            is_partitioned = self.zones[name] in self.partitioned_zones
            live = [
                each
                for each in self.nodes
                if (self.zones[each] in self.partitioned_zones)
                == is_partitioned
            ]
            self.call_node(
                name,
                'observe_members',
                [Member(each, self.zones[each], 'r', each) for each in live],
            )

    def call_node(self, name, method, *args):
        if name not in self.nodes:
            return
        for action in getattr(self.nodes[name], method)(*args, self.now):
            self.execute(name, action)
        wake = max(self.nodes[name].next_wake(self.now), self.now + 1e-4)
        if wake < self.wakes.get(name, 1e18):
            self.wakes[name] = wake
            self.schedule(wake, self.wake, name)

    def wake(self, name):
        self.wakes.pop(name, None)
        self.call_node(name, 'tick')

    def execute(self, name, action):
        if isinstance(action, messages.Send):
            self.sent += 1
            zone, other_zone = self.zones[name], self.zones[action.instance]
            if (zone in self.partitioned_zones) == (
                other_zone in self.partitioned_zones
            ):
                delay = self.rnd.uniform(
                    0.0003, 0.001 if zone == other_zone else 0.002
                )
                self.schedule(
                    self.now + delay,
                    self.call_node,
                    action.instance,
                    'receive',
                    action.message,
                    name,
                )
        elif isinstance(action, messages.SeatsReceived):
            self.seats[name] |= action.seats
        elif isinstance(action, messages.SeatsHandedOver):
            self.seats[name] -= action.seats
        elif isinstance(action, messages.ReserveOutcome):
            request = self.requests[action.request_id]
            request.answered_at = self.now
            request.is_admitted = isinstance(action.outcome, Done)

    def arrive(self, workspace, is_on, switch):
        if self.now > switch:
            is_on, switch = not is_on, self.now + self.traffic.expovariate(0.2)
        limit = self.limits[workspace]
        load = 5 if self.flood and workspace == 'w0' else self.load
        arrival_rate = load / 0.15 * (1.7 if is_on else 0.3)
        self.schedule(
            self.now + self.traffic.expovariate(arrival_rate),
            self.arrive,
            workspace,
            is_on,
            switch,
        )
        tokens = self.traffic.lognormvariate(0, 0.8) * limit.rate * 0.15 * 0.72
        tokens = min(limit.burst * 0.9, tokens)
        names = [name for name in self.nodes if name != self.leaving]
        weights = [1 / (k + 1) if self.skew else 1 for k in range(len(names))]
        name = self.traffic.choices(names, weights)[0]
        request_id = f'{workspace}/{len(self.requests)}'
        self.requests[request_id] = Request(self.now, workspace, tokens)
        self.call_node(name, 'reserve', request_id, workspace, tokens)

    def kill(self):
        node = next(iter(self.nodes.values()))
        view = getattr(node, '_view', None)
        name = view.holder('w0') if view else node.instance
        self.faults.append(self.now)
        self.nodes.pop(name)
        self.schedule(self.now + DETECTION_SECONDS, self.update_members)
        if self.fault == 'death':
            self.schedule(
                self.now + DETECTION_SECONDS + LimitsOptions().takeover,
                self.take_over_seats,
                name,
            )

    def take_over_seats(self, stopped):
        successor = next(iter(self.nodes))
        self.seats[successor] |= self.seats.pop(stopped)
        self.call_node(successor, 'assign_seats', self.seats[successor])

    def replace(self, names):
        self.leaving = names[0]
        self.faults.append(self.now)
        self.join(self.zones[self.leaving])
        self.update_members()
        self.schedule(self.now + 5, self.call_node, self.leaving, 'drain')
        self.schedule(self.now + 8, self.stop)
        if names[1:]:
            self.schedule(self.now + REPLACE_SECONDS, self.replace, names[1:])

    def stop(self):
        self.nodes.pop(self.leaving)
        self.take_over_seats(self.leaving)
        self.leaving = ''
        self.update_members()

    def set_partitioned_zones(self, zones):
        self.faults.append(self.now)
        self.partitioned_zones = zones
        self.schedule(self.now + DETECTION_SECONDS, self.update_members)
