"""Break a fleet of real processes under traffic and ask the records.

The verdict comes from what callers were told and what targets recorded; no
check depends on how fast the machine is.
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
from demo.clients import Reply
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
_AT_ONCE = (1, 1, 2)


@dataclass(slots=True)
class Observed:
    """What the callers were told."""

    whole: list[tuple[str, Reply]] = field(default_factory=list)
    streams: list[tuple[str, Reply]] = field(default_factory=list)
    orders: dict[str, Reply] = field(default_factory=dict)
    flood: list[Reply] = field(default_factory=list)
    started: float = 0
    flood_ended: float = 0


async def drive(world: World, seen: Observed, stop: asyncio.Event) -> None:
    """Send traffic of every kind until told to stop."""
    seen.started = time.monotonic()
    await asyncio.gather(
        _complete(world, seen, stop),
        _stream(world, seen, stop),
        _order(world, seen, stop),
        _flood(world, seen, stop),
    )


async def break_things(
    world: World,
    seconds: float,
    rnd: random.Random,
) -> list[str]:
    """Draw faults, now and then two at once; return what was drawn."""
    drawn: list[str] = []
    until = time.monotonic() + seconds
    names = [name for name, _ in FAULTS]
    rnd.shuffle(names)
    while time.monotonic() < until:
        count = rnd.choice(_AT_ONCE)
        chosen = [names[(len(drawn) + n) % len(names)] for n in range(count)]
        drawn.extend(chosen)
        world.say(' and '.join(chosen))
        await asyncio.gather(
            *(FAULTS.get(name)(world, rnd) for name in chosen),
        )
        await asyncio.sleep(rnd.uniform(0.5, 2))
    return drawn


async def judge(world: World, seen: Observed) -> list[Row]:
    """Compare what callers were told with what targets recorded."""
    runs: Counter[str] = Counter()
    evicted = keys = 0
    for name in (*world.engines(), *world.plain()):
        found = await world.side.records(name)
        runs.update(found['counts'])
        evicted += found['counts'].get('evict while running', 0)
        for record in found['records']:
            names = set(record.get('headers', ()))
            keys += bool(names & {'authorization', 'x-api-key', 'cookie'})
    return [
        *_judge_answers(seen),
        *_judge_orders(seen, runs),
        _judge_flood(seen),
        Row('adapters evicted in use', evicted == 0, str(evicted)),
        Row("targets that saw a caller's key", keys == 0, str(keys)),
    ]


def _judge_answers(seen: Observed) -> list[Row]:
    good = [each for each in seen.whole if each[1].is_ok]
    wrong = [
        model
        for model, reply in good
        if reply.document['model'] != f'{model}@1'
    ]
    ended = [each for each in seen.streams if each[1].body.endswith(DONE)]
    broken = [model for model, reply in ended if not _is_in_order(reply)]
    return [
        Row(
            'answers by the adapter and version asked for',
            bool(good) and not wrong,
            f'{len(good) - len(wrong)} of {len(good)}, '
            f'others {_codes(seen.whole)}',
        ),
        Row(
            'ended streams whole and in order',
            bool(ended) and not broken,
            f'{len(ended) - len(broken)} of {len(ended)}, '
            f'others {_codes(seen.streams)}',
        ),
    ]


def _judge_orders(seen: Observed, runs: Counter[str]) -> list[Row]:
    counted = {order: runs[f'order {order}'] for order in seen.orders}
    doubled = [order for order, count in counted.items() if count > 1]
    good = [order for order, reply in seen.orders.items() if reply.is_ok]
    lost = [order for order in good if counted[order] != 1]
    refused = [
        order for order, reply in seen.orders.items() if reply.ran == 'not_run'
    ]
    lied = [order for order in refused if counted[order]]
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
            not lied,
            f'{len(refused) - len(lied)} of {len(refused)}',
        ),
    ]


def _judge_flood(seen: Observed) -> Row:
    used = sum(
        int(reply.document.get('usage', {}).get('total_tokens', 0))
        for reply in seen.flood
        if reply.is_ok
    )
    elapsed = seen.flood_ended - seen.started
    bound = SMALL_RATE * elapsed + SMALL_BURST
    return Row(
        'a flooding tenant stays within rate and burst',
        0 < used <= bound,
        f'{used} of {bound:.0f} tokens',
    )


def _codes(told: list[tuple[str, Reply]]) -> str:
    counts = Counter(
        reply.code or reply.status
        for _, reply in told
        if not reply.is_ok or not reply.body
    )
    slowest = max((reply.seconds for _, reply in told), default=0)
    return f'{dict(counts)}, slowest {slowest:.1f} s'


def _is_in_order(reply: Reply) -> bool:
    numbers = [
        int(line.removeprefix(b'id: '))
        for line in reply.body.split(b'\n')
        if line.startswith(b'id: ')
    ]
    return numbers == list(range(1, STREAM_TOKENS + 1))


async def _complete(world: World, seen: Observed, stop: asyncio.Event) -> None:
    workspace = world.fleet.size.workspaces[0]
    caller = world.caller(workspace)
    models = world.adapters(workspace, 8)
    turn = 0
    while not stop.is_set():
        turn += 1
        model = models[turn % len(models)]
        seen.whole.append((model, await caller.complete(model)))
        await asyncio.sleep(PAUSE_SECONDS)


async def _stream(world: World, seen: Observed, stop: asyncio.Event) -> None:
    workspace = world.fleet.size.workspaces[1]
    caller = world.caller(workspace)
    model = world.adapters(workspace, 1)[0]
    while not stop.is_set():
        reply = await caller.complete(model, stream=True, tokens=STREAM_TOKENS)
        seen.streams.append((model, reply))
        await asyncio.sleep(PAUSE_SECONDS)


async def _order(world: World, seen: Observed, stop: asyncio.Event) -> None:
    caller = world.caller(world.fleet.size.workspaces[0])
    while not stop.is_set():
        order_id = uuid.uuid4().hex
        seen.orders[order_id] = await caller.order(order_id, order_id)
        await asyncio.sleep(PAUSE_SECONDS)


async def _flood(world: World, seen: Observed, stop: asyncio.Event) -> None:
    workspace = world.fleet.size.workspaces[-1]
    caller = world.caller(workspace)
    model = world.adapters(workspace, 1)[0]
    tasks = []
    while not stop.is_set():
        call = caller.complete(model, tokens=FLOOD_TOKENS)
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(FLOOD_PAUSE_SECONDS)
    seen.flood_ended = time.monotonic()
    seen.flood.extend(await asyncio.gather(*tasks))


async def run(seed: int, seconds: float) -> int:
    """Run one seed; return the exit code."""
    size = replace(SIZES['small'], instances=6)
    root = os.environ.get('DEMO_FOLDER', tempfile.gettempdir())
    fleet = Fleet.from_size(size, make_folder(root))
    rnd = random.Random(seed)  # noqa: S311
    seen, stop = Observed(), asyncio.Event()
    try:
        world = await start_world(fleet)
        traffic = asyncio.create_task(drive(world, seen, stop))
        drawn = await break_things(world, seconds, rnd)
        stop.set()
        await traffic
        recovered = await poll(lambda: _serves_all(world), RECOVER_SECONDS)
        rows = await judge(world, seen)
    finally:
        await fleet.stop()
    figure = 'no' if recovered is None else f'{recovered:.1f} s'
    rows.append(
        Row('every entry serves afterwards', bool(figure != 'no'), figure)
    )
    print(render(rows))  # noqa: WPS421
    summary = f'seed {seed}, {len(drawn)} faults, logs: {fleet.folder}'
    print(summary)  # noqa: WPS421
    return 0 if all(row.is_held for row in rows) else 1


async def _serves_all(world: World) -> bool:
    workspace = world.fleet.size.workspaces[0]
    caller = world.caller(workspace)
    model = world.adapters(workspace, 1)[0]
    replies = await asyncio.gather(
        *(
            caller.complete(model, tokens=1, instance=each)
            for each in world.fleet.instances
        ),
    )
    return all(reply.is_ok for reply in replies)


def main(seed: int = 1, seconds: float = 60) -> None:
    """Break a small fleet of real processes under traffic.

    Args:
        seed: Seed of the faults and their order.
        seconds: How long to go on drawing faults.
    """
    sys.exit(asyncio.run(run(seed, seconds)))


if __name__ == '__main__':
    fire.Fire(main)
