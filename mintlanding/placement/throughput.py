"""How fast a worker works off its queue."""

_SMOOTHING = 0.1


class DrainRate:
    """Tokens a second that the worker serves with a full batch.

    Learned from finished requests, so that it also holds after idle times.
    """

    def __init__(self, batch_limit: int) -> None:
        """Know nothing yet."""
        self._batch_limit = batch_limit
        self._each: float = 0

    @property
    def tokens_per_second(self) -> float:
        """Return the rate, 0 while nothing has finished."""
        return self._each * self._batch_limit

    def note(self, tokens: float, seconds: float) -> None:
        """Learn from a finished request."""
        if tokens <= 0 or seconds <= 0:
            return
        rate = tokens / seconds
        if not self._each:
            self._each = rate
        self._each += _SMOOTHING * (rate - self._each)

    def seconds_for(self, tokens: float) -> float:
        """Return how long the tokens take, 0 while the rate is unknown."""
        rate = self.tokens_per_second
        return tokens / rate if rate else 0
