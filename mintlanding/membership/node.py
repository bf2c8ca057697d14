"""The membership of one instance, as a state machine without I/O."""

import random
from collections.abc import Collection, Iterable, Mapping
from typing import Self

from mintlanding.membership.changes import (
    ChangeKind,
    ChangeLog,
    incarnation_key,
)
from mintlanding.membership.digests import DigestTable
from mintlanding.membership.freshness import ConfigurationFreshness
from mintlanding.membership.links import Links
from mintlanding.membership.member_table import MemberTable, refuted_record
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

_SEEDS_PER_ROUND = 3
_SCAN_INTERVALS = 0.25


class MembershipNode:
    """Handle heartbeats; return the actions that the caller executes."""

    def __init__(
        self,
        own: Member,
        options: MembershipOptions,
        rng: random.Random,
    ) -> None:
        """Start with no other member; the options name the seeds."""
        self.configuration = ConfigurationFreshness()
        self._options = options
        self._rng = rng
        self._record = as_record(own)
        self._table = MemberTable(own, options)
        self._digests = DigestTable()
        self._log = ChangeLog(self._table, self._digests, options)
        self._links = Links(own.incarnation)
        self._reported: dict[str, Member] = {}
        self._events: list[MembershipAction] = []
        self._changed_members: set[str] = set()
        self._scan_at = 0.0
        self._neighbour_candidates: list[Member] = []
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
        rng: random.Random,
    ) -> Self:
        """Return the node of the member `own`."""
        return cls(own, options, rng)

    @property
    def own(self) -> Member:
        """Return the member of this instance."""
        return self._record.member

    def members(self, now: float) -> dict[str, Member]:
        """Return the other members by instance, with their states."""
        return {
            name: self._table.view(known, now)
            for name, known in self._table.items()
        }

    def revisions(self) -> dict[str, int]:
        """Return the revision that each member last reported."""
        return {name: known.revision for name, known in self._table.items()}

    def digests(self) -> dict[str, WorkerDigest]:
        """Return the newest digest of each worker."""
        return self._digests.view()

    def handle_heartbeat(self, message: Heartbeat, now: float) -> Heartbeat:
        """Handle a heartbeat and return its reply; then call `changes`."""
        self._apply(message, now)
        self._table.record_incoming_call(message.sender.member.instance, now)
        return self._build_heartbeat(
            message.sender.member, now, echo=message.sent
        )

    def handle_reply(
        self, message: Heartbeat, now: float
    ) -> list[MembershipAction]:
        """Handle the reply to a heartbeat of this instance."""
        self._apply(message, now)
        self.configuration.confirm_from_peer(
            message.revision,
            message.confirmed_age,
            message.echo,
        )
        return self.take_changes(now)

    def handle_call_failure(
        self,
        instance: str,
        now: float,
    ) -> list[MembershipAction]:
        """Record that a heartbeat to a member got no reply."""
        self._table.record_failure(instance)
        self._changed_members.add(instance)
        return self.take_changes(now)

    def apply_instance_list(
        self,
        members: Iterable[Member],
        now: float,
    ) -> list[MembershipAction]:
        """Apply the platform's instance list, which may be outdated."""
        for name in self._table.apply_instance_list(members):
            self._log.record(ChangeKind.member, name)
            self._changed_members.add(name)
        return self.take_changes(now)

    def leave(self, now: float) -> list[MembershipAction]:
        """Announce to all neighbours that this instance is leaving."""
        self._begin_leaving()
        self._table.make_all_due()
        self._round_at = now
        return self.tick(now)

    def put_digest(self, digest: WorkerDigest, now: float) -> None:
        """Store the digest of a worker whose steward runs here."""
        held = self._digests.get(digest.worker)
        checksum = held.checksum if held else None
        if not self._digests.accept(digest):
            return
        fresh = self._digests.get(digest.worker)
        if fresh is not None and fresh.checksum != checksum:
            self._log.record(ChangeKind.digest, digest.worker)
            self._published_at[digest.worker] = now
        else:
            self._unpublished.add(digest.worker)

    def forget_worker(self, worker: str) -> None:
        """Remove a worker that is no longer configured."""
        self._digests.forget(worker)
        self._log.forget_worker(worker)
        self._unpublished.discard(worker)
        self._published_at.pop(worker, None)

    def tick(self, now: float) -> list[MembershipAction]:
        """Update states, publish loads, call neighbours when a round is due."""
        self._check_pause(now)
        self._publish_loads(now)
        if now >= self._scan_at:
            self._scan(now)
        actions = self.take_changes(now)
        if now >= self._round_at:
            self._round_at = now + self._options.interval
            actions.extend(self._start_round(now))
        return actions

    def take_changes(self, now: float) -> list[MembershipAction]:
        """Return the changes since the last call."""
        actions = self._events
        self._events = []
        touched = sorted(self._changed_members)
        self._changed_members.clear()
        for name in touched:
            known = self._table.get(name)
            if known is None:
                self._reported.pop(name, None)
                continue
            member = self._table.view(known, now)
            if self._reported.get(name) != member:
                self._reported[name] = member
                actions.append(MemberChanged(member))
        return actions

    def _scan(self, now: float) -> None:
        """Update the states of all members; they also change with time."""
        self._scan_at = now + self._options.interval * _SCAN_INTERVALS
        self._changed_members.update(name for name, _ in self._table.items())
        for name in self._table.update_states(now):
            self._log.forget_member(name)
            self._links.forget(name)

    def _apply(self, message: Heartbeat, now: float) -> None:
        sender = message.sender.member.instance
        if sender == self.own.instance:
            self._refute_suspicion(message.sender)
            return
        source = incarnation_key(message.sender.member)
        self._merge_record(message.sender, source)
        for record in message.records:
            self._merge_record(record, source)
        known = self._table.get(sender)
        same = message.sender.member.incarnation
        if known is None or known.record.member.incarnation != same:
            return
        self._table.record_contact(sender, message.revision, now)
        self._changed_members.add(sender)
        self._apply_digests(message)
        self._links.apply_heartbeat(message)

    def _merge_record(self, record: MemberRecord, source: str) -> None:
        name = record.member.instance
        if name == self.own.instance:
            self._refute_suspicion(record)
        elif self._table.merge_record(record):
            self._changed_members.add(name)
            known = self._table.get(name)
            if known is not None and known.record != record:
                # The sender lacks what this instance knew before.
                source = ''
            self._log.record(ChangeKind.member, name, source)

    def _begin_leaving(self) -> None:
        if self.own.state != MemberState.leaving:
            self._record = with_state(self._record, MemberState.leaving)
            self._events.append(MemberChanged(self.own))

    def _refute_suspicion(self, received: MemberRecord) -> None:
        if received.member.incarnation > self.own.incarnation:
            self._events.append(Superseded(received.member.incarnation))
        if received.member.incarnation != self.own.incarnation:
            return
        if received.member.state == MemberState.leaving:
            self._begin_leaving()
        if received.sequence > self._record.sequence or (
            received.sequence == self._record.sequence and received.witnesses
        ):
            self._record = refuted_record(self._record, received.sequence + 1)

    def _apply_digests(self, message: Heartbeat) -> None:
        sender = incarnation_key(message.sender.member)
        for digest in message.digests:
            if self._digests.accept(digest):
                self._log.record(ChangeKind.digest, digest.worker, sender)
                self._events.append(DigestChanged(digest))
        for load in message.loads:
            applied = self._digests.accept_load(load)
            if applied is not None:
                self._log.record(ChangeKind.load, load.worker, sender)
                self._events.append(DigestChanged(applied))

    def _publish_loads(self, now: float) -> None:
        period = self._options.load_period(len(self._digests))
        for worker in tuple(self._unpublished):
            if now - self._published_at.get(worker, now - period) >= period:
                self._log.record(ChangeKind.load, worker)
                self._published_at[worker] = now
                self._unpublished.discard(worker)

    def _check_pause(self, now: float) -> None:
        before = self._ticked_at
        self._ticked_at = now
        if before is not None and now - before > self._options.silent_after:
            self._table.restart_timers(now)
            self._scan_at = now

    def _start_round(self, now: float) -> list[MembershipAction]:
        view = self.members(now)
        called = self._current_neighbours(view)
        # One that falls silent may not be a neighbour any more in this view.
        watched = {*called, *self._table.monitored()}
        for name in self._table.suspect(watched, now):
            self._log.record(ChangeKind.member, name)
        unreachable = [
            each
            for each in view.values()
            if each.instance not in called
            and each.state in {MemberState.gone, MemberState.silent}
        ]
        if unreachable:
            probed = self._rng.choice(unreachable)
            called[probed.instance] = probed
        self._table.set_monitored(called, now)
        sends: list[MembershipAction] = [
            SendHeartbeat(
                each.address, self._build_heartbeat(each, now), each.instance
            )
            for each in called.values()
            if self._table.is_due(each.instance, now)
        ]
        sends.extend(self._call_seeds(view, now))
        return sends

    def _current_neighbours(
        self, view: Mapping[str, Member]
    ) -> dict[str, Member]:
        """Return the neighbours; they change only with the view."""
        members = list(view.values())
        if members != self._neighbour_candidates:
            self._neighbour_candidates = members
            self._neighbours = self._choose_neighbours(members)
        return {name: view[name] for name in self._neighbours}

    def _choose_neighbours(self, members: Collection[Member]) -> list[str]:
        """Choose neighbours, and replacements for the silent ones.

        A silent neighbour is still called, but no link may depend on it.
        """
        present = [each for each in members if each.state != MemberState.gone]
        responsive = [
            each for each in present if each.state != MemberState.silent
        ]
        chosen = choose_neighbours(self.own, responsive, self._options)
        chosen.update(choose_neighbours(self.own, present, self._options))
        return list(chosen)

    def _call_seeds(
        self,
        view: Mapping[str, Member],
        now: float,
    ) -> list[SendHeartbeat]:
        met = {each.address for each in view.values()} | {self.own.address}
        seeds = [each for each in self._options.seeds if each not in met]
        chosen = self._rng.sample(seeds, min(len(seeds), _SEEDS_PER_ROUND))
        message = Heartbeat(self._record, sent=now)
        return [SendHeartbeat(address, message) for address in chosen]

    def _build_heartbeat(
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
