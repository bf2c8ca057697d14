"""The report methods of an agent: record samples, collect snapshots."""

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

_CALL_TIMEOUT_SECONDS = 5
_MAX_CONCURRENT_CALLS = 32


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
        """Initialize with the recorder of this instance."""
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
        """Record the samples of an entry."""
        now = self._clock.monotonic()
        for sample in batch.samples:
            self._recorder.record(sample, now)
        self._recorder.record_dropped(batch.dropped)
        return Empty()

    async def report(self, req: Empty, sender: str) -> Snapshot:
        """Return the snapshot of this instance."""
        return self._recorder.snapshot(self._clock.monotonic())

    async def fleet_report(self, req: Empty, sender: str) -> Snapshot:
        """Return the sum of the snapshots of all instances that reply."""
        total = SnapshotSum()
        total.add(self._recorder.snapshot(self._clock.monotonic()))
        await gather_snapshots(self._peers, self._addresses(), total)
        return total.result()


async def gather_snapshots(
    peers: PeerClient,
    addresses: Iterable[str],
    total: SnapshotSum,
) -> None:
    """Fetch the snapshots of the agents at the addresses and add them.

    Each one is added when it arrives, so that the event loop can run other
    tasks in between.
    """
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)
    unique_addresses = dict.fromkeys(addresses)
    calls = [
        _fetch_snapshot(peers, address, semaphore)
        for address in unique_addresses
    ]
    for fetched in asyncio.as_completed(calls):
        total.add(await fetched)
        await asyncio.sleep(0)


async def _fetch_snapshot(
    peers: PeerClient,
    address: str,
    semaphore: asyncio.Semaphore,
) -> Snapshot:
    async with semaphore:
        try:
            return await peers.call(
                address, REPORT, Empty(), _CALL_TIMEOUT_SECONDS
            )
        except PeerError:
            return Snapshot({}, missing=(address,))
