"""Policies that enforce a limit over a fleet, behind one interface.

The agents run `loans`; the others are baselines for measurements.
"""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol, Self

from mintlanding.core.registry import Registry
from mintlanding.core.results import Done, Failed, ResultCode
from mintlanding.limits.bucket import Bucket
from mintlanding.limits.messages import (
    Action,
    Envelope,
    GiveSpare,
    RequestSpare,
    Reservation,
    ReserveOutcome,
)
from mintlanding.limits.node import LimitsNode
from mintlanding.limits.options import LimitsOptions, Rate
from mintlanding.limits.outbox import Outbox
from mintlanding.membership.models import Member, MemberState

_FOREVER = float('inf')


class LimitsPolicy(Protocol):
    """A policy at one instance; calls return the actions to execute."""

    @classmethod
    def from_config(
        cls,
        instance: str,
        incarnation: int,
        zone: str,
        options: LimitsOptions,
        rng: random.Random,
    ) -> Self:
        """Return the policy of an instance."""

    def configure(
        self,
        rates: Mapping[str, Rate],
        seat_count: int,
        now: float,
    ) -> list[Action]:
        """Apply the limits of a revision."""

    def assign_seats(self, seats: frozenset[int], now: float) -> list[Action]:
        """Own exactly these seats."""

    def observe_members(
        self,
        members: Sequence[Member],
        now: float,
    ) -> list[Action]:
        """Update the live instances."""

    def reserve(
        self,
        request_id: str,
        workspace: str,
        tokens: float,
        now: float,
    ) -> list[Action]:
        """Charge a request; produces exactly one `ReserveOutcome`."""

    def receive(
        self,
        message: Envelope,
        sender: str,
        now: float,
    ) -> list[Action]:
        """Handle a batch of messages of another instance."""

    def tick(self, now: float) -> list[Action]:
        """Run the work that is due."""

    def drain(self, now: float) -> list[Action]:
        """Start to leave."""

    def next_wake(self, now: float) -> float:
        """Return when `tick` has to be called next."""


POLICIES: Registry[type[LimitsPolicy]] = Registry('limits policy')
POLICIES.register('loans')(LimitsNode)


@POLICIES.register('static-split')
class StaticSplit:
    """Let each instance use only its own share of rate and burst."""

    def __init__(
        self, instance: str, incarnation: int, options: LimitsOptions
    ) -> None:
        """Start without a share."""
        self.instance = instance
        self.options = options
        self._outbox = Outbox(incarnation)
        self._rates: Mapping[str, Rate] = {}
        self._buckets: dict[str, Bucket] = {}
        self._fraction = 0.0
        self._seat_count = 1

    @classmethod
    def from_config(
        cls,
        instance: str,
        incarnation: int,
        zone: str,
        options: LimitsOptions,
        rng: random.Random,
    ) -> Self:
        """Return the policy of an instance."""
        return cls(instance, incarnation, options)

    def configure(
        self,
        rates: Mapping[str, Rate],
        seat_count: int,
        now: float,
    ) -> list[Action]:
        """Apply the limits of a revision."""
        self._rates = rates
        self._seat_count = seat_count
        self._resize(now)
        return []

    def assign_seats(self, seats: frozenset[int], now: float) -> list[Action]:
        """Own exactly these seats."""
        self._fraction = len(seats) / self._seat_count
        self._resize(now)
        return []

    def observe_members(
        self,
        members: Sequence[Member],
        now: float,
    ) -> list[Action]:
        """Do nothing; other instances have no influence."""
        return []

    def reserve(
        self,
        request_id: str,
        workspace: str,
        tokens: float,
        now: float,
    ) -> list[Action]:
        """Charge the share of this instance, or refuse."""
        if self._buckets[workspace].take(request_id, tokens, now):
            reservation = Reservation(request_id, workspace, tokens)
            return [ReserveOutcome(request_id, Done(reservation))]
        failed = Failed.of(ResultCode.rate_exceeded)
        return [ReserveOutcome(request_id, failed)]

    def receive(
        self,
        message: Envelope,
        sender: str,
        now: float,
    ) -> list[Action]:
        """Do nothing; other instances have no influence."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Do nothing."""
        return []

    def drain(self, now: float) -> list[Action]:
        """Do nothing; the share stays unused."""
        return []

    def next_wake(self, now: float) -> float:
        """Return infinity; there is no timed work."""
        return _FOREVER

    def _resize(self, now: float) -> None:
        for name, limit in self._rates.items():
            bucket = self._buckets.setdefault(name, Bucket(now))
            rate = limit.rate * self._fraction
            bucket.resize(rate, limit.burst * self._fraction, now)


