"""Settlements under way to the holder, repeated until it confirms them."""

from dataclasses import dataclass, field
from math import inf

from mintlanding.limits.messages import Settle, Settled
from mintlanding.limits.options import LimitsOptions
from mintlanding.limits.outbox import Outbox

_GIVE_UP_SECONDS = 60.0


@dataclass(slots=True)
class _Unsettled:
    """A settlement that the holder has not confirmed."""

    message: Settle
    due: float
    give_up_at: float


@dataclass(slots=True)
class Settlements:
    """What this instance has settled at other instances."""

    options: LimitsOptions
    outbox: Outbox
    _unsettled: dict[tuple[str, str], _Unsettled] = field(default_factory=dict)

    def send(self, message: Settle, holder: str, now: float) -> None:
        """Tell the holder, with the next batch or a little later."""
        self._unsettled[message.request_id, holder] = _Unsettled(
            message,
            now + self.options.settle_retry,
            now + _GIVE_UP_SECONDS,
        )
        self.outbox.put(holder, message, now + self.options.lazy)

    def confirm(self, message: Settled, sender: str) -> None:
        """Stop repeating a settlement."""
        self._unsettled.pop((message.request_id, sender), None)

    def tick(self, now: float) -> None:
        """Repeat what is due; give up on a holder that stays silent."""
        for key, unsettled in tuple(self._unsettled.items()):
            if unsettled.give_up_at <= now:
                self._unsettled.pop(key)
            elif unsettled.due <= now:
                unsettled.due = now + self.options.settle_retry
                self.outbox.put(key[1], unsettled.message, now)

    def next_wake(self) -> float:
        """Return when a settlement is repeated."""
        dues = (each.due for each in self._unsettled.values())
        return min(dues, default=inf)
