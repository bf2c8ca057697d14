"""Messages that spread the configuration between agents."""

import msgspec

from mintlanding.configuration.models import Delta
from mintlanding.peers.messages import Method


class Announcement(msgspec.Struct, frozen=True, omit_defaults=True):
    """A new revision, with its changes unless they are large.

    `origin` is the member of this zone that brought the revision in; each
    member passes the announcement on to its children in the tree of `origin`.
    """

    origin: str
    revision: int
    delta: Delta | None = None


class AnnounceReply(msgspec.Struct, frozen=True):
    """The revision held after taking an announcement."""

    revision: int


class FetchRequest(msgspec.Struct, frozen=True):
    """A wish for all changes after a revision; 0 asks for everything."""

    after: int


class DeltaPart(msgspec.Struct, frozen=True):
    """One part of a delta; `content` holds packed and compressed changes."""

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
