"""Samples on their way from an entry to the agent of its instance."""

from mintlanding.reports.messages import RequestSample, SampleBatch

_MAX_SAMPLES = 10_000


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

    def take(self) -> SampleBatch | None:
        """Return what is held and start anew; None when there is nothing."""
        if not self._samples and not self._dropped:
            return None
        batch = SampleBatch(tuple(self._samples), self._dropped)
        self._samples = []
        self._dropped = 0
        return batch
