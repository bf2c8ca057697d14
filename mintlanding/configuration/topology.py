"""Who watches the platform and who passes announcements to whom; pure.

Every member works these out from the members it knows. Members that disagree
for a moment only cause a doubled or a missing message, which revisions and
anti-entropy make harmless.
"""

from collections.abc import Iterable, Sequence

import xxhash

from mintlanding.membership.models import Member, MemberState

WATCHERS_PER_ZONE = 2
FAN_OUT = 8


def rank_members(members: Iterable[Member], salt: str) -> list[Member]:
    """Order members by rendezvous hash."""

    def score(member: Member) -> tuple[int, str]:
        text = f'{salt}/{member.instance}'
        return xxhash.xxh64_intdigest(text.encode()), member.instance

    return sorted(members, key=score)


def live_members(members: Iterable[Member], zone: str) -> list[Member]:
    """Return the members of a zone that take part."""
    return [
        member
        for member in members
        if member.zone == zone and member.state is MemberState.live
    ]


def watch_ranking(members: Iterable[Member], zone: str) -> list[Member]:
    """Order the members of a zone by their claim to hold a watch."""
    return rank_members(live_members(members, zone), f'watch/{zone}')


def watchers(members: Iterable[Member], zone: str) -> list[Member]:
    """Return the members of a zone that hold a watch on the platform."""
    return watch_ranking(members, zone)[:WATCHERS_PER_ZONE]


def children(
    members: Iterable[Member],
    zone: str,
    origin: str,
    own: str,
    fan_out: int = FAN_OUT,
) -> list[Member]:
    """Return to whom a member passes what `origin` brought into the zone."""
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
    """Return the place in the tree; the origin is at 0."""
    if own == origin:
        return 0
    names = [member.instance for member in order]
    return names.index(own) + 1 if own in names else None
