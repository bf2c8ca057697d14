"""Requests to a target that crashes when it refuses too many of them.

Such a target names how many refusals per second for want of room it bears.
How much room it has is not known and may shrink without notice, so the bound
on concurrent requests follows what was refused and what was served, and the
requests whose fate is unknown are bounded by the refusals that are left.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import xxhash

from mintlanding.residency.messages import GrantOutcome

# Part of the refusals that one granter uses: a target's old and new holder,
# or a holder and the instances that do not reach it, may act within the same
# second.
_USED_PART = 0.5
# Seconds for which a refusal counts: one second, and the time for which
# notices of refusals may be under way.
_WINDOW_SECONDS = 1.5
# Seconds after its grant in which a request may still be refused.
_RISK_SECONDS = 0.4
# Seconds for which what one granter let pass bears on what others may.
HANDOVER_SECONDS = _WINDOW_SECONDS + _RISK_SECONDS
# Seconds for which a grant may be used, well below the time at risk.
TURN_SECONDS = 0.25
# Part of the concurrent requests that remain after a refusal.
_DROP = 0.8
# Concurrent requests per second by which the bound rises after a refusal.
_RISE_PER_SECOND = 1.0
# Largest bound, in slots of the target.
_MAX_SLOTS = 4
# Expected seconds of a request before any was served, and the weight of each
# one in their moving average.
_INITIAL_RUN_SECONDS = 0.2
_SMOOTHING = 0.1
# Reason of a refusal because the room of a target is short.
ROOM_REASON = 'its room is short'
# Longest expected wait in seconds while nothing can be sent.
_MAX_WAIT = 2.0


@dataclass(frozen=True, slots=True)
class RoomShare:
    """What one granter may use of a brittle target.

    `refusals` is their number per second, `part` that of its room.
    """

    refusals: int
    part: float

    @classmethod
    def of_members(
        cls,
        target: str,
        refusals: float,
        granters: Collection[str],
        members: Collection[str],
    ) -> 'RoomShare':
        """Return the share of some members; all shares are within the whole.

        Refusals that do not divide go to the first members by rendezvous
        hashing. `granters` are some of `members`.
        """
        whole = _whole(refusals)
        each, rest = divmod(whole, len(members))
        favoured = sorted(members, key=lambda name: member_weight(target, name))
        extra = sum(name in granters for name in favoured[:rest])
        return cls(each * len(granters) + extra, len(granters) / len(members))

    def least(self, other: 'RoomShare') -> 'RoomShare':
        """Return what both shares contain."""
        return RoomShare(
            min(self.refusals, other.refusals), min(self.part, other.part)
        )


def other_granters(refusals: float) -> int:
    """Return how many others may act within the same window as a granter."""
    return max(1, int(refusals)) // _whole(refusals) - 1


@dataclass(slots=True)
class _Sent:
    """A request that was granted: `place` counts those under way with it."""

    at: float
    expires: float
    place: int
    is_at_risk: bool
    is_at_bound: bool


class BrittleRoom:
    """Bounds the requests that one granter lets pass to a brittle target."""

    def __init__(
        self,
        slots: int,
        share: RoomShare,
        now: float,
        starts_at: float = -math.inf,
    ) -> None:
        """Start cautiously: nothing is known of the requests under way.

        Before `starts_at` none may pass, since others may have used up the
        refusals.
        """
        self._slots = max(1, slots)
        self._share = share
        self._named_share = share
        self._opened_at = now
        # Earlier shares, and until when each was in force.
        self._earlier: deque[tuple[float, RoomShare]] = deque()
        self._starts_at = starts_at
        self._bound = max(float(share.refusals), self._slots / 2)
        self._sent: dict[str, _Sent] = {}
        self._refused_at: deque[float] = deque()
        # Concurrent requests from here that the target took since its last
        # refusal.
        self._proven = 0
        self._last_refusal = float('-inf')
        self._is_starting = True
        self._raised_at = now
        self._run_seconds = _INITIAL_RUN_SECONDS

    @property
    def limit(self) -> int:
        """Return how many requests may be under way at the same time."""
        if not self._share.refusals:
            return 0
        return max(1, int(self._bound * self._share.part))

    @property
    def under_way(self) -> int:
        """Return the number of requests that have not ended."""
        return len(self._sent)

    def set_share(self, share: RoomShare, now: float) -> None:
        """Use another share: at once what is less, what is more later.

        Others may have used what comes back here. When to begin was decided
        with regard to them, so that shares may still come in then.
        """
        is_old = now > self._opened_at + HANDOVER_SECONDS
        if share != self._named_share and is_old:
            self._earlier.append((now, self._named_share))
        self._named_share = share
        self._update_share(now)

    def set_slots(self, slots: int) -> None:
        """Take the target for one with so many slots from now on."""
        self._slots = max(1, slots)
        self._proven = min(self._proven, self._most_proven())

    def hold_until(self, at: float) -> None:
        """Let none pass before a time, since others may let some pass."""
        if at > self._starts_at:
            self._starts_at = at
            self._proven = 0

    def resume(self, at: float) -> None:
        """Go on at a time, after others have let requests pass meanwhile."""
        self.hold_until(at)
        self._proven = 0

    def adopt(self, granted: Iterable[tuple[str, float, float]]) -> None:
        """Count requests that were granted before the target was brittle.

        Each has an id, the time of its grant and that of its expiry.
        """
        for request_id, at, expires in granted:
            self._sent[request_id] = _Sent(at, expires, 0, False, False)
        self._bound = max(self._bound, len(self._sent))

    def wait(self, now: float) -> float:
        """Return the seconds until a request may pass if none ends before."""
        self._expire(now)
        if now < self._starts_at:
            return self._starts_at - now
        if not self._share.refusals:
            return self._seconds_until_share(now)
        if len(self._sent) >= self.limit:
            return min(each.expires for each in self._sent.values()) - now
        if len(self._sent) < self._proven:
            return 0
        risks = [
            each.at + _RISK_SECONDS
            for each in self._sent.values()
            if each.is_at_risk and each.at + _RISK_SECONDS > now
        ]
        if len(risks) + len(self._refused_at) < self._share.refusals:
            return 0
        ends = risks + [at + _WINDOW_SECONDS for at in self._refused_at]
        return max(0, min(ends) - now)

    def expected_wait(self, now: float, ahead: int = 0) -> float:
        """Return the expected seconds until one passes after `ahead` others."""
        wait = self.wait(now)
        limit = self.limit
        if not limit:
            return _MAX_WAIT
        excess = len(self._sent) + ahead + 1 - limit
        if excess > 0:
            wait = min(wait, excess * self._run_seconds / limit)
        return min(wait, _MAX_WAIT)

    def begin(self, request_id: str, now: float, expires: float) -> None:
        """Record that a request is granted."""
        place = len(self._sent) + 1
        self._sent[request_id] = _Sent(
            at=now,
            expires=expires,
            place=place,
            is_at_risk=place > self._proven,
            is_at_bound=place >= self.limit,
        )

    def record_end(
        self, request_id: str, outcome: GrantOutcome, now: float
    ) -> None:
        """Record how a request ended.

        One that was refused while its adapter was loading says nothing of the
        room, but the target may have counted it. The same holds for one that
        another granter let pass.
        """
        if outcome is GrantOutcome.served:
            self._record_served(request_id, now)
            return
        sent = self._sent.pop(request_id, None)
        if outcome in {GrantOutcome.full, GrantOutcome.not_ready}:
            self._refused_at.append(now)
        if outcome is GrantOutcome.full and sent is not None:
            self._record_full(now)

    def _record_served(self, request_id: str, now: float) -> None:
        sent = self._sent.pop(request_id, None)
        if sent is None:
            return
        self._run_seconds += _SMOOTHING * (now - sent.at - self._run_seconds)
        if sent.at <= self._last_refusal:
            return
        taken = min(self._most_proven(), sent.place)
        self._proven = max(self._proven, taken)
        if sent.is_at_bound:
            self._raise_bound(now)

    def _record_full(self, now: float) -> None:
        self._last_refusal = now
        self._is_starting = False
        self._raised_at = now
        left = len(self._sent) * _DROP
        if len(self._sent) < self._proven:
            # Its slots are taken by requests that are not known here.
            self._proven = int(left)
        self._bound = max(1, min(self._bound, left / self._share.part))

    def _raise_bound(self, now: float) -> None:
        rise = 1.0
        if not self._is_starting or self._bound >= self._slots:
            rise = min(1, (now - self._raised_at) * _RISE_PER_SECOND)
        self._raised_at = now
        self._bound = min(self._slots * _MAX_SLOTS, self._bound + rise)

    def _most_proven(self) -> int:
        return int(self._slots * self._share.part)

    def _update_share(self, now: float) -> None:
        """Use the least of the shares of the last window."""
        while self._earlier and self._earlier[0][0] <= now - HANDOVER_SECONDS:
            self._earlier.popleft()
        share = self._named_share
        for _, earlier in self._earlier:
            share = share.least(earlier)
        self._share = share
        self._proven = min(self._proven, self._most_proven())

    def _seconds_until_share(self, now: float) -> float:
        """Return the seconds until a share counts, infinite without one."""
        if not self._named_share.refusals or not self._earlier:
            return math.inf
        return self._earlier[0][0] + HANDOVER_SECONDS - now

    def _expire(self, now: float) -> None:
        if self._earlier:
            self._update_share(now)
        while self._refused_at and self._refused_at[0] <= now - _WINDOW_SECONDS:
            self._refused_at.popleft()
        for request_id, sent in tuple(self._sent.items()):
            if sent.expires <= now:
                self._sent.pop(request_id)


def _whole(refusals: float) -> int:
    """Return the refusals that all shares together contain."""
    return max(1, int(refusals * _USED_PART))


def member_weight(target: str, member: str) -> int:
    """Return the weight of a member for a target in rendezvous hashing."""
    return xxhash.xxh64_intdigest(f'{target}|{member}'.encode())
