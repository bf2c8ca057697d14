"""Ways to count a limit over a fleet, behind one interface.

`loans` is what the agents run; the others are baselines for measurements.
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
    Answer,
    Envelope,
    Give,
    Reservation,
    Want,
)
from mintlanding.limits.node import LimitsNode
from mintlanding.limits.options import LimitsOptions, Rate
from mintlanding.limits.outbox import Outbox
from mintlanding.membership.models import Member, MemberState

_FOREVER = float('inf')


class LimitsPolicy(Protocol):
    """What a policy decides at one instance."""

    @classmethod
    def from_config(
        cls,
        instance: str,
        incarnation: int,
        zone: str,
        options: LimitsOptions,
        rnd: random.Random,
    ) -> Self:
        """Build the policy of an instance."""

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
        """Follow a change of the live instances."""

    def reserve(
        self,
        request_id: str,
        workspace: str,
        tokens: float,
        now: float,
    ) -> list[Action]:
        """Charge a request; ends in exactly one `Answer`."""

    def receive(
        self,
        message: Envelope,
        sender: str,
        now: float,
    ) -> list[Action]:
        """Take a batch of another instance."""

    def tick(self, now: float) -> list[Action]:
        """Do what is due."""

    def drain(self, now: float) -> list[Action]:
        """Leave."""

    def next_wake(self, now: float) -> float:
        """Return when `tick` is wanted next."""


POLICIES: Registry[type[LimitsPolicy]] = Registry('limits policy')
POLICIES.register('loans')(LimitsNode)


@POLICIES.register('static-split')
class StaticSplit:
    """Each instance spends its own share of rate and burst only."""

    def __init__(
        self, instance: str, incarnation: int, options: LimitsOptions
    ) -> None:
        """Begin without a share."""
        self.instance = instance
        self.options = options
        self._outbox = Outbox(incarnation)
        self._rates: Mapping[str, Rate] = {}
        self._buckets: dict[str, Bucket] = {}
        self._part = 0.0
        self._seat_count = 1

    @classmethod
    def from_config(
        cls,
        instance: str,
        incarnation: int,
        zone: str,
        options: LimitsOptions,
        rnd: random.Random,
    ) -> Self:
        """Build the policy of an instance."""
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
        self._part = len(seats) / self._seat_count
        self._resize(now)
        return []

    def observe_members(
        self,
        members: Sequence[Member],
        now: float,
    ) -> list[Action]:
        """Ignore the others."""
        return []

    def reserve(
        self,
        request_id: str,
        workspace: str,
        tokens: float,
        now: float,
    ) -> list[Action]:
        """Charge the own share or refuse."""
        if self._buckets[workspace].take(request_id, tokens, now):
            reservation = Reservation(request_id, workspace, tokens)
            return [Answer(request_id, Done(reservation))]
        failed = Failed.of(ResultCode.rate_exceeded)
        return [Answer(request_id, failed)]

    def receive(
        self,
        message: Envelope,
        sender: str,
        now: float,
    ) -> list[Action]:
        """Ignore the others."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Do nothing."""
        return []

    def drain(self, now: float) -> list[Action]:
        """Leave the share unused."""
        return []

    def next_wake(self, now: float) -> float:
        """Never wake."""
        return _FOREVER

    def _resize(self, now: float) -> None:
        for name, limit in self._rates.items():
            bucket = self._buckets.setdefault(name, Bucket(now))
            rate = limit.rate * self._part
            bucket.resize(rate, limit.burst * self._part, now)


@dataclass(slots=True)
class _Gathering:
    """Tokens that have come together for a request."""

    workspace: str
    tokens: float
    gathered: float
    replies: int
    deadline: float


@POLICIES.register('ask-all')
class AskAll(StaticSplit):
    """Ask all others for spare tokens before refusing."""

    def __init__(
        self, instance: str, incarnation: int, options: LimitsOptions
    ) -> None:
        """Begin alone."""
        super().__init__(instance, incarnation, options)
        self._peers: list[str] = []
        self._gatherings: dict[str, _Gathering] = {}

    def observe_members(
        self,
        members: Sequence[Member],
        now: float,
    ) -> list[Action]:
        """Ask those who are live from now on."""
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
        """Charge the own share, or gather what is missing."""
        bucket = self._buckets[workspace]
        bucket.advance(now)
        if tokens <= bucket.level or not self._peers:
            return super().reserve(request_id, workspace, tokens, now)
        missing = tokens - bucket.level
        deadline = now + self.options.request_timeout
        count = len(self._peers)
        self._gatherings[request_id] = _Gathering(
            workspace,
            tokens,
            bucket.level,
            count,
            deadline,
        )
        bucket.level = 0
        for name in self._peers:
            self._outbox.put(name, Want(request_id, workspace, missing), now)
        return list(self._outbox.flush(now))

    def receive(
        self,
        message: Envelope,
        sender: str,
        now: float,
    ) -> list[Action]:
        """Give what is spare, or add what is given."""
        actions: list[Action] = []
        if not self._outbox.accept(message, sender):
            return actions
        for each in message.messages:
            if isinstance(each, Want):
                bucket = self._buckets[each.workspace]
                bucket.advance(now)
                spare = min(bucket.level, each.tokens)
                bucket.level -= spare
                give = Give(each.request_id, each.workspace, spare)
                self._outbox.put(sender, give, now)
            elif isinstance(each, Give):
                actions.extend(self._add(each, now))
        return [*actions, *self._outbox.flush(now)]

    def tick(self, now: float) -> list[Action]:
        """End the requests for which not all have answered in time."""
        actions: list[Action] = []
        for name, gathering in tuple(self._gatherings.items()):
            if gathering.deadline <= now:
                actions.extend(self._finish(name, now))
        return actions

    def next_wake(self, now: float) -> float:
        """Return the first deadline."""
        deadlines = (each.deadline for each in self._gatherings.values())
        return max(now, min(deadlines, default=_FOREVER))

    def _add(self, give: Give, now: float) -> list[Action]:
        gathering = self._gatherings.get(give.request_id)
        if gathering is None:
            self._return_spare(give.workspace, give.tokens, now)
            return []
        gathering.gathered += give.tokens
        gathering.replies -= 1
        is_enough = gathering.gathered >= gathering.tokens
        if is_enough or not gathering.replies:
            return self._finish(give.request_id, now)
        return []

    def _finish(self, request_id: str, now: float) -> list[Action]:
        gathering = self._gatherings.pop(request_id)
        workspace = gathering.workspace
        if gathering.gathered < gathering.tokens:
            self._return_spare(workspace, gathering.gathered, now)
            failed = Failed.of(ResultCode.rate_exceeded)
            return [Answer(request_id, failed)]
        spare = gathering.gathered - gathering.tokens
        self._return_spare(workspace, spare, now)
        done = Done(Reservation(request_id, workspace, gathering.tokens))
        return [Answer(request_id, done)]

    def _return_spare(self, workspace: str, tokens: float, now: float) -> None:
        bucket = self._buckets[workspace]
        bucket.advance(now)
        bucket.level = min(bucket.capacity, bucket.level + tokens)
