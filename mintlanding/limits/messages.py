"""Messages between the limits nodes of instances, and their actions."""

from dataclasses import dataclass
from typing import Union

import msgspec

from mintlanding.core.results import Outcome
from mintlanding.peers.messages import Method

# The tags are part of the wire format; they do not follow from the names.


class Announce(msgspec.Struct, frozen=True, tag='a', array_like=True):
    """The seats that the sender owns, at `stamp` of its clock.

    A sender that is leaving gets no more loans.
    """

    seats: tuple[int, ...]
    stamp: float
    is_leaving: bool = False


class RequestLoans(msgspec.Struct, frozen=True, tag='k', array_like=True):
    """Request new and renewed loans from the receiver.

    `stamp` is the time of the sender's clock at which the loans start.
    `digest` is a checksum of the sender's loans from the receiver.
    """

    stamp: float
    digest: int


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Seats lent for workspaces; `tokens` and `in_flight` for each workspace.

    The loan runs for `term` seconds from the stamp of its request. `number`
    rises with each loan of the lender. Only the first message of a loan
    carries tokens.
    """

    number: int
    term: float
    seats: tuple[int, ...]
    workspaces: tuple[str, ...]
    tokens: tuple[float, ...] = ()
    in_flight: tuple[float, ...] = ()


class Lend(msgspec.Struct, frozen=True, tag='l', array_like=True):
    """Reply to `RequestLoans`: current and new loans.

    `is_same` renews the loans that the digest of the request covers.
    """

    stamp: float
    is_same: bool = False
    loans: tuple[Loan, ...] = ()


class Return(msgspec.Struct, frozen=True, tag='r', array_like=True):
    """Return seats to the lender with the tokens that belong to them."""

    stamp: float
    loans: tuple[Loan, ...]


class Recall(msgspec.Struct, frozen=True, tag='b', array_like=True):
    """Recall the seats that the sender has lent to the receiver."""

    workspaces: tuple[str, ...]


class Draw(msgspec.Struct, frozen=True, tag='d', array_like=True):
    """Request tokens from the holder of a workspace's bucket."""

    request_id: str
    workspace: str
    tokens: float
    origin: str
    hops: int = 0


class Grant(msgspec.Struct, frozen=True, tag='g', array_like=True):
    """The tokens of a draw are charged.

    `wants_ack` requests a `GrantDelivered`: the bucket is almost full.
    Tokens in flight count against its capacity, so that refills would be lost
    until the grant is acknowledged or its delivery time has passed.
    """

    request_id: str
    workspace: str
    wants_ack: bool = False


class Refuse(msgspec.Struct, frozen=True, tag='n', array_like=True):
    """The draw is refused; `retry_after` is in seconds."""

    request_id: str
    code: int
    retry_after: float


class GrantDelivered(msgspec.Struct, frozen=True, tag='f', array_like=True):
    """A grant has been delivered to the request that it is for."""

    request_id: str
    workspace: str


class Settle(msgspec.Struct, frozen=True, tag='s', array_like=True):
    """The tokens that a request has used."""

    request_id: str
    workspace: str
    used: float


class Settled(msgspec.Struct, frozen=True, tag='t', array_like=True):
    """Acknowledgement of a `Settle`."""

    request_id: str


class HandOver(msgspec.Struct, frozen=True, tag='h', array_like=True):
    """Seats that a leaving instance hands over to the receiver.

    `stamp` is the receiver's clock from its latest announcement. The loans
    carry the tokens that move with the seats, one loan for each workspace.
    `number` identifies the hand-over among those of the sender.
    """

    number: int
    stamp: float
    seats: tuple[int, ...]
    loans: tuple[Loan, ...]


class HandedOver(msgspec.Struct, frozen=True, tag='o', array_like=True):
    """Acknowledgement of a `HandOver`."""

    number: int


class RequestSpare(msgspec.Struct, frozen=True, tag='w', array_like=True):
    """Request spare tokens from a peer; only the ask-all policy sends it."""

    request_id: str
    workspace: str
    tokens: float


class GiveSpare(msgspec.Struct, frozen=True, tag='v', array_like=True):
    """Spare tokens for a request; only the ask-all policy sends it."""

    request_id: str
    workspace: str
    tokens: float


LimitsMessage = Union[
    Announce,
    RequestLoans,
    Lend,
    Return,
    Recall,
    Draw,
    Grant,
    Refuse,
    GrantDelivered,
    Settle,
    Settled,
    HandOver,
    HandedOver,
    RequestSpare,
    GiveSpare,
]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A batch from one process to another; a duplicate has no effect.

    `receiver_incarnation` is 0 if the sender does not know it yet.
    """

    incarnation: int
    message_id: int
    receiver_incarnation: int
    messages: tuple[LimitsMessage, ...]


class Delivered(msgspec.Struct, frozen=True, omit_defaults=True):
    """Reply to an envelope, with a batch that the receiver had ready."""

    envelope: Envelope | None = None


DELIVER: Method[Envelope, Delivered] = Method(
    'Limits',
    'Deliver',
    Envelope,
    Delivered,
)


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens charged to a workspace before its request runs."""

    request_id: str
    workspace: str
    tokens: float


@dataclass(frozen=True, slots=True)
class Send:
    """Deliver a message to the agent of an instance; it may be lost."""

    instance: str
    message: Envelope


@dataclass(frozen=True, slots=True)
class ReserveOutcome:
    """The outcome of a `reserve`; there is exactly one."""

    request_id: str
    outcome: Outcome[Reservation]


@dataclass(frozen=True, slots=True)
class SeatsLost:
    """These seats were dropped after a pause and must be claimed again."""

    seats: frozenset[int]


@dataclass(frozen=True, slots=True)
class SeatsReceived:
    """A leaving instance has handed these seats over to this one."""

    seats: frozenset[int]


@dataclass(frozen=True, slots=True)
class SeatsHandedOver:
    """These seats belong to another instance from now on."""

    seats: frozenset[int]


Event = SeatsLost | SeatsReceived | SeatsHandedOver
Action = Send | ReserveOutcome | Event
