"""Probe targets that have failed, so that they come back into use."""

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
    """Answer the probes that the circuits of both routers ask for."""

    def __init__(self, context: EntryContext) -> None:
        """Probe for the routers of an entry."""
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
        answers = await asyncio.gather(*map(self._is_well, names))
        now = self._context.clock.monotonic()
        for name, is_well in zip(names, answers, strict=True):
            if is_well:
                circuits.succeeded(name)
            else:
                circuits.failed(name, now, self._rnd)

    async def _is_well(self, name: str) -> bool:
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
