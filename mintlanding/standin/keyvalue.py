"""Stand-in for the key-value service."""

import asyncio
from typing import Any

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from mintlanding.coordination.http_services import IndexReply, LeaseReply
from mintlanding.coordination.keyvalue import MAX_VALUE_BYTES
from mintlanding.coordination.keyvalue_state import KeyValueState
from mintlanding.coordination.memory import MemoryKeyValueService
from mintlanding.core.results import Done, Outcome, ResultCode
from mintlanding.standin.base import KINDS, Standin, reply_msgpack
from mintlanding.standin.settings import StandinSettings

_STATUS = {ResultCode.conflict: 409, ResultCode.object_invalid: 413}
_NOT_FOUND = 404


@KINDS.register('keyvalue')
class KeyValueStandin(Standin):
    """Serve the in-memory key-value service over HTTP, counting each call."""

    def __init__(self, settings: StandinSettings) -> None:
        """Create an empty store."""
        super().__init__(settings)
        self._service = MemoryKeyValueService(KeyValueState())

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the service's API."""
        return [
            Route('/kv', self._list, methods=['GET']),
            Route('/kv/{key:path}', self._get, methods=['GET']),
            Route('/kv/{key:path}', self._put, methods=['PUT']),
            Route('/kv/{key:path}', self._delete, methods=['DELETE']),
            Route('/leases', self._grant, methods=['POST']),
            Route('/leases/{lease}', self._renew, methods=['PUT']),
            Route('/leases/{lease}', self._revoke, methods=['DELETE']),
        ]

    def restart_cold(self) -> None:
        """Keep all state, as the service is durable."""

    async def _list(self, req: Request) -> Response:
        query = req.query_params
        prefix = query.get('prefix', '')
        if 'after' not in query:
            self.records.count('list')
            return reply_msgpack(await self._service.list(prefix))
        self.records.count('wait')
        after = int(query['after'])
        seconds = float(query.get('seconds', '0'))
        waiting = asyncio.ensure_future(
            self._service.wait(prefix, after, seconds),
        )
        disconnect = asyncio.ensure_future(_wait_for_disconnect(req))
        await asyncio.wait((waiting, disconnect), return_when='FIRST_COMPLETED')
        disconnect.cancel()
        if not waiting.done():
            waiting.cancel()
            return Response()
        return reply_msgpack(waiting.result())

    async def _get(self, req: Request) -> Response:
        self.records.count('get')
        entry = await self._service.get(req.path_params['key'])
        return reply_msgpack(entry, _NOT_FOUND if entry is None else 200)

    async def _put(self, req: Request) -> Response:
        self.records.count('put')
        body = await req.body()
        if len(body) > MAX_VALUE_BYTES:
            return reply_msgpack(None, _STATUS[ResultCode.object_invalid])
        outcome = await self._service.put(
            req.path_params['key'],
            body,
            _expected_index(req),
            req.query_params.get('lease', ''),
        )
        return _reply_to_write(outcome)

    async def _delete(self, req: Request) -> Response:
        self.records.count('delete')
        key = req.path_params['key']
        return _reply_to_write(
            await self._service.delete(key, _expected_index(req))
        )

    async def _grant(self, req: Request) -> Response:
        self.records.count('grant')
        seconds = float(req.query_params['seconds'])
        return reply_msgpack(
            LeaseReply(await self._service.grant_lease(seconds))
        )

    async def _renew(self, req: Request) -> Response:
        self.records.count('keep')
        renewed = await self._service.renew_lease(req.path_params['lease'])
        return reply_msgpack(None, 200 if renewed else _NOT_FOUND)

    async def _revoke(self, req: Request) -> Response:
        self.records.count('drop')
        revoked = await self._service.revoke_lease(req.path_params['lease'])
        return reply_msgpack(None, 200 if revoked else _NOT_FOUND)


def _expected_index(req: Request) -> int | None:
    text: Any = req.query_params.get('expected')
    return None if text is None else int(text)


def _reply_to_write(outcome: Outcome[int]) -> Response:
    if isinstance(outcome, Done):
        return reply_msgpack(IndexReply(outcome.value))
    return reply_msgpack(None, _STATUS[outcome.code])


async def _wait_for_disconnect(req: Request) -> None:
    while not await req.is_disconnected():
        await asyncio.sleep(0.5)
