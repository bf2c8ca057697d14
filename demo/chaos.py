"""Inject faults into a fleet of processes under traffic and check its promises.

The checks compare the responses to callers with the records of the targets.
None depends on the speed of the machine.
"""

import asyncio
import os
import random
import sys
import tempfile
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field, replace

import fire

from demo.__main__ import start_world
from demo.clients import Response
from demo.faults import FAULTS
from demo.fleet import Fleet, make_folder
from demo.seed import SMALL_BURST, SMALL_RATE
from demo.sizes import SIZES
from demo.table import Row, render
from demo.world import World, poll

PAUSE_SECONDS = 0.1
RECOVER_SECONDS = 60
FLOOD_TOKENS = 100
FLOOD_PAUSE_SECONDS = 0.02
STREAM_TOKENS = 40
DONE = b'data: [DONE]\n\n'
_CONCURRENT_FAULTS = (1, 1, 2)


@dataclass(slots=True)
class Observations:
    """The responses to the callers, by kind of request."""

    whole: list[tuple[str, Response]] = field(default_factory=list)
    streams: list[tuple[str, Response]] = field(default_factory=list)
    orders: dict[str, Response] = field(default_factory=dict)
    flood: list[Response] = field(default_factory=list)
    started: float = 0
    flood_ended: float = 0


async def drive(
    world: World, observed: Observations, stop: asyncio.Event
) -> None:
    """Send traffic of every kind until `stop` is set."""
    observed.started = time.monotonic()
    await asyncio.gather(
        _complete(world, observed, stop),
        _stream(world, observed, stop),
        _order(world, observed, stop),
        _flood(world, observed, stop),
    )


async def inject_faults(
    world: World,
    seconds: float,
    rnd: random.Random,
) -> list[str]:
    """Inject random faults, sometimes two at once; return their names."""
    injected: list[str] = []
    until = time.monotonic() + seconds
    names = [name for name, _ in FAULTS]
    rnd.shuffle(names)
    while time.monotonic() < until:
        count = rnd.choice(_CONCURRENT_FAULTS)
        chosen = [names[(len(injected) + n) % len(names)] for n in range(count)]
        injected.extend(chosen)
        world.print_progress(' and '.join(chosen))
        await asyncio.gather(
            *(FAULTS.get(name)(world, rnd) for name in chosen),
        )
        await asyncio.sleep(rnd.uniform(0.5, 2))
    return injected


async def check_promises(world: World, observed: Observations) -> list[Row]:
    """Compare the responses to callers with the records of the targets."""
    runs: Counter[str] = Counter()
    evicted = keys = 0
    for name in (*world.engines(), *world.plain()):
        found = await world.side_ports.records(name)
        runs.update(found['counts'])
        evicted += found['counts'].get('evict while running', 0)
        for record in found['records']:
            names = set(record.get('headers', ()))
            keys += bool(names & {'authorization', 'x-api-key', 'cookie'})
    return [
        *_check_responses(observed),
        *_check_orders(observed, runs),
        _check_flood(observed),
        Row('adapters evicted in use', evicted == 0, str(evicted)),
        Row("targets that saw a caller's key", keys == 0, str(keys)),
    ]


def _check_responses(observed: Observations) -> list[Row]:
    good = [each for each in observed.whole if each[1].is_ok]
    wrong = [
        model
        for model, response in good
        if response.document['model'] != f'{model}@1'
    ]
    ended = [each for each in observed.streams if each[1].body.endswith(DONE)]
    broken = [model for model, response in ended if not _is_in_order(response)]
    return [
        Row(
            'answers by the adapter and version asked for',
            bool(good) and not wrong,
            f'{len(good) - len(wrong)} of {len(good)}, '
            f'others {_codes(observed.whole)}',
        ),
        Row(
            'ended streams whole and in order',
            bool(ended) and not broken,
            f'{len(ended) - len(broken)} of {len(ended)}, '
            f'others {_codes(observed.streams)}',
        ),
    ]


def _check_orders(observed: Observations, runs: Counter[str]) -> list[Row]:
    counted = {order: runs[f'order {order}'] for order in observed.orders}
    doubled = [order for order, count in counted.items() if count > 1]
    good = [
        order for order, response in observed.orders.items() if response.is_ok
    ]
    lost = [order for order in good if counted[order] != 1]
    refused = [
        order
        for order, response in observed.orders.items()
        if response.ran == 'not_run'
    ]
    false_refusals = [order for order in refused if counted[order]]
    return [
        Row(
            'orders run twice', not doubled, f'{len(doubled)} of {len(counted)}'
        ),
        Row(
            'orders confirmed and recorded',
            bool(good) and not lost,
            f'{len(good) - len(lost)} of {len(good)}',
        ),
        Row(
            'refusals "not run" that were true',
            not false_refusals,
            f'{len(refused) - len(false_refusals)} of {len(refused)}',
        ),
    ]


