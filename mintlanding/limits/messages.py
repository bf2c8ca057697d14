"""Messages between the limits of different instances, and with the shell."""

from dataclasses import dataclass
from typing import Union

import msgspec

from mintlanding.core.results import Outcome
from mintlanding.peers.messages import Method


class Announce(msgspec.Struct, frozen=True, tag='a', array_like=True):
    """The seats that the sender uses as its own, at `stamp` of its clock.

    A sender that is leaving is to be given no more loans.
    """

    seats: tuple[int, ...]
    stamp: float
    is_leaving: bool = False


class Ask(msgspec.Struct, frozen=True, tag='k', array_like=True):
    """Ask for all that the receiver lends the sender.

    `stamp` is the sender's clock; it counts its loans from there. `digest`
    sums up the loans that it has from the receiver.
    """

    stamp: float
    digest: int


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Seats lent for workspaces; `tokens` and `flight` for each workspace.

    The loan runs for `term` seconds from the stamp of the ask. `number` rises
    with each loan of the lender. Tokens come only with a loan's first message.
    """

    number: int
    term: float
    seats: tuple[int, ...]
    workspaces: tuple[str, ...]
    tokens: tuple[float, ...] = ()
    flight: tuple[float, ...] = ()


class Lend(msgspec.Struct, frozen=True, tag='l', array_like=True):
    """Answer to an `Ask`: the loans that run, and new ones.

    `is_same` confirms the loans that the digest of the `Ask` sums up.
    """

    stamp: float
    is_same: bool = False
    loans: tuple[Loan, ...] = ()


class Return(msgspec.Struct, frozen=True, tag='r', array_like=True):
    """Give seats back to the lender with the tokens that belong to them."""

    stamp: float
    loans: tuple[Loan, ...]


class Recall(msgspec.Struct, frozen=True, tag='b', array_like=True):
    """Ask for the seats back that the sender has lent."""

    workspaces: tuple[str, ...]


class Draw(msgspec.Struct, frozen=True, tag='d', array_like=True):
    """Ask the holder of a workspace's bucket for tokens."""

    request_id: str
    workspace: str
    tokens: float
    origin: str
    hops: int = 0


class Grant(msgspec.Struct, frozen=True, tag='g', array_like=True):
    """The tokens of a draw are charged.

    `confirm` asks for a `Landed`: the bucket is so full that tokens on their
    way keep others from accruing.
    """

    request_id: str
    workspace: str
    confirm: bool = False


class Refuse(msgspec.Struct, frozen=True, tag='n', array_like=True):
    """The tokens of a draw are not charged; `retry_after` in seconds."""

    request_id: str
    code: int
    retry_after: float


class Landed(msgspec.Struct, frozen=True, tag='f', array_like=True):
    """A grant has been answered to its caller."""

    request_id: str
    workspace: str


class Settle(msgspec.Struct, frozen=True, tag='s', array_like=True):
    """The tokens that a request used in the end."""

    request_id: str
    workspace: str
    used: float


class Settled(msgspec.Struct, frozen=True, tag='t', array_like=True):
    """A settlement has arrived."""

    request_id: str


class HandOver(msgspec.Struct, frozen=True, tag='h', array_like=True):
    """Seats that a leaving instance gives to the receiver.

    `stamp` repeats the receiver's clock from its latest announcement. The
    loans say what moves along, one for each workspace; `number` tells this
    hand-over from others of the sender.
    """

    number: int
    stamp: float
    seats: tuple[int, ...]
    loans: tuple[Loan, ...]


class HandedOver(msgspec.Struct, frozen=True, tag='o', array_like=True):
    """The receiver has taken a hand-over."""

    number: int


class Want(msgspec.Struct, frozen=True, tag='w', array_like=True):
    """Ask a peer for spare tokens; only the ask-all policy sends it."""

    request_id: str
    workspace: str
    tokens: float


class Give(msgspec.Struct, frozen=True, tag='v', array_like=True):
    """Spare tokens for a request; only the ask-all policy sends it."""

    request_id: str
    workspace: str
    tokens: float


LimitsMessage = Union[
    Announce,
    Ask,
    Lend,
    Return,
    Recall,
    Draw,
    Grant,
    Refuse,
    Landed,
    Settle,
    Settled,
    HandOver,
    HandedOver,
    Want,
    Give,
]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A batch from one process to another; a doubled one has no effect.

    `receiver_incarnation` is 0 where the sender does not know it yet.
    """

    incarnation: int
    message_id: int
    receiver_incarnation: int
    messages: tuple[LimitsMessage, ...]


class Delivered(msgspec.Struct, frozen=True, omit_defaults=True):
    """The reply to an envelope, with what the receiver had to say at once."""

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
class Answer:
    """The only answer to a `reserve`."""

    request_id: str
    outcome: Outcome[Reservation]


@dataclass(frozen=True, slots=True)
class SeatsLost:
    """After a pause, seats have to be claimed again."""

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
Action = Send | Answer | Event
