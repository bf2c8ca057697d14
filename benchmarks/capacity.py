"""Measure the slopes in docs/CAPACITY.md with daemons on loopback.

    python -m benchmarks.capacity --agents 9,18,36,54 --seconds 20

Stand-ins run in this process; agents and one entry run in their own
processes. Every figure is for one daemon. The fit is a straight line by least
squares; the page states how far it is extrapolated.
"""

import asyncio
import dataclasses
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import fire
import msgspec
import yaml
from tabulate import tabulate

from demo.fleet import HOST, free_ports
from mintlanding.configuration.keys import KeyHasher
from mintlanding.configuration.models import (
    Adapter,
    AdapterVersion,
    Service,
    Settings,
    Target,
    Workspace,
)
from mintlanding.configuration.proposals import Proposal
from mintlanding.configuration.storage import ConfigurationStorage
from mintlanding.configuration.write_ids import Authorship, new_write_id
from mintlanding.coordination.http_services import HttpKeyValueService
from mintlanding.coordination.instances import InstanceRecord
from mintlanding.core.http_client import HttpClient, HttpRequest
from mintlanding.limits.options import LimitsOptions
from mintlanding.standin.__main__ import build_application  # noqa: F401
from mintlanding.standin.base import KINDS
from mintlanding.standin.settings import StandinSettings

PEPPER = 'capacity-pepper-0123'
SECRET = 'capacity-secret-0123'
ZONES = tuple(f'r{region}-z{zone}' for region in range(3) for zone in range(3))
WORKERS_PER_AGENT = 1.5
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
MEBIBYTE = 1 << 20


def region_of(zone):
    return zone.partition('-')[0]


def cpu_seconds(pid):
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(pid):
    return int(Path(f'/proc/{pid}/statm').read_text().split()[1]) * PAGE_BYTES


@dataclass
class Daemon:
    name: str
    zone: str
    peer_port: int
    entry_port: int
    folder: Path
    processes: dict = field(default_factory=dict)

    @property
    def settings_path(self):
        return self.folder / f'{self.name}.yaml'

    def counts(self):
        return json.loads((self.folder / f'{self.name}.counts').read_text())

    def start(self, kind, module):
        log = (self.folder / f'{self.name}-{kind}.log').open('wb')
        env = {
            **os.environ,
            'COUNTS_PATH': str(self.folder / f'{self.name}.counts'),
        }
        self.processes[kind] = subprocess.Popen(
            [sys.executable, '-m', module, str(self.settings_path)],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env=env,
        )

    def in_force_at(self, revision):
        path = self.folder / f'{self.name}-agent.log'
        for line in path.read_text().splitlines():
            if 'A revision is in force.' not in line:
                continue
            entry = json.loads(line)
            if entry['revision'] >= revision:
                return entry['timestamp']
        return None


