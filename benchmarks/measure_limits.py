"""Wrongful refusals, overshoot and messages of the limits policies.

Drives the decision code on a virtual clock with delayed delivery:
`python -m benchmarks.measure_limits --seed 1`. A refusal is wrongful if one
bucket fed with the admitted requests, in order of arrival, had the tokens.
"""

import argparse
import heapq
import random
from dataclasses import dataclass, field, fields

from tabulate import tabulate

from mintlanding.core.results import Done
from mintlanding.limits import messages
from mintlanding.limits.policies import POLICIES
from mintlanding.limits.terms import Rate, Terms
from mintlanding.membership.models import Member

SECONDS, WARM, DETECT, RECOVERY = 200.0, 12.0, 2.0, 12.0
FAULT_AT, CUT_END, REPLACE_EVERY = 60.0, 120.0, 20.0
ZONES = ('a', 'b', 'c')
SHARES = (0.35, 0.35, 0.2, 0.06, 0.04)
CUSTOMERS = {'azulejo': (7, 6000.0), 'kettle-valley': (8, 9000.0)}
SCENARIOS = {
    'load 0.7': {'load': 0.7},
    'load 0.9': {'load': 0.9},
    'skewed callers 0.9': {'load': 0.9, 'skew': True},
    'one at 5x, others 0.7': {'load': 0.7, 'flood': True},
    'holder dies 0.7': {'load': 0.7, 'fault': 'death'},
    'holder dies in outage 0.7': {'load': 0.7, 'fault': 'outage'},
    'rolling replacement 0.7': {'load': 0.7, 'fault': 'replace'},
    'zone cut 0.7': {'load': 0.7, 'fault': 'cut'},
}


