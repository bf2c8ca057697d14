"""Callers and the stand-ins' side ports, as the demo uses them."""

import asyncio
import itertools
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from demo.fleet import Fleet, Instance, StandIn
from mintlanding.core.exceptions import MintlandingError
from mintlanding.core.http_client import HttpClient, HttpRequest, HttpResponse

JSON_HEADER = ('content-type', 'application/json')
CALL_SECONDS = 30
SUCCESS = 200


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer as a caller sees it; status 0 means that none came."""

    status: int
    body: bytes
    seconds: float
    instance: str

    @property
    def is_ok(self) -> bool:
        """Tell whether the call succeeded."""
        return self.status == SUCCESS

    @property
    def document(self) -> dict[str, Any]:
        """Return the JSON body, empty when there is none."""
        try:
            found = msgspec.json.decode(self.body)
        except msgspec.DecodeError:
            return {}
        return found if isinstance(found, dict) else {}

    @property
    def code(self) -> int:
        """Return the result code of an error, else 0."""
        return int(self.document.get('error', {}).get('code', 0))

    @property
    def ran(self) -> str:
        """Return what an error says about the run."""
        return str(self.document.get('error', {}).get('ran', ''))


@dataclass(slots=True)
class Caller:
    """Call the entries in turn, as a balancer would."""

    fleet: Fleet
    key: str
    http: HttpClient = field(default_factory=HttpClient.from_config)
    away: set[str] = field(default_factory=set)
    _turn: 'itertools.count[int]' = field(default_factory=itertools.count)

    def next_instance(self) -> Instance:
        """Return the next entry that is in the balancer's list."""
        present = [
            each for each in self.fleet.instances if each.name not in self.away
        ]
        return present[next(self._turn) % len(present)]

    async def complete(
        self,
        model: str,
        *,
        stream: bool = False,
        tokens: int = 8,
        instance: Instance | None = None,
    ) -> Reply:
        """Ask for a completion."""
        body = {
            'model': model,
            'prompt': f'tiles for {model}',
            'max_tokens': tokens,
            'stream': stream,
        }
        return await self.call(
            'POST',
            '/v1/completions',
            msgspec.json.encode(body),
            instance=instance,
        )

    async def order(self, order_id: str, idempotency_key: str) -> Reply:
        """Place an order under an idempotency key."""
        return await self.call(
            'POST',
            '/services/orders-api/orders',
            msgspec.json.encode({'id': order_id}),
            extra=[('idempotency-key', idempotency_key)],
        )

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        extra: list[tuple[str, str]] | None = None,
        instance: Instance | None = None,
    ) -> Reply:
        """Call an entry; a lost answer is a Reply with status 0."""
        chosen = instance or self.next_instance()
        headers = [JSON_HEADER, ('authorization', f'Bearer {self.key}')]
        call = HttpRequest(
            method,
            chosen.url + path,
            headers + (extra or []),
            body,
            response_timeout=CALL_SECONDS,
        )
        started = time.monotonic()
        try:
            answer = await self.http.call(call)
        except MintlandingError as exc:
            seconds = time.monotonic() - started
            return Reply(0, repr(exc).encode(), seconds, chosen.name)
        seconds = time.monotonic() - started
        return Reply(answer.status, answer.body, seconds, chosen.name)

    async def open_stream(
        self,
        model: str,
        tokens: int,
    ) -> AsyncIterator[bytes]:
        """Yield the pieces of a streamed completion as they come."""
        body = {
            'model': model,
            'prompt': 'a long one',
            'max_tokens': tokens,
            'stream': True,
        }
        headers = [JSON_HEADER, ('authorization', f'Bearer {self.key}')]
        call = HttpRequest(
            'POST',
            f'{self.next_instance().url}/v1/completions',
            headers,
            msgspec.json.encode(body),
            response_timeout=CALL_SECONDS,
        )
        opened = await self.http.open(call)
        async for piece in opened.iter_chunks():
            yield piece


@dataclass(slots=True)
class SidePorts:
    """Records and faults of the stand-ins."""

    fleet: Fleet
    http: HttpClient = field(default_factory=HttpClient.from_config)

    async def records(self, name: str, event: str = '') -> dict[str, Any]:
        """Return what a stand-in itself has seen."""
        url = f'{self.fleet.standin(name).side_url}/records?event={event}'
        answer = await self.http.call(HttpRequest('GET', url))
        found: dict[str, Any] = msgspec.json.decode(answer.body)
        return found

    async def list_instances(self, records: list[dict[str, str]]) -> None:
        """Tell the instance list what the platform shows."""
        url = f'{self.fleet.standin("instance-list").side_url}/instances'
        body = msgspec.json.encode(records)
        await self.http.call(HttpRequest('PUT', url, [JSON_HEADER], body))


async def wait_for_port(standin_url: str, http: HttpClient) -> None:
    """Return when something answers at a URL; raise TimeoutError."""
    async with asyncio.timeout(CALL_SECONDS):
        while not await _answers(standin_url, http):
            await asyncio.sleep(0.05)


async def _answers(url: str, http: HttpClient) -> bool:
    try:
        answer: HttpResponse = await http.call(
            HttpRequest('GET', url, response_timeout=2)
        )
    except MintlandingError:
        return False
    return answer.status < 500


def side_records_url(standin: StandIn) -> str:
    """Return the URL that tells whether a stand-in is up."""
    return f'{standin.side_url}/faults'