class Bench:
    """A fleet of agent processes and the stand-ins in this process."""

    def __init__(self, agents, adapters, folder):
        self.folder = folder
        self.adapters = adapters
        # Above `flat_members` instances the options for large fleets apply.
        is_large = agents > LimitsOptions().flat_members
        self.limits = (
            dataclasses.asdict(LimitsOptions.for_fleet()) if is_large else {}
        )
        ports = free_ports(2 * agents)
        self.daemons = [
            Daemon(
                f'd{number}',
                ZONES[number % len(ZONES)],
                ports.pop(),
                ports.pop(),
                folder,
            )
            for number in range(agents)
        ]
        self.workers = round(agents * WORKERS_PER_AGENT)
        self.standins = {}
        self.hasher = KeyHasher.from_config([PEPPER])
        self.key = self.hasher.issue('w0')

    async def add(self, name, kind, **options):
        settings = StandinSettings(kind=kind, name=name, **options)
        self.standins[name] = KINDS.get(kind)(settings)
        await self.standins[name].start()

    async def start(self):
        await self.add('kv', 'keyvalue')
        await self.add('list', 'instances')
        await self.add('store', 'weight-store')
        for number in range(self.workers):
            await self.add(
                f'worker-{number}',
                'engine',
                slots=16,
                batch_limit=32,
                step_seconds=0.02,
                store_url=self.standins['store'].url,
            )
        self.service = HttpKeyValueService.from_config(
            self.standins['kv'].url,
            10,
        )
        self.storage = ConfigurationStorage(self.service)
        await self.commit(list(self.objects()))
        await self.list_instances()
        for daemon in self.daemons:
            self.write_settings(daemon)
            daemon.start('agent', 'benchmarks.counted_agent')
        await self.wait_until_in_force(1)

    def objects(self):
        limits = {'seats': 2 * len(self.daemons), 'zones': ','.join(ZONES)}
        yield Settings(name='limits', values=limits)
        yield Service(name='models', engine=True, base_model='base')
        for number in range(5):
            yield Workspace(name=f'w{number}', rate=200_000, burst=600_000)
        yield self.key.key
        for number in range(self.workers):
            name = f'worker-{number}'
            yield Target(
                name=name,
                service='models',
                zone=ZONES[number % len(ZONES)],
                url=self.standins[name].url,
                slots=16,
                batch_limit=32,
                checks_fencing=True,
            )
        for number in range(self.adapters):
            yield Adapter(
                name=f'adapter-{number:05}',
                workspace=f'w{number % 5}',
                service='models',
                default_version='1',
                labels={'tier': 'gold' if number % 9 else 'silver'},
            )
            yield AdapterVersion(
                name=f'adapter-{number:05}@1',
                weights=f'weights/adapter-{number:05}/1',
                labels={'stage': 'stable'},
            )

    async def commit(self, bodies):
        now = time.time()
        outcome = await self.storage.commit(
            [Proposal.put(body) for body in bodies],
            Authorship('capacity', new_write_id(now), now),
        )
        return outcome.value.revision

    async def list_instances(self):
        records = [
            InstanceRecord(
                each.name,
                each.zone,
                region_of(each.zone),
                f'{HOST}:{each.peer_port}',
            )
            for each in self.daemons
        ]
        await HttpClient.from_config().call(
            HttpRequest(
                'PUT',
                f'http://{self.standins["list"].side.address}/instances',
                [('content-type', 'application/json')],
                msgspec.json.encode(records),
            ),
        )

    def write_settings(self, daemon):
        rnd = random.Random(daemon.name)
        seeds = [
            f'{HOST}:{each.peer_port}'
            for each in rnd.sample(self.daemons, min(3, len(self.daemons)))
        ]
        document = {
            'instance': daemon.name,
            'zone': daemon.zone,
            'region': region_of(daemon.zone),
            'key_pepper': PEPPER,
            'peers': {
                'port': daemon.peer_port,
                'secrets': [SECRET],
                'seeds': seeds,
            },
            'platform': {
                'key_value_url': self.standins['kv'].url,
                'instance_list_url': self.standins['list'].url,
                'timeout': 10,
            },
            'entry': {'port': daemon.entry_port},
            'agent': {'limits': self.limits},
        }
        daemon.settings_path.write_text(yaml.safe_dump(document))

    async def wait_until_in_force(self, revision):
        """Wait for a revision; return when it came into force at each agent."""
        async with asyncio.timeout(120):
            while True:
                timestamps = [
                    each.in_force_at(revision) for each in self.daemons
                ]
                if all(timestamps):
                    return timestamps
                await asyncio.sleep(0.2)

    async def change(self):
        """Change one object; return the seconds until all agents apply it."""
        rate = 200_000 + random.random()
        started = time.time()
        revision = await self.commit(
            [Workspace(name='w0', rate=rate, burst=600_000)],
        )
        return max(await self.wait_until_in_force(revision)) - started

    def kv_calls(self):
        return sum(self.standins['kv'].records.counts.values())

    def totals(self):
        pids = [each.processes['agent'].pid for each in self.daemons]
        counts = [each.counts() for each in self.daemons]
        return (
            [cpu_seconds(pid) for pid in pids],
            [each['sent'] for each in counts],
            [each['received'] for each in counts],
            self.kv_calls(),
        )

    async def measure(self, seconds):
        """Measure the idle fleet with one change; return a row of figures."""
        before, started = self.totals(), time.monotonic()
        in_force = await self.change()
        await asyncio.sleep(seconds)
        after, elapsed = self.totals(), time.monotonic() - started
        cpu = [(b - a) / elapsed for a, b in zip(before[0], after[0])]
        sent = [(b - a) / elapsed for a, b in zip(before[1], after[1])]
        received = [(b - a) / elapsed for a, b in zip(before[2], after[2])]
        memory = [
            resident_bytes(each.processes['agent'].pid) / MEBIBYTE
            for each in self.daemons
        ]
        return {
            'agents': len(self.daemons),
            'workers': self.workers,
            'adapters': self.adapters,
            'cpu %': statistics.mean(cpu) * 100,
            'cpu % worst': max(cpu) * 100,
            'sent KB/s': statistics.mean(sent) / 1000,
            'received KB/s': statistics.mean(received) / 1000,
            'sent KB/s worst': max(sent) / 1000,
            'resident MB': statistics.mean(memory),
            'kv calls/s': (after[3] - before[3]) / elapsed,
            'in force s': in_force,
        }

    async def stop(self):
        for daemon in self.daemons:
            for process in daemon.processes.values():
                process.kill()
        for daemon in self.daemons:
            for process in daemon.processes.values():
                process.wait()
        await self.service.close()
        for standin in self.standins.values():
            await standin.stop()