@dataclass
class Row:
    customer: str
    scenario: str
    policy: str
    requests: int
    refused_percent: float
    wrongful_percent: float
    wrongful_outside_faults_percent: float
    overshoot_tokens: float
    messages_s: float


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
    cut: frozenset = frozenset()
    leaving: str = ''
    nodes: dict = field(default_factory=dict)
    zones: dict = field(default_factory=dict)
    seats: dict = field(default_factory=dict)
    wakes: dict = field(default_factory=dict)
    requests: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    heap: list = field(default_factory=list)
    order: int = 0

    def go(self):
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
        self.see()
        for workspace in self.limits:
            self.at(WARM, self.arrive, workspace, True, 0)
        if self.fault in {'death', 'outage'}:
            self.at(FAULT_AT, self.kill)
        elif self.fault == 'replace':
            self.at(30, self.replace, tuple(self.nodes))
        elif self.fault == 'cut':
            self.at(FAULT_AT, self.set_cut, frozenset('c'))
            self.at(CUT_END, self.set_cut, frozenset())
        while self.heap[0][0] < SECONDS:
            self.now, _, what, args = heapq.heappop(self.heap)
            what(*args)
        return self

    def at(self, when, what, *args):
        self.order += 1
        heapq.heappush(self.heap, (when, self.order, what, args))

    def join(self, zone, seats=frozenset()):
        name = f'i{len(self.zones)}'
        self.zones[name], self.seats[name] = zone, seats
        cls = POLICIES.get(self.policy)
        self.nodes[name] = cls.from_config(name, 1, zone, Terms(), self.rnd)
        self.do(name, 'configure', self.limits, 2 * self.size)
        self.do(name, 'own_seats', seats)

    def see(self):
        for name in tuple(self.nodes):
            side = self.zones[name] in self.cut
            live = [
                each
                for each in self.nodes
                if (self.zones[each] in self.cut) == side
            ]
            self.do(
                name,
                'observe_members',
                [Member(each, self.zones[each], 'r', each) for each in live],
            )

    def do(self, name, method, *args):
        if name not in self.nodes:
            return
        for action in getattr(self.nodes[name], method)(*args, self.now):
            self.carry(name, action)
        wake = max(self.nodes[name].next_wake(self.now), self.now + 1e-4)
        if wake < self.wakes.get(name, 1e18):
            self.wakes[name] = wake
            self.at(wake, self.wake, name)

    def wake(self, name):
        self.wakes.pop(name, None)
        self.do(name, 'tick')

    def carry(self, name, action):
        if isinstance(action, messages.Send):
            self.sent += 1
            mine, other = self.zones[name], self.zones[action.instance]
            if (mine in self.cut) == (other in self.cut):
                delay = self.rnd.uniform(
                    0.0003, 0.001 if mine == other else 0.002
                )
                self.at(
                    self.now + delay,
                    self.do,
                    action.instance,
                    'receive',
                    action.message,
                    name,
                )
        elif isinstance(action, messages.SeatsReceived):
            self.seats[name] |= action.seats
        elif isinstance(action, messages.SeatsHandedOver):
            self.seats[name] -= action.seats
        elif isinstance(action, messages.Answer):
            request = self.requests[action.request_id]
            request.answered_at = self.now
            request.is_admitted = isinstance(action.outcome, Done)

    def arrive(self, workspace, is_on, switch):
        if self.now > switch:
            is_on, switch = not is_on, self.now + self.traffic.expovariate(0.2)
        limit = self.limits[workspace]
        load = 5 if self.flood and workspace == 'w0' else self.load
        pace = load / 0.15 * (1.7 if is_on else 0.3)
        self.at(
            self.now + self.traffic.expovariate(pace),
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
        self.do(name, 'reserve', request_id, workspace, tokens)

    def kill(self):
        node = next(iter(self.nodes.values()))
        view = getattr(node, '_view', None)
        name = view.root('w0') if view else node.instance
        self.faults.append(self.now)
        self.nodes.pop(name)
        self.at(self.now + DETECT, self.see)
        if self.fault == 'death':
            self.at(self.now + DETECT + Terms().takeover, self.take, name)

    def take(self, dead):
        heir = next(iter(self.nodes))
        self.seats[heir] |= self.seats.pop(dead)
        self.do(heir, 'own_seats', self.seats[heir])

    def replace(self, names):
        self.leaving = names[0]
        self.faults.append(self.now)
        self.join(self.zones[self.leaving])
        self.see()
        self.at(self.now + 5, self.do, self.leaving, 'drain')
        self.at(self.now + 8, self.stop)
        if names[1:]:
            self.at(self.now + REPLACE_EVERY, self.replace, names[1:])

    def stop(self):
        self.nodes.pop(self.leaving)
        self.take(self.leaving)
        self.leaving = ''
        self.see()

    def set_cut(self, zones):
        self.faults.append(self.now)
        self.cut = zones
        self.at(self.now + DETECT, self.see)

    def wrongful(self):
        """List the arrivals of requests that were refused wrongly."""
        levels = {
            name: (limit.burst, WARM) for name, limit in self.limits.items()
        }
        found = []
        for each in self.requests.values():
            limit, (level, last) = (
                self.limits[each.workspace],
                levels[each.workspace],
            )
            level = min(limit.burst, level + (each.at - last) * limit.rate)
            if each.is_admitted:
                level -= each.tokens
            elif each.answered_at and level >= each.tokens:
                found.append(each.at)
            levels[each.workspace] = (level, each.at)
        return found

    def overshoot(self):
        """Return the most tokens that any window got above its bound."""
        worst = -1e18
        for name, limit in self.limits.items():
            admitted = [
                each
                for each in self.requests.values()
                if each.is_admitted and each.workspace == name
            ]
            level, last = 0.0, 0.0
            for each in sorted(admitted, key=lambda one: one.answered_at):
                level = (
                    max(0, level - (each.answered_at - last) * limit.rate)
                    + each.tokens
                )
                last = each.answered_at
                worst = max(worst, level - limit.burst)
        return worst

    def row(self, customer, scenario):
        wrong, total = self.wrongful(), len(self.requests)
        refused = sum(not each.is_admitted for each in self.requests.values())
        recovery = RECOVERY + (CUT_END - FAULT_AT if self.fault == 'cut' else 0)
        calm = [
            at
            for at in wrong
            if not any(0 <= at - one <= recovery for one in self.faults)
        ]
        shares = [
            100 * count / total for count in (refused, len(wrong), len(calm))
        ]
        return Row(
            customer,
            scenario,
            self.policy,
            total,
            *shares,
            self.overshoot(),
            self.sent / SECONDS / self.size,
        )


def rows(seed, customers=CUSTOMERS, scenarios=SCENARIOS):
    """Return a row for each customer, scenario and policy."""
    return [
        Run(policy, size, rate, seed, **options).go().row(customer, scenario)
        for customer, (size, rate) in customers.items()
        for scenario, options in scenarios.items()
        for policy in POLICIES.names()
    ]


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    found = rows(parser.parse_args().seed)
    heads = [each.name for each in fields(Row)]
    print(
        tabulate([vars(each).values() for each in found], heads, floatfmt='.3f')
    )


if __name__ == '__main__':
    main()
