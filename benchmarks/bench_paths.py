"""Cost of the paths through members.

`make bench` times the decision with 600 targets and 400 members. Run as
`python -m benchmarks.bench_paths [seconds]`, the module measures what a path
costs a request, with stand-ins of targets and ten instances in one process:
latency at the callers, and processor time for each request over all instances.
"""

import asyncio
import sys
import time
from contextlib import ExitStack
from statistics import quantiles

import pytest

from mintlanding.http1.models import ClientOptions
from mintlanding.node.path_client import PathClient, PathIdentity
from mintlanding.paths.path_table import PathTable
from mintlanding.platform.records import decode_target
from mintlanding.platform.tests.partition import TargetPartition
from mintlanding.platform.tests.samples import ENTRY, encode
from mintlanding.platform.tests.world import ORDER, World

TARGETS = 600
MEMBERS = 400
INSTANCES = 10
# Instances that reach no target.
CUT_COUNTS = (0, 1, 5)
PAUSE_SECONDS = 0.02
# Time in which cut instances find out that they are.
LEARN_SECONDS = 3


def _table(cut):
    table = PathTable()
    keys = [(f't{number}', 1) for number in range(TARGETS)]
    for number, key in enumerate(keys):
        table.record_direct(key, number / 1000)
    for key in keys[: int(TARGETS * cut)]:
        table.record_indirect(key, 1, 1)
    return table, keys


@pytest.mark.parametrize('cut', [0, 0.1, 0.5, 1])
def test_path_or_target(benchmark, cut):
    table, keys = _table(cut)

    def decide():
        for key in keys[::60]:
            if not table.is_cut(key):
                table.may_reuse(key)

    benchmark(decide)


@pytest.mark.parametrize('cut', [0.1, 0.5, 1])
def test_is_cut_off_and_probes(benchmark, cut):
    table, keys = _table(cut)

    def look():
        table.is_cut_off(keys)
        table.due_probes(1.1, 4)

    benchmark(look)


def test_order_of_members(benchmark):
    helpers = [('10.0.0.1', 1000 + number) for number in range(MEMBERS)]
    client = PathClient(
        lambda: PathIdentity('n0', b'k'), lambda: helpers, ClientOptions()
    )
    target = decode_target('t0', encode(ENTRY))
    benchmark(client._in_order, target, 1.0)


async def _ask(world, node, seconds, found):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        began = time.monotonic()
        status, *_ = await world.ask(ORDER, node=node)
        found.append((time.monotonic() - began, status))
        await asyncio.sleep(PAUSE_SECONDS)


async def _load(world, seconds):
    found = [[] for _ in range(INSTANCES)]
    spent = time.process_time()
    await asyncio.gather(
        *(_ask(world, node, seconds, found[node]) for node in range(INSTANCES))
    )
    return found, time.process_time() - spent


def _line(label, rows):
    if not rows:
        return ''
    times = quantiles([each for each, _ in rows], n=100)
    served = sum(status == 200 for _, status in rows)
    return (
        f'  {label:6} {served} of {len(rows)} served, p50 '
        f'{times[49] * 1000:.1f} ms, p99 {times[98] * 1000:.1f} ms\n'
    )


async def measure(seconds):
    """Print latency and processor time at several numbers of cut instances."""
    for count in CUT_COUNTS:
        world = await World().start(instances=INSTANCES)
        with ExitStack() as stack:
            for node in world.nodes[:count]:
                cut = TargetPartition(world, node, refuses=False)
                stack.enter_context(cut)
            await _load(world, LEARN_SECONDS)
            found, spent = await _load(world, seconds)
        await world.stop()
        cut_rows = [row for rows in found[:count] for row in rows]
        others = [row for rows in found[count:] for row in rows]
        requests = len(cut_rows) + len(others)
        sys.stdout.write(
            f'{count} of {INSTANCES} cut: {spent / requests * 1e3:.2f} ms of '
            'processor time a request, callers and targets included\n'
            + _line('cut', cut_rows)
            + _line('others', others)
        )


if __name__ == '__main__':
    asyncio.run(measure(float((*sys.argv[1:], '10')[0])))
