"""Probe failed targets, so that their circuits can close again."""

import asyncio
import random
from urllib.parse import urlsplit

from mintlanding.core.results import Done
from mintlanding.entry.context import EntryContext
from mintlanding.membership.models import MemberState
from mintlanding.routing.circuit import Circuits

PROBE_SECONDS = 0.5
CONNECT_SECONDS = 1


class HealthProbes:
    """Run the probes that the circuits of both routers ask for."""

    def __init__(self, context: EntryContext) -> None:
        """Probe the targets of the context."""
        self._context = context
        self._rnd = random.Random()  # noqa: S311

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            targets = self._context.targets
            await asyncio.gather(
                self._probe_all(targets.workers.circuits),
                self._probe_all(targets.plain.circuits),
            )

    async def _probe_all(self, circuits: Circuits) -> None:
        names = circuits.probes(self._context.clock.monotonic())
        checks = await asyncio.gather(*map(self._is_healthy, names))
        now = self._context.clock.monotonic()
        for name, is_healthy in zip(names, checks, strict=True):
            if is_healthy:
                circuits.succeeded(name)
            else:
                circuits.failed(name, now, self._rnd)

    async def _is_healthy(self, name: str) -> bool:
        member = self._context.view.members.get(name)
        if member is not None:
            return member.state is MemberState.live
        target = self._context.targets.find(name)
        if target is None:
            return False
        engine = self._context.targets.engine(name)
        if target.slots and engine is not None:
            return isinstance(await engine.report(), Done)
        return await _accepts_connections(target.url)


async def _accepts_connections(url: str) -> bool:
    parts = urlsplit(url)
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(
                parts.hostname,
                parts.port or 80,
            )
    except OSError:
        return False
    writer.close()
    return True
