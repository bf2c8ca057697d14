"""The rate at which a worker serves its queue."""

_SMOOTHING = 0.1


class Throughput:
    """Tokens per second that the worker serves with a full batch.

    Learned from finished requests, so that it is also right after idle times.
    """

    def __init__(self, batch_limit: int) -> None:
        """Start without a measurement."""
        self._batch_limit = batch_limit
        self._per_batch_slot: float = 0

    @property
    def tokens_per_second(self) -> float:
        """Return the rate, 0 before any request has finished."""
        return self._per_batch_slot * self._batch_limit

    def note(self, tokens: float, seconds: float) -> None:
        """Learn from a finished request."""
        if tokens <= 0 or seconds <= 0:
            return
        rate = tokens / seconds
        if not self._per_batch_slot:
            self._per_batch_slot = rate
        self._per_batch_slot += _SMOOTHING * (rate - self._per_batch_slot)

    def seconds_for(self, tokens: float) -> float:
        """Return how long serving the tokens takes, 0 while unknown."""
        rate = self.tokens_per_second
        return tokens / rate if rate else 0
