"""Loads of one worker: permits, failures with backoff, and timeouts."""

import random
from collections.abc import Iterator

from mintlanding.placement.messages import AdapterRef
from mintlanding.placement.models import (
    LoadFailure,
    PendingLoad,
    PermitRequest,
    StewardOptions,
)

# Seconds until a refused permit request is sent again, at least.
_MIN_RETRY_DELAY = 0.02
# Range of the factor on the retry delay of a refused permit request.
_RETRY_JITTER = (1, 2)
# Greatest share by which a backoff is lengthened, to spread the stewards.
_BACKOFF_JITTER = 0.2


class LoadFailures:
    """Consecutive failed loads of each adapter, with exponential backoff."""

    def __init__(self, options: StewardOptions, rnd: random.Random) -> None:
        """Start without failures."""
        self._options = options
        self._rnd = rnd
        self._failures: dict[AdapterRef, LoadFailure] = {}

    def __iter__(self) -> Iterator[AdapterRef]:
        """Iterate over the adapters with failures."""
        return iter(self._failures)

    def note(self, ref: AdapterRef, now: float) -> LoadFailure:
        """Count a failure; after `load_tries` of them requests are refused."""
        failure = self._failures.setdefault(ref, LoadFailure())
        failure.tries += 1
        doubled = self._options.load_backoff * 2.0 ** min(failure.tries - 1, 20)
        backoff = min(doubled, self._options.max_load_backoff)
        stretch = 1 + _BACKOFF_JITTER * self._rnd.random()
        failure.retry_at = now + backoff * stretch
        failure.is_refused = failure.tries >= self._options.load_tries
        return failure

    def forget(self, ref: AdapterRef) -> None:
        """Reset an adapter after a successful load."""
        self._failures.pop(ref, None)

    def clear(self) -> None:
        """Reset all adapters after a restart of the engine."""
        self._failures.clear()

    def is_waiting(self, ref: AdapterRef, now: float) -> bool:
        """Return whether the adapter's backoff has not ended yet."""
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
        lifetime = 4 * self._options.max_load_backoff
        self._failures = {
            ref: failure
            for ref, failure in self._failures.items()
            if failure.retry_at + lifetime > now
        }


class PermitRequests:
    """Pending permit requests, and loads that wait for an eviction."""

    def __init__(self, answer_timeout: float, rnd: random.Random) -> None:
        """Start empty."""
        self._timeout = answer_timeout
        self._rnd = rnd
        self.requests: dict[int, PermitRequest] = {}
        self.pending: dict[int, PendingLoad] = {}

    def count(self, urgent: bool) -> int:
        """Count the pending requests that are urgent, or those that are not."""
        return sum(req.urgent is urgent for req in self.requests.values())

    def add(self, order_id: int, urgent: bool, now: float) -> None:
        """Record a permit request."""
        self.requests[order_id] = PermitRequest(order_id, urgent, now)

    def refuse(self, order_id: int, retry_after: float, now: float) -> None:
        """Record a refusal; the request is sent again later.

        The random delay keeps one steward from being first at every refill.
        """
        req = self.requests.get(order_id)
        if req is not None:
            delay = max(retry_after, _MIN_RETRY_DELAY)
            req.retry_at = now + delay * self._rnd.uniform(*_RETRY_JITTER)

    def due(self, now: float) -> list[PermitRequest]:
        """Remove and return the requests to repeat: refused and unanswered."""
        found = [
            req
            for req in self.requests.values()
            if now >= (req.retry_at or req.sent_at + self._timeout)
        ]
        for req in found:
            self.requests.pop(req.order_id)
        return found

    def pending_refs(self) -> set[AdapterRef]:
        """Return the adapters whose load waits for an eviction."""
        return {load.ref for load in self.pending.values()}