def _check_flood(observed: Observations) -> Row:
    used = sum(
        int(response.document.get('usage', {}).get('total_tokens', 0))
        for response in observed.flood
        if response.is_ok
    )
    elapsed = observed.flood_ended - observed.started
    bound = SMALL_RATE * elapsed + SMALL_BURST
    return Row(
        'a flooding tenant stays within rate and burst',
        0 < used <= bound,
        f'{used} of {bound:.0f} tokens',
    )


def _codes(responses: list[tuple[str, Response]]) -> str:
    counts = Counter(
        response.code or response.status
        for _, response in responses
        if not response.is_ok or not response.body
    )
    slowest = max((response.seconds for _, response in responses), default=0)
    return f'{dict(counts)}, slowest {slowest:.1f} s'


def _is_in_order(response: Response) -> bool:
    numbers = [
        int(line.removeprefix(b'id: '))
        for line in response.body.split(b'\n')
        if line.startswith(b'id: ')
    ]
    return numbers == list(range(1, STREAM_TOKENS + 1))


async def _complete(
    world: World, observed: Observations, stop: asyncio.Event
) -> None:
    workspace = world.fleet.size.workspaces[0]
    caller = world.caller(workspace)
    models = world.adapters(workspace, 8)
    turn = 0
    while not stop.is_set():
        turn += 1
        model = models[turn % len(models)]
        observed.whole.append((model, await caller.complete(model)))
        await asyncio.sleep(PAUSE_SECONDS)


async def _stream(
    world: World, observed: Observations, stop: asyncio.Event
) -> None:
    workspace = world.fleet.size.workspaces[1]
    caller = world.caller(workspace)
    model = world.adapters(workspace, 1)[0]
    while not stop.is_set():
        response = await caller.complete(
            model, stream=True, tokens=STREAM_TOKENS
        )
        observed.streams.append((model, response))
        await asyncio.sleep(PAUSE_SECONDS)


async def _order(
    world: World, observed: Observations, stop: asyncio.Event
) -> None:
    caller = world.caller(world.fleet.size.workspaces[0])
    while not stop.is_set():
        order_id = uuid.uuid4().hex
        observed.orders[order_id] = await caller.order(order_id, order_id)
        await asyncio.sleep(PAUSE_SECONDS)


async def _flood(
    world: World, observed: Observations, stop: asyncio.Event
) -> None:
    workspace = world.fleet.size.workspaces[-1]
    caller = world.caller(workspace)
    model = world.adapters(workspace, 1)[0]
    tasks = []
    while not stop.is_set():
        call = caller.complete(model, tokens=FLOOD_TOKENS)
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(FLOOD_PAUSE_SECONDS)
    observed.flood_ended = time.monotonic()
    observed.flood.extend(await asyncio.gather(*tasks))


async def run(seed: int, seconds: float) -> int:
    """Run one seed; return the exit code."""
    size = replace(SIZES['small'], instances=6)
    root = os.environ.get('DEMO_FOLDER', tempfile.gettempdir())
    fleet = Fleet.from_size(size, make_folder(root))
    rnd = random.Random(seed)  # noqa: S311
    observed, stop = Observations(), asyncio.Event()
    try:
        world = await start_world(fleet)
        traffic = asyncio.create_task(drive(world, observed, stop))
        injected = await inject_faults(world, seconds, rnd)
        stop.set()
        await traffic
        recovered = await poll(
            lambda: _is_served_everywhere(world), RECOVER_SECONDS
        )
        rows = await check_promises(world, observed)
    finally:
        await fleet.stop()
    figure = 'no' if recovered is None else f'{recovered:.1f} s'
    rows.append(
        Row('every entry serves afterwards', bool(figure != 'no'), figure)
    )
    print(render(rows))  # noqa: WPS421
    summary = f'seed {seed}, {len(injected)} faults, logs: {fleet.folder}'
    print(summary)  # noqa: WPS421
    return 0 if all(row.is_held for row in rows) else 1


async def _is_served_everywhere(world: World) -> bool:
    workspace = world.fleet.size.workspaces[0]
    caller = world.caller(workspace)
    model = world.adapters(workspace, 1)[0]
    responses = await asyncio.gather(
        *(
            caller.complete(model, tokens=1, instance=each)
            for each in world.fleet.instances
        ),
    )
    return all(response.is_ok for response in responses)


def main(seed: int = 1, seconds: float = 60) -> None:
    """Inject faults into a small fleet of processes under traffic.

    Args:
        seed: Seed of the faults and their order.
        seconds: How long to inject faults.
    """
    sys.exit(asyncio.run(run(seed, seconds)))


if __name__ == '__main__':
    fire.Fire(main)
