import json
from dataclasses import dataclass
from urllib.parse import urlencode, urlsplit

import pytest

from mintlanding.admin.authentication import OperatorDirectory, hash_token
from mintlanding.admin.context import AdminContext
from mintlanding.admin.endpoint import AdminEndpoint
from mintlanding.configuration.keys import KeyHasher
from mintlanding.configuration.storage import ConfigurationStorage
from mintlanding.coordination.memory import MemoryKeyValueService
from mintlanding.core.clock import ManualClock
from mintlanding.core.results import Done, Failed, ResultCode

TOKEN = 'operator-token-for-tests'


@dataclass
class Answer:
    status: int
    headers: dict
    text: bytes

    @property
    def json(self):
        return json.loads(self.text)

    @property
    def error(self):
        return self.json['error']


class AdminClient:
    """Call the ASGI application in-process."""

    def __init__(self, fleet=None):
        self.service = MemoryKeyValueService()
        self.clock = ManualClock(1e6)
        self.context = AdminContext.from_parts(
            ConfigurationStorage(self.service),
            KeyHasher.from_config(['pepper-of-the-tests']),
            self.clock,
            fleet,
        )
        operators = OperatorDirectory.from_config({'ann': hash_token(TOKEN)})
        self.app = AdminEndpoint(self.context, operators).build()

    async def call(self, method, url, body=None, token=TOKEN, **headers):
        parts = urlsplit(url)
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        request_headers = {'content-type': 'application/json'}
        if token:
            request_headers['authorization'] = f'Bearer {token}'
        request_headers |= {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        scope = {
            'type': 'http',
            'asgi': {'version': '3.0'},
            'http_version': '1.1',
            'method': method,
            'path': parts.path,
            'raw_path': parts.path.encode(),
            'query_string': parts.query.encode(),
            'headers': [
                (n.encode(), v.encode()) for n, v in request_headers.items()
            ],
            'scheme': 'http',
            'server': ('admin', 80),
            'client': ('caller', 1),
        }
        sent = []

        async def receive():
            return {
                'type': 'http.request',
                'body': b'' if body is None else raw,
            }

        async def send(message):
            sent.append(message)

        await self.app(scope, receive, send)
        start, *rest = sent
        response_headers = {
            n.decode().lower(): v.decode() for n, v in start['headers']
        }
        content = b''.join(each.get('body', b'') for each in rest)
        return Answer(start['status'], response_headers, content)

    async def apply(self, *objects, **query):
        url = f'/v1/apply?{urlencode(query)}'
        return await self.call('POST', url, {'objects': list(objects)})


class Fleet:
    def __init__(self, *daemons):
        self.found = daemons

    async def daemons(self):
        return Done(self.found)

    async def drain(self, instance):
        if instance not in {each.instance for each in self.found}:
            return Failed.of(ResultCode.object_unknown, instance)
        return Done('leaving')

    async def burn(self):
        return Done({'objectives': []})


def workspace(name='north', **fields):
    return {'kind': 'workspace', 'name': name, 'rate': 5, 'burst': 9} | fields


def service(name='planner-models', **fields):
    return {'kind': 'service', 'name': name} | fields


def adapter(name='layout', **fields):
    return {
        'kind': 'adapter',
        'name': name,
        'workspace': 'north',
        'service': 'planner-models',
    } | fields


def version(name='layout@1', **fields):
    return {'kind': 'adapter-version', 'name': name} | fields


@pytest.fixture
def admin():
    return AdminClient()
