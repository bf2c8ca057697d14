"""Keep the limits that targets name, together with the other instances.

Of an engine the holder keeps the limit, of a plain target the instance that is
elected among those that reach each other. It lets pass as large a part of the
limit as it reaches members. An instance that cannot reach the holder keeps its
own part, so that all parts of a divided fleet together stay within the limit.

The room of brittle targets is kept in the same way. What was refused there
outlives the desk: another one may follow within the same second.
"""

import asyncio
import math
import random
from collections.abc import Callable, Sequence

from mintlanding.core.logs import Logger
from mintlanding.node.clock import boot_seconds
from mintlanding.node.membership import Membership
from mintlanding.node.settings import NodeSettings
from mintlanding.node.view import FleetView
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionReply,
    AdmissionRequest,
    GrantOutcome,
)
from mintlanding.target_limits.brittle import (
    HANDOVER_SECONDS,
    BrittleRoom,
    RoomShare,
    member_weight,
    other_granters,
)
from mintlanding.target_limits.cold import ColdTargets, rate_part
from mintlanding.target_limits.desk import LimitDesk, room_outcome
from mintlanding.target_limits.first_contact import FirstContacts
from mintlanding.target_limits.handover import FleetHistory, elects
from mintlanding.target_limits.messages import ColdReport, LimitReport
from mintlanding.target_limits.pacer import Pacer
from mintlanding.target_limits.table import LimitTable, TargetKey
from mintlanding.traffic.header_fields import TargetResponse
from mintlanding.traffic.models import Target

# Seconds without a request after which a desk is closed.
_IDLE_SECONDS = 15.0
# Members in the own status from which nothing is heard. One that names so many
# is on one side of a divided fleet.
_MAX_UNREACHED = 16

ReplyCallback = Callable[[AdmissionReply], None]
# A target, and whether its room is that for own requests only.
_RoomKey = tuple[TargetKey, bool]


class _OpenDesk:
    """A desk with the callbacks of its requests and its timer."""

    def __init__(
        self, desk: LimitDesk, key: TargetKey, *, is_own: bool
    ) -> None:
        self.desk = desk
        self.key = key
        self.is_own = is_own
        self.opened_at = self.used_at = boot_seconds()
        self.callbacks: dict[str, ReplyCallback] = {}
        self.timer: asyncio.TimerHandle | None = None

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def close(self) -> None:
        """Stop, and send the requests that wait here elsewhere."""
        self.stop_timer()
        for item in self.desk.queue:
            on_reply = self.callbacks.pop(item.req.request_id, None)
            if on_reply is not None:
                on_reply(
                    AdmissionReply(
                        item.req.request_id,
                        self.desk.target,
                        elsewhere=True,
                        reason='its limit is kept elsewhere now',
                    )
                )


