"""Samples on their way from an entry to the agent of its instance."""

import asyncio

from mintlanding.core.exceptions import PeerError
from mintlanding.peers.client import PeerClient
from mintlanding.reports.messages import (
    RECORD_SAMPLES,
    RequestSample,
    SampleBatch,
)

_MAX_SAMPLES = 10_000
_SEND_SECONDS = 1
_SEND_TIMEOUT = 2


class SampleBuffer:
    """Hold samples until they are sent; a full buffer drops and counts."""

    def __init__(self, size: int = _MAX_SAMPLES) -> None:
        """Start empty."""
        self._size = size
        self._samples: list[RequestSample] = []
        self._dropped = 0

    def add(self, sample: RequestSample) -> None:
        """Hold a sample."""
        if len(self._samples) >= self._size:
            self._dropped += 1
            return
        self._samples.append(sample)

    def note_dropped(self, batch: SampleBatch) -> None:
        """Count a batch that did not arrive."""
        self._dropped += len(batch.samples) + batch.dropped

    def take(self) -> SampleBatch | None:
        """Return what is held and start anew; None when there is nothing."""
        if not self._samples and not self._dropped:
            return None
        batch = SampleBatch(tuple(self._samples), self._dropped)
        self._samples = []
        self._dropped = 0
        return batch


async def send_samples(
    samples: SampleBuffer,
    peers: PeerClient,
    address: str,
) -> None:
    """Send what is held to an agent, once a second, until cancelled."""
    while True:
        await asyncio.sleep(_SEND_SECONDS)
        batch = samples.take()
        if batch is None:
            continue
        try:
            await peers.call(address, RECORD_SAMPLES, batch, _SEND_TIMEOUT)
        except PeerError:
            samples.note_dropped(batch)
