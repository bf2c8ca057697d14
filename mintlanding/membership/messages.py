"""Messages between the agents of two instances."""

import msgspec

from mintlanding.membership.models import Member
from mintlanding.peers.messages import Method
from mintlanding.placement.messages import WorkerDigest


class MemberRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """What is said of a member.

    Only the member itself raises `sequence`, to contradict the `witnesses`
    that do not reach it.
    """

    member: Member
    sequence: int = 0
    witnesses: tuple[str, ...] = ()

    @property
    def key(self) -> tuple[int, int]:
        """Return what orders two records of one member."""
        return (self.member.incarnation, self.sequence)


class WorkerLoad(
    msgspec.Struct, frozen=True, omit_defaults=True, array_like=True
):
    """The part of a worker's digest that changes with each request.

    `frame` is a checksum of the other part.
    """

    worker: str
    fencing: int
    sequence: int
    frame: int
    queued: int = 0
    queued_tokens: float = 0
    running: int = 0


class Heartbeat(msgspec.Struct, frozen=True, omit_defaults=True):
    """A heartbeat and its reply.

    `sent` is the caller's monotonic second, which the reply gives back as
    `echo`. The changes carried are those of the sender's journal above
    `journal_after` up to `journal`;
    `acknowledged` is the last number received from the other side while it
    had the incarnation `acknowledged_incarnation`. `revision` was the newest
    configuration `confirmed_age` seconds ago; negative means never.
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
