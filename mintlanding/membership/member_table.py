"""The members that an instance knows and how each looks from here."""

from collections.abc import Container, Iterable
from dataclasses import dataclass

import msgspec

from mintlanding.membership.messages import MemberRecord
from mintlanding.membership.models import Member, MembershipOptions, MemberState
from mintlanding.membership.records import (
    as_record,
    merge_records,
    with_state,
    with_witness,
)

PLATFORM = 'platform'
_ITSELF = 'itself'
_QUORUM = 2
_FAILED_CALLS = 2
_SPARED = 1.5


@dataclass(slots=True)
class KnownMember:
    """A member's record and what was seen of it from here."""

    record: MemberRecord
    heard_at: float | None = None
    called_at: float | None = None
    spoken_at: float | None = None
    has_called_at: float | None = None
    failed_calls: int = 0
    doubted_at: float | None = None
    gone_at: float | None = None
    is_listed: bool = False
    was_listed: bool = False
    revision: int = 0


class MemberTable:
    """Merge records, the platform's list and own contact into one view."""

    def __init__(self, own: Member, options: MembershipOptions) -> None:
        """Begin with no other member."""
        self._own = own
        self._options = options
        self._known: dict[str, KnownMember] = {}
        self._stale_leaving: set[str] = set()
        self._regions: dict[str, str] = {}

    def get(self, instance: str) -> KnownMember | None:
        """Return what is known of an instance."""
        return self._known.get(instance)

    def items(self) -> Iterable[tuple[str, KnownMember]]:
        """Return all that are known by instance."""
        return self._known.items()

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, or nothing if no member is in it."""
        if zone == self._own.zone:
            return self._own.region
        return self._regions.get(zone, '')

    def learn(self, record: MemberRecord) -> bool:
        """Merge a record; tell whether it has changed anything."""
        name = record.member.instance
        self._regions[record.member.zone] = record.member.region
        known = self._known.get(name)
        if known is None:
            self._known[name] = KnownMember(record)
            return True
        merged = merge_records(known.record, record)
        if merged == known.record:
            return False
        if merged.member.incarnation > known.record.member.incarnation:
            self._restart(name, known, merged)
            return True
        if merged.sequence > known.record.sequence:
            known.doubted_at = None
            known.gone_at = None
        known.record = merged
        return True

    def hear(self, instance: str, revision: int, now: float) -> None:
        """Note direct contact with a member."""
        known = self._known[instance]
        known.heard_at = now
        known.failed_calls = 0
        known.doubted_at = None
        known.gone_at = None
        known.revision = revision

    def watch(self, called: Container[str], now: float) -> None:
        """Note who is called, since only their silence counts."""
        for name, known in self._known.items():
            if name not in called:
                known.called_at = None
                known.failed_calls = 0
            elif known.called_at is None:
                known.called_at = now

    def is_due(self, instance: str, now: float) -> bool:
        """Tell whether to call a member in this round, and note the call.

        One call in two rounds is enough while the member itself calls, since
        the reply carries changes as well.
        """
        known = self._known[instance]
        interval = self._options.interval
        has_called = _is_within(known.has_called_at, interval, now)
        if has_called and _is_within(known.spoken_at, _SPARED * interval, now):
            return False
        known.spoken_at = now
        return True

    def note_called(self, instance: str, now: float) -> None:
        """Note that a member has called this instance."""
        known = self._known.get(instance)
        if known is not None:
            known.has_called_at = now

    def call_all(self) -> None:
        """Make every neighbour due in the next round."""
        for known in self._known.values():
            known.spoken_at = None

    def note_failure(self, instance: str) -> None:
        """Note that a call to a member has failed."""
        known = self._known.get(instance)
        if known is not None:
            known.failed_calls += 1

    def take_list(self, members: Iterable[Member]) -> list[str]:
        """Take the platform's list; return the instances that changed."""
        listed = {each.instance: each for each in members}
        listed.pop(self._own.instance, None)
        changed = [
            name for name, each in listed.items() if self._list_one(each)
        ]
        for name, known in self._known.items():
            known.is_listed = name in listed
            known.was_listed = known.was_listed or known.is_listed
        return changed

    def doubt(self, watched: Iterable[str], now: float) -> list[str]:
        """Add own doubts in silent members; return whose record changed."""
        changed: list[str] = []
        for name in watched:
            known = self._known[name]
            is_doubted = self._own.instance in known.record.witnesses
            if is_doubted or not self._is_unheard(known, now):
                continue
            known.record = with_witness(known.record, self._own.instance)
            changed.append(name)
        return changed

    def judge(self, now: float) -> list[str]:
        """Declare members gone; return those to forget."""
        forgotten: list[str] = []
        for name, known in self._known.items():
            self._judge_one(known, now)
            if _has_passed(known.gone_at, self._options.forget_after, now):
                forgotten.append(name)
        for each in forgotten:
            self._known.pop(each)
        return forgotten

    def restart_timers(self, now: float) -> None:
        """Start all periods anew after a pause of this process itself."""
        for known in self._known.values():
            known.failed_calls = 0
            known.heard_at = None if known.heard_at is None else now
            known.called_at = None if known.called_at is None else now
            known.doubted_at = None if known.doubted_at is None else now

    def view(self, known: KnownMember, now: float) -> Member:
        """Return a member with the state that it has from here."""
        state = self._state(known, now)
        return with_state(known.record, state).member

    def _state(self, known: KnownMember, now: float) -> MemberState:
        if known.gone_at is not None:
            return MemberState.gone
        if known.record.member.state == MemberState.leaving:
            return MemberState.leaving
        if self._is_unheard(known, now):
            return MemberState.silent
        if known.record.witnesses and not self._is_heard(known, now):
            return MemberState.silent
        return MemberState.live

    def _restart(
        self,
        name: str,
        known: KnownMember,
        record: MemberRecord,
    ) -> None:
        if known.is_listed:
            self._stale_leaving.add(name)
        self._known[name] = KnownMember(record, is_listed=known.is_listed)

    def _list_one(self, listed: Member) -> bool:
        name = listed.instance
        known = self._known.get(name)
        is_leaving = listed.state == MemberState.leaving
        if not is_leaving:
            self._stale_leaving.discard(name)
        if known is None:
            return self.learn(as_record(listed))
        if listed.incarnation > known.record.member.incarnation:
            return self.learn(as_record(listed))
        is_same = listed.incarnation == known.record.member.incarnation
        if listed.incarnation == 0 and name not in self._stale_leaving:
            is_same = True
        if not (is_leaving and is_same):
            return False
        before = known.record
        known.record = with_state(before, MemberState.leaving)
        return known.record != before

    def _judge_one(self, known: KnownMember, now: float) -> None:
        if known.gone_at is not None:
            return
        if self._is_heard(known, now) or self._opinions(known) < _QUORUM:
            known.doubted_at = None
        elif known.doubted_at is None:
            known.doubted_at = now
        elif _has_passed(known.doubted_at, self._options.gone_after, now):
            known.gone_at = now

    def _opinions(self, known: KnownMember) -> int:
        opinions = {
            each for each in known.record.witnesses if self._counts(each)
        }
        if not opinions:
            return 0
        if known.was_listed and not known.is_listed:
            opinions.add(PLATFORM)
        if known.record.member.state == MemberState.leaving:
            opinions.add(_ITSELF)
        return len(opinions)

    def _counts(self, witness: str) -> bool:
        if witness == self._own.instance:
            return True
        known = self._known.get(witness)
        return known is not None and known.gone_at is None

    def _is_heard(self, known: KnownMember, now: float) -> bool:
        return _is_within(known.heard_at, self._options.silent_after, now)

    def _is_unheard(self, known: KnownMember, now: float) -> bool:
        if self._is_heard(known, now):
            return known.failed_calls > _FAILED_CALLS
        if known.failed_calls >= _FAILED_CALLS:
            return True
        return _has_passed(known.called_at, self._options.silent_after, now)


def _has_passed(since: float | None, period: float, now: float) -> bool:
    return since is not None and now - since > period


def _is_within(since: float | None, period: float, now: float) -> bool:
    return since is not None and now - since <= period


def renumber(record: MemberRecord, sequence: int) -> MemberRecord:
    """Return the member's own record, free of doubts, under a new number."""
    return msgspec.structs.replace(record, sequence=sequence, witnesses=())
