"""A key-value service whose calls wait until a test lets them go on."""

import asyncio
from dataclasses import dataclass
from typing import Any

from mintlanding.coordination.keyvalue import Entry
from mintlanding.coordination.keyvalue_state import KeyValueState
from mintlanding.core.exceptions import PlatformUnavailable


@dataclass(eq=False)
class Pending:
    """A call that has left its caller and not reached the store yet."""

    apply: Any
    future: asyncio.Future


class SteppedService:
    """Each call is applied, lost, or answered in vain when a test says so."""

    def __init__(self, clock):
        self.store = KeyValueState()
        self.clock = clock
        self.pending: list[Pending] = []

    async def get(self, key):
        return await self._call(lambda: self.store.get(key, self._now()))

    async def put(self, key, value, expected=None, lease=''):
        entry = Entry(key, value, 0)
        return await self._call(
            lambda: self.store.put(entry, expected, lease, self._now()),
        )

    async def delete(self, key, expected=None):
        return await self._call(
            lambda: self.store.delete(key, expected, self._now()),
        )

    async def grant_lease(self, seconds):
        return await self._call(
            lambda: self.store.grant_lease(seconds, self._now()),
        )

    def answer(self, call):
        """Apply the call and answer it."""
        self.pending.remove(call)
        self._resolve(call, call.apply())

    def lose_answer(self, call):
        """Apply the call; its caller hears nothing."""
        self.pending.remove(call)
        call.apply()
        self._resolve(call, PlatformUnavailable('the answer was lost'))

    def lose_call(self, call):
        """Never apply the call."""
        self.pending.remove(call)
        self._resolve(call, PlatformUnavailable('the call was lost'))

    def delay_call(self, call):
        """Tell the caller that no answer came; the call may land later."""
        self._resolve(call, PlatformUnavailable('no answer in time'))

    async def _call(self, apply):
        future = asyncio.get_running_loop().create_future()
        self.pending.append(Pending(apply, future))
        return await future

    def _resolve(self, call, result):
        if call.future.done():
            return
        if isinstance(result, Exception):
            call.future.set_exception(result)
        else:
            call.future.set_result(result)

    def _now(self):
        return self.clock.monotonic()