class LimitKeeper:
    """The limits in force and the desks that this instance runs."""

    def __init__(
        self,
        cfg: NodeSettings,
        view: FleetView,
        membership: Membership,
        rnd: random.Random,
    ) -> None:
        """Start without limits."""
        self.table = LimitTable()
        # Refusals per second that brittle targets bear.
        self.brittle = LimitTable()
        self.contacts = FirstContacts()
        self.cold = ColdTargets(view.service, cfg.bounds, view.evacuated)
        self.departed: Callable[[], frozenset[str]] = frozenset
        self._cfg = cfg
        self._view = view
        self._membership = membership
        self._rnd = rnd
        # Desks of plain targets for all instances, by target.
        self._desks: dict[str, _OpenDesk] = {}
        # Desks for the own requests to targets whose holder is unreachable.
        self._own_desks: dict[str, _OpenDesk] = {}
        # Rooms of closed desks, and when each was closed.
        self._kept_rooms: dict[_RoomKey, tuple[BrittleRoom, float]] = {}
        # Since when the holders of targets have not replied, and when one was
        # last asked.
        self._silent: dict[str, tuple[float, float]] = {}
        self._history = FleetHistory(boot_seconds())
        # Until when no turn is expected, by target.
        self._waits: dict[TargetKey, float] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.on_brittle: Callable[[], None] = lambda: None
        self._logger = Logger('limits')

    def is_limited(self, target: Target) -> bool:
        """Tell whether a target has a limit."""
        return self.limit(target) is not None

    def limit(self, target: Target) -> float | None:
        """Return the requests per second that a target bears, None for any.

        Both what it named and what it bears while it is cold bind.
        """
        named = self.table.limit(target.key)
        cold = self.cold.limit(self._current(target), boot_seconds())
        known = [each for each in (named, cold) if each is not None]
        return min(known, default=None)

    def limited_since(self, target: Target) -> float:
        """Return since when a turn is needed because a target is cold."""
        return self.cold.since(self._current(target), boot_seconds())

    def is_cold(self, target: Target) -> bool:
        """Tell whether a target is cold and its service bounds its rate."""
        now = boot_seconds()
        return self.cold.limit(self._current(target), now) is not None

    def report_cold(self, target: Target) -> tuple[ColdReport, ...]:
        """Return what the holder of a target should know of its cold state."""
        return self.cold.report(self._current(target), boot_seconds())

    def names_limit(self, target: Target) -> bool:
        """Tell whether it is known which limits a target names."""
        is_named = self.table.limit(target.key) is not None
        return is_named or self.is_brittle(target)

    def _current(self, target: Target) -> Target:
        """Return the newest entry of the same run of a target."""
        current = self._view.targets.get(target.target, target)
        return current if current.key == target.key else target

    def is_brittle(self, target: Target) -> bool:
        """Tell whether a target crashes when it refuses too much."""
        return self._refusals(target) is not None

    def needs_turn(self, target: Target) -> bool:
        """Tell whether a request to a target needs a turn."""
        return self.is_limited(target) or self.is_brittle(target)

    def count(self) -> int:
        """Return the number of targets that have a limit."""
        return len(self.table.limited())

    def count_brittle(self) -> int:
        """Return the number of brittle targets."""
        return len(self.brittle.limited())

    def count_cold(self) -> int:
        """Return the number of targets that are cold."""
        targets = self._view.targets.values()
        return self.cold.count(targets, boot_seconds())

    def holder(self, target: str) -> str:
        """Return the instance that keeps the limit of a plain target."""
        return self._membership.elected(target)

    def wait(self, target: Target, now: float) -> float:
        """Return the seconds until a turn at a target can be expected."""
        return max(0, self._waits.get(target.key, 0) - now)

    def record_refusal(self, target: Target, retry_after: float) -> None:
        """Record that a target has no turn for a number of seconds."""
        self._waits[target.key] = boot_seconds() + retry_after

    def record_response(
        self, target: Target, response: TargetResponse, sent_at: float
    ) -> None:
        """Record what a response to a request sent at a time says."""
        if not response.is_from(target.target):
            return
        self.contacts.record_heard(target.key)
        self._record_brittle(target, response, sent_at)
        if response.has_invalid_limit:
            self._logger.warning(
                'Limit unreadable; the last one stays in force.',
                target=target.target,
            )
            return
        now = boot_seconds()
        if self.table.record(target.key, response.limit, sent_at, now):
            self._logger.info(
                'Limit changed.',
                target=target.target,
                incarnation=target.incarnation,
                limit=response.limit,
            )
            self.update()

    def _record_brittle(
        self, target: Target, response: TargetResponse, sent_at: float
    ) -> None:
        if response.has_invalid_brittle:
            self._logger.warning(
                'Number of refusals unreadable; the last one stays in force.',
                target=target.target,
            )
            return
        now = boot_seconds()
        if self.brittle.record(target.key, response.brittle, sent_at, now):
            self._logger.info(
                'Brittle target changed.',
                target=target.target,
                incarnation=target.incarnation,
                refusals=response.brittle,
            )
            self.update()
            self.on_brittle()

    def merge_brittle(self, reports: Sequence[LimitReport], now: float) -> None:
        """Apply what another instance reports of brittle targets."""
        if reports and self.brittle.merge(reports, now):
            self.update()

    def merge(self, reports: Sequence[LimitReport], now: float) -> None:
        """Apply what another instance reports."""
        if reports and self.table.merge(reports, now):
            self.update()

    def merge_cold(self, reports: Sequence[ColdReport], now: float) -> None:
        """Apply what another instance reports of cold targets."""
        if reports and self.cold.merge(reports, now):
            self.update()

    def holder_limit(self, target: TargetKey) -> float | None:
        """Return the rate at which this instance grants requests as holder.

        It is in requests per second, None without a limit.
        """
        limit = self._limit_of_run(target)
        if limit is None:
            return None
        return limit * self._part(target, is_own=False)

    def turns_from(self, target: Target) -> float:
        """Return when this instance may begin to grant turns as holder.

        A holder before it may not know yet that it is none any more. Within one
        second both could exceed the rate of a cold target. Without a part of
        the rate the begin is put off with each call.
        """
        if not self.is_cold(target):
            return -math.inf
        now = boot_seconds()
        if not self._part(target.key, is_own=False):
            return now + HANDOVER_SECONDS
        own, name = self._membership.instance, target.target
        if self._view.is_engine(target):
            return self._history.start_as_steward(own, name, 0, now)
        return self._history.start_as_elected(own, name, 0, now)

    def holder_share(self, target: TargetKey) -> RoomShare | None:
        """Return what this instance may use of a brittle target as holder.

        A member's share belongs to the one that it takes for the holder, so
        that members which see each other differently use none twice.
        """
        return self._share(target, lambda: self._electors(target[0]))

    def unreached(self, now: float) -> tuple[str, ...]:
        """Return the other members from which this instance hears nothing.

        Those that ended silently count too, since others may still expect
        them. Of many the first ones are returned.
        """
        own = self._membership.instance
        known = {*self._view.members, *self.departed()} - {own}
        silent = [
            each
            for each in sorted(known)
            if not self._membership.is_reachable(each, now)
        ]
        return tuple(silent[:_MAX_UNREACHED])

    def _electors(self, target: str) -> list[str]:
        """Return the members that take this instance for the holder."""
        now = boot_seconds()
        own = self._membership.instance
        rivals = self._rivals(target, now)
        electors = []
        for each in self._view.members:
            unreached = self._membership.unreached_by(each)
            is_divided = len(unreached) >= _MAX_UNREACHED
            if self._membership.is_reachable(each, now) and (
                is_divided or elects(own, rivals, unreached)
            ):
                electors.append(each)
        return electors

    def _rivals(self, target: str, now: float) -> list[str]:
        """Return the members that are elected where they are reached."""
        found = self._view.targets.get(target)
        if found is None or self._view.is_engine(found):
            return []
        weight = member_weight(target, self._membership.instance)
        return [
            each
            for each in self._view.members
            if member_weight(target, each) > weight
            and self._history.may_act(each, now)
        ]

    def steward_start(self, target: Target) -> float:
        """Return when this instance may begin to grant as a steward."""
        return self._history.start_as_steward(
            self._membership.instance,
            target.target,
            other_granters(self._refusals(target) or 0),
            boot_seconds(),
        )

    def reserve(self, req: AdmissionRequest, on_reply: ReplyCallback) -> None:
        """Request a turn at a plain target for any instance."""
        self._reserve(self._desks, req, on_reply)

    async def reserve_own(self, req: AdmissionRequest) -> AdmissionReply:
        """Wait for a turn within the own part of a limit."""
        reply: asyncio.Future[AdmissionReply] = (
            asyncio.get_running_loop().create_future()
        )

        def receive(admission: AdmissionReply) -> None:
            if not admission.is_waiting and not reply.done():
                reply.set_result(admission)

        self._record_silence(req.worker, boot_seconds())
        self._reserve(self._own_desks, req, receive)
        try:
            return await reply
        finally:
            opened = self._own_desks.get(req.worker)
            if opened is not None:
                opened.desk.queue.remove(req.request_id)
                opened.callbacks.pop(req.request_id, None)

    def may_act_unheld(self, target: Target) -> bool:
        """Tell whether requests may go to a target that nobody admits to.

        Between two holders the own parts of a limited one would be used beside
        what both let pass, and by their least rates together exceed a low
        limit in a large fleet.
        """
        if not self.needs_turn(target):
            return True
        now = boot_seconds()
        since = self._record_silence(target.target, now)
        return now >= since + HANDOVER_SECONDS

    def _record_silence(self, target: str, now: float) -> float:
        """Record that a holder does not reply; return since when.

        One that was asked long ago may have acted meanwhile.
        """
        since, asked_at = self._silent.get(target, (now, now))
        if now > asked_at + _IDLE_SECONDS:
            since = now
        self._silent[target] = (since, now)
        return since

    def _silent_since(self, target: str) -> float:
        """Return since when a holder has not replied, else the present."""
        now = boot_seconds()
        since, _ = self._silent.get(target, (now, now))
        return since

    def holder_replied(self, target: str) -> None:
        """Give up the own part of a limit, since its holder is reachable.

        At a cold target the requests that wait for it go elsewhere: parts that
        are used up beside the holder's whole rate exceed the users' bound.
        """
        self._silent.pop(target, None)
        opened = self._own_desks.get(target)
        if opened is None or opened.desk.room is not None:
            return
        entry = self._view.targets.get(target)
        is_cold = entry is not None and self.is_cold(entry)
        if opened.desk.queue and not is_cold:
            return
        self._close(self._own_desks.pop(target))

    def end(self, message: AdmissionEnd) -> None:
        """Process the end of a request to a plain target."""
        self._end(self._desks, message)

    def end_own(self, message: AdmissionEnd) -> None:
        """Process the end of a request with a turn in the own part."""
        self._end(self._own_desks, message)

    def _end(self, desks: dict[str, _OpenDesk], message: AdmissionEnd) -> None:
        opened = desks.get(message.worker)
        if opened is not None:
            opened.callbacks.pop(message.request_id, None)
            opened.desk.end(message, boot_seconds())
            self._proceed(opened)
            return
        self._record_late_end(message, is_own=desks is self._own_desks)

    def _record_late_end(self, message: AdmissionEnd, *, is_own: bool) -> None:
        """Record the end of a request whose desk is closed, or elsewhere."""
        now = boot_seconds()
        target = self._view.targets.get(message.worker)
        outcome = room_outcome(message.outcome)
        if target is None or self._view.is_engine(target):
            return
        kept = self._kept_rooms.get((target.key, is_own))
        if kept is not None:
            kept[0].record_end(message.request_id, outcome, now)
            return
        share = self.holder_share(target.key)
        if is_own or share is None or outcome is not GrantOutcome.full:
            return
        room = self._new_room(target, share, is_own=False)
        room.record_end(message.request_id, outcome, now)
        self._kept_rooms[target.key, False] = (room, now)

    def update(self) -> None:
        """Adapt the desks to limits, members and targets."""
        now = boot_seconds()
        targets = self._view.targets
        runs = {each.key for each in targets.values()}
        self.table.retain(runs, now)
        self.brittle.retain(runs, now)
        self.contacts.retain(runs)
        self.cold.observe(targets.values(), now)
        self._observe(now)
        self._waits = {
            target: until
            for target, until in self._waits.items()
            if now < until
            and (
                self._limit_of_run(target) is not None
                or self.brittle.limit(target) is not None
            )
        }
        for desks in (self._desks, self._own_desks):
            for name, opened in tuple(desks.items()):
                if self._is_outdated(name, opened, now):
                    self._close(desks.pop(name))
                    continue
                self._adapt(opened, now)
                self._proceed(opened)
        self.on_change()

    def stop(self) -> None:
        """Cancel all timers."""
        for opened in (*self._desks.values(), *self._own_desks.values()):
            opened.stop_timer()

    def _close(self, opened: _OpenDesk) -> None:
        """Close a desk; what is known of the room is kept for a while."""
        if opened.desk.room is not None:
            kept = (opened.desk.room, boot_seconds())
            self._kept_rooms[opened.key, opened.is_own] = kept
        opened.close()

    def _observe(self, now: float) -> None:
        """Record who could be elected, and who holds the engines."""
        own = self._membership.instance
        reached = {
            each
            for each in self._view.members
            if self._membership.is_reachable(each, now)
        }
        self._history.record_registered(self._view.members, now)
        self._history.record_members(frozenset((own, *reached)), now)
        self._history.retain(self._view.ownership)
        for engine, record in self._view.ownership.items():
            self._history.record_holder(engine, record.holder, now)
        self._kept_rooms = {
            key: (room, closed_at)
            for key, (room, closed_at) in self._kept_rooms.items()
            if now < closed_at + HANDOVER_SECONDS
        }
        for target in self._silent.keys() - self._view.targets.keys():
            self._silent.pop(target)

    def _is_outdated(self, name: str, opened: _OpenDesk, now: float) -> bool:
        """Tell whether a desk should be closed."""
        target = self._view.targets.get(name)
        if target is None or target.key != opened.key:
            return True
        is_moved = self._desks.get(name) is opened and (
            self.holder(name) != self._membership.instance
        )
        is_idle = now > opened.used_at + _IDLE_SECONDS
        if is_moved or (is_idle and not opened.desk.queue):
            return True
        return self._has_no_part(target, is_own=opened.is_own)

    def _limit_of_run(self, key: TargetKey) -> float | None:
        target = self._view.targets.get(key[0])
        if target is None or target.key != key:
            return self.table.limit(key)
        return self.limit(target)

    def _own_limit(self, target: TargetKey) -> float | None:
        limit = self._limit_of_run(target)
        if limit is None:
            return None
        return limit * self._part(target, is_own=True)

    def _part(self, key: TargetKey, *, is_own: bool) -> float:
        """Return the part of a limit for own requests, or as its holder."""
        now = boot_seconds()
        reachable, members = self._membership.reach(now)
        target = self._view.targets.get(key[0])
        most = math.inf
        if target is not None:
            most = self.cold.most_granters(target, now)
        if members <= most:
            granting = 1 if is_own else reachable
            return granting / members
        own = self._membership.instance
        granters = {own}
        if not is_own:
            granters.update(
                each
                for each in self._view.members
                if self._membership.is_reachable(each, now)
            )
        return rate_part(key[0], most, granters, {own, *self._view.members})

    def _refusals(self, target: Target) -> float | None:
        """Return how many refusals per second a target bears, None for any.

        A new run of a target is taken for brittle like the others of its
        service until it has responded.
        """
        named = self.brittle.limit(target.key)
        if named is not None or self.contacts.is_heard(target.key):
            return named
        bears = [
            self.brittle.limit(key)
            for key in self.brittle.limited()
            if self._service_of(key) == target.service
        ]
        return min((each for each in bears if each is not None), default=None)

    def _service_of(self, key: TargetKey) -> str | None:
        target = self._view.targets.get(key[0])
        return None if target is None else target.service

    def _share(
        self, key: TargetKey, others: Callable[[], Sequence[str]]
    ) -> RoomShare | None:
        """Return the share of this instance and others of a brittle target."""
        target = self._view.targets.get(key[0])
        if target is None or target.key != key:
            return None
        refusals = self._refusals(target)
        if refusals is None:
            return None
        own = self._membership.instance
        return RoomShare.of_members(
            target.target,
            refusals,
            {own, *others()},
            {own, *self._view.members, *self.departed()},
        )

    def _adapt(self, opened: _OpenDesk, now: float) -> None:
        """Adapt a desk to the limit of its target and to its room."""
        desk, key = opened.desk, opened.key
        if opened.is_own:
            _set_rate(desk, self._own_limit(key), now)
            share = self._share(key, list)
        else:
            _set_rate(desk, self.holder_limit(key), now)
            share = self.holder_share(key)
        target = self._view.targets.get(desk.target)
        if desk.pacer is not None and target is not None:
            desk.pacer.hold_until(self._turns_from(opened, target))
        if share is None or target is None:
            desk.room = None
        elif desk.room is None:
            desk.room = self._room(target, share, now, is_own=opened.is_own)
        else:
            desk.room.set_slots(target.slots)
            desk.room.set_share(share, now)

    def _has_no_part(self, target: Target, *, is_own: bool) -> bool:
        """Tell whether no turns at a cold target may be granted here."""
        if not self.is_cold(target):
            return False
        return not self._part(target.key, is_own=is_own)

    def _turns_from(self, opened: _OpenDesk, target: Target) -> float:
        """Return when a desk may begin to grant turns.

        The own part may be used by a holder that is silent for a moment.
        """
        if not opened.is_own:
            return self.turns_from(target)
        if not self.is_cold(target):
            return -math.inf
        # A desk may stay open while its holder replies for a while.
        silent_since = self._silent_since(target.target)
        return max(opened.opened_at, silent_since) + HANDOVER_SECONDS

    def _room(
        self, target: Target, share: RoomShare, now: float, *, is_own: bool
    ) -> BrittleRoom:
        """Return the room of a desk that was closed lately, or a new one."""
        kept = self._kept_rooms.pop((target.key, is_own), None)
        if kept is None:
            return self._new_room(target, share, is_own=is_own)
        room, _ = kept
        room.set_slots(target.slots)
        room.set_share(share, now)
        room.resume(self._start(target, is_own=is_own))
        return room

    def _new_room(
        self, target: Target, share: RoomShare, *, is_own: bool
    ) -> BrittleRoom:
        starts_at = self._start(target, is_own=is_own)
        return BrittleRoom(target.slots, share, boot_seconds(), starts_at)

    def _start(self, target: Target, *, is_own: bool) -> float:
        """Return when this instance may begin to let requests pass.

        Its own share may be used by a holder that is silent for a moment.
        """
        if is_own:
            return self._silent_since(target.target) + HANDOVER_SECONDS
        return self._history.start_as_elected(
            self._membership.instance,
            target.target,
            other_granters(self._refusals(target) or 0),
            boot_seconds(),
        )

    def _reserve(
        self,
        desks: dict[str, _OpenDesk],
        req: AdmissionRequest,
        on_reply: ReplyCallback,
    ) -> None:
        now = boot_seconds()
        target = self._view.targets.get(req.worker)
        if target is None:
            on_reply(
                AdmissionReply(
                    req.request_id,
                    req.worker,
                    elsewhere=True,
                    reason='unknown target',
                )
            )
            return
        if self._has_no_part(target, is_own=desks is self._own_desks):
            on_reply(
                AdmissionReply(
                    req.request_id,
                    req.worker,
                    retry_after=HANDOVER_SECONDS,
                    reason='no part of its limit is kept here',
                )
            )
            return
        opened = desks.get(req.worker)
        if opened is None or opened.key != target.key:
            if opened is not None:
                self._close(opened)
            opened = self._open(target, is_own=desks is self._own_desks)
            desks[req.worker] = opened
            self._observe(now)
            self._adapt(opened, now)
        elif self.is_cold(target):
            # Holder and entry may have changed since the last update.
            self._observe(now)
            self._adapt(opened, now)
        if opened.is_own and opened.desk.room is not None:
            opened.desk.room.hold_until(self._start(target, is_own=True))
        opened.used_at = now
        opened.callbacks[req.request_id] = on_reply
        self._deliver(opened, opened.desk.reserve(req, now))
        self._set_timer(opened)

    def _open(self, target: Target, *, is_own: bool) -> _OpenDesk:
        pacer = None
        if self.is_limited(target):
            # Instances that lose their holder together must not all begin at
            # the same moment.
            level = self._rnd.random() if is_own else 0
            pacer = Pacer(0, boot_seconds(), level)
        desk = LimitDesk(target.target, pacer, self._cfg.steward, self._rnd)
        return _OpenDesk(desk, target.key, is_own=is_own)

    def _proceed(self, opened: _OpenDesk) -> None:
        self._deliver(opened, opened.desk.tick(boot_seconds()))
        self._set_timer(opened)

    def _deliver(
        self, opened: _OpenDesk, replies: Sequence[AdmissionReply]
    ) -> None:
        for reply in replies:
            if reply.is_waiting:
                on_reply = opened.callbacks.get(reply.request_id)
            else:
                on_reply = opened.callbacks.pop(reply.request_id, None)
            if on_reply is not None:
                on_reply(reply)

    def _set_timer(self, opened: _OpenDesk) -> None:
        opened.stop_timer()
        now = boot_seconds()
        at = opened.desk.next_event(now)
        if at is not None:
            opened.timer = asyncio.get_running_loop().call_later(
                max(0.001, at - now), self._proceed, opened
            )


def _set_rate(desk: LimitDesk, limit: float | None, now: float) -> None:
    if limit is None:
        desk.pacer = None
    elif desk.pacer is None:
        desk.pacer = Pacer(limit, now)
    else:
        desk.pacer.set_limit(limit, now)
