"""Heartbeats between the agents of two instances."""

import msgspec

from mintlanding.membership.models import Member
from mintlanding.peers.messages import Method
from mintlanding.placement.messages import WorkerDigest


class MemberRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A member and the instances that suspect it.

    `witnesses` are instances that cannot reach the member. Only the member
    itself raises `sequence`, to refute them.
    """

    member: Member
    sequence: int = 0
    witnesses: tuple[str, ...] = ()

    @property
    def key(self) -> tuple[int, int]:
        """Return the key that orders the records of a member."""
        return (self.member.incarnation, self.sequence)


class WorkerLoad(
    msgspec.Struct, frozen=True, omit_defaults=True, array_like=True
):
    """The part of a worker's digest that changes with each request.

    `checksum` identifies the static part that it belongs to.
    """

    worker: str
    fencing: int
    sequence: int
    checksum: int
    queued: int = 0
    queued_tokens: float = 0
    running: int = 0


class Heartbeat(msgspec.Struct, frozen=True, omit_defaults=True):
    """A heartbeat and its reply.

    `sent` is the caller's monotonic clock in seconds; the reply returns it as
    `echo`. The message carries the changes of the sender's journal after
    `journal_after` up to `journal`. `acknowledged` is the last number received
    from the other side in its incarnation `acknowledged_incarnation`.
    `revision` was known to be the newest configuration `confirmed_age` seconds
    ago; negative means never.
    """

    sender: MemberRecord
    sent: float = 0
    echo: float = 0
    journal_after: int = 0
    journal: int = 0
    acknowledged: int = 0
    acknowledged_incarnation: int = 0
    revision: int = 0
    confirmed_age: float = -1
    records: tuple[MemberRecord, ...] = ()
    digests: tuple[WorkerDigest, ...] = ()
    loads: tuple[WorkerLoad, ...] = ()


HEARTBEAT = Method('membership', 'Exchange', Heartbeat, Heartbeat)
