"""What instances tell each other over their links."""

from typing import Union

import msgspec

from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionReply,
    AdmissionRequest,
    WorkerDigest,
)


class Hello(msgspec.Struct, frozen=True, tag=True):
    """The first word on a link; `proof` shows that the fleet's key is known.

    `boot` is drawn at each start of the process.
    """

    instance: str
    boot: str
    proof: str


class Status(msgspec.Struct, frozen=True, omit_defaults=True, tag=True):
    """What an instance tells all members several times a second.

    `sent_at` is a time of the sender's own clock; `heard` gives back to each
    member the last such time that came from it. `members` are those in the
    store at revision `members_as_of`. `admitted` counts tokens by workspace
    since the start.
    """

    instance: str
    boot: str
    sent_at: float
    heard: dict[str, float]
    members: tuple[str, ...] = ()
    members_as_of: int = 0
    digests: tuple[WorkerDigest, ...] = ()
    admitted: dict[str, float] = {}
    is_leaving: bool = False


Message = Union[
    Hello,
    Status,
    AdmissionRequest,
    AdmissionReply,
    AdmissionEnd,
]
