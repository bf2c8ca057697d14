"""The members that an instance knows, and their states."""

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
_MAX_FAILED_CALLS = 2
_SKIP_WITHIN_INTERVALS = 1.5


@dataclass(slots=True)
class KnownMember:
    """A member's record and this instance's contact with it."""

    record: MemberRecord
    last_contact_at: float | None = None
    monitored_since: float | None = None
    last_call_at: float | None = None
    last_incoming_call_at: float | None = None
    failed_calls: int = 0
    suspected_at: float | None = None
    gone_at: float | None = None
    is_listed: bool = False
    was_listed: bool = False
    revision: int = 0


class MemberTable:
    """Merge records, the platform's list and direct contact into states."""

    def __init__(self, own: Member, options: MembershipOptions) -> None:
        """Start with no other member."""
        self._own = own
        self._options = options
        self._known: dict[str, KnownMember] = {}
        self._stale_leaving: set[str] = set()
        self._regions: dict[str, str] = {}

    def get(self, instance: str) -> KnownMember | None:
        """Return an instance, or None if it is unknown."""
        return self._known.get(instance)

    def items(self) -> Iterable[tuple[str, KnownMember]]:
        """Return all known members by instance."""
        return self._known.items()

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, '' if no member of it is known."""
        if zone == self._own.zone:
            return self._own.region
        return self._regions.get(zone, '')

    def merge_record(self, record: MemberRecord) -> bool:
        """Merge a record; return whether it changed anything."""
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
            self._replace_incarnation(name, known, merged)
            return True
        if merged.sequence > known.record.sequence:
            known.suspected_at = None
            known.gone_at = None
        known.record = merged
        return True

    def record_contact(self, instance: str, revision: int, now: float) -> None:
        """Record direct contact with a member."""
        known = self._known[instance]
        known.last_contact_at = now
        known.failed_calls = 0
        known.suspected_at = None
        known.gone_at = None
        known.revision = revision

    def set_monitored(self, called: Container[str], now: float) -> None:
        """Set which members are called; only their silence is evidence."""
        for name, known in self._known.items():
            if name not in called:
                known.monitored_since = None
                known.failed_calls = 0
            elif known.monitored_since is None:
                known.monitored_since = now

    def monitored(self) -> list[str]:
        """Return the members that were called in the last round."""
        return [
            name
            for name, known in self._known.items()
            if known.monitored_since is not None
        ]

    def is_due(self, instance: str, now: float) -> bool:
        """Return whether to call a member in this round; record the call.

        While the member calls this instance, a call in every other round is
        enough, since replies carry changes as well.
        """
        known = self._known[instance]
        interval = self._options.interval
        has_called = _is_within(known.last_incoming_call_at, interval, now)
        if has_called and _is_within(
            known.last_call_at, _SKIP_WITHIN_INTERVALS * interval, now
        ):
            return False
        known.last_call_at = now
        return True

    def record_incoming_call(self, instance: str, now: float) -> None:
        """Record that a member has called this instance."""
        known = self._known.get(instance)
        if known is not None:
            known.last_incoming_call_at = now

    def make_all_due(self) -> None:
        """Make every neighbour due in the next round."""
        for known in self._known.values():
            known.last_call_at = None

    def record_failure(self, instance: str) -> None:
        """Record that a call to a member has failed."""
        known = self._known.get(instance)
        if known is not None:
            known.failed_calls += 1

    def apply_instance_list(self, members: Iterable[Member]) -> list[str]:
        """Apply the platform's list; return the instances that changed."""
        listed = {each.instance: each for each in members}
        listed.pop(self._own.instance, None)
        changed = [
            name for name, each in listed.items() if self._apply_listed(each)
        ]
        for name, known in self._known.items():
            known.is_listed = name in listed
            known.was_listed = known.was_listed or known.is_listed
        return changed

    def suspect(self, called: Iterable[str], now: float) -> list[str]:
        """Suspect unreachable members; return the instances that changed."""
        changed: list[str] = []
        for name in called:
            known = self._known[name]
            is_suspected = self._own.instance in known.record.witnesses
            if is_suspected or not self._is_unreachable(known, now):
                continue
            known.record = with_witness(known.record, self._own.instance)
            changed.append(name)
        return changed

    def update_states(self, now: float) -> list[str]:
        """Declare members gone; remove and return those gone for long."""
        forgotten: list[str] = []
        for name, known in self._known.items():
            self._update_state(known, now)
            if _has_passed(known.gone_at, self._options.forget_after, now):
                forgotten.append(name)
        for each in forgotten:
            self._known.pop(each)
        return forgotten

    def restart_timers(self, now: float) -> None:
        """Restart all failure-detection timers after a local pause."""
        for known in self._known.values():
            known.failed_calls = 0
            known.last_contact_at = (
                None if known.last_contact_at is None else now
            )
            known.monitored_since = (
                None if known.monitored_since is None else now
            )
            known.suspected_at = None if known.suspected_at is None else now

    def view(self, known: KnownMember, now: float) -> Member:
        """Return a member with its state as seen by this instance."""
        state = self._state(known, now)
        return with_state(known.record, state).member

    def _state(self, known: KnownMember, now: float) -> MemberState:
        if known.gone_at is not None:
            return MemberState.gone
        if known.record.member.state == MemberState.leaving:
            return MemberState.leaving
        if self._is_unreachable(known, now):
            return MemberState.silent
        if known.record.witnesses and not self._has_recent_contact(known, now):
            return MemberState.silent
        return MemberState.live

    def _replace_incarnation(
        self,
        name: str,
        known: KnownMember,
        record: MemberRecord,
    ) -> None:
        if known.is_listed:
            self._stale_leaving.add(name)
        self._known[name] = KnownMember(record, is_listed=known.is_listed)

    def _apply_listed(self, listed: Member) -> bool:
        name = listed.instance
        known = self._known.get(name)
        is_leaving = listed.state == MemberState.leaving
        if not is_leaving:
            self._stale_leaving.discard(name)
        if known is None:
            return self.merge_record(as_record(listed))
        if listed.incarnation > known.record.member.incarnation:
            return self.merge_record(as_record(listed))
        is_same = listed.incarnation == known.record.member.incarnation
        if listed.incarnation == 0 and name not in self._stale_leaving:
            is_same = True
        if not (is_leaving and is_same):
            return False
        before = known.record
        known.record = with_state(before, MemberState.leaving)
        return known.record != before

    def _update_state(self, known: KnownMember, now: float) -> None:
        if known.gone_at is not None:
            return
        if (
            self._has_recent_contact(known, now)
            or self._suspicion_count(known) < _QUORUM
        ):
            known.suspected_at = None
        elif known.suspected_at is None:
            known.suspected_at = now
        elif _has_passed(known.suspected_at, self._options.gone_after, now):
            known.gone_at = now

    def _suspicion_count(self, known: KnownMember) -> int:
        suspecting = {
            each for each in known.record.witnesses if self._is_counted(each)
        }
        if not suspecting:
            return 0
        if known.was_listed and not known.is_listed:
            suspecting.add(PLATFORM)
        if known.record.member.state == MemberState.leaving:
            suspecting.add(_ITSELF)
        return len(suspecting)

    def _is_counted(self, witness: str) -> bool:
        if witness == self._own.instance:
            return True
        known = self._known.get(witness)
        return known is not None and known.gone_at is None

    def _has_recent_contact(self, known: KnownMember, now: float) -> bool:
        return _is_within(
            known.last_contact_at, self._options.silent_after, now
        )

    def _is_unreachable(self, known: KnownMember, now: float) -> bool:
        if self._has_recent_contact(known, now):
            return known.failed_calls > _MAX_FAILED_CALLS
        if known.failed_calls >= _MAX_FAILED_CALLS:
            return True
        return _has_passed(
            known.monitored_since, self._options.silent_after, now
        )


def _has_passed(since: float | None, period: float, now: float) -> bool:
    return since is not None and now - since > period


def _is_within(since: float | None, period: float, now: float) -> bool:
    return since is not None and now - since <= period


def refuted_record(record: MemberRecord, sequence: int) -> MemberRecord:
    """Return a record without suspicions under a new sequence number."""
    return msgspec.structs.replace(record, sequence=sequence, witnesses=())
