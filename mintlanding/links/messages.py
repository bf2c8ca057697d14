"""What instances tell each other over their links."""

from typing import Union

import msgspec

from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionReply,
    AdmissionRequest,
    WorkerDigest,
)


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The first word on a link; `proof` shows that the fleet's key is known.

    `boot` is drawn at each start of the process.
    """

    instance: str
    boot: str
    proof: str


class Status(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What an instance tells all members, or its hub, several times a second.

    `sent_at` is a time of the sender's own clock; who `asks_consent` wants it
    back, because its lease cannot be renewed. `admitted` counts tokens by
    workspace since the start, `levels` are those left of its cap.
    """

    instance: str
    boot: str
    sent_at: float
    asks_consent: bool = False
    digests: tuple[WorkerDigest, ...] = ()
    admitted: dict[str, float] = {}
    levels: dict[str, float] = {}
    is_leaving: bool = False


class MemberWord(msgspec.Struct, frozen=True, array_like=True):
    """That a hub has heard a member, as the member's status said."""

    instance: str
    boot: str
    sent_at: float
    asks_consent: bool = False


class ZoneWord(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What the members of a zone told their hub, put together.

    `admitted` is the sum over the zone, of all processes that ever were;
    `levels` is the mean.
    """

    zone: str
    hub: str
    hub_boot: str
    sent_at: float
    members: tuple[MemberWord, ...] = ()
    digests: tuple[tuple[str, WorkerDigest], ...] = ()
    admitted: dict[str, float] = {}
    levels: dict[str, float] = {}


class UseReport(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Workers and adapters on which requests of an instance run.

    Only those that the holder's present process has not granted itself.
    """

    instance: str
    in_use: tuple[tuple[str, str], ...] = ()


class Consent(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A member has heard what was told at a time of the asker's clock."""

    told_at: float


class StoreChange(msgspec.Struct, frozen=True, array_like=True):
    """A key that was written, or removed."""

    key: str
    revision: int
    content: bytes = b''
    lease: int = 0
    is_removed: bool = False


class StoreNews(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Changes of the store after a revision, up to another."""

    after: int
    as_of: int
    changes: tuple[StoreChange, ...] = ()


Message = Union[
    Hello,
    Status,
    ZoneWord,
    UseReport,
    Consent,
    StoreNews,
    AdmissionRequest,
    AdmissionReply,
    AdmissionEnd,
]
