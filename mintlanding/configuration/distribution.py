"""Distribute revisions between agents; a state machine without I/O.

Two members of each zone watch the platform. The member that brings a revision
into a zone announces it along a tree of the zone's members. Watchers also
announce to the watchers of other zones, so that a zone that is cut off from the
platform learns of revisions through any other zone. Heartbeats also contain
revisions: a member that is behind fetches the missing changes from a peer.
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
from mintlanding.configuration.documents import encoded_size
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
    """The distribution state of one member.

    Methods take events and return the actions to execute.
    """

    def __init__(
        self,
        own: Member,
        directory: Directory,
        freshness: ConfigurationFreshness,
        rng: random.Random,
        now: float,
    ) -> None:
        """Start with the revision of the directory."""
        self.own = own
        self.directory = directory
        self.freshness = freshness
        self._members: dict[str, Member] = {}
        self._forwarded: dict[str, int] = {}
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
        """Return the revision that is applied here."""
        return self.directory.revision

    def update_members(
        self,
        members: Iterable[Member],
        now: float,
    ) -> list[Action]:
        """Update the other members and their states."""
        self._members = {
            member.instance: member
            for member in members
            if member.instance != self.own.instance
        }
        kept = self._members.keys() | {self.own.instance}
        for by_origin in (self._forwarded, self._pending):
            for origin in by_origin.keys() - kept:
                by_origin.pop(origin)
        self._fetch.update_members(self._members)
        self._watch.update_members(self._members.values())
        return self.tick(now)

    def peer_revision_seen(
        self, sender: str, revision: int, now: float
    ) -> list[Action]:
        """Record a peer's revision from a heartbeat or a reply."""
        self._fetch.record_revision(sender, revision)
        return self._fetch_missing(now)

    def announced(
        self,
        message: Announcement,
        sender: str,
        now: float,
    ) -> list[Action]:
        """Handle an announcement and forward it along its tree."""
        self._fetch.record_revision(sender, message.revision)
        actions: list[Action] = []
        if message.delta is not None:
            actions.extend(self._apply(message.delta))
        self._pending[message.origin] = (sender, message)
        actions.extend(self._forward_pending())
        actions.extend(self._fetch_missing(now))
        return actions

    def fetched(self, peer: str, delta: Delta, now: float) -> list[Action]:
        """Handle a peer's reply to a fetch."""
        self._fetch.record_reply(peer, delta.revision, now)
        actions = self._apply(delta)
        if actions and not self._is_same_zone(peer):
            actions.extend(self._announce(delta, is_from_platform=False))
        actions.extend(self._forward_pending())
        actions.extend(self._fetch_missing(now))
        return actions

    def fetch_failed(self, peer: str, now: float) -> list[Action]:
        """Handle a fetch without a usable reply."""
        self._fetch.end(peer, now, is_useful=False)
        return self._fetch_missing(now)

    def watch_result(
        self,
        delta: Delta,
        valid_at: float,
        now: float,
    ) -> list[Action]:
        """Handle a response of the platform that was current at `valid_at`."""
        self._watch.record_success(now)
        actions = self._apply(delta)
        if actions:
            actions.extend(self._announce(delta, is_from_platform=True))
        if self.revision == delta.revision:
            self.freshness.confirm(valid_at)
        actions.extend(self.tick(now))
        return actions

    def watch_failed(self, reason: str, now: float) -> list[Action]:
        """Handle a long poll without a response."""
        self._watch.record_failure(reason, now)
        return self.tick(now)

    def tick(self, now: float) -> list[Action]:
        """Start or stop the watch, abandon late fetches, fetch what is missing.

        Call this periodically.
        """
        actions = self._update_watch(now)
        self._fetch.expire(now)
        actions.extend(self._fetch_missing(now))
        return actions

    def stale_seconds(self, now: float) -> float:
        """Return the seconds since the platform last confirmed the revision.

        Negative if it never did.
        """
        return self.freshness.age(now)

    def describe_wait(self, now: float) -> str:
        """Return what a node without a configuration waits for, else ''."""
        if self.revision:
            return ''
        return (
            f'no configuration yet: {self._watch.describe(now)}; '
            f'{self._fetch.describe()}'
        )

    def _update_watch(self, now: float) -> list[Action]:
        age = self.freshness.age(now)
        if self._watch.should_watch(age, self.revision, now):
            seconds = self._watch.start(now)
            return [Watch(self.revision, seconds)] if seconds else []
        return [StopWatch()] if self._watch.stop() else []

    def _fetch_missing(self, now: float) -> list[Action]:
        peer = self._fetch.next_peer(self._members, self.revision, now)
        return [] if peer is None else [FetchDelta(peer, self.revision)]

    def _apply(self, delta: Delta) -> list[Action]:
        applied: Applied = self.directory.apply(delta)
        if not applied.accepted:
            return []
        self.freshness.set_revision(self.revision)
        return [RevisionApplied(self.revision, applied.changes)]

    def _announce(
        self,
        delta: Delta,
        *,
        is_from_platform: bool,
    ) -> list[Action]:
        """Announce a revision that this member brought into its zone."""
        own = self.own.instance
        message = _announcement(own, self.revision, delta)
        self._forwarded[own] = self.revision
        peers = self._children(own)
        if is_from_platform:
            peers.extend(self._remote_watchers())
        return [Announce(tuple(peers), message)] if peers else []

    def _forward_pending(self) -> list[Action]:
        """Forward announcements whose revision is applied here by now."""
        actions: list[Action] = []
        for origin, (sender, message) in tuple(self._pending.items()):
            if message.revision <= self.revision:
                self._pending.pop(origin)
                actions.extend(self._forward(message, sender))
        return actions

    def _forward(self, message: Announcement, sender: str) -> list[Action]:
        """Forward an announcement, once per origin and revision."""
        if not self._is_same_zone(sender):
            message = msgspec.structs.replace(message, origin=self.own.instance)
        if self._forwarded.get(message.origin, 0) >= message.revision:
            return []
        self._forwarded[message.origin] = message.revision
        peers = self._children(message.origin)
        return [Announce(tuple(peers), message)] if peers else []

    def _is_same_zone(self, peer: str) -> bool:
        """Return whether a peer is in this zone; assume so if it is unknown."""
        member = self._members.get(peer)
        return member is None or member.zone == self.own.zone

    def _children(self, origin: str) -> list[Member]:
        all_members = (*self._members.values(), self.own)
        own = self.own
        return children(all_members, own.zone, origin, own.instance)

    def _remote_watchers(self) -> list[Member]:
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
        and encoded_size(delta) <= MAX_PUSHED_BYTES
    )
    return Announcement(origin, revision, delta if is_small else None)
