"""CONFIG: a key withdrawn right after the store came back from a copy."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.fleet import Client, Instance, config, is_trouble, run  # noqa: E402
from standins.store import Operator, Store  # noqa: E402
from standins.worker import Worker  # noqa: E402

AWAY_SECONDS = 1.0
COPY_SECONDS_OLD = 3.0
# `apply_ms`, and the time that an unstable core may add to it.
APPLY_SECONDS = 2.0
OUTER_SECONDS = 5.0
VERSIONS = 10


async def scenario(scratch, record):
    store = await Store(record).start()
    operator = Operator(store)
    operator.write('op/config', config(7, keys=('key-1', 'key-2')))
    workers = [
        await Worker(f'i-e{n}', 'engines', store, record, model='daka').start()
        for n in range(2)
    ]
    workers += [
        await Worker(f'i-p{n}', 'orders', store, record).start()
        for n in range(2)
    ]
    instances = [
        Instance(number, f'z{number % 2 + 1}', store.address, scratch, record)
        for number in range(4)
    ]
    client = Client(record)
    try:
        await asyncio.gather(*(each.start() for each in instances))
        await asyncio.gather(*(each.wait_ready() for each in instances))
        # Traffic from before: the fleet is settled, both keys work.
        for _ in range(40):
            for each in instances:
                await client.ask(each, 'GET', '/lookup/x', key='key-2')
            await asyncio.sleep(0.1)
        # The operator announces new adapter versions, one after the other.
        for number in range(VERSIONS):
            operator.write(
                f'op/version/daka.a{number}',
                {
                    'model': 'daka',
                    'adapter': f'a{number}',
                    'version': 2,
                },
            )
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.6)
        withdrawn = config(9, keys=('key-1',))
        if is_trouble():
            store.go_away()
            await asyncio.sleep(AWAY_SECONDS)
            await store.come_back(COPY_SECONDS_OLD)
        # The operator writes the withdrawal that waited for the store, and
        # writes again what the store has lost.
        revision = operator.write('op/config', withdrawn)
        confirmed_at = time.monotonic()
        record('operator', 'withdrew key-2', version=9, revision=revision)
        await operator.rewrite_in_turn()
        for each in workers:
            each.write_entry()
        broken = []
        due = confirmed_at + APPLY_SECONDS + OUTER_SECONDS
        while time.monotonic() < confirmed_at + 30:
            for each in instances:
                name, at, answer = await client.ask(
                    each, 'GET', '/lookup/x', key='key-2'
                )
                if at > due and answer.status == 200:
                    broken.append((each.name, name, at - confirmed_at))
            await asyncio.sleep(0.5)
    finally:
        for each in instances:
            await each.end()
        for each in workers:
            each.stop()
        store.stop()
    lines = []
    for name in sorted({row[0] for row in broken}):
        late = [row for row in broken if row[0] == name]
        lines.append(
            f'{name}: {len(late)} requests with the withdrawn key ran, the '
            f'last one {late[-1][2]:.1f} s after the confirmation of version 9'
        )
    return lines


if __name__ == '__main__':
    sys.exit(run(scenario, HERE))
