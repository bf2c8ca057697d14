"""Which members an instance sends its heartbeats to."""

import hashlib
from collections.abc import Callable, Iterable, Sequence

from mintlanding.membership.models import Member, MembershipOptions


def choose_neighbours(
    own: Member,
    others: Iterable[Member],
    options: MembershipOptions,
) -> dict[str, Member]:
    """Return the members to call, by instance.

    A small region is a full mesh. A large one is a ring with chords in each
    zone, joined by a few gateways; regions are joined by gateways alone.
    """
    members = [own, *others]
    region = [each for each in members if each.region == own.region]
    chosen: dict[str, Member] = {}
    if len(region) <= options.mesh_limit:
        chosen.update((each.instance, each) for each in region)
    else:
        chosen.update(_ring(own, region, options.fanout))
        chosen.update(_gateways(own, region, options.gateways, _zone))
    chosen.update(_gateways(own, members, options.gateways, _region))
    chosen.pop(own.instance, None)
    return chosen


def _zone(member: Member) -> str:
    return member.zone


def _region(member: Member) -> str:
    return member.region


def _ring(
    own: Member,
    members: Iterable[Member],
    fanout: int,
) -> dict[str, Member]:
    zone = _in_order((each for each in members if each.zone == own.zone), '')
    here = zone.index(own)
    size = len(zone)
    offsets = {round(size ** (step / fanout)) for step in range(fanout)}
    found = (zone[(here + offset) % size] for offset in offsets)
    return {each.instance: each for each in found}


def _gateways(
    own: Member,
    members: Sequence[Member],
    count: int,
    group: Callable[[Member], str],
) -> dict[str, Member]:
    groups: dict[str, list[Member]] = {}
    for member in members:
        groups.setdefault(group(member), []).append(member)
    home = groups.pop(group(own))
    chosen: dict[str, Member] = {}
    for name, far in groups.items():
        pair = '|'.join(sorted((name, group(own))))
        gateways = _in_order(home, pair)[:count]
        if own in gateways:
            partner = _in_order(far, pair)[gateways.index(own) % len(far)]
            chosen[partner.instance] = partner
    return chosen


def _in_order(members: Iterable[Member], salt: str) -> list[Member]:
    return sorted(members, key=lambda each: _rank(each.instance, salt))


def _rank(instance: str, salt: str) -> bytes:
    text = f'{salt}|{instance}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
