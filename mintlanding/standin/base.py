"""Base of the stand-ins: application, faults, records and side port."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Self

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from mintlanding.core.http_server import HttpLimits, HttpServer
from mintlanding.core.registry import Registry
from mintlanding.standin.faults import FaultGate, Faults
from mintlanding.standin.records import Records
from mintlanding.standin.settings import StandinSettings

_LIMITS = HttpLimits(header_bytes=65536)


class Standin:
    """Base class of stand-ins.

    Subclasses define the routes and may run a background task.
    """

    def __init__(self, settings: StandinSettings) -> None:
        """Build the servers; nothing listens yet."""
        self.settings = settings
        self.records = Records(settings.journal)
        self.gate = FaultGate(Starlette(routes=self.routes()))
        self.server = HttpServer.from_config(
            self.gate,
            settings.host,
            settings.port,
            _LIMITS,
        )
        self.side = HttpServer.from_config(
            Starlette(routes=self._side_routes()),
            settings.host,
            settings.side_port,
            _LIMITS,
        )
        self._background: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, settings: StandinSettings) -> Self:
        """Build the stand-in."""
        return cls(settings)

    @property
    def faults(self) -> Faults:
        """Return the current faults."""
        return self.gate.faults

    @property
    def url(self) -> str:
        """Return the base URL of the stand-in."""
        return f'http://{self.server.address}'

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the service that the stand-in replaces."""
        return []

    async def run_background(self) -> None:
        """Run in the background until the stand-in stops."""

    def restart_cold(self) -> None:
        """Lose the state that a restart of the service would lose."""

    async def start(self) -> None:
        """Listen on both ports."""
        await self.server.start()
        await self.side.start()
        self._background = asyncio.create_task(self.run_background())

    async def stop(self) -> None:
        """Stop the background task and stop listening."""
        if self._background is not None:
            self._background.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._background
        await self.server.stop()
        await self.side.stop()

    async def set_faults(self, faults: Faults) -> None:
        """Replace the faults; with `down`, the port is closed."""
        was_down = self.faults.down
        self.gate.set_faults(faults)
        if faults.down and not was_down:
            await self.server.stop()
        if was_down and not faults.down:
            await self.server.start()

    def _side_routes(self) -> list[BaseRoute]:
        return [
            Route('/faults', self._put_faults, methods=['PUT']),
            Route('/faults', self._get_faults, methods=['GET']),
            Route('/records', self._get_records, methods=['GET']),
            Route('/silence', self._silence, methods=['POST']),
            Route('/restart', self._restart, methods=['POST']),
        ]

    async def _put_faults(self, req: Request) -> Response:
        try:
            faults = msgspec.json.decode(await req.body(), type=Faults)
        except msgspec.DecodeError as exc:
            return reply_json({'error': str(exc)}, 422)
        await self.set_faults(faults)
        return reply_json(self.faults)

    async def _get_faults(self, req: Request) -> Response:
        return reply_json(self.faults)

    async def _get_records(self, req: Request) -> Response:
        event = req.query_params.get('event', '')
        return reply_json(self.records.as_document(event))

    async def _silence(self, req: Request) -> Response:
        transports = self.server.transports
        self.gate.silence(transports)
        return reply_json({'silenced': len(transports)})

    async def _restart(self, req: Request) -> Response:
        self.restart_cold()
        return reply_json({})


KINDS: Registry[Callable[[StandinSettings], Standin]] = Registry('stand-in')


def reply_json(body: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(
        msgspec.json.encode(body),
        status,
        media_type='application/json',
    )


def reply_msgpack(body: Any, status: int = 200) -> Response:
    """Return a msgpack response."""
    return Response(
        msgspec.msgpack.encode(body),
        status,
        media_type='application/msgpack',
    )
