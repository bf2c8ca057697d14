"""Stand-in of the key-value service."""

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
from mintlanding.standin.base import KINDS, Standin, pack
from mintlanding.standin.settings import StandinSettings

_STATUS = {ResultCode.conflict: 409, ResultCode.object_invalid: 413}
_UNKNOWN = 404


@KINDS.register('keyvalue')
class KeyValueStandin(Standin):
    """Serve the store of the memory kind over HTTP, counting each call."""

    def __init__(self, settings: StandinSettings) -> None:
        """Start with an empty store."""
        super().__init__(settings)
        self._service = MemoryKeyValueService(KeyValueState())

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the protocol."""
        return [
            Route('/kv', self._list, methods=['GET']),
            Route('/kv/{key:path}', self._get, methods=['GET']),
            Route('/kv/{key:path}', self._put, methods=['PUT']),
            Route('/kv/{key:path}', self._delete, methods=['DELETE']),
            Route('/leases', self._grant, methods=['POST']),
            Route('/leases/{lease}', self._keep, methods=['PUT']),
            Route('/leases/{lease}', self._drop, methods=['DELETE']),
        ]

    def restart_cold(self) -> None:
        """Forget nothing: the service is durable."""

    async def _list(self, req: Request) -> Response:
        query = req.query_params
        prefix = query.get('prefix', '')
        if 'after' not in query:
            self.records.count('list')
            return pack(await self._service.list(prefix))
        self.records.count('wait')
        after = int(query['after'])
        seconds = float(query.get('seconds', '0'))
        waiting = asyncio.ensure_future(
            self._service.wait(prefix, after, seconds),
        )
        gone = asyncio.ensure_future(_disconnected(req))
        await asyncio.wait((waiting, gone), return_when='FIRST_COMPLETED')
        gone.cancel()
        if not waiting.done():
            waiting.cancel()
            return Response()
        return pack(waiting.result())

    async def _get(self, req: Request) -> Response:
        self.records.count('get')
        entry = await self._service.get(req.path_params['key'])
        return pack(entry, _UNKNOWN if entry is None else 200)

    async def _put(self, req: Request) -> Response:
        self.records.count('put')
        body = await req.body()
        if len(body) > MAX_VALUE_BYTES:
            return pack(None, _STATUS[ResultCode.object_invalid])
        outcome = await self._service.put(
            req.path_params['key'],
            body,
            _expected(req),
            req.query_params.get('lease', ''),
        )
        return _written(outcome)

    async def _delete(self, req: Request) -> Response:
        self.records.count('delete')
        key = req.path_params['key']
        return _written(await self._service.delete(key, _expected(req)))

    async def _grant(self, req: Request) -> Response:
        self.records.count('grant')
        seconds = float(req.query_params['seconds'])
        return pack(LeaseReply(await self._service.grant_lease(seconds)))

    async def _keep(self, req: Request) -> Response:
        self.records.count('keep')
        kept = await self._service.renew_lease(req.path_params['lease'])
        return pack(None, 200 if kept else _UNKNOWN)

    async def _drop(self, req: Request) -> Response:
        self.records.count('drop')
        dropped = await self._service.revoke_lease(req.path_params['lease'])
        return pack(None, 200 if dropped else _UNKNOWN)


def _expected(req: Request) -> int | None:
    text: Any = req.query_params.get('expected')
    return None if text is None else int(text)


def _written(outcome: Outcome[int]) -> Response:
    if isinstance(outcome, Done):
        return pack(IndexReply(outcome.value))
    return pack(None, _STATUS[outcome.code])


async def _disconnected(req: Request) -> None:
    while not await req.is_disconnected():
        await asyncio.sleep(0.5)