@dataclass(slots=True)
class _SpareCollection:
    """Spare tokens collected for a request."""

    workspace: str
    tokens: float
    collected: float
    replies: int
    deadline: float


@POLICIES.register('ask-all')
class RequestFromAll(StaticSplit):
    """Request spare tokens from all other instances before refusing."""

    def __init__(
        self, instance: str, incarnation: int, options: LimitsOptions
    ) -> None:
        """Start without peers."""
        super().__init__(instance, incarnation, options)
        self._peers: list[str] = []
        self._collections: dict[str, _SpareCollection] = {}

    def observe_members(
        self,
        members: Sequence[Member],
        now: float,
    ) -> list[Action]:
        """Update the peers to request tokens from."""
        self._peers = [
            each.instance
            for each in members
            if each.state is MemberState.live and each.instance != self.instance
        ]
        return []

    def reserve(
        self,
        request_id: str,
        workspace: str,
        tokens: float,
        now: float,
    ) -> list[Action]:
        """Charge the share of this instance, or collect missing tokens."""
        bucket = self._buckets[workspace]
        bucket.advance(now)
        if tokens <= bucket.level or not self._peers:
            return super().reserve(request_id, workspace, tokens, now)
        missing = tokens - bucket.level
        deadline = now + self.options.request_timeout
        count = len(self._peers)
        self._collections[request_id] = _SpareCollection(
            workspace,
            tokens,
            bucket.level,
            count,
            deadline,
        )
        bucket.level = 0
        for name in self._peers:
            self._outbox.put(
                name, RequestSpare(request_id, workspace, missing), now
            )
        return list(self._outbox.flush(now))

    def receive(
        self,
        message: Envelope,
        sender: str,
        now: float,
    ) -> list[Action]:
        """Send spare tokens, or add tokens received from a peer."""
        actions: list[Action] = []
        if not self._outbox.accept(message, sender):
            return actions
        for each in message.messages:
            if isinstance(each, RequestSpare):
                bucket = self._buckets[each.workspace]
                bucket.advance(now)
                spare = min(bucket.level, each.tokens)
                bucket.level -= spare
                give = GiveSpare(each.request_id, each.workspace, spare)
                self._outbox.put(sender, give, now)
            elif isinstance(each, GiveSpare):
                actions.extend(self._add(each, now))
        return [*actions, *self._outbox.flush(now)]

    def tick(self, now: float) -> list[Action]:
        """Finish the requests whose deadline has passed."""
        actions: list[Action] = []
        for name, collection in tuple(self._collections.items()):
            if collection.deadline <= now:
                actions.extend(self._finish(name, now))
        return actions

    def next_wake(self, now: float) -> float:
        """Return the earliest deadline."""
        deadlines = (each.deadline for each in self._collections.values())
        return max(now, min(deadlines, default=_FOREVER))

    def _add(self, give: GiveSpare, now: float) -> list[Action]:
        collection = self._collections.get(give.request_id)
        if collection is None:
            self._return_spare(give.workspace, give.tokens, now)
            return []
        collection.collected += give.tokens
        collection.replies -= 1
        is_enough = collection.collected >= collection.tokens
        if is_enough or not collection.replies:
            return self._finish(give.request_id, now)
        return []

    def _finish(self, request_id: str, now: float) -> list[Action]:
        collection = self._collections.pop(request_id)
        workspace = collection.workspace
        if collection.collected < collection.tokens:
            self._return_spare(workspace, collection.collected, now)
            failed = Failed.of(ResultCode.rate_exceeded)
            return [ReserveOutcome(request_id, failed)]
        spare = collection.collected - collection.tokens
        self._return_spare(workspace, spare, now)
        done = Done(Reservation(request_id, workspace, collection.tokens))
        return [ReserveOutcome(request_id, done)]

    def _return_spare(self, workspace: str, tokens: float, now: float) -> None:
        bucket = self._buckets[workspace]
        bucket.advance(now)
        bucket.level = min(bucket.capacity, bucket.level + tokens)
