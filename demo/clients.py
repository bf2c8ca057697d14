"""Clients of the demo for the entries and for the stand-ins' side ports."""

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
class Response:
    """A response as a caller receives it; status 0 means that none arrived."""

    status: int
    body: bytes
    seconds: float
    instance: str

    @property
    def is_ok(self) -> bool:
        """Return whether the request succeeded."""
        return self.status == SUCCESS

    @property
    def document(self) -> dict[str, Any]:
        """Return the JSON object in the body, or an empty dict."""
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
        """Return whether the request ran, as the error states it, or ''."""
        return str(self.document.get('error', {}).get('ran', ''))


@dataclass(slots=True)
class Caller:
    """Sends requests to the entries in turn, as a load balancer does.

    `excluded` names the instances that the balancer leaves out.
    """

    fleet: Fleet
    key: str
    http: HttpClient = field(default_factory=HttpClient.from_config)
    excluded: set[str] = field(default_factory=set)
    _counter: 'itertools.count[int]' = field(default_factory=itertools.count)

    def next_instance(self) -> Instance:
        """Return the next instance that is not excluded."""
        present = [
            each
            for each in self.fleet.instances
            if each.name not in self.excluded
        ]
        return present[next(self._counter) % len(present)]

    async def complete(
        self,
        model: str,
        *,
        stream: bool = False,
        tokens: int = 8,
        instance: Instance | None = None,
    ) -> Response:
        """Request a completion."""
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

    async def order(self, order_id: str, idempotency_key: str) -> Response:
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
    ) -> Response:
        """Send a request to an entry; return status 0 without a response."""
        chosen = instance or self.next_instance()
        headers = [JSON_HEADER, ('authorization', f'Bearer {self.key}')]
        request = HttpRequest(
            method,
            chosen.url + path,
            headers + (extra or []),
            body,
            response_timeout=CALL_SECONDS,
        )
        started = time.monotonic()
        try:
            response = await self.http.call(request)
        except MintlandingError as exc:
            seconds = time.monotonic() - started
            return Response(0, repr(exc).encode(), seconds, chosen.name)
        seconds = time.monotonic() - started
        return Response(response.status, response.body, seconds, chosen.name)

    async def open_stream(
        self,
        model: str,
        tokens: int,
    ) -> AsyncIterator[bytes]:
        """Yield the chunks of a streamed completion as they arrive."""
        body = {
            'model': model,
            'prompt': 'a long one',
            'max_tokens': tokens,
            'stream': True,
        }
        headers = [JSON_HEADER, ('authorization', f'Bearer {self.key}')]
        request = HttpRequest(
            'POST',
            f'{self.next_instance().url}/v1/completions',
            headers,
            msgspec.json.encode(body),
            response_timeout=CALL_SECONDS,
        )
        opened = await self.http.open(request)
        async for chunk in opened.iter_chunks():
            yield chunk


@dataclass(slots=True)
class SidePorts:
    """A client of the stand-ins' side ports."""

    fleet: Fleet
    http: HttpClient = field(default_factory=HttpClient.from_config)

    async def records(self, name: str, event: str = '') -> dict[str, Any]:
        """Return the records and event counts of a stand-in."""
        url = f'{self.fleet.standin(name).side_url}/records?event={event}'
        response = await self.http.call(HttpRequest('GET', url))
        found: dict[str, Any] = msgspec.json.decode(response.body)
        return found

    async def list_instances(self, records: list[dict[str, str]]) -> None:
        """Set the records that the platform's instance list serves."""
        url = f'{self.fleet.standin("instance-list").side_url}/instances'
        body = msgspec.json.encode(records)
        await self.http.call(HttpRequest('PUT', url, [JSON_HEADER], body))


async def wait_for_port(standin_url: str, http: HttpClient) -> None:
    """Wait until a URL responds; raise TimeoutError if it does not in time."""
    async with asyncio.timeout(CALL_SECONDS):
        while not await _is_up(standin_url, http):
            await asyncio.sleep(0.05)


async def _is_up(url: str, http: HttpClient) -> bool:
    try:
        response: HttpResponse = await http.call(
            HttpRequest('GET', url, response_timeout=2)
        )
    except MintlandingError:
        return False
    return response.status < 500


def side_records_url(standin: StandIn) -> str:
    """Return a URL of a stand-in that responds once it is up."""
    return f'{standin.side_url}/faults'
