"""Merge what several instances say of a member."""

import msgspec

from mintlanding.membership.messages import MemberRecord
from mintlanding.membership.models import Member, MemberState


def merge_records(known: MemberRecord, told: MemberRecord) -> MemberRecord:
    """Return the later record; equal ones join their witnesses.

    A leaving member stays leaving for as long as its incarnation lasts,
    whatever a later record of the same incarnation says.
    """
    if told.member.incarnation < known.member.incarnation:
        return known
    if told.member.incarnation > known.member.incarnation:
        return told
    merged = _merge_incarnation(known, told)
    if MemberState.leaving in {known.member.state, told.member.state}:
        return with_state(merged, MemberState.leaving)
    return merged


def with_state(record: MemberRecord, state: MemberState) -> MemberRecord:
    """Return the record with another state."""
    if record.member.state == state:
        return record
    member = msgspec.structs.replace(record.member, state=state)
    return msgspec.structs.replace(record, member=member)


def with_witness(record: MemberRecord, witness: str) -> MemberRecord:
    """Add an instance that does not reach the member."""
    joined = tuple(sorted({*record.witnesses, witness}))
    return msgspec.structs.replace(record, witnesses=joined)


def as_record(member: Member) -> MemberRecord:
    """Return the first record of a member; only live and leaving are told."""
    record = MemberRecord(member)
    if member.state == MemberState.leaving:
        return record
    return with_state(record, MemberState.live)


def _merge_incarnation(
    known: MemberRecord,
    told: MemberRecord,
) -> MemberRecord:
    if told.sequence != known.sequence:
        return max(known, told, key=_sequence)
    joined = tuple(sorted({*known.witnesses, *told.witnesses}))
    return msgspec.structs.replace(known, witnesses=joined)


def _sequence(record: MemberRecord) -> int:
    return record.sequence
