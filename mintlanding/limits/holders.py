"""Choice of the holder of each workspace's bucket by rendezvous hashing.

In a small fleet all instances lend their seats to one holder. In a large one
they lend to the holder of their availability zone. One zone is chosen for each
workspace; the holders of the other zones lend to the holder of that zone.
"""

from collections.abc import Iterable, Sequence

import xxhash

from mintlanding.membership.models import Member, MemberState


def rendezvous(subject: str, names: Iterable[str]) -> str:
    """Return the name with the highest weight; '' if there are no names."""
    return max(
        names,
        key=lambda name: (_weight(subject, name), name),
        default='',
    )


def _weight(subject: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{subject}\0{name}'.encode())


class HolderView:
    """Holders of buckets, as chosen from one instance's view of members."""

    def __init__(self, instance: str, zone: str, flat_members: int) -> None:
        """Start with this instance as the only member."""
        self.instance = instance
        self.zone = zone
        self._flat_members = flat_members
        self._zones: dict[str, tuple[str, ...]] = {}
        self._holders: dict[str, str] = {}
        self._holder_zones: dict[str, str] = {}
        self._zone_holders: dict[tuple[str, str], str] = {}
        self._is_leaving = False
        self.is_flat = True
        self.rebalanced_at = 0.0
        self._excluded: dict[str, int] = {}
        self._members: Sequence[Member] = ()
        self.live: frozenset[str] = frozenset()
        self.observe(())

    def observe(self, members: Sequence[Member]) -> bool:
        """Update the members; return whether holders may have changed."""
        self._members = members
        present = {each.instance: each.incarnation for each in members}
        self._excluded = {
            name: incarnation
            for name, incarnation in self._excluded.items()
            if present.get(name, incarnation + 1) <= incarnation
        }
        live = {
            each.instance: each.zone
            for each in members
            if each.state is MemberState.live
            and each.instance not in self._excluded
        }
        live.pop(self.instance, None)
        if not self._is_leaving:
            live[self.instance] = self.zone
        zones: dict[str, list[str]] = {}
        for instance in sorted(live):
            zones.setdefault(live[instance], []).append(instance)
        fresh = {zone: tuple(names) for zone, names in zones.items()}
        if fresh == self._zones:
            return False
        self._replace_zones(fresh)
        self.is_flat = len(live) <= self._flat_members
        return True

    def exclude(self, instance: str, incarnation: int) -> bool:
        """Stop choosing a process that announced that it is leaving."""
        self._excluded[instance] = incarnation
        return self.observe(self._members)

    def leave(self) -> None:
        """Stop choosing this instance."""
        self._is_leaving = True
        others = {
            zone: tuple(each for each in names if each != self.instance)
            for zone, names in self._zones.items()
        }
        self._replace_zones({zone: ids for zone, ids in others.items() if ids})

    def holder(self, workspace: str) -> str:
        """Return the holder of the workspace's bucket."""
        if workspace not in self._holders:
            self._holders[workspace] = self._choose(workspace)
        return self._holders[workspace]

    def zone_holder(self, workspace: str, zone: str) -> str:
        """Return the instance that holds the workspace's seats in a zone."""
        key = (workspace, zone)
        if key not in self._zone_holders:
            names = self._zones.get(zone, ())
            self._zone_holders[key] = rendezvous(workspace, names)
        return self._zone_holders[key]

    def parent(self, workspace: str) -> str:
        """Return the instance that this one lends to; '' if there is none."""
        holder = self.holder(workspace)
        if holder == self.instance:
            return ''
        if self.is_flat:
            return holder
        zone_holder = self.zone_holder(workspace, self.zone)
        return holder if zone_holder in {self.instance, ''} else zone_holder

    def is_zone_holder(self, workspace: str) -> bool:
        """Return whether this instance borrows seats of the workspace."""
        if self.is_flat:
            return self.holder(workspace) == self.instance
        return self.zone_holder(workspace, self.zone) == self.instance

    def other_zone_holders(self, workspace: str) -> list[str]:
        """Return the holders of other zones that lend to this instance."""
        if self.is_flat or self.holder(workspace) != self.instance:
            return []
        others = (zone for zone in self._zones if zone != self.zone)
        return [self.zone_holder(workspace, zone) for zone in others]

    def neighbours(self) -> list[str]:
        """Return the instances that may lend to this one directly."""
        if self.is_flat:
            return sorted(self.live - {self.instance})
        return self.zone_peers()

    def zone_peers(self) -> list[str]:
        """Return the other live instances of the zone."""
        names = self._zones.get(self.zone, ())
        return [each for each in names if each != self.instance]

    def _choose(self, workspace: str) -> str:
        if self.is_flat:
            return rendezvous(workspace, self.live)
        if workspace not in self._holder_zones:
            zone = rendezvous(workspace, self._zones)
            self._holder_zones[workspace] = zone
        return self.zone_holder(workspace, self._holder_zones[workspace])

    def _replace_zones(self, fresh: dict[str, tuple[str, ...]]) -> None:
        """Replace the zones; drop only the cached choices that may change."""
        changed = {
            zone
            for zone in self._zones.keys() | fresh.keys()
            if self._zones.get(zone) != fresh.get(zone)
        }
        if self._zones.keys() != fresh.keys():
            self._holder_zones.clear()
        for key in [each for each in self._zone_holders if each[1] in changed]:
            self._zone_holders.pop(key)
        self._holders.clear()
        self._zones = fresh
        self.live = frozenset(
            instance for names in fresh.values() for instance in names
        )
