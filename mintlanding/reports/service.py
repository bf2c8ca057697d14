"""The agent's side: record samples, answer and gather snapshots."""

import asyncio
from collections.abc import Callable, Iterable

from mintlanding.core.clock import Clock
from mintlanding.core.exceptions import PeerError
from mintlanding.peers.client import PeerClient
from mintlanding.peers.messages import Empty
from mintlanding.peers.server import PeerServer
from mintlanding.reports.merging import SnapshotSum
from mintlanding.reports.messages import (
    FLEET_REPORT,
    RECORD_SAMPLES,
    REPORT,
    SampleBatch,
    Snapshot,
)
from mintlanding.reports.recorder import Recorder

_GATHER_SECONDS = 5
_AT_ONCE = 32


class ReportService:
    """Serve the report methods of one agent.

    `addresses` returns the agents of the other instances.
    """

    def __init__(
        self,
        recorder: Recorder,
        peers: PeerClient,
        addresses: Callable[[], Iterable[str]],
        clock: Clock,
    ) -> None:
        """Take the recorder of this instance and the way to the others."""
        self._recorder = recorder
        self._peers = peers
        self._addresses = addresses
        self._clock = clock

    def add_to(self, server: PeerServer) -> None:
        """Register the methods."""
        server.add(RECORD_SAMPLES, self.record)
        server.add(REPORT, self.report)
        server.add(FLEET_REPORT, self.fleet_report)

    async def record(self, batch: SampleBatch, sender: str) -> Empty:
        """Count the samples of an entry."""
        now = self._clock.monotonic()
        for sample in batch.samples:
            self._recorder.record(sample, now)
        self._recorder.note_dropped(batch.dropped)
        return Empty()

    async def report(self, req: Empty, sender: str) -> Snapshot:
        """Return what this instance remembers."""
        return self._recorder.snapshot(self._clock.monotonic())

    async def fleet_report(self, req: Empty, sender: str) -> Snapshot:
        """Return what all instances remember, as far as they answer."""
        total = SnapshotSum()
        total.add(self._recorder.snapshot(self._clock.monotonic()))
        await gather_snapshots(self._peers, self._addresses(), total)
        return total.result()


async def gather_snapshots(
    peers: PeerClient,
    addresses: Iterable[str],
    total: SnapshotSum,
) -> None:
    """Ask the agents at these addresses and add their answers to the sum.

    Answers are added as they come, so that the loop is free between them.
    """
    gate = asyncio.Semaphore(_AT_ONCE)
    asked = dict.fromkeys(addresses)
    asking = [_ask(peers, address, gate) for address in asked]
    for answer in asyncio.as_completed(asking):
        total.add(await answer)
        await asyncio.sleep(0)


async def _ask(
    peers: PeerClient,
    address: str,
    gate: asyncio.Semaphore,
) -> Snapshot:
    async with gate:
        try:
            return await peers.call(address, REPORT, Empty(), _GATHER_SECONDS)
        except PeerError:
            return Snapshot({}, missing=(address,))
