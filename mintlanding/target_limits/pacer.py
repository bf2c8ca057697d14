"""Spread the requests that a limit allows over time."""

# Seconds of the limit that may be saved up while nobody asks.
BURST_SECONDS = 0.5
# Requests per second to a target that names a lower limit, so that it can
# name a higher one: a limit ends only with a response.
LEAST_RATE = 0.25
# Error of sums of floating-point numbers, in requests.
_TOLERANCE = 1e-6


class Pacer:
    """Token bucket of one target; rates are in requests per second."""

    def __init__(self, limit: float, now: float, level: float = 0) -> None:
        """Start with `level` requests saved up.

        A new holder starts with none, since it does not know what the holder
        before it let pass.
        """
        self.rate = max(LEAST_RATE, limit)
        self._level = level
        # When the level was that, in the future while nothing may pass.
        self._at = now

    def hold_until(self, at: float) -> None:
        """Let none pass before a time, and save up none until then."""
        if at > self._at:
            self._level = min(0, self._level)
            self._at = at

    def set_limit(self, limit: float, now: float) -> None:
        """Change the rate from now on."""
        self._set_level(self._level_at(now), now)
        self.rate = max(LEAST_RATE, limit)

    def wait(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a request passes after `ahead` others."""
        missing = ahead + 1 - self._level_at(now)
        if missing <= _TOLERANCE:
            return 0
        return max(0, self._at - now) + missing / self.rate

    def take(self, now: float) -> None:
        """Let one request pass."""
        self._set_level(self._level_at(now) - 1, now)

    def give_back(self, now: float) -> None:
        """Take back a request that passed but was not sent."""
        self._set_level(self._level_at(now) + 1, now)

    def _set_level(self, level: float, now: float) -> None:
        if now >= self._at:
            self._level = level
            self._at = now

    def _level_at(self, now: float) -> float:
        burst = max(1, self.rate * BURST_SECONDS)
        return min(burst, self._level + self.rate * max(0, now - self._at))
