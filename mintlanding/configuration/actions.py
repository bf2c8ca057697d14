"""What a distribution node asks its process to do."""

from dataclasses import dataclass

from mintlanding.configuration.messages import Announcement
from mintlanding.configuration.models import Change
from mintlanding.membership.models import Member


@dataclass(frozen=True, slots=True)
class Watch:
    """Wait on the platform for changes after a revision, once.

    Answer with `watch_result` or `watch_failed`.
    """

    after: int
    seconds: float


@dataclass(frozen=True, slots=True)
class StopWatch:
    """Give up the waiting call; other members hold the watch."""


@dataclass(frozen=True, slots=True)
class FetchDelta:
    """Ask a peer for all changes after a revision.

    Answer with `fetched` or `fetch_failed`.
    """

    peer: Member
    after: int


@dataclass(frozen=True, slots=True)
class Announce:
    """Send an announcement to peers.

    Their replies go to `peer_revision_seen`.
    """

    peers: tuple[Member, ...]
    message: Announcement


@dataclass(frozen=True, slots=True)
class RevisionApplied:
    """A higher revision is in force here; pass its changes on locally."""

    revision: int
    changes: tuple[Change, ...]


Action = Watch | StopWatch | FetchDelta | Announce | RevisionApplied
