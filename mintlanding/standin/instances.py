"""Stand-in for the platform's instance list."""

import asyncio

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from mintlanding.coordination.instances import InstanceRecord
from mintlanding.standin.base import KINDS, Standin, reply_json, reply_msgpack
from mintlanding.standin.settings import StandinSettings

_Records = tuple[InstanceRecord, ...]


@KINDS.register('instances')
class InstancesStandin(Standin):
    """Serve a list of instances.

    A new list from the side port is served after `lag_seconds`.
    """

    def __init__(self, settings: StandinSettings) -> None:
        """Serve the instances of the settings."""
        super().__init__(settings)
        self._listed = msgspec.convert(settings.instances, _Records)

    def routes(self) -> list[BaseRoute]:
        """Return the route of the instance list."""
        return [Route('/instances', self._get, methods=['GET'])]

    def _side_routes(self) -> list[BaseRoute]:
        return [
            *super()._side_routes(),
            Route('/instances', self._put, methods=['PUT']),
        ]

    async def _get(self, req: Request) -> Response:
        self.records.count('fetch')
        return reply_msgpack(self._listed)

    async def _put(self, req: Request) -> Response:
        try:
            listed = msgspec.json.decode(await req.body(), type=_Records)
        except msgspec.DecodeError as exc:
            return reply_json({'error': str(exc)}, 422)
        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.lag_seconds, self._set_listed, listed)
        return reply_json({'listed': len(listed)})

    def _set_listed(self, listed: _Records) -> None:
        self._listed = listed