async def run_fleet(agents, adapters, seconds, settle):
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(agents, adapters, Path(folder))
        try:
            await bench.start()
            await asyncio.sleep(settle)
            return await bench.measure(seconds)
        finally:
            await bench.stop()


async def run_entry(adapters, seconds):
    """Measure the memory of one entry and its CPU per request and chunk."""
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(1, adapters, Path(folder))
        daemon = bench.daemons[0]
        try:
            await bench.start()
            daemon.start('entry', 'mintlanding.entry')
            await _wait_until_served(bench, daemon)
            rows = []
            for tokens in (1, 50, 200):
                rows.append(await _measure_load(bench, daemon, tokens, seconds))
            return rows
        finally:
            await bench.stop()


async def _wait_until_served(bench, daemon):
    async with asyncio.timeout(60):
        while True:
            try:
                status, _ = await _complete(bench, daemon, 1)
            except Exception:
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.2)


async def _complete(bench, daemon, tokens):
    body = msgspec.json.encode(
        {
            'model': 'adapter-00000',
            'prompt': 'tiles',
            'max_tokens': tokens,
            'stream': True,
        }
    )
    response = await HttpClient.from_config().call(
        HttpRequest(
            'POST',
            f'http://{HOST}:{daemon.entry_port}/v1/completions',
            [
                ('content-type', 'application/json'),
                ('authorization', f'Bearer {bench.key.text}'),
            ],
            body,
        ),
    )
    return response.status, response.body.count(b'\n\n') - 1


async def _measure_load(bench, daemon, tokens, seconds):
    pids = {name: each.pid for name, each in daemon.processes.items()}
    before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    done = chunks = 0
    until = time.monotonic() + seconds

    async def caller():
        nonlocal done, chunks
        while time.monotonic() < until:
            status, count = await _complete(bench, daemon, tokens)
            done += status == 200
            chunks += count

    started = time.monotonic()
    await asyncio.gather(*(caller() for _ in range(24)))
    elapsed = time.monotonic() - started
    used = {name: cpu_seconds(pid) - before[name] for name, pid in pids.items()}
    return {
        'tokens a request': tokens,
        'requests/s': done / elapsed,
        'chunks/s': chunks / elapsed,
        'entry ms/request': used['entry'] / done * 1000,
        'agent ms/request': used['agent'] / done * 1000,
        'entry us/chunk': used['entry'] / max(chunks, 1) * 1e6,
        'entry resident MB': resident_bytes(pids['entry']) / MEBIBYTE,
        'agent resident MB': resident_bytes(pids['agent']) / MEBIBYTE,
    }


def fit(rows, x_name, y_name):
    """Return the intercept and the slope of a least-squares fit."""
    xs = [row[x_name] for row in rows]
    ys = [row[y_name] for row in rows]
    mean_x, mean_y = statistics.mean(xs), statistics.mean(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    if not spread:
        return mean_y, 0.0
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread
    return mean_y - slope * mean_x, slope


def show(title, rows):
    print(f'\n{title}\n')
    print(tabulate(rows, headers='keys', floatfmt='.3f', tablefmt='github'))


async def run(agents, adapters, seconds, settle):
    rows = []
    for count in agents:
        rows.append(await run_fleet(count, adapters[-1], seconds, settle))
        print(rows[-1], flush=True)
    show('Agents by fleet size', rows)
    fits = []
    for name in (
        'cpu %',
        'sent KB/s',
        'received KB/s',
        'resident MB',
        'kv calls/s',
        'in force s',
    ):
        base, slope = fit(rows, 'agents', name)
        fits.append(
            {
                'figure': name,
                'base': base,
                'slope an agent': slope,
                'at 400': base + 400 * slope,
            }
        )
    show('Fits, extrapolated to 400 daemons', fits)
    sizes = [await run_fleet(3, count, 5, 5) for count in adapters]
    show('Agents by number of adapters', sizes)
    entry = await run_entry(adapters[-1], seconds / 2)
    show('One entry under load', entry)


def main(agents='9,18,36,54', adapters='0,7000,21000', seconds=20, settle=15):
    """Run the measurement."""
    as_numbers = lambda text: [int(each) for each in str(text).split(',')]  # noqa: E731
    if isinstance(agents, tuple):
        agents = ','.join(map(str, agents))
    if isinstance(adapters, tuple):
        adapters = ','.join(map(str, adapters))
    asyncio.run(run(as_numbers(agents), as_numbers(adapters), seconds, settle))


if __name__ == '__main__':
    fire.Fire(main)
