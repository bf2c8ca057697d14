"""The store, the targets and the instance processes of a soak."""

import asyncio
import contextlib
import os
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from mintlanding.core.tests.ports import free_port, free_ports
from mintlanding.node.view import OWNERSHIP_PREFIX
from mintlanding.platform.tests.order_proxy import HELD_HEADER
from mintlanding.platform.tests.samples import CONFIG, encode
from mintlanding.platform.tests.standins import StoreStandin, TargetStandin
from soak.instance import TARGETS_HOST
from soak.proxy import Proxy

SETTINGS = """
node = "n{number}"
ip = "127.0.0.1"
zone = "z{zone}"
port_range = [{peer},{paths}]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
grace_s = 8
[platform]
addr = "127.0.0.1:{store}"
"""
# Software versions of the engines; each writes its own into its events.
BUILDS = ('v1', 'v1', 'v2')
START_SECONDS = 20
# Keys that operators and targets write.
OUTSIDE_PREFIXES = ('op/', 'servers/')
# Host of the proxies through which an instance reaches the targets.
WAY_HOST = '127.0.0.{number}'
FIRST_WAY = 10
# Time after a disruption in which an instance need not know what others do.
CONTACT_SECONDS = 3
# Requests per second that a cold target bears, and how far they may exceed it
# in any second: the factor and the number of the bounds' defaults.
COLD_RATE = 6
COLD_EXCESS = 1.5
COLD_SLACK = 5
BASE_CONFIG = {
    **CONFIG,
    'services': [
        {**each, 'cold_s': 2, 'cold_per_s': COLD_RATE}
        for each in CONFIG['services']
    ],
}


