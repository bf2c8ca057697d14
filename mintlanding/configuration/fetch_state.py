"""Which peer to fetch missing revisions from; one fetch at a time."""

import random
from collections.abc import Mapping

from mintlanding.membership.models import Member, MemberState

FETCH_SECONDS = 5
AVOID_SECONDS = 0.5
_USABLE = frozenset((MemberState.live, MemberState.leaving))


class FetchState:
    """Revisions that peers were heard to hold, and the fetch under way."""

    def __init__(self, zone: str, rng: random.Random, now: float) -> None:
        """Start without any knowledge."""
        self._zone = zone
        self._rng = rng
        self._heard: dict[str, int] = {}
        self._avoid_until: dict[str, float] = {}
        self._peer = ''
        self._expires_at = now
        self._known = 0
        self._failed: set[str] = set()

    def note(self, peer: str, revision: int) -> None:
        """Note the highest revision that a peer was heard to hold."""
        self._heard[peer] = max(revision, self._heard.get(peer, 0))

    def answered(self, peer: str, revision: int, now: float) -> None:
        """Note what a peer really holds; a restarted one may have lost it."""
        before = self._heard.get(peer, 0)
        self._heard[peer] = revision
        self.end(peer, now, is_useful=bool(revision) and revision >= before)

    def keep_members(self, members: Mapping[str, Member]) -> None:
        """Forget who is no member."""
        self._known = len(members)
        for memory in (self._heard, self._avoid_until):
            for gone in memory.keys() - members.keys():
                memory.pop(gone)
        self._failed &= members.keys()

    def next_peer(
        self,
        members: Mapping[str, Member],
        revision: int,
        now: float,
    ) -> Member | None:
        """Choose whom to ask; nothing when not due or nobody is ahead.

        A node without any configuration asks also those it heard nothing of.
        """
        if self._peer:
            return None
        ahead = [
            member
            for name, member in members.items()
            if self._is_worth_asking(member, revision)
            and self._avoid_until.get(name, now) <= now
        ]
        near = [member for member in ahead if member.zone == self._zone]
        if not ahead:
            return None
        peer = self._rng.choice(near or ahead)
        self._peer = peer.instance
        self._expires_at = now + FETCH_SECONDS
        return peer

    def end(self, peer: str, now: float, *, is_useful: bool) -> None:
        """Note an answer or its lack; do not ask a useless peer at once."""
        if peer == self._peer:
            self._peer = ''
        if is_useful:
            self._failed.discard(peer)
            return
        self._failed.add(peer)
        self._avoid_until[peer] = now + AVOID_SECONDS

    def expire(self, now: float) -> None:
        """Give up a fetch that takes too long."""
        if self._peer and now >= self._expires_at:
            self.end(self._peer, now, is_useful=False)

    def describe(self) -> str:
        """Say how the peers answer."""
        return (
            f'{self._known} peers known, '
            f'{len(self._failed)} of them had none or did not answer'
        )

    def _is_worth_asking(self, member: Member, revision: int) -> bool:
        if member.state not in _USABLE:
            return False
        return not revision or self._heard.get(member.instance, 0) > revision
