"""A planned stop of one instance cuts streams that it has accepted late.

Consumers stream layouts of about a second on kept connections. Some of them
have a plan of four seconds under way when their instance gets SIGTERM, and go
on with a long layout on the same connection once the plan has ended.
"""

import asyncio
import random
import signal
from pathlib import Path

from review.standins2.fleet import Consumers, Fleet, config, run
from review.standins2.http import Connection
from review.standins2.store import Store
from review.standins2.workers import ModelWorker

# Seconds of a stream's event, which holds 5 tokens: 14 ms a token.
PACE = 0.07
# Tokens of usual layouts, of the longest ones and of a plan.
USUAL = (40, 100)
LONG = 275
PLAN = 285
TIMEOUT_MS = 5000
GRACE = 8.0
# The planned stop's excuse: sent no later than this after the SIGTERM.
EARLY = 3.0
WARM_SECONDS = 24
BROWSING = 10
DESIGNERS = 8

ROUTES = [
    {
        'name': name,
        'host': 'app.example',
        'prefix': f'/{name}/',
        'kind': 'stream',
        'timeout_ms': TIMEOUT_MS,
        'goal_ms': 800,
        'priority': 0,
        'service': 'models',
        'attempts': 1,
        'can_resume': False,
        'gap_aim_ms': 400,
        'sticky': True,
    }
    for name in ('layout', 'plan')
]
SERVICES = [
    {
        'name': 'models',
        'max_conns': 370,
        'engine': {
            'slots': 64,
            'kv_capacity': 247252,
            'models': [
                {
                    'name': 'm0',
                    'weights_mb': 72700.0,
                    'load_s': 0.6,
                    'adapters': 3000,
                    'adapter_mb': 66.0,
                }
            ],
            'weights_mb': 75300.0,
            'adapter_slots': 17,
            'loads_per_s': 7.6,
        },
    }
]


async def stream(consumers, conn, one, name, tokens):
    extra = [('X-Model', 'm0'), ('X-Token-Counts', f'100,{tokens}')]
    return await consumers.ask(
        conn, one, 'POST', f'/{name}/x', TIMEOUT_MS, b'q' * 200, extra
    )


async def browse(consumers, fleet, rnd, first_long):
    """Ask for usual layouts, one after the other, on kept connections."""
    conn, one = None, None
    count = 0
    while True:
        try:
            if conn is None or not conn.is_open:
                one = rnd.choice(fleet.in_rotation())
                conn = await Connection.open(one.address)
            count += 1
            tokens = rnd.randint(*USUAL)
            if first_long and count == 1:
                tokens = LONG
            await stream(consumers, conn, one, 'layout', tokens)
        except (OSError, TimeoutError):
            conn = None
            await asyncio.sleep(0.1)


async def design(consumers, one, begin):
    """Stream a plan, and then a long layout on the same connection."""
    conn = await Connection.open(one.address)
    # The connection is in use before.
    await stream(consumers, conn, one, 'layout', USUAL[0])
    await asyncio.sleep(begin)
    await stream(consumers, conn, one, 'plan', PLAN)
    if not conn.is_open:
        return None
    request_id, _ = await stream(consumers, conn, one, 'layout', LONG)
    if conn.is_open:
        conn.close()
    return request_id


def judge(record, stopped_at, number):
    """Return the streams that the planned stop cut against the rule."""
    sent = {row['request']: row for row in record.of('sent')}
    runs = {row['request'] for row in record.of('runs')}
    cut = []
    for row in record.of('answered'):
        began = sent[row['request']]['at']
        is_late = began > stopped_at + EARLY
        is_within = row['at'] < stopped_at + GRACE + 1
        used = row['at'] - began
        if (
            row['instance'] == number
            and is_late
            and is_within
            and row['request'] in runs
            and not row['whole']
            and used < TIMEOUT_MS / 1000 - 0.1
        ):
            cut.append((row['request'], round(began - stopped_at, 2), used))
    return cut


async def scenario(record, has_trouble):
    store = await Store().start()
    workers = [
        await ModelWorker(
            f'i-{number}',
            'models',
            f'z-{"ab"[number % 2]}',
            record,
            64,
            pace=PACE,
        ).start()
        for number in range(3)
    ]
    for each in workers:
        store.put(f'servers/{each.name}', each.entry())
    store.put('op/config', config(7, ROUTES, SERVICES))
    fleet = Fleet(record, store)
    rnd = random.Random(4)
    consumers = Consumers(record)
    tasks = []
    try:
        await fleet.start(['z-a', 'z-b'])
        if not await fleet.wait_ready():
            return None
        await asyncio.sleep(4)
        tasks = [
            asyncio.ensure_future(browse(consumers, fleet, rnd, number < 3))
            for number in range(BROWSING)
        ]
        await asyncio.sleep(WARM_SECONDS)
        one = fleet.instances[0]
        designers = [
            asyncio.ensure_future(design(consumers, one, 0.2 + 0.06 * number))
            for number in range(DESIGNERS)
        ]
        # Their plans begin in this time.
        await asyncio.sleep(1.6)
        stopped_at = record.now()
        if has_trouble:
            one.send_signal(signal.SIGTERM)
        await asyncio.gather(*designers)
        await asyncio.sleep(1)
        served = sum(row['whole'] for row in record.of('answered'))
        cut = judge(record, stopped_at, one.number)
        record('verdict', served=served, stopped_at=stopped_at, cut=cut)
        return None if served < 100 else bool(cut)
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()
        for each in workers:
            each.stop()
        store.stop()


if __name__ == '__main__':
    run(scenario, Path(__file__).parent)
