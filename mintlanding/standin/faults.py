"""Faults that tests and the demo set on a stand-in over its side port."""

import asyncio
import weakref
from collections import Counter
from typing import Any

import msgspec
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from mintlanding.core.http_server import TRANSPORT_KEY

_SAFE_METHODS = frozenset(('GET', 'HEAD'))


class Faults(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """Faults of a stand-in; counts decrease with use, flags hold until unset.

    `lag_seconds` delays load reports and instance lists. The last six fields
    concern engines: the next loads fail, fencing tokens are not checked,
    responses name another adapter or are garbage, a stream sends its events
    twice, and evictions of running adapters are executed, not refused.
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
    """ASGI middleware that injects the faults."""

    def __init__(self, app: ASGIApp) -> None:
        """Wrap `app`."""
        self.faults = Faults()
        self._app = app
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()
        self._silenced: weakref.WeakSet[Any] = weakref.WeakSet()
        # Responses that have begun and not ended, by path.
        self.open_responses: Counter[str] = Counter()

    def set_faults(self, faults: Faults) -> None:
        """Replace all faults; counts decrease on a copy."""
        self.faults = msgspec.structs.replace(faults)
        if faults.frozen:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()

    def silence(self, transports: list[asyncio.Transport]) -> None:
        """Send nothing more on these connections, but keep them open."""
        for transport in transports:
            self._silenced.add(transport)

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one call with the current faults."""
        transport = scope.get(TRANSPORT_KEY)
        path = scope['path']
        begun = 0

        async def gated_send(message: Message) -> None:
            nonlocal begun
            await self._wait_while_hung(transport)
            await send(message)
            if message['type'] == 'http.response.start':
                begun = 1
                self.open_responses[path] += 1

        await self._wait_while_hung(transport)
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        if self._take_lost_answer(scope['method']):
            await self._app(scope, receive, _discard)
            _abort(transport)
            return
        try:
            await self._app(scope, receive, gated_send)
        finally:
            self.open_responses[path] -= begun

    def _take_lost_answer(self, method: str) -> bool:
        if method in _SAFE_METHODS:
            return False
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return True
        if self.faults.die_after_run:
            self.faults.die_after_run -= 1
            return True
        return False

    async def _wait_while_hung(self, transport: Any) -> None:
        await self._unfrozen.wait()
        if transport in self._silenced:
            await asyncio.Event().wait()


async def _discard(message: Message) -> None:
    """Discard a message."""


def _abort(transport: asyncio.Transport | None) -> None:
    if transport is not None:
        transport.abort()
