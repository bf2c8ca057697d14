"""Run soak tests: `python -m soak --seed 1 --seconds 20`."""

import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path

import fire

from soak.callers import ROUTES, Callers
from soak.checks import find_broken_promises
from soak.faults import FAULTS
from soak.world import World

# Time after the faults within which every kind of request is served again, as
# the users require.
RECOVER_SECONDS = 12


async def run_soak(seed, seconds, folder, names=(), instances=4):
    """Run one soak; return its faults, its callers and the broken promises.

    Faults are drawn from `names`, by default from all.
    """
    rnd = random.Random(seed)
    world = World(folder, instances)
    drawn = []
    try:
        await world.start()
        callers = Callers(world, random.Random(seed))
        calling = asyncio.create_task(callers.run())
        await inject_faults(world, rnd, seconds, drawn, names)
        callers.is_stopped = True
        await calling
        await world.wait_ready()
        broken = [
            *find_broken_promises(world, callers),
            *await find_unserved_kinds(callers),
        ]
    finally:
        await world.stop()
    return drawn, callers, broken


async def inject_faults(world, rnd, seconds, drawn, names):
    """Start random faults that may overlap; wait until all have ended."""
    names = names or FAULTS.names()
    until = time.monotonic() + seconds
    running = set()
    while time.monotonic() < until:
        name = rnd.choice(names)
        drawn.append(name)
        task = asyncio.create_task(FAULTS.get(name)(world, rnd))
        running.add(task)
        await asyncio.sleep(rnd.uniform(0.3, 2.5))
    await asyncio.gather(*running)


async def find_unserved_kinds(callers):
    """Return a line for each kind of request not served again in time."""
    until = time.monotonic() + RECOVER_SECONDS
    unserved = set(ROUTES)
    while unserved and time.monotonic() < until:
        for kind in sorted(unserved):
            if await callers.is_served(kind):
                unserved.discard(kind)
        await asyncio.sleep(0.2)
    return [f'{kind} was not served again' for kind in sorted(unserved)]


def run(seed=1, seconds=20, seeds=1, keep='', faults=(), instances=4):
    """Run soaks with consecutive seeds; exit 1 if a promise was broken.

    Args:
        seed: The first seed.
        seconds: How long faults are started.
        seeds: Number of soaks.
        keep: Folder for the logs of failed soaks.
        faults: Names of the faults to draw from, by default all.
        instances: Number of instances.
    """
    failed = 0
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as folder:
            try:
                drawn, callers, broken = asyncio.run(
                    run_soak(number, seconds, folder, faults, instances),
                )
            except TimeoutError:
                sys.stdout.write(f'seed {number}: not ready in time\n')
                failed += 1
                _keep(folder, keep, number)
                continue
            whole = sum(each.status == 200 for each in callers.outcomes)
            sys.stdout.write(
                f'seed {number}: {len(drawn)} faults, {len(callers.outcomes)} '
                f'requests, {whole} served, {_describe_orders(callers.world)}, '
                f'{len(broken)} broken\n',
            )
            if broken:
                failed += 1
                sys.stdout.write(f'  faults: {", ".join(drawn)}\n')
                sys.stdout.writelines(f'  {line}\n' for line in broken[:20])
                _keep(folder, keep, number)
    sys.exit(1 if failed else 0)


def _describe_orders(world):
    orders = [
        order for engine in world.engines for order in engine.arrivals_of_orders
    ]
    held = sum(order.held > 0 for order in orders)
    turns = {
        (engine.name, order.holder, order.token)
        for engine in world.engines
        for order in engine.arrivals_of_orders
    }
    return f'{len(orders)} orders, {held} late, {len(turns)} turns'


def _keep(folder, keep, number):
    if not keep:
        return
    destination = Path(keep) / f'seed-{number}'
    destination.mkdir(parents=True, exist_ok=True)
    for log in Path(folder).glob('*.log'):
        (destination / log.name).write_bytes(log.read_bytes())


if __name__ == '__main__':
    fire.Fire(run, name='soak')
