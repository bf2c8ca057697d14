"""Messages that distribute the configuration between agents."""

import msgspec

from mintlanding.configuration.models import Delta
from mintlanding.peers.messages import Method


class Announcement(msgspec.Struct, frozen=True, omit_defaults=True):
    """A new revision, with its changes unless they are large.

    `origin` is the member that brought the revision into this zone; each
    member forwards the announcement to its children in the tree rooted at
    `origin`.
    """

    origin: str
    revision: int
    delta: Delta | None = None


class AnnounceReply(msgspec.Struct, frozen=True):
    """The receiver's revision after it handled an announcement."""

    revision: int


class FetchRequest(msgspec.Struct, frozen=True):
    """A request for all changes after a revision; 0 requests a snapshot."""

    after: int


class DeltaPart(msgspec.Struct, frozen=True):
    """One part of a delta; `content` is compressed MessagePack of changes."""

    base: int
    revision: int
    number: int
    total: int
    content: bytes


ANNOUNCE = Method('configuration', 'Announce', Announcement, AnnounceReply)
FETCH = Method(
    'configuration',
    'Fetch',
    FetchRequest,
    DeltaPart,
    streaming=True,
)
