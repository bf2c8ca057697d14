"""Transfer of samples from an entry to the agent of its instance."""

import asyncio

from mintlanding.core.exceptions import PeerError
from mintlanding.peers.client import PeerClient
from mintlanding.reports.messages import (
    RECORD_SAMPLES,
    RequestSample,
    SampleBatch,
)

_MAX_SAMPLES = 10_000
_SEND_INTERVAL_SECONDS = 1
_SEND_TIMEOUT_SECONDS = 2


class SampleBuffer:
    """Samples to send; a full buffer drops new ones and counts them."""

    def __init__(self, size: int = _MAX_SAMPLES) -> None:
        """Start empty."""
        self._size = size
        self._samples: list[RequestSample] = []
        self._dropped = 0

    def add(self, sample: RequestSample) -> None:
        """Add a sample, or drop it if the buffer is full."""
        if len(self._samples) >= self._size:
            self._dropped += 1
            return
        self._samples.append(sample)

    def record_dropped(self, batch: SampleBatch) -> None:
        """Count the samples of a batch that could not be sent as dropped."""
        self._dropped += len(batch.samples) + batch.dropped

    def take(self) -> SampleBatch | None:
        """Remove and return all samples; None if there are none."""
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
    """Send the buffered samples to an agent every second, until cancelled."""
    while True:
        await asyncio.sleep(_SEND_INTERVAL_SECONDS)
        batch = samples.take()
        if batch is None:
            continue
        try:
            await peers.call(
                address, RECORD_SAMPLES, batch, _SEND_TIMEOUT_SECONDS
            )
        except PeerError:
            samples.record_dropped(batch)
