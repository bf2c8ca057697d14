"""Faults that tests and the demo set on a stand-in over its side port."""

import asyncio
import weakref
from typing import Any

import msgspec
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from mintlanding.core.http_server import TRANSPORT_KEY

_READS = frozenset(('GET', 'HEAD'))


class Faults(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """What goes wrong; counts are used up, flags hold until they are unset.

    `lag_seconds` is the age of load reports and instance lists. The last six
    concern engines: the next loads fail, fencing numbers are not checked,
    another adapter's name or garbage is answered, an answer comes twice, and
    evictions of running adapters are carried out instead of refused.
    """

    delay_seconds: float = 0
    frozen: bool = False
    down: bool = False
    lose_answers: int = 0
    die_after_run: int = 0
    lag_seconds: float = 0
    fail_loads: int = 0
    ignore_fencing: bool = False
    wrong_adapter: str = ''
    garbage: bool = False
    answer_twice: bool = False
    evict_running: bool = False


class FaultGate:
    """Stand before an application and let its calls go wrong."""

    def __init__(self, app: ASGIApp) -> None:
        """Take the application."""
        self.faults = Faults()
        self._app = app
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._silent: weakref.WeakSet[Any] = weakref.WeakSet()

    def set_faults(self, faults: Faults) -> None:
        """Replace all faults; counts are used up on a copy."""
        self.faults = msgspec.structs.replace(faults)
        if faults.frozen:
            self._thawed.clear()
        else:
            self._thawed.set()

    def silence(self, transports: list[asyncio.Transport]) -> None:
        """Never again answer on these connections, and leave them open."""
        for transport in transports:
            self._silent.add(transport)

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one call under the faults that hold."""
        transport = scope.get(TRANSPORT_KEY)

        async def faulty_send(message: Message) -> None:
            await self._pass_or_hang(transport)
            await send(message)

        await self._pass_or_hang(transport)
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        if self._loses_answer(scope['method']):
            await self._app(scope, receive, _drop)
            _abort(transport)
            return
        await self._app(scope, receive, faulty_send)

    def _loses_answer(self, method: str) -> bool:
        if method in _READS:
            return False
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return True
        if self.faults.die_after_run:
            self.faults.die_after_run -= 1
            return True
        return False

    async def _pass_or_hang(self, transport: Any) -> None:
        await self._thawed.wait()
        if transport in self._silent:
            await asyncio.Event().wait()


async def _drop(message: Message) -> None:
    """Lose a message."""


def _abort(transport: asyncio.Transport | None) -> None:
    if transport is not None:
        transport.abort()
