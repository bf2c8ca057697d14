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
from mintlanding.target_limits.brittle import ROOM_REASON, BrittleRoom
from mintlanding.target_limits.pacer import Pacer

# Seconds for which a grant may be given back.
_GRANT_SECONDS = 1.0
# Least seconds after which a refused request should be tried again.
_MIN_RETRY_AFTER = 0.1
# Retry times get up to this share of jitter, to spread the retries.
_RETRY_JITTER = 0.3
# The same for a brittle target, whose room is short for longer.
_ROOM_RETRY_JITTER = 1.0
# Seconds after its deadline at which a grant without an end is removed.
_GRANT_GRACE = 0.3


class LimitDesk:
    """Grant requests within limit and room, the most urgent first."""

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
        # Set while the target is brittle.
        self.room: BrittleRoom | None = None
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
        wait = self._expected_wait(now, ahead)
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
        if self.room is not None:
            outcome = room_outcome(message.outcome)
            self.room.record_end(message.request_id, outcome, now)
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
            if self._wait(now) > 0:
                break
            replies.append(self._grant(item, now))
        for item in self._missed(now):
            self.queue.remove(item.req.request_id)
            replies.append(self._refusal(item.req, now))
        return replies

    def next_event(self, now: float) -> float | None:
        """Return when `tick` should be called next."""
        if not self.queue:
            return None
        at = now + self._wait(now)
        if self.room is None:
            return at
        return min(at, self.queue.next_expiry() or at)

    def _wait(self, now: float) -> float:
        """Return the seconds until the next request may pass."""
        pace = 0 if self.pacer is None else self.pacer.wait(now)
        room = 0 if self.room is None else self.room.wait(now)
        return max(pace, room)

    def _expected_wait(self, now: float, ahead: int) -> float:
        pace = 0 if self.pacer is None else self.pacer.wait(now, ahead)
        room = 0 if self.room is None else self.room.expected_wait(now, ahead)
        return max(pace, room)

    def _missed(self, now: float) -> list[QueuedRequest]:
        if self.room is not None:
            expired = self.queue.expired(now)
            if expired or self.pacer is None:
                return expired
        if self.pacer is None:
            return []
        return missed_turns(self.queue, self.pacer, now)

    def _grant(self, item: QueuedRequest, now: float) -> AdmissionReply:
        request_id = item.req.request_id
        self.queue.remove(request_id)
        self._granted[request_id] = now
        if self.pacer is not None:
            self.pacer.take(now)
        if self.room is not None:
            expires = now + item.req.deadline + _GRANT_GRACE
            self.room.begin(request_id, now, expires)
        return AdmissionReply(request_id, self.target, is_granted=True)

    def _refusal(self, req: AdmissionRequest, now: float) -> AdmissionReply:
        wait = self._expected_wait(now, len(self.queue))
        jitter = _RETRY_JITTER if self.room is None else _ROOM_RETRY_JITTER
        spread = 1 + jitter * self._rnd.random()
        return AdmissionReply(
            req.request_id,
            self.target,
            retry_after=max(_MIN_RETRY_AFTER, wait) * spread,
            reason=self._refusal_reason(),
        )

    def _refusal_reason(self) -> str:
        if self.room is None:
            return 'its limit is used up'
        return ROOM_REASON


def room_outcome(outcome: GrantOutcome) -> GrantOutcome:
    """Return what the end of a request says of the room of a plain target."""
    if outcome is GrantOutcome.not_ready:
        # It has no adapters to load.
        return GrantOutcome.full
    return outcome
