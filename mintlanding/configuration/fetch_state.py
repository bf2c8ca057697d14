"""Choose the peer to fetch missing revisions from, one fetch at a time."""

import random
from collections.abc import Mapping

from mintlanding.membership.models import Member, MemberState

FETCH_SECONDS = 5
AVOID_SECONDS = 0.5
_USABLE = frozenset((MemberState.live, MemberState.leaving))


class FetchState:
    """The known revisions of peers and the fetch in progress."""

    def __init__(self, zone: str, rng: random.Random, now: float) -> None:
        """Start without known peers."""
        self._zone = zone
        self._rng = rng
        self._revisions: dict[str, int] = {}
        self._avoid_until: dict[str, float] = {}
        self._peer = ''
        self._expires_at = now
        self._known_count = 0
        self._failed: set[str] = set()

    def record_revision(self, peer: str, revision: int) -> None:
        """Record the highest revision known of a peer."""
        self._revisions[peer] = max(revision, self._revisions.get(peer, 0))

    def record_reply(self, peer: str, revision: int, now: float) -> None:
        """Record the revision of a peer's reply.

        It may be lower than the known one if the peer has restarted.
        """
        before = self._revisions.get(peer, 0)
        self._revisions[peer] = revision
        self.end(peer, now, is_useful=bool(revision) and revision >= before)

    def update_members(self, members: Mapping[str, Member]) -> None:
        """Forget peers that are no longer members."""
        self._known_count = len(members)
        for by_peer in (self._revisions, self._avoid_until):
            for departed in by_peer.keys() - members.keys():
                by_peer.pop(departed)
        self._failed &= members.keys()

    def next_peer(
        self,
        members: Mapping[str, Member],
        revision: int,
        now: float,
    ) -> Member | None:
        """Choose a peer to fetch from, preferably in this zone.

        Return None while a fetch is in progress or no peer is known to have a
        higher revision. A node without a configuration also chooses peers of
        unknown revision.
        """
        if self._peer:
            return None
        ahead = [
            member
            for name, member in members.items()
            if self._may_be_ahead(member, revision)
            and self._avoid_until.get(name, now) <= now
        ]
        same_zone = [member for member in ahead if member.zone == self._zone]
        if not ahead:
            return None
        peer = self._rng.choice(same_zone or ahead)
        self._peer = peer.instance
        self._expires_at = now + FETCH_SECONDS
        return peer

    def end(self, peer: str, now: float, *, is_useful: bool) -> None:
        """End a fetch; avoid a peer that was of no use for a while."""
        if peer == self._peer:
            self._peer = ''
        if is_useful:
            self._failed.discard(peer)
            return
        self._failed.add(peer)
        self._avoid_until[peer] = now + AVOID_SECONDS

    def expire(self, now: float) -> None:
        """Abandon a fetch that takes too long."""
        if self._peer and now >= self._expires_at:
            self.end(self._peer, now, is_useful=False)

    def describe(self) -> str:
        """Return a sentence on the state of the peers."""
        return (
            f'{self._known_count} peers known, '
            f'{len(self._failed)} of them had none or did not answer'
        )

    def _may_be_ahead(self, member: Member, revision: int) -> bool:
        if member.state not in _USABLE:
            return False
        return (
            not revision or self._revisions.get(member.instance, 0) > revision
        )
