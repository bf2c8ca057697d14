"""One agent's stewards with a store, an engine and a clock in this process."""

import asyncio
from types import SimpleNamespace

from mintlanding.agent.context import AgentContext
from mintlanding.agent.stewards import StewardsComponent
from mintlanding.agent.tests.slow_way import SlowWay
from mintlanding.conf.models import AgentSettings
from mintlanding.configuration.models import Change, Delta, Service, Target
from mintlanding.coordination.memory import MemoryKeyValueService
from mintlanding.core.application import Application
from mintlanding.core.clock import ManualClock
from mintlanding.membership.models import Member
from mintlanding.standin.engine import EngineStandin
from mintlanding.standin.settings import StandinSettings

WORKER = 'w1'
KEY = f'stewards/{WORKER}'
OWN = Member('i0', 'za', 'r', '127.0.0.1:1', incarnation=7)


class StewardWorld:
    """The stewards component of an instance; the test moves the clock."""

    def __init__(self, *, checks_fencing=True, key_value=None):
        self.clock = ManualClock(1000)
        self.key_value = key_value or MemoryKeyValueService()
        self.key_value._clock = self.clock
        self.digests = {}
        self.checks_fencing = checks_fencing

    async def start(self):
        settings = StandinSettings(
            kind='engine', slots=2, checks_fencing=self.checks_fencing
        )
        self.engine = EngineStandin(settings)
        await self.engine.start()
        port = int(self.engine.url.rpartition(':')[2])
        self.way = await SlowWay(('127.0.0.1', port)).start()
        self.begin_process()
        return self

    def begin_process(self):
        cfg = SimpleNamespace(agent=AgentSettings())
        self.application = Application('agent')
        server = SimpleNamespace(add=lambda *_: None)
        self.context = AgentContext(
            cfg,
            OWN,
            self.application,
            self.clock,
            None,
            server,
            None,
            self.key_value,
            None,
        )
        self.configure(self.objects())
        self.context.members = {OWN.instance: OWN}
        limits = SimpleNamespace()
        self.stewards = StewardsComponent(
            self.context, limits, lambda: self.digests, self._publish
        )

    def configure(self, objects):
        revision = self.context.directory.revision + 1
        self.context.directory.apply(Delta(0, revision, objects))

    def end_process(self):
        for task in tuple(self.application._tasks):
            task.cancel()

    async def stop(self):
        tasks = tuple(self.application._tasks)
        self.end_process()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.way.stop()
        await self.engine.stop()

    @property
    def runner(self):
        return self.stewards._runners.get(WORKER)

    @property
    def token(self):
        return self.stewards._leases.held.get(WORKER, 0)

    @property
    def record(self):
        return self.key_value.store.get(KEY, self.clock.now)

    async def tick(self, seconds=0.5):
        self.clock.advance(seconds)
        self.stewards._tick()
        await asyncio.sleep(0.01)

    async def until(self, condition, ticks=60):
        for _ in range(ticks):
            if condition():
                return
            await self.tick()
        assert condition()

    async def lapse(self):
        """Let the lease end at the store and here."""
        self.key_value.store.revoke_lease(
            self.stewards._leases.lease, self.clock.now
        )
        self.clock.advance(self.context.cfg.agent.steward_lease)

    async def settle(self, condition):
        """Wait for calls under way, without a tick."""
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)

    def _publish(self, digest):
        self.digests[digest.worker] = digest

    def objects(self):
        service = Service(name='model', engine=True)
        target = Target(
            name=WORKER,
            service='model',
            zone=OWN.zone,
            url=self.way.url,
            slots=2,
            batch_limit=4,
            checks_fencing=self.checks_fencing,
        )
        return (
            Change(1, 'service', 'model', service),
            Change(1, 'target', WORKER, target),
        )
