"""Decide which requests a limited target gets, and when.

One desk stands for a target: that of the instance which holds the limit, or
one with a share of the limit at an instance that cannot reach the holder.
"""

import random
from collections.abc import Sequence

from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionReply,
    AdmissionRequest,
    GrantOutcome,
)
from mintlanding.residency.models import QueuedRequest, StewardOptions
from mintlanding.residency.queue import AdmissionQueue, missed_turns
from mintlanding.target_limits.pacer import Pacer

# Seconds for which a grant may be given back.
_GRANT_SECONDS = 1.0
# Least seconds after which a refused request should be tried again.
_MIN_RETRY_AFTER = 0.1
# Retry times get up to this share of jitter, to spread the retries.
_RETRY_JITTER = 0.3


class LimitDesk:
    """Grant requests at the rate of a limit, the most urgent first."""

    def __init__(
        self,
        target: str,
        pacer: Pacer | None,
        options: StewardOptions,
        rnd: random.Random,
    ) -> None:
        """Start with an empty queue; without a pacer all requests pass."""
        self.target = target
        self.pacer = pacer
        self.queue = AdmissionQueue(options)
        self._options = options
        self._rnd = rnd
        # When each grant was given, by request.
        self._granted: dict[str, float] = {}

    def reserve(
        self, req: AdmissionRequest, now: float
    ) -> Sequence[AdmissionReply]:
        """Grant, queue or refuse a request."""
        if req.request_id in self.queue:
            return []
        rank = now + req.objective + req.priority * self._options.priority_step
        ahead, _ = self.queue.cost_ahead(rank)
        wait = 0 if self.pacer is None else self.pacer.wait(now, ahead)
        if self.queue.is_full or wait > min(req.max_wait, req.reroute_wait):
            return [self._refusal(req, now)]
        item = QueuedRequest(req, rank, now + req.max_wait, 0)
        self.queue.push(item)
        replies = self.tick(now)
        if req.request_id in self.queue:
            item.is_acknowledged = True
            replies.append(
                AdmissionReply(req.request_id, self.target, is_waiting=True)
            )
        return replies

    def end(self, message: AdmissionEnd, now: float) -> None:
        """Remove a request; one that was not sent is taken back."""
        if self.queue.remove(message.request_id) is not None:
            return
        granted_at = self._granted.pop(message.request_id, None)
        is_unused = message.outcome is GrantOutcome.unused
        if self.pacer is None or granted_at is None or not is_unused:
            return
        self.pacer.give_back(now)

    def tick(self, now: float) -> list[AdmissionReply]:
        """Grant what may pass now; refuse what will not pass in time."""
        self._granted = {
            request_id: at
            for request_id, at in self._granted.items()
            if now < at + _GRANT_SECONDS
        }
        replies = []
        for item in self.queue:
            if self.pacer is not None and self.pacer.wait(now) > 0:
                break
            replies.append(self._grant(item, now))
        if self.pacer is None:
            return replies
        for item in missed_turns(self.queue, self.pacer, now):
            self.queue.remove(item.req.request_id)
            replies.append(self._refusal(item.req, now))
        return replies

    def next_event(self, now: float) -> float | None:
        """Return when `tick` should be called next."""
        if not self.queue:
            return None
        wait = 0 if self.pacer is None else self.pacer.wait(now)
        return now + wait

    def _grant(self, item: QueuedRequest, now: float) -> AdmissionReply:
        request_id = item.req.request_id
        self.queue.remove(request_id)
        self._granted[request_id] = now
        if self.pacer is not None:
            self.pacer.take(now)
        return AdmissionReply(request_id, self.target, is_granted=True)

    def _refusal(self, req: AdmissionRequest, now: float) -> AdmissionReply:
        wait: float = 0
        if self.pacer is not None:
            wait = self.pacer.wait(now, len(self.queue))
        spread = 1 + _RETRY_JITTER * self._rnd.random()
        return AdmissionReply(
            req.request_id,
            self.target,
            retry_after=max(_MIN_RETRY_AFTER, wait) * spread,
            reason='its limit is used up',
        )
