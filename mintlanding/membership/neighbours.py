"""Choice of the members to which an instance sends heartbeats."""

import hashlib
from collections.abc import Callable, Iterable, Sequence

from mintlanding.membership.models import Member, MembershipOptions


def choose_neighbours(
    own: Member,
    others: Iterable[Member],
    options: MembershipOptions,
) -> dict[str, Member]:
    """Return the members to call, by instance.

    A small region is a full mesh. In a large one each zone is a ring with
    chords and zones are connected by gateways. Regions are connected by
    gateways only.
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
    position = zone.index(own)
    size = len(zone)
    offsets = {round(size ** (step / fanout)) for step in range(fanout)}
    found = (zone[(position + offset) % size] for offset in offsets)
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
    own_group = groups.pop(group(own))
    chosen: dict[str, Member] = {}
    for name, partners in groups.items():
        pair = '|'.join(sorted((name, group(own))))
        gateways = _in_order(own_group, pair)[:count]
        if own in gateways:
            partner = _in_order(partners, pair)[
                gateways.index(own) % len(partners)
            ]
            chosen[partner.instance] = partner
    return chosen


def _in_order(members: Iterable[Member], salt: str) -> list[Member]:
    return sorted(members, key=lambda each: _rank(each.instance, salt))


def _rank(instance: str, salt: str) -> bytes:
    text = f'{salt}|{instance}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
