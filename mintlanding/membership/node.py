"""The membership of one instance: what it knows, tells and calls."""

import random
from collections.abc import Collection, Iterable, Mapping
from typing import Self

from mintlanding.membership.changes import ChangeLog, Kind, source_of
from mintlanding.membership.digests import DigestTable
from mintlanding.membership.freshness import ConfigurationFreshness
from mintlanding.membership.links import Links
from mintlanding.membership.member_table import MemberTable, renumber
from mintlanding.membership.messages import Heartbeat, MemberRecord
from mintlanding.membership.models import (
    DigestChanged,
    Member,
    MemberChanged,
    MembershipAction,
    MembershipOptions,
    MemberState,
    SendHeartbeat,
    Superseded,
)
from mintlanding.membership.neighbours import choose_neighbours
from mintlanding.membership.records import as_record, with_state
from mintlanding.placement.messages import WorkerDigest

_SEEDS_A_ROUND = 3
_SCAN_SHARE = 0.25


class MembershipNode:
    """Heartbeats in, heartbeats and changes out; no clock, no calls."""

    def __init__(
        self,
        own: Member,
        options: MembershipOptions,
        rnd: random.Random,
    ) -> None:
        """Begin with no other member; the terms name the seeds."""
        self.configuration = ConfigurationFreshness()
        self._options = options
        self._rnd = rnd
        self._record = as_record(own)
        self._book = MemberTable(own, options)
        self._digests = DigestTable()
        self._log = ChangeLog(self._book, self._digests, options)
        self._links = Links(own.incarnation)
        self._shown: dict[str, Member] = {}
        self._events: list[MembershipAction] = []
        self._touched: set[str] = set()
        self._scan_at = 0.0
        self._chosen_among: list[Member] = []
        self._neighbours: list[str] = []
        self._published_at: dict[str, float] = {}
        self._unpublished: set[str] = set()
        self._round_at = 0.0
        self._ticked_at: float | None = None

    @classmethod
    def from_config(
        cls,
        own: Member,
        options: MembershipOptions,
        rnd: random.Random,
    ) -> Self:
        """Build the node of the member `own`."""
        return cls(own, options, rnd)

    @property
    def own(self) -> Member:
        """Return this member as it tells of itself."""
        return self._record.member

    def members(self, now: float) -> dict[str, Member]:
        """Return the other members by instance, with their states."""
        return {
            name: self._book.view(known, now)
            for name, known in self._book.items()
        }

    def revisions(self) -> dict[str, int]:
        """Return the revision that each member was last heard to hold."""
        return {name: known.revision for name, known in self._book.items()}

    def digests(self) -> dict[str, WorkerDigest]:
        """Return the newest digest of each worker."""
        return self._digests.view()

    def handle_heartbeat(self, message: Heartbeat, now: float) -> Heartbeat:
        """Take a heartbeat and return its reply; `changes` tells the rest."""
        self._apply(message, now)
        self._book.note_called(message.sender.member.instance, now)
        return self._compose(message.sender.member, now, echo=message.sent)

    def reply(self, message: Heartbeat, now: float) -> list[MembershipAction]:
        """Take the reply to an own heartbeat."""
        self._apply(message, now)
        self.configuration.take(
            message.revision,
            message.confirmed_age,
            message.echo,
        )
        return self.changes(now)

    def call_failed(
        self,
        instance: str,
        now: float,
    ) -> list[MembershipAction]:
        """Note that a heartbeat got no reply; seeds have no name."""
        self._book.note_failure(instance)
        self._touched.add(instance)
        return self.changes(now)

    def platform_list(
        self,
        members: Iterable[Member],
        now: float,
    ) -> list[MembershipAction]:
        """Take the platform's instance list, which lags."""
        for name in self._book.take_list(members):
            self._log.record(Kind.member, name)
            self._touched.add(name)
        return self.changes(now)

    def leave(self, now: float) -> list[MembershipAction]:
        """Tell everyone that this instance is leaving."""
        self._begin_leaving()
        self._book.call_all()
        self._round_at = now
        return self.tick(now)

    def put_digest(self, digest: WorkerDigest, now: float) -> None:
        """Take the digest of a worker that this instance is steward of."""
        held = self._digests.get(digest.worker)
        frame = held.frame if held else None
        if not self._digests.accept(digest):
            return
        fresh = self._digests.get(digest.worker)
        if fresh is not None and fresh.frame != frame:
            self._log.record(Kind.frame, digest.worker)
            self._published_at[digest.worker] = now
        else:
            self._unpublished.add(digest.worker)

    def forget_worker(self, worker: str) -> None:
        """Drop a worker that is no longer configured."""
        self._digests.forget(worker)
        self._log.forget_worker(worker)
        self._unpublished.discard(worker)
        self._published_at.pop(worker, None)

    def tick(self, now: float) -> list[MembershipAction]:
        """Call neighbours when a round is due and judge the silent ones."""
        self._excuse_pause(now)
        self._publish_loads(now)
        if now >= self._scan_at:
            self._scan(now)
        actions = self.changes(now)
        if now >= self._round_at:
            self._round_at = now + self._options.interval
            actions.extend(self._round(now))
        return actions

    def changes(self, now: float) -> list[MembershipAction]:
        """Return what has changed since the last call."""
        actions = self._events
        self._events = []
        touched = sorted(self._touched)
        self._touched.clear()
        for name in touched:
            known = self._book.get(name)
            if known is None:
                self._shown.pop(name, None)
                continue
            member = self._book.view(known, now)
            if self._shown.get(name) != member:
                self._shown[name] = member
                actions.append(MemberChanged(member))
        return actions

    def _scan(self, now: float) -> None:
        """Look at all members, whose states change with time as well."""
        self._scan_at = now + self._options.interval * _SCAN_SHARE
        self._touched.update(name for name, _ in self._book.items())
        for name in self._book.judge(now):
            self._log.forget_member(name)
            self._links.forget(name)

    def _apply(self, message: Heartbeat, now: float) -> None:
        sender = message.sender.member.instance
        if sender == self.own.instance:
            self._refute_suspicion(message.sender)
            return
        source = source_of(message.sender.member)
        self._learn(message.sender, source)
        for record in message.records:
            self._learn(record, source)
        known = self._book.get(sender)
        same = message.sender.member.incarnation
        if known is None or known.record.member.incarnation != same:
            return
        self._book.hear(sender, message.revision, now)
        self._touched.add(sender)
        self._take_digests(message)
        self._links.note(message)

    def _learn(self, record: MemberRecord, source: str) -> None:
        name = record.member.instance
        if name == self.own.instance:
            self._refute_suspicion(record)
        elif self._book.learn(record):
            self._touched.add(name)
            self._log.record(Kind.member, name, source)

    def _begin_leaving(self) -> None:
        if self.own.state != MemberState.leaving:
            self._record = with_state(self._record, MemberState.leaving)
            self._events.append(MemberChanged(self.own))

    def _refute_suspicion(self, told: MemberRecord) -> None:
        if told.member.incarnation > self.own.incarnation:
            self._events.append(Superseded(told.member.incarnation))
        if told.member.incarnation != self.own.incarnation:
            return
        if told.member.state == MemberState.leaving:
            self._begin_leaving()
        if told.sequence > self._record.sequence or (
            told.sequence == self._record.sequence and told.witnesses
        ):
            self._record = renumber(self._record, told.sequence + 1)

    def _take_digests(self, message: Heartbeat) -> None:
        sender = source_of(message.sender.member)
        for digest in message.digests:
            if self._digests.accept(digest):
                self._log.record(Kind.frame, digest.worker, sender)
                self._events.append(DigestChanged(digest))
        for load in message.loads:
            applied = self._digests.accept_load(load)
            if applied is not None:
                self._log.record(Kind.load, load.worker, sender)
                self._events.append(DigestChanged(applied))

    def _publish_loads(self, now: float) -> None:
        period = self._options.load_period(len(self._digests))
        for worker in tuple(self._unpublished):
            if now - self._published_at.get(worker, now - period) >= period:
                self._log.record(Kind.load, worker)
                self._published_at[worker] = now
                self._unpublished.discard(worker)

    def _excuse_pause(self, now: float) -> None:
        before = self._ticked_at
        self._ticked_at = now
        if before is not None and now - before > self._options.silent_after:
            self._book.restart_timers(now)
            self._scan_at = now

    def _round(self, now: float) -> list[MembershipAction]:
        view = self.members(now)
        called = self._called(view)
        for name in self._book.doubt(called, now):
            self._log.record(Kind.member, name)
        lost = [
            each
            for each in view.values()
            if each.instance not in called
            and each.state in {MemberState.gone, MemberState.silent}
        ]
        if lost:
            probed = self._rnd.choice(lost)
            called[probed.instance] = probed
        self._book.watch(called, now)
        sends: list[MembershipAction] = [
            SendHeartbeat(each.address, self._compose(each, now), each.instance)
            for each in called.values()
            if self._book.is_due(each.instance, now)
        ]
        sends.extend(self._call_seeds(view, now))
        return sends

    def _called(self, view: Mapping[str, Member]) -> dict[str, Member]:
        """Return the neighbours; they stay while the view stays."""
        members = list(view.values())
        if members != self._chosen_among:
            self._chosen_among = members
            self._neighbours = self._choose_neighbours(members)
        return {name: view[name] for name in self._neighbours}

    def _choose_neighbours(self, members: Collection[Member]) -> list[str]:
        """Choose neighbours, and those that take the silent ones' place.

        A silent neighbour is called on, but no link may depend on it.
        """
        present = [each for each in members if each.state != MemberState.gone]
        heard = [each for each in present if each.state != MemberState.silent]
        chosen = choose_neighbours(self.own, heard, self._options)
        chosen.update(choose_neighbours(self.own, present, self._options))
        return list(chosen)

    def _call_seeds(
        self,
        view: Mapping[str, Member],
        now: float,
    ) -> list[SendHeartbeat]:
        met = {each.address for each in view.values()} | {self.own.address}
        seeds = [each for each in self._options.seeds if each not in met]
        chosen = self._rnd.sample(seeds, min(len(seeds), _SEEDS_A_ROUND))
        message = Heartbeat(self._record, sent=now)
        return [SendHeartbeat(address, message) for address in chosen]

    def _compose(
        self,
        peer: Member,
        now: float,
        echo: float = 0,
    ) -> Heartbeat:
        link = self._links.get(peer.instance)
        is_same = link.incarnation == peer.incarnation
        after = link.acknowledged if is_same else 0
        batch = self._log.batch(peer, after)
        return Heartbeat(
            sender=self._record,
            sent=now,
            echo=echo,
            journal_after=after,
            journal=batch.number,
            acknowledged=link.received if is_same else 0,
            acknowledged_incarnation=link.incarnation if is_same else 0,
            revision=self.configuration.revision,
            confirmed_age=self.configuration.age(now),
            records=tuple(batch.records),
            digests=tuple(batch.digests),
            loads=tuple(batch.loads),
        )
