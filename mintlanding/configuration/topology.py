"""Choose who watches the platform and who forwards announcements to whom.

Every member computes this from the members that it knows. While their views
differ, announcements may be duplicated or missing, which is harmless: revisions
make them idempotent and anti-entropy repairs gaps.
"""

from collections.abc import Iterable, Sequence

import xxhash

from mintlanding.membership.models import Member, MemberState

WATCHERS_PER_ZONE = 2
FAN_OUT = 8


def rank_members(members: Iterable[Member], salt: str) -> list[Member]:
    """Return the members sorted by rendezvous hash."""

    def score(member: Member) -> tuple[int, str]:
        text = f'{salt}/{member.instance}'
        return xxhash.xxh64_intdigest(text.encode()), member.instance

    return sorted(members, key=score)


def live_members(members: Iterable[Member], zone: str) -> list[Member]:
    """Return the live members of a zone."""
    return [
        member
        for member in members
        if member.zone == zone and member.state is MemberState.live
    ]


def rank_watchers(members: Iterable[Member], zone: str) -> list[Member]:
    """Return the live members of a zone in order of priority for a watch."""
    return rank_members(live_members(members, zone), f'watch/{zone}')


def watchers(members: Iterable[Member], zone: str) -> list[Member]:
    """Return the members of a zone that watch the platform."""
    return rank_watchers(members, zone)[:WATCHERS_PER_ZONE]


def children(
    members: Iterable[Member],
    zone: str,
    origin: str,
    own: str,
    fan_out: int = FAN_OUT,
) -> list[Member]:
    """Return the children of a member in the tree rooted at `origin`."""
    ranked = rank_members(live_members(members, zone), f'tree/{origin}')
    order = [member for member in ranked if member.instance != origin]
    position = _position(order, origin, own)
    if position is None:
        return []
    start = position * fan_out
    return order[start : start + fan_out]


def other_zones(members: Sequence[Member], zone: str) -> list[str]:
    """Return the other zones that have members."""
    return sorted({member.zone for member in members} - {zone})


def _position(order: list[Member], origin: str, own: str) -> int | None:
    """Return the position in the tree; the origin is at 0."""
    if own == origin:
        return 0
    names = [member.instance for member in order]
    return names.index(own) + 1 if own in names else None
