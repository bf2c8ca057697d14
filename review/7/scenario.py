"""Orders reach a worker long after their consumers have left.

For short moments all workers of a plain service turn requests away and ask for
a pause of a second. Some consumers leave if they get no answer in half of the
objective. An order that was turned away once is kept all the same, and sent
when the pause is over.
"""

import asyncio
import itertools
import random
from pathlib import Path

from review.standins2.fleet import Consumers, Fleet, config, run
from review.standins2.http import Connection
from review.standins2.store import Store
from review.standins2.workers import PlainWorker

TIMEOUT_MS = 1500
DEADLINE_MS = 3000
# Share of the consumers that leave, and after how many seconds: half of the
# objective. For so many seconds of each period they do; orders that are served
# at once take 0.09 s.
SHARE = 0.2
PATIENCE = 0.15
LEAVING_EACH, LEAVING_SECONDS = 7.5, 5.5
# A busy moment each so many seconds, and how long it lasts.
BUSY_EACH, BUSY_SECONDS = 2.5, 0.35
PAUSE_SECONDS = 1
RATE = 24
SECONDS = 85
# The rule: a few orders may reach a worker later than this after the close.
GRACE = 0.5
FEW = 5

ROUTES = [
    {
        'name': 'order',
        'host': 'app.example',
        'prefix': '/order/',
        'kind': 'unsafe',
        'timeout_ms': TIMEOUT_MS,
        'goal_ms': 300,
        'priority': 2,
        'service': 'orders',
        'attempts': 1,
    }
]
SERVICES = [{'name': 'orders', 'max_conns': 110}]


class BusyWorker(PlainWorker):
    """Turns requests away in busy moments, and says when to come again."""

    is_busy = False

    async def refuses(self, req, request_id):
        if not self.is_busy:
            return await super().refuses(req, request_id)
        self.record('refused', request=request_id, worker=self.name)
        req.respond(
            503,
            [
                ('X-Not-Run', '1'),
                ('X-Request-Id', request_id),
                ('X-Instance-Id', self.name),
                ('Retry-After', str(PAUSE_SECONDS)),
            ],
        )
        return True


async def be_busy(workers):
    while True:
        await asyncio.sleep(BUSY_EACH - BUSY_SECONDS)
        for each in workers:
            each.is_busy = True
        await asyncio.sleep(BUSY_SECONDS)
        for each in workers:
            each.is_busy = False


async def order(consumers, record, one, is_impatient):
    """Send an order on a new connection, and leave if it takes long."""
    try:
        conn = await Connection.open(one.address)
    except (OSError, TimeoutError):
        return
    asking = asyncio.ensure_future(
        consumers.ask(conn, one, 'POST', '/order/x', DEADLINE_MS, b'q' * 600)
    )
    request_id = f'{consumers.count + 1:016x}'
    if is_impatient:
        await asyncio.wait((asking,), timeout=PATIENCE)
        if not asking.done():
            conn.close()
            record('left', request=request_id)
            asking.cancel()
    await asyncio.wait((asking,))
    if conn.is_open:
        conn.close()


def judge(record):
    """Return the orders that reached a worker long after the close."""
    left = {row['request']: row['at'] for row in record.of('left')}
    return [
        (row['request'], round(row['at'] - left[row['request']], 3))
        for row in record.of('arrives')
        if row['request'] in left and row['at'] > left[row['request']] + GRACE
    ]


async def scenario(record, has_trouble):
    store = await Store().start()
    workers = [
        await BusyWorker(
            f'i-{number}', 'orders', f'z-{"ab"[number % 2]}', record, 12
        ).start()
        for number in range(3)
    ]
    for each in workers:
        store.put(f'servers/{each.name}', each.entry())
    store.put('op/config', config(7, ROUTES, SERVICES))
    fleet = Fleet(record, store)
    consumers = Consumers(record)
    rnd = random.Random(7)
    busy = None
    sending = set()
    try:
        await fleet.start(['z-a', 'z-b'] * 3)
        if not await fleet.wait_ready():
            return None
        await asyncio.sleep(4)
        busy = asyncio.ensure_future(be_busy(workers))
        turn = itertools.cycle(fleet.instances)
        end = record.now() + SECONDS
        while record.now() < end:
            is_leaving = record.now() % LEAVING_EACH < LEAVING_SECONDS
            is_impatient = has_trouble and is_leaving and rnd.random() < SHARE
            task = asyncio.ensure_future(
                order(consumers, record, next(turn), is_impatient)
            )
            sending.add(task)
            task.add_done_callback(sending.discard)
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*sending)
        await asyncio.sleep(2)
        served = sum(row['status'] == 200 for row in record.of('answered'))
        late = judge(record)
        ran = {row['request'] for row in record.of('runs')}
        record(
            'verdict',
            served=served,
            left=len(record.of('left')),
            late=len(late),
            late_and_run=sum(request in ran for request, _ in late),
            seconds_after_close=[seconds for _, seconds in late],
        )
        return None if served < 300 else len(late) > FEW
    finally:
        if busy is not None:
            busy.cancel()
        await fleet.stop()
        for each in workers:
            each.stop()
        store.stop()


if __name__ == '__main__':
    run(scenario, Path(__file__).parent)
