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
    """What an instance tells all members several times a second.

    `sent_at` is a time of the sender's own clock; who `asks_consent` wants it
    back, because its lease cannot be renewed. `admitted` counts tokens by
    workspace since the start, `levels` are those left of its cap. `in_use`
    are workers and adapters on which the sender's requests run.
    """

    instance: str
    boot: str
    sent_at: float
    asks_consent: bool = False
    digests: tuple[WorkerDigest, ...] = ()
    admitted: dict[str, float] = {}
    levels: dict[str, float] = {}
    in_use: tuple[tuple[str, str], ...] = ()
    is_leaving: bool = False


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
    Consent,
    StoreNews,
    AdmissionRequest,
    AdmissionReply,
    AdmissionEnd,
]