class Instance:
    """One instance, run as a process of the program."""

    def __init__(self, number, folder, store):
        self.front, self.ready, self.metrics = (free_port() for _ in range(3))
        self.peer, paths = free_ports(2)
        self.name = f'n{number}'
        self.number = number
        self.log = folder / f'{self.name}.log'
        self.settings = folder / f'{self.name}.toml'
        self.settings.write_text(
            SETTINGS.format(
                number=number,
                zone=number % 2 + 1,
                peer=self.peer,
                paths=paths,
                front=self.front,
                ready=self.ready,
                store=store,
            ),
        )
        self.process = None
        # Exit codes of the processes that ended by themselves.
        self.unexpected_exits = []
        self.started_at = 0.0
        # Faults overlap; the lock keeps two from starting a process each.
        self.lock = asyncio.Lock()

    async def start(self):
        """Start the process and append its output to the log."""
        environment = {
            **os.environ,
            'MINTLANDING_NODE_FILE': str(self.settings),
            'MINTLANDING_METRICS_PORT': str(self.metrics),
        }
        self.started_at = time.monotonic()
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'soak.instance',
                way_host(self.number),
                stdout=log,
                stderr=log,
                env=environment,
            )

    def signal(self, signum):
        """Send a signal to the process unless it has ended."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signum)

    async def terminate(self, signum):
        """Send a signal to the process and wait for its end."""
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signum)
        await self.process.wait()

    async def restart(self, signum, pause):
        """End the process and start it again."""
        async with self.lock:
            await self.terminate(signum)
            await asyncio.sleep(pause)
            await self.start()

    async def restart_if_exited(self):
        """Start the process again if it has exited on its own."""
        if self.process.returncode is not None and not self.lock.locked():
            self.unexpected_exits.append(self.process.returncode)
            await self.start()

    async def freeze(self, seconds):
        """Suspend the process for a while."""
        async with self.lock:
            self.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self.signal(signal.SIGCONT)


@dataclass(frozen=True)
class OrderArrival:
    """An order as it reached an engine.

    `held`: for how many seconds it was held back on its way. `born`: the
    engine's incarnation. `life` changes when all state is lost on purpose.
    """

    at: float
    holder: str
    token: int
    held: float
    born: int
    life: int

    @property
    def sent_at(self):
        """Return when it was sent."""
        return self.at - self.held


class Target(TargetStandin):
    """A target behind proxies; it records when orders and requests arrive."""

    async def start(self, instances=1):
        """Start the target and a proxy for each instance, on one port."""
        await super().start()
        self.proxies = [
            Proxy(self.address, way_host(number)) for number in range(instances)
        ]
        first, *others = self.proxies
        await first.start()
        for proxy in others:
            await proxy.start(first.address[1])
        # Orders in the order of their arrival.
        self.arrivals_of_orders = []
        self.life = 0
        # Time, request and parts of the prompt of each request.
        self.requests = []
        # Time and part of the prompt of each crash.
        self.crash_times = []
        # Time and request of each run under `crash_body`, with the body.
        self.deadly_runs = []
        # Start, end and limit of the times in which one incarnation names it.
        self.limits = []
        # Time and request of each refusal for want of room, and of each crash
        # because of them the requests refused in the last second.
        self.refusals = []
        self.room_crashes = []
        # Start and end of the times in which it says that it is brittle.
        self.brittle_times = []
        # Start and end of the times in which its responses say it leaves.
        self.announced = []
        # Time, request and seconds of each pause that it asked for.
        self.pauses = []
        # Times from which and until which its entry says that it has left.
        self.absences = []
        # Time and request of each run whose connection was closed amid it.
        self.cut_runs = []
        return self

    async def crash_now(self):
        """End under a request and start again as a new incarnation."""
        if self.faults.crash_part:
            self.crash_times.append((time.monotonic(), self.faults.crash_part))
        for proxy in self.proxies:
            proxy.refuse()
        await super().crash_now()
        self.name_limit(self.faults.limit)
        for proxy in self.proxies:
            await proxy.listen()

    def _refuse_full(self, req):
        now = time.monotonic()
        request = req.get(b'x-request-id').decode()
        self.refusals.append((now, request))
        was_down = self.is_down
        super()._refuse_full(req)
        if self.is_down and not was_down:
            recent = [name for at, name in self.refusals if at > now - 1]
            self.room_crashes.append((now, recent))

    def become_brittle(self, refusals):
        """Say from now on how many refusals per second the target bears."""
        self.brittle_times.append([time.monotonic(), float('inf')])
        self.faults.brittle = refusals

    def stop_being_brittle(self):
        """Have any room again, and say nothing of refusals."""
        self.brittle_times[-1][1] = time.monotonic()
        self.faults.brittle = self.faults.slots = None
        self.delay = 0

    async def _run(self, req):
        parts = req.get(b'x-prompt-prefix')
        request = req.get(b'x-request-id').decode()
        self.requests.append((time.monotonic(), request, parts))
        if self.faults.crash_body and req.body == self.faults.crash_body:
            self.deadly_runs.append((time.monotonic(), request, req.body))
        if self.faults.shed and self.faults.pause:
            self.pauses.append((time.monotonic(), request, self.faults.pause))
        try:
            await super()._run(req)
        except asyncio.CancelledError:
            if not self.is_down:
                self.cut_runs.append((time.monotonic(), request))
            raise

    def announce_leaving(self):
        """Say in responses from now on that the target leaves."""
        self.announced.append([time.monotonic(), float('inf')])
        self.faults.leaving = True

    def stop_leaving(self):
        """Say no longer that the target leaves."""
        self.announced[-1][1] = time.monotonic()
        self.faults.leaving = False

    def name_limit(self, limit):
        """Name a limit from now on, as the current incarnation."""
        now = time.monotonic()
        if self.limits:
            self.limits[-1][1] = min(self.limits[-1][1], now)
        if limit is not None:
            self.limits.append([now, float('inf'), limit])
        self.faults.limit = limit

    def entry(self, state='ready'):
        """Return the store entry, with the address of the proxies."""
        own = encode(f'127.0.0.1:{self.server.port}')
        front = encode(f'{TARGETS_HOST}:{self.proxies[0].address[1]}')
        return super().entry(state).replace(own, front)

    def _order(self, req):
        body = msgspec.json.decode(req.body)
        arrival = OrderArrival(
            at=time.monotonic(),
            holder=body['holder'],
            token=body['fence'],
            held=float(req.get(HELD_HEADER) or 0),
            born=self.born,
            life=self.life,
        )
        self.arrivals_of_orders.append(arrival)
        super()._order(req)

    def stop(self):
        """Stop the proxy and the target."""
        for proxy in self.proxies:
            proxy.stop()
        super().stop()


class World:
    """The store, targets and instances of one soak."""

    def __init__(self, folder, instances=4):
        self.folder = Path(folder)
        self.store = StoreStandin()
        self.engines = [
            Target(
                f'e{number}',
                zone=f'z{number % 2 + 1}',
                build=build,
                text=build.encode(),
            )
            for number, build in enumerate(BUILDS)
        ]
        self.plain = [
            Target(f'p{number}', service='orders', model='')
            for number in range(2)
        ]
        self.count = instances
        self.instances = []
        # Part of a prompt that crashes engines, while there is one.
        self.crash_part = b''
        # Body and kind of requests that crash targets, while there are any.
        self.crash_body = b''
        self.crash_kind = ''
        # Start, end and instance of each disruption; None for all instances.
        self.disruptions = []
        # Zone, start and end of each evacuation.
        self.empty = []
        # Target, start and end of each time in which one says it is cold.
        self.cold = []
        # Start, end and instances of each cut from the targets.
        self.cuts = []
        # Instance that each request was sent to.
        self.sent_to = {}
        # Streams asked for in planned stops.
        self.late_streams = []
        # Requests whose callers have left.
        self.departures = []
        self.version = CONFIG['version']

    @property
    def targets(self):
        """Return the engines and the plain targets."""
        return [*self.engines, *self.plain]

    @property
    def are_orders_late(self):
        """Tell whether orders to an engine come late or twice."""
        return any(
            proxy.late_orders
            for engine in self.engines
            for proxy in engine.proxies
        )

    async def start(self):
        """Start everything and wait until all instances are ready."""
        await self.store.start()
        for target in self.targets:
            await target.start(self.count)
            target.on_restart = self.register
            self.register(target)
        self.store.put('op/config', encode(BASE_CONFIG))
        for number in range(self.count):
            proxy = await Proxy(self.store.address).start()
            instance = Instance(number, self.folder, proxy.address[1])
            instance.store_proxy = proxy
            self.instances.append(instance)
            await instance.start()
        await self.wait_ready()
        return self

    def register(self, target):
        """Write the entry of a target, unless it has left."""
        if any(returned == float('inf') for _, returned in target.absences):
            return
        self.store.put(f'servers/{target.name}', target.entry())

    @contextlib.contextmanager
    def disruption(self, instance=None):
        """Record a disruption of an instance, or of all of them."""
        row = [time.monotonic(), float('inf'), instance]
        self.disruptions.append(row)
        try:
            yield row
        finally:
            row[1] = time.monotonic()

    @contextlib.contextmanager
    def cut(self, instances):
        """Record that some instances are cut off from targets.

        It is no disruption: they serve through the other instances.
        """
        row = [time.monotonic(), float('inf'), instances]
        self.cuts.append(row)
        try:
            yield
        finally:
            row[1] = time.monotonic()

    def is_undisrupted(self, instance, at):
        """Tell whether nothing disrupted an instance shortly before."""
        return not any(
            start <= at and end >= at - CONTACT_SECONDS
            for start, end, disrupted in self.disruptions
            if disrupted in {None, instance}
        )

    def is_undisrupted_since(self, instance, begin, at, but=None):
        """Tell whether nothing disrupted an instance between two times.

        The disruption `but` does not count.
        """
        return not any(
            row[0] <= at and row[1] >= begin
            for row in self.disruptions
            if row is not but and row[2] in {None, instance}
        )

    async def wait_ready(self):
        """Wait until every instance reports that it is ready.

        Instances that have exited on their own are started again.
        """
        async with asyncio.timeout(START_SECONDS):
            for instance in self.instances:
                while not await is_ready(instance):
                    await instance.restart_if_exited()
                    await asyncio.sleep(0.05)

    def configure(self, **changes):
        """Write the next version of the configuration."""
        self.version += 1
        cfg = {**BASE_CONFIG, 'version': self.version, **changes}
        self.store.put('op/config', encode(cfg))

    def holder(self, engine):
        """Return the instance that holds an engine, None without one."""
        row = self.store.items.get(OWNERSHIP_PREFIX + engine.name)
        if row is None:
            return None
        name = msgspec.json.decode(row[0])['holder'].partition('@')[0]
        named = [each for each in self.instances if each.name == name]
        return named[0] if named else None

    def restore_store(self, saved):
        """Return the store from a copy; only instances have lost writes."""
        before = self._written_from_outside()
        self.store.restore(saved)
        restored = self._written_from_outside()
        for key in restored.keys() - before.keys():
            self.store.remove(key)
        for key, content in before.items():
            if restored.get(key) != content:
                self.store.put(key, content)

    def _written_from_outside(self):
        return {
            key: content
            for key, (content, *_) in self.store.items.items()
            if key.startswith(OUTSIDE_PREFIXES)
        }

    def begin_new_incarnation(self, target):
        """Reset a target to a new incarnation that keeps its id."""
        target.adapters.clear()
        target.orders_taken = 0
        target.life += 1
        target.crashes += 1
        target.name_limit(target.faults.limit)
        self.register(target)

    async def stop(self):
        """Kill the instances and stop the targets and the store."""
        for instance in self.instances:
            await instance.terminate(signal.SIGKILL)
        for target in self.targets:
            target.stop()
        for instance in self.instances:
            instance.store_proxy.stop()
        self.store.stop()


def way_host(number):
    """Return the host of the proxies of an instance."""
    return WAY_HOST.format(number=FIRST_WAY + number)


async def is_ready(instance):
    """Return whether an instance reports that it is ready."""
    try:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            instance.ready,
        )
    except OSError:
        return False
    writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n')
    try:
        head = await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()
    return b' 200 ' in head
