"""The era of the store, which changes when it returns from an older copy.

Revisions are given out again in a new era, and leases of the one before have
ended. Two revisions can be compared within one era only.
"""

from collections.abc import Callable

from mintlanding.core.logs import Logger

# Of a store that names none, or before its first response.
NO_ERA = 0
# Revisions of one era are taken to be below this.
_REVISIONS = 2**40
# Fencing tokens that readers of JSON keep exactly, whatever their numbers are.
_MAX_TOKEN = 2**53


def era_floor(era: int) -> int:
    """Return a number above the fencing tokens of earlier eras.

    It is 0 in the first era and in those beyond the range of tokens.
    """
    floor = max(0, era - 1) * _REVISIONS
    return floor if floor < _MAX_TOKEN else 0


class StoreEra:
    """The era that the store's last responses named.

    Times are seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        """Start without a response."""
        self.number = NO_ERA
        # Called when the era has changed; not for the first one.
        self.listeners: list[Callable[[], None]] = []
        self._seen_at = float('-inf')
        self._logger = Logger('store')

    def record(self, number: int, sent_at: float, now: float) -> bool:
        """Record the era of a response to a call that was sent at a time.

        Return false for a response from before the current era, which arrived
        late.
        """
        before = self.number
        if number in {NO_ERA, before}:
            return True
        if number < before and sent_at < self._seen_at:
            return False
        self.number = number
        self._seen_at = now
        if before == NO_ERA:
            return True
        self._logger.warning('Store era changed.', before=before, now=number)
        for listener in self.listeners:
            listener()
        return True
