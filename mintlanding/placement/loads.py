"""Loads of one worker: permits, failures with backoff, and timeouts."""

import random
from collections.abc import Iterator

from mintlanding.placement.messages import AdapterRef
from mintlanding.placement.models import (
    LoadFailure,
    PendingLoad,
    PermitAsk,
    StewardOptions,
)

# A refused permit is not asked for again sooner than this many seconds.
_MIN_ASK_AGAIN = 0.02
# A refused ask is repeated after this many times the delay it was told.
_ASK_SPREAD = (1, 2)
# A backoff is stretched by up to this share, so that stewards spread.
_JITTER = 0.2


class LoadFailures:
    """Failed loads in a row for each adapter, with exponential backoff."""

    def __init__(self, options: StewardOptions, rnd: random.Random) -> None:
        """Start with no failure."""
        self._options = options
        self._rnd = rnd
        self._failures: dict[AdapterRef, LoadFailure] = {}

    def __iter__(self) -> Iterator[AdapterRef]:
        """Go through the adapters with failures."""
        return iter(self._failures)

    def note(self, ref: AdapterRef, now: float) -> LoadFailure:
        """Count a failure; after the last try the adapter is refused."""
        failure = self._failures.setdefault(ref, LoadFailure())
        failure.tries += 1
        doubled = self._options.load_backoff * 2.0 ** min(failure.tries - 1, 20)
        backoff = min(doubled, self._options.max_load_backoff)
        stretch = 1 + _JITTER * self._rnd.random()
        failure.retry_at = now + backoff * stretch
        failure.is_refused = failure.tries >= self._options.load_tries
        return failure

    def forget(self, ref: AdapterRef) -> None:
        """Start over after a success."""
        self._failures.pop(ref, None)

    def clear(self) -> None:
        """Start over with an engine that restarted."""
        self._failures.clear()

    def is_waiting(self, ref: AdapterRef, now: float) -> bool:
        """Tell whether the adapter is not to be loaded yet."""
        failure = self._failures.get(ref)
        return failure is not None and failure.retry_at > now

    def refused_for(self, ref: AdapterRef, now: float) -> float:
        """Return for how many seconds requests are refused, 0 for none."""
        failure = self._failures.get(ref)
        if failure is None or not failure.is_refused:
            return 0
        return max(0, failure.retry_at - now)

    def prune(self, now: float) -> None:
        """Forget failures long past."""
        life = 4 * self._options.max_load_backoff
        self._failures = {
            ref: failure
            for ref, failure in self._failures.items()
            if failure.retry_at + life > now
        }


class PermitBook:
    """Permits asked for, and loads that have one and await an eviction."""

    def __init__(self, answer_timeout: float, rnd: random.Random) -> None:
        """Start empty."""
        self._timeout = answer_timeout
        self._rnd = rnd
        self.asks: dict[int, PermitAsk] = {}
        self.pending: dict[int, PendingLoad] = {}

    def count(self, urgent: bool) -> int:
        """Count the asks of a kind."""
        return sum(ask.urgent is urgent for ask in self.asks.values())

    def ask(self, order_id: int, urgent: bool, now: float) -> None:
        """Note an ask."""
        self.asks[order_id] = PermitAsk(order_id, urgent, now)

    def refuse(self, order_id: int, retry_after: float, now: float) -> None:
        """Note a refusal; the ask is repeated later.

        Random delays keep one steward from being first at every refill.
        """
        ask = self.asks.get(order_id)
        if ask is not None:
            delay = max(retry_after, _MIN_ASK_AGAIN)
            ask.ask_again = now + delay * self._rnd.uniform(*_ASK_SPREAD)

    def due(self, now: float) -> list[PermitAsk]:
        """Take out the asks to repeat: refused ones and unanswered ones."""
        found = [
            ask
            for ask in self.asks.values()
            if now >= (ask.ask_again or ask.asked + self._timeout)
        ]
        for ask in found:
            self.asks.pop(ask.order_id)
        return found

    def pending_refs(self) -> set[AdapterRef]:
        """Return the adapters whose load awaits an eviction."""
        return {load.ref for load in self.pending.values()}
