"""Member records, and how records of several instances are merged."""

import msgspec

from mintlanding.membership.messages import MemberRecord
from mintlanding.membership.models import Member, MemberState


def merge_records(known: MemberRecord, received: MemberRecord) -> MemberRecord:
    """Return the later record; for equal ones, combine their witnesses.

    A leaving member stays leaving for its whole incarnation, whatever a later
    record of that incarnation says.
    """
    if received.member.incarnation < known.member.incarnation:
        return known
    if received.member.incarnation > known.member.incarnation:
        return received
    merged = _merge_incarnation(known, received)
    if MemberState.leaving in {known.member.state, received.member.state}:
        return with_state(merged, MemberState.leaving)
    return merged


def with_state(record: MemberRecord, state: MemberState) -> MemberRecord:
    """Return the record with another state."""
    if record.member.state == state:
        return record
    member = msgspec.structs.replace(record.member, state=state)
    return msgspec.structs.replace(record, member=member)


def with_witness(record: MemberRecord, witness: str) -> MemberRecord:
    """Add an instance that cannot reach the member."""
    joined = tuple(sorted({*record.witnesses, witness}))
    return msgspec.structs.replace(record, witnesses=joined)


def as_record(member: Member) -> MemberRecord:
    """Return the first record of a member; its state is live or leaving."""
    record = MemberRecord(member)
    if member.state == MemberState.leaving:
        return record
    return with_state(record, MemberState.live)


def _merge_incarnation(
    known: MemberRecord,
    received: MemberRecord,
) -> MemberRecord:
    if received.sequence != known.sequence:
        return max(known, received, key=_sequence)
    joined = tuple(sorted({*known.witnesses, *received.witnesses}))
    return msgspec.structs.replace(known, witnesses=joined)


def _sequence(record: MemberRecord) -> int:
    return record.sequence
