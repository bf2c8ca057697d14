"""Settlements sent to holders, repeated until they are acknowledged."""

from dataclasses import dataclass, field
from math import inf

from mintlanding.limits.messages import Settle, Settled
from mintlanding.limits.options import LimitsOptions
from mintlanding.limits.outbox import Outbox

_MAX_RETRY_SECONDS = 60.0


@dataclass(slots=True)
class _Unsettled:
    """A settlement that the holder has not acknowledged."""

    message: Settle
    due: float
    give_up_at: float


@dataclass(slots=True)
class Settlements:
    """Settlements of this instance at other instances."""

    options: LimitsOptions
    outbox: Outbox
    _unsettled: dict[tuple[str, str], _Unsettled] = field(default_factory=dict)

    def send(self, message: Settle, holder: str, now: float) -> None:
        """Send a settlement to the holder with one of the next batches."""
        self._unsettled[message.request_id, holder] = _Unsettled(
            message,
            now + self.options.settle_retry,
            now + _MAX_RETRY_SECONDS,
        )
        self.outbox.put(holder, message, now + self.options.lazy)

    def acknowledge(self, message: Settled, sender: str) -> None:
        """Stop repeating a settlement."""
        self._unsettled.pop((message.request_id, sender), None)

    def tick(self, now: float) -> None:
        """Repeat settlements that are due; drop those that ran out of time."""
        for key, unsettled in tuple(self._unsettled.items()):
            if unsettled.give_up_at <= now:
                self._unsettled.pop(key)
            elif unsettled.due <= now:
                unsettled.due = now + self.options.settle_retry
                self.outbox.put(key[1], unsettled.message, now)

    def next_wake(self) -> float:
        """Return when the next settlement is repeated."""
        dues = (each.due for each in self._unsettled.values())
        return min(dues, default=inf)
