"""Time the decisions of the limits and measure the messages of a fleet.

`pytest benchmarks/bench_limits.py --benchmark-enable` times the calls;
`python -m benchmarks.bench_limits` prints messages and bytes a second, CPU
seconds a second and seconds until all tokens are lent, for fleets of
several sizes on a virtual clock.
"""

import argparse
import heapq
import random
import time
import tracemalloc
from itertools import count

import msgspec
import pytest
from tabulate import tabulate

from mintlanding.limits.messages import Send
from mintlanding.limits.node import LimitsNode
from mintlanding.limits.options import LimitsOptions, Rate
from mintlanding.membership.models import Member

ZONES = 9
SEATS_A_ZONE = 8


def build_members(size):
    return [Member(f'i{n}', f'z{n % ZONES}', 'r', f'i{n}') for n in range(size)]


def build_node(size=400, workspaces=200, name='i0', zone='z0'):
    node = LimitsNode.from_config(
        name, 1, zone, LimitsOptions.for_fleet(), random.Random(name)
    )
    rates = {f'w{n}': Rate(100, 300) for n in range(workspaces)}
    node.configure(rates, ZONES * SEATS_A_ZONE, 0)
    node.observe_members(build_members(size), 0)
    return node


class Fleet:
    """Instances with seats on a virtual clock; a message takes 1 ms."""

    def __init__(self, size, workspaces):
        self.now, self.heap, self.sequence = 0.0, [], count()
        self.sent = self.bytes = 0
        self.nodes = {}
        for n in range(size):
            name = f'i{n}'
            self.nodes[name] = build_node(
                size, workspaces, name, f'z{n % ZONES}'
            )
        seats = ZONES * SEATS_A_ZONE
        for n in range(min(size, seats)):
            self.call_node(
                f'i{n}', 'assign_seats', frozenset(range(n, seats, size))
            )
        for name in self.nodes:
            self.push(random.Random(name).random() * 4, name, 'tick')

    def push(self, when, name, method, *args):
        heapq.heappush(
            self.heap, (when, next(self.sequence), name, method, args)
        )

    def call_node(self, name, method, *args):
        for action in getattr(self.nodes[name], method)(*args, self.now):
            if isinstance(action, Send):
                self.sent += 1
                self.bytes += len(msgspec.msgpack.encode(action.message))
                self.push(
                    self.now + 0.001,
                    action.instance,
                    'receive',
                    action.message,
                    name,
                )
        if method == 'tick':
            wake = self.nodes[name].next_wake(self.now)
            self.push(max(wake, self.now + 0.01), name, 'tick')

    def run(self, until):
        while self.heap[0][0] < until:
            self.now, _, name, method, args = heapq.heappop(self.heap)
            self.call_node(name, method, *args)


def measure_cost(size, workspaces, seconds=24):
    """Return the cost of loans per node and second, without traffic."""
    fleet = Fleet(size, workspaces)
    fleet.run(60)
    fleet.sent = fleet.bytes = 0
    started = time.process_time()
    fleet.run(60 + seconds)
    cpu = time.process_time() - started
    full_buckets = sum(
        any(
            node.pools[name].bucket.capacity > 299
            for node in fleet.nodes.values()
        )
        for name in next(iter(fleet.nodes.values())).pools
    )
    node_seconds = size * seconds
    return [
        size,
        workspaces,
        fleet.sent / node_seconds,
        fleet.bytes / node_seconds,
        100 * cpu / node_seconds,
        full_buckets,
    ]


def test_reserve_at_the_holder(benchmark):
    node = LimitsNode.from_config(
        'i0', 1, 'a', LimitsOptions(), random.Random(1)
    )
    node.configure({'w': Rate(1e12, 1e12)}, 1, 0)
    node.assign_seats(frozenset((0,)), 0)
    node.tick(5)
    clock, names = count(5000, 1), count()

    def reserve_and_settle():
        now, name = next(clock) / 1000, f'r{next(names)}'
        node.reserve(name, 'w', 100, now)
        node.settle(name, 'w', 100, 60, now)

    benchmark.pedantic(reserve_and_settle, rounds=2000, iterations=5)


@pytest.mark.parametrize('workspaces', [10, 200, 2000])
def test_tick_with_400_members(benchmark, workspaces):
    node = build_node(workspaces=workspaces)
    node.assign_seats(frozenset((0,)), 0)
    clock = count(10, 5)
    benchmark.pedantic(lambda: node.tick(next(clock)), rounds=50)


@pytest.mark.parametrize('workspaces', [200, 2000])
def test_change_of_members_at_400(benchmark, workspaces):
    node = build_node(workspaces=workspaces)
    views = [build_members(400), build_members(399)]
    turns = count()
    benchmark.pedantic(
        lambda: node.observe_members(views[next(turns) % 2], 1),
        rounds=10,
    )


def measure_memory(workspaces):
    """Return the bytes of memory per workspace on one instance."""
    tracemalloc.start()
    node = build_node(workspaces=workspaces)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / len(node.pools)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='50,100,200,400')
    parser.add_argument('--workspaces', default='50,200')
    options = parser.parse_args()
    rows = [
        measure_cost(int(size), int(number))
        for number in options.workspaces.split(',')
        for size in options.sizes.split(',')
    ]
    heads = [
        'members',
        'workspaces',
        'messages_s',
        'bytes_s',
        'cpu_percent',
        'whole',
    ]
    print(tabulate(rows, heads, floatfmt='.3f'))
    print(f'bytes of memory a workspace: {measure_memory(2000):.0f}')


if __name__ == '__main__':
    main()
