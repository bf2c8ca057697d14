"""Run a small fleet of agents, entries and stand-ins in one process."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

import msgspec

import mintlanding.standin.__main__  # noqa: F401
from mintlanding.agent.application import AgentApplication
from mintlanding.conf.models import InstanceSettings
from mintlanding.configuration.keys import KeyHasher
from mintlanding.configuration.models import (
    Adapter,
    AdapterVersion,
    Selector,
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
from mintlanding.core.exceptions import PeerUnavailable, PlatformUnavailable
from mintlanding.core.http_client import HttpClient, HttpRequest, HttpResponse
from mintlanding.core.results import Done
from mintlanding.core.tests.ports import free_port
from mintlanding.entry.application import EntryApplication
from mintlanding.standin.base import KINDS
from mintlanding.standin.settings import StandinSettings

HOST = '127.0.0.1'
REGION = 'r'
PEPPER = 'pepper-0123456789'
SECRET = 'secret-0123456789'
ZONES = ('za', 'zb', 'zc')
WAIT_SECONDS = 30


async def eventually(condition, timeout=WAIT_SECONDS):
    """Poll a condition until it is true and return its value.

    The timeout only ends a hanging test. The condition may be a coroutine
    function.
    """
    async with asyncio.timeout(timeout):
        while True:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            await asyncio.sleep(0.02)


@dataclass
class Response:
    """An HTTP response as a caller receives it."""

    status: int
    body: bytes
    headers: dict

    @property
    def document(self):
        return msgspec.json.decode(self.body)

    @property
    def error(self):
        return self.document['error']


@dataclass
class Node:
    """The agent and the entry of one instance."""

    cfg: InstanceSettings
    agent: AgentApplication
    entry: EntryApplication
    is_crashed: bool = False

    @property
    def name(self):
        return self.cfg.instance

    @property
    def zone(self):
        return self.cfg.zone

    @property
    def url(self):
        return f'http://{HOST}:{self.cfg.entry.port}'

    async def start(self):
        await self.agent.application.start()
        await self.entry.application.start()

    async def stop(self):
        if self.is_crashed:
            return
        await self.entry.application.stop()
        await self.agent.application.stop()

    async def crash(self, *, entry=True):
        """End without a drain, a handover or a release of leases."""
        self.is_crashed = True
        applications = [self.agent.application, self.entry.application]
        for application in applications if entry else applications[:1]:
            for task in tuple(application._tasks):
                task.cancel()
        await self.agent.context.server.stop(0)
        self.agent.context.client.close()
        if entry:
            await self.entry._server.stop()


@dataclass
class Fleet:
    """All nodes and stand-ins, and the faults that are set between them.

    Nodes in `partitioned_zones` reach no node of another zone. Nodes in
    `zones_without_platform` reach no service of the platform. `settings`,
    `entry_settings` and `limits` are added to the settings of each node.
    """

    standins: dict = field(default_factory=dict)
    nodes: list = field(default_factory=list)
    http: HttpClient = field(default_factory=HttpClient.from_config)
    keys: dict = field(default_factory=dict)
    partitioned_zones: set = field(default_factory=set)
    zones_without_platform: set = field(default_factory=set)
    settings: dict = field(default_factory=dict)
    entry_settings: dict = field(default_factory=dict)
    limits: dict = field(default_factory=lambda: {'seats': 4, 'zones': 'za'})

    async def add_standin(self, name, kind, **options):
        settings = StandinSettings(kind=kind, name=name, **options)
        standin = KINDS.get(kind)(settings)
        await standin.start()
        self.standins[name] = standin
        return standin

    @property
    def storage(self):
        url = self.standins['kv'].url
        return ConfigurationStorage(HttpKeyValueService.from_config(url, 2))

    async def start(self, instances=2, workers=1, plain=1, slots=4):
        await self.add_standin('kv', 'keyvalue')
        await self.add_standin('list', 'instances')
        await self.add_standin('store', 'weight-store')
        store_url = self.standins['store'].url
        for number in range(workers):
            await self.add_standin(
                f'w{number}',
                'engine',
                slots=slots,
                batch_limit=8,
                step_seconds=0.005,
                load_seconds=0.05,
                store_url=store_url,
            )
        for number in range(plain):
            await self.add_standin(f'p{number}', 'plain')
        await self.apply(*self.base_objects(workers, plain, slots))
        for number in range(instances):
            self.nodes.append(self.build_node(number))
        await self.publish_instances()
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await eventually(lambda node=node: self.is_serving(node))

    async def stop(self):
        for node in reversed(self.nodes):
            await node.stop()
        for standin in self.standins.values():
            await standin.stop()

    def base_objects(self, workers, plain, slots):
        hasher = KeyHasher.from_config([PEPPER])
        yield Settings(name='limits', values=self.limits)
        yield Service(name='models', engine=True, base_model='base')
        yield Service(name='orders')
        yield Service(name='public', is_open=True)
        for name in ('red', 'blue'):
            yield Workspace(name=name, rate=1e6, burst=1e6)
            issued = hasher.issue(name)
            self.keys[name] = issued.text
            yield issued.key
            for number in range(6):
                adapter = f'{name}-{number}'
                yield Adapter(
                    name=adapter,
                    workspace=name,
                    service='models',
                    default_version='1',
                )
                yield AdapterVersion(name=f'{adapter}@1')
        yield Selector(name='none', workspace='red', match='no=such')
        for number in range(workers):
            zone = ZONES[number % 3]
            yield self.target(f'w{number}', 'models', zone, slots)
        for number in range(plain):
            yield self.target(f'p{number}', 'orders', ZONES[number % 3])
        yield self.target('p0', 'public', ZONES[0], name='open0')

    def target(self, standin, service, zone, slots=0, name=''):
        return Target(
            name=name or standin,
            service=service,
            zone=zone,
            url=self.standins[standin].url,
            slots=slots,
            batch_limit=8,
            checks_fencing=True,
        )

    def build_node(self, number, zone=''):
        cfg = InstanceSettings.model_validate(
            {
                'instance': f'i{number}',
                'zone': zone or ZONES[number % 3],
                'region': REGION,
                'key_pepper': PEPPER,
                'peers': {'port': free_port(), 'secrets': [SECRET]},
                'platform': {
                    'key_value_url': self.standins['kv'].url,
                    'instance_list_url': self.standins['list'].url,
                    'poll_interval': 0.2,
                    'timeout': 0.5,
                },
                'entry': {
                    'port': free_port(),
                    'body_timeout': 0.5,
                    **self.entry_settings,
                },
                'agent': {
                    'tick_interval': 0.05,
                    'heartbeat_interval': 0.2,
                    'steward_lease': 2,
                    'limits': {
                        'announce': 0.2,
                        'seat_poll': 0.2,
                        'term': 0.8,
                        'zone_term': 0.8,
                        'renew': 0.25,
                    },
                },
                **self.settings,
            }
        )
        node = Node(
            cfg,
            AgentApplication.from_config(cfg),
            EntryApplication.from_config(cfg),
        )
        for client in (node.agent.context.client, node.entry.context.peers):
            self._partition_peer_calls(client, node)
        for service in (
            node.agent.context.key_value,
            node.agent.context.instance_list,
            node.entry.context.key_value,
        ):
            self._cut_platform_calls(service, node)
        return node

    def _cut_platform_calls(self, service, node):
        """Fail calls to the platform from zones that are cut off from it."""
        original = service._call

        async def call(*args, **kwargs):
            if node.zone in self.zones_without_platform:
                raise PlatformUnavailable(
                    f'{node.zone} cannot reach the platform'
                )
            response = await original(*args, **kwargs)
            if node.zone in self.zones_without_platform:
                raise PlatformUnavailable(
                    f'{node.zone} cannot reach the platform'
                )
            return response

        service._call = call

    def _partition_peer_calls(self, client, node):
        """Fail calls between partitioned zones."""
        original_call, original_stream = client.call, client.stream

        def check(address):
            zone = next(
                (
                    each.zone
                    for each in self.nodes
                    if address.endswith(f':{each.cfg.peers.port}')
                ),
                node.zone,
            )
            if zone != node.zone and {zone, node.zone} & self.partitioned_zones:
                raise PeerUnavailable(f'{node.zone} cannot reach {zone}')

        async def call(address, *args):
            check(address)
            return await original_call(address, *args)

        async def stream(address, *args):
            check(address)
            async for reply in original_stream(address, *args):
                yield reply

        client.call, client.stream = call, stream

    async def publish_instances(self, leaving=()):
        records = [
            InstanceRecord(
                node.name,
                node.zone,
                REGION,
                f'{HOST}:{node.cfg.peers.port}',
                'leaving' if node.name in leaving else 'live',
            )
            for node in self.nodes
        ]
        await self.http.call(
            HttpRequest(
                'PUT',
                f'http://{self.standins["list"].side.address}/instances',
                [('content-type', 'application/json')],
                msgspec.json.encode(records),
            ),
        )

    async def apply(self, *bodies):
        proposals = [Proposal.put(body) for body in bodies]
        now = time.time()
        authorship = Authorship('test', new_write_id(now), now)
        outcome = await self.storage.commit(proposals, authorship)
        assert isinstance(outcome, Done), outcome
        return outcome.value.revision

    async def wait_until_in_force(self, revision):
        await eventually(
            lambda: all(
                node.entry.context.view.directory.revision >= revision
                for node in self.nodes
            ),
        )

    async def is_serving(self, node):
        response = await self.complete(node, 'red-0', tokens=1)
        return response.status == 200

    async def complete(self, node, model, key='red', tokens=4, **extra):
        body = {'model': model, 'prompt': 'hi', 'max_tokens': tokens, **extra}
        return await self.call(
            node,
            'POST',
            '/v1/completions',
            msgspec.json.encode(body),
            key=key,
        )

    async def place_order(self, node, order_id, idempotency_key='', key='red'):
        extra = (
            [('idempotency-key', idempotency_key)] if idempotency_key else []
        )
        return await self.call(
            node,
            'POST',
            '/services/orders/place',
            msgspec.json.encode({'id': order_id}),
            key=key,
            headers=extra,
        )

    async def call(self, node, method, path, body=b'', key='', headers=()):
        sent = [('content-type', 'application/json')]
        sent = [each for each in sent if each[0] not in dict(headers)]
        if key:
            text = self.keys.get(key, key)
            sent.append(('authorization', f'Bearer {text}'))
        response: HttpResponse = await self.http.call(
            HttpRequest(method, node.url + path, sent + list(headers), body),
        )
        return Response(response.status, response.body, dict(response.headers))
