"""A stand-in: an application, its faults, its records, its side port."""

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
    """Base of all stand-ins; a subclass gives routes and background work."""

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
        self._work: asyncio.Task[None] | None = None

    @classmethod
    def from_config(cls, settings: StandinSettings) -> Self:
        """Build the stand-in."""
        return cls(settings)

    @property
    def faults(self) -> Faults:
        """Return the faults that hold."""
        return self.gate.faults

    @property
    def url(self) -> str:
        """Return the base URL of the stand-in."""
        return f'http://{self.server.address}'

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the protocol."""
        return []

    async def work(self) -> None:
        """Run in the background until the stand-in stops."""

    def restart_cold(self) -> None:
        """Forget all state, as a restart would."""

    async def start(self) -> None:
        """Listen on both ports."""
        await self.server.start()
        await self.side.start()
        self._work = asyncio.create_task(self.work())

    async def stop(self) -> None:
        """Stop listening."""
        if self._work is not None:
            self._work.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._work
        await self.server.stop()
        await self.side.stop()

    async def set_faults(self, faults: Faults) -> None:
        """Replace the faults; `down` closes the port."""
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
            return reply({'error': str(exc)}, 422)
        await self.set_faults(faults)
        return reply(self.faults)

    async def _get_faults(self, req: Request) -> Response:
        return reply(self.faults)

    async def _get_records(self, req: Request) -> Response:
        event = req.query_params.get('event', '')
        return reply(self.records.as_document(event))

    async def _silence(self, req: Request) -> Response:
        transports = self.server.transports
        self.gate.silence(transports)
        return reply({'silenced': len(transports)})

    async def _restart(self, req: Request) -> Response:
        self.restart_cold()
        return reply({})


KINDS: Registry[Callable[[StandinSettings], Standin]] = Registry('stand-in')


def reply(body: Any, status: int = 200) -> Response:
    """Answer with JSON."""
    return Response(
        msgspec.json.encode(body),
        status,
        media_type='application/json',
    )


def pack(body: Any, status: int = 200) -> Response:
    """Answer with msgpack."""
    return Response(
        msgspec.msgpack.encode(body),
        status,
        media_type='application/msgpack',
    )
