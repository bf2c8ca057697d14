"""How revisions spread between agents; pure state, without I/O.

Two members of each zone watch the platform. Whoever brings a revision into a
zone starts a tree of announcements there; watchers also announce to the
watchers of the other zones, so that a zone without the platform learns through
any other. Heartbeats tell revisions too: whoever is behind fetches the rest.
"""

import random
from collections.abc import Iterable
from typing import Self

import msgspec

from mintlanding.configuration.actions import (
    Action,
    Announce,
    FetchDelta,
    RevisionApplied,
    StopWatch,
    Watch,
)
from mintlanding.configuration.directory import Applied, Directory
from mintlanding.configuration.documents import size_of
from mintlanding.configuration.fetch_state import FetchState
from mintlanding.configuration.messages import Announcement
from mintlanding.configuration.models import Delta
from mintlanding.configuration.topology import (
    children,
    other_zones,
    watchers,
)
from mintlanding.configuration.watch_state import WatchState
from mintlanding.membership.freshness import ConfigurationFreshness
from mintlanding.membership.models import Member

MAX_PUSHED_CHANGES = 64
MAX_PUSHED_BYTES = 64 << 10


class DistributionNode:
    """One member's part in spreading the configuration."""

    def __init__(
        self,
        own: Member,
        directory: Directory,
        freshness: ConfigurationFreshness,
        rng: random.Random,
        now: float,
    ) -> None:
        """Start with what the directory holds."""
        self.own = own
        self.directory = directory
        self.freshness = freshness
        self._members: dict[str, Member] = {}
        self._passed_on: dict[str, int] = {}
        self._pending: dict[str, tuple[str, Announcement]] = {}
        self._watch = WatchState(own, rng, now)
        self._fetch = FetchState(own.zone, rng, now)
        freshness.set_revision(directory.revision)

    @classmethod
    def from_config(
        cls,
        own: Member,
        freshness: ConfigurationFreshness,
        rng: random.Random,
        now: float,
    ) -> Self:
        """Start without a configuration."""
        return cls(own, Directory(), freshness, rng, now)

    @property
    def revision(self) -> int:
        """Return the revision in force here."""
        return self.directory.revision

    def update_members(
        self,
        members: Iterable[Member],
        now: float,
    ) -> list[Action]:
        """Take the other members with their states."""
        self._members = {
            member.instance: member
            for member in members
            if member.instance != self.own.instance
        }
        kept = self._members.keys() | {self.own.instance}
        for memory in (self._passed_on, self._pending):
            for origin in memory.keys() - kept:
                memory.pop(origin)
        self._fetch.keep_members(self._members)
        self._watch.take_members(self._members.values())
        return self.tick(now)

    def peer_revision_seen(
        self, sender: str, revision: int, now: float
    ) -> list[Action]:
        """Note a peer's revision, from a heartbeat or a reply."""
        self._fetch.note(sender, revision)
        return self._fetch_missing(now)

    def announced(
        self,
        message: Announcement,
        sender: str,
        now: float,
    ) -> list[Action]:
        """Take an announcement and pass it on in its tree."""
        self._fetch.note(sender, message.revision)
        actions: list[Action] = []
        if message.delta is not None:
            actions.extend(self._accept(message.delta))
        self._pending[message.origin] = (sender, message)
        actions.extend(self._pass_on_pending())
        actions.extend(self._fetch_missing(now))
        return actions

    def fetched(self, peer: str, delta: Delta, now: float) -> list[Action]:
        """Take a peer's answer to a fetch."""
        self._fetch.answered(peer, delta.revision, now)
        actions = self._accept(delta)
        if actions and not self._is_near(peer):
            actions.extend(self._start_tree(delta, is_from_platform=False))
        actions.extend(self._pass_on_pending())
        actions.extend(self._fetch_missing(now))
        return actions

    def fetch_failed(self, peer: str, now: float) -> list[Action]:
        """Note that a peer gave no usable answer."""
        self._fetch.end(peer, now, is_useful=False)
        return self._fetch_missing(now)

    def watch_result(
        self,
        delta: Delta,
        valid_at: float,
        now: float,
    ) -> list[Action]:
        """Take an answer of the platform that was true at `valid_at`."""
        self._watch.answered(now)
        actions = self._accept(delta)
        if actions:
            actions.extend(self._start_tree(delta, is_from_platform=True))
        if self.revision == delta.revision:
            self.freshness.confirm(valid_at)
        actions.extend(self.tick(now))
        return actions

    def watch_failed(self, reason: str, now: float) -> list[Action]:
        """Note that the platform gave no answer."""
        self._watch.failed(reason, now)
        return self.tick(now)

    def tick(self, now: float) -> list[Action]:
        """Start and stop watches, give up late fetches, repair gaps."""
        actions = self._watch_as_due(now)
        self._fetch.expire(now)
        actions.extend(self._fetch_missing(now))
        return actions

    def stale_seconds(self, now: float) -> float:
        """Return the seconds since the platform vouched; negative: never."""
        return self.freshness.age(now)

    def describe_wait(self, now: float) -> str:
        """Say what a node without a configuration waits for."""
        if self.revision:
            return ''
        return (
            f'no configuration yet: {self._watch.describe(now)}; '
            f'{self._fetch.describe()}'
        )

    def _watch_as_due(self, now: float) -> list[Action]:
        age = self.freshness.age(now)
        if self._watch.is_wanted(age, self.revision, now):
            seconds = self._watch.start(now)
            return [Watch(self.revision, seconds)] if seconds else []
        return [StopWatch()] if self._watch.stop() else []

    def _fetch_missing(self, now: float) -> list[Action]:
        peer = self._fetch.next_peer(self._members, self.revision, now)
        return [] if peer is None else [FetchDelta(peer, self.revision)]

    def _accept(self, delta: Delta) -> list[Action]:
        applied: Applied = self.directory.apply(delta)
        if not applied.accepted:
            return []
        self.freshness.set_revision(self.revision)
        return [RevisionApplied(self.revision, applied.changes)]

    def _start_tree(
        self,
        delta: Delta,
        *,
        is_from_platform: bool,
    ) -> list[Action]:
        """Announce what this member brought into its zone."""
        own = self.own.instance
        message = _announcement(own, self.revision, delta)
        self._passed_on[own] = self.revision
        peers = self._children(own)
        if is_from_platform:
            peers.extend(self._watchers_elsewhere())
        return [Announce(tuple(peers), message)] if peers else []

    def _pass_on_pending(self) -> list[Action]:
        """Pass on the announcements whose revision is held by now."""
        actions: list[Action] = []
        for origin, (sender, message) in tuple(self._pending.items()):
            if message.revision <= self.revision:
                self._pending.pop(origin)
                actions.extend(self._pass_on(message, sender))
        return actions

    def _pass_on(self, message: Announcement, sender: str) -> list[Action]:
        """Pass an announcement on, once for each origin and revision."""
        if not self._is_near(sender):
            message = msgspec.structs.replace(message, origin=self.own.instance)
        if self._passed_on.get(message.origin, 0) >= message.revision:
            return []
        self._passed_on[message.origin] = message.revision
        peers = self._children(message.origin)
        return [Announce(tuple(peers), message)] if peers else []

    def _is_near(self, peer: str) -> bool:
        """Tell whether a peer is of this zone; unknown ones count as such."""
        member = self._members.get(peer)
        return member is None or member.zone == self.own.zone

    def _children(self, origin: str) -> list[Member]:
        all_members = (*self._members.values(), self.own)
        own = self.own
        return children(all_members, own.zone, origin, own.instance)

    def _watchers_elsewhere(self) -> list[Member]:
        known = tuple(self._members.values())
        return [
            member
            for zone in other_zones(known, self.own.zone)
            for member in watchers(known, zone)
        ]


def _announcement(origin: str, revision: int, delta: Delta) -> Announcement:
    is_small = (
        delta.base > 0
        and len(delta.changes) <= MAX_PUSHED_CHANGES
        and size_of(delta) <= MAX_PUSHED_BYTES
    )
    return Announcement(origin, revision, delta if is_small else None)
