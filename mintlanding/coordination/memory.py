"""In-memory platform services with fault injection, for tests and stand-ins."""

import asyncio
import contextlib
from dataclasses import dataclass

from mintlanding.coordination.instances import InstanceRecord
from mintlanding.coordination.keyvalue import Entry, Listing
from mintlanding.coordination.keyvalue_state import KeyValueState
from mintlanding.core.clock import Clock, SystemClock
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.core.results import Outcome


@dataclass(slots=True)
class PlatformFaults:
    """Injected faults.

    `lose_answers` is the number of next writes that take effect but whose
    responses are lost.
    """

    down: bool = False
    slow_seconds: float = 0
    lose_answers: int = 0


class MemoryKeyValueService:
    """A key-value service in this process."""

    def __init__(
        self,
        store: KeyValueState | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Use `store`, which several clients may share."""
        self.store = store or KeyValueState()
        self.faults = PlatformFaults()
        self.calls = 0
        self._clock = clock or SystemClock()
        self._changed = asyncio.Event()

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        await self._enter()
        return self.store.get(key, self._now())

    async def list(self, prefix: str) -> Listing:
        """Return all entries under a prefix."""
        await self._enter()
        return self.store.list(prefix, self._now())

    async def put(
        self,
        key: str,
        value: bytes,  # noqa: WPS110
        expected: int | None = None,
        lease: str = '',
    ) -> Outcome[int]:
        """Write if the key's index is `expected` (0: it must not exist)."""
        await self._enter()
        entry = Entry(key, value, 0)
        outcome = self.store.put(entry, expected, lease, self._now())
        self._leave_write()
        return outcome

    async def delete(
        self,
        key: str,
        expected: int | None = None,
    ) -> Outcome[int]:
        """Delete if the key's index is `expected`."""
        await self._enter()
        outcome = self.store.delete(key, expected, self._now())
        self._leave_write()
        return outcome

    async def wait(self, prefix: str, after: int, seconds: float) -> Listing:
        """Return the listing when its index exceeds `after`, or on timeout."""
        await self._enter()
        try:
            async with asyncio.timeout(seconds):
                await self._wait_change(prefix, after)
        except TimeoutError:
            self._check_available()
        return self.store.list(prefix, self._now())

    async def grant_lease(self, seconds: float) -> str:
        """Create a lease and return its id."""
        await self._enter()
        lease = self.store.grant_lease(seconds, self._now())
        self._leave_write()
        return lease

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has ended."""
        await self._enter()
        kept = self.store.renew_lease(lease, self._now())
        self._leave_write()
        return kept

    async def revoke_lease(self, lease: str) -> bool:
        """End a lease and delete its entries."""
        await self._enter()
        dropped = self.store.revoke_lease(lease, self._now())
        self._leave_write()
        return dropped

    def wake(self) -> None:
        """Make waiting calls check again, after a change of faults or time."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _enter(self) -> None:
        self.calls += 1
        if self.faults.slow_seconds:
            await asyncio.sleep(self.faults.slow_seconds)
        self._check_available()

    async def _wait_change(self, prefix: str, after: int) -> None:
        while not self.store.changed(prefix, after, self._now()):
            expiry = self.store.next_expiry()
            left = None if expiry is None else max(0, expiry - self._now())
            # asyncio.wait_for could swallow the cancellation of its caller.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()
            self._check_available()

    def _leave_write(self) -> None:
        self.wake()
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise PlatformUnavailable('the response was lost')

    def _check_available(self) -> None:
        if self.faults.down:
            raise PlatformUnavailable('the service is down')

    def _now(self) -> float:
        return self._clock.monotonic()


class MemoryInstanceList:
    """An instance list in this process."""

    def __init__(self, records: tuple[InstanceRecord, ...] = ()) -> None:
        """Start with the given instances."""
        self.records = records
        self.faults = PlatformFaults()

    async def fetch(self) -> tuple[InstanceRecord, ...]:
        """Return the instances that the platform lists."""
        if self.faults.slow_seconds:
            await asyncio.sleep(self.faults.slow_seconds)
        if self.faults.down:
            raise PlatformUnavailable('the instance list is down')
        return self.records
