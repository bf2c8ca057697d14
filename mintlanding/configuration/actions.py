"""Actions that a distribution node returns for its process to execute."""

from dataclasses import dataclass

from mintlanding.configuration.messages import Announcement
from mintlanding.configuration.models import Change
from mintlanding.membership.models import Member


@dataclass(frozen=True, slots=True)
class Watch:
    """Long-poll the platform once for changes after a revision.

    Report back with `watch_result` or `watch_failed`.
    """

    after: int
    seconds: float


@dataclass(frozen=True, slots=True)
class StopWatch:
    """Cancel the long poll; other members watch the platform."""


@dataclass(frozen=True, slots=True)
class FetchDelta:
    """Fetch all changes after a revision from a peer.

    Report back with `fetched` or `fetch_failed`.
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
    """A higher revision was applied here; publish its changes locally."""

    revision: int
    changes: tuple[Change, ...]


Action = Watch | StopWatch | FetchDelta | Announce | RevisionApplied
