"""Choice of the holder of each workspace's bucket by rendezvous hashing.

In a small fleet all lend to one holder. In a large one the instances of a
zone lend to the zone's holder, and the holders of the zones lend to the one
of the zone that is chosen for the workspace.
"""

from collections.abc import Iterable, Sequence

import xxhash

from mintlanding.membership.models import Member, MemberState


def rendezvous(subject: str, names: Iterable[str]) -> str:
    """Return the name that weighs most for the subject; '' without names."""
    return max(
        names,
        key=lambda name: (_weight(subject, name), name),
        default='',
    )


def _weight(subject: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{subject}\0{name}'.encode())


class HolderView:
    """Holders by one instance's view of the live members."""

    def __init__(self, instance: str, zone: str, flat_members: int) -> None:
        """Begin alone."""
        self.instance = instance
        self.zone = zone
        self._flat_members = flat_members
        self._zones: dict[str, tuple[str, ...]] = {}
        self._roots: dict[str, str] = {}
        self._root_zones: dict[str, str] = {}
        self._heads: dict[tuple[str, str], str] = {}
        self._is_leaving = False
        self.is_flat = True
        self.moved_at = 0.0
        self._excluded: dict[str, int] = {}
        self._members: Sequence[Member] = ()
        self.live: frozenset[str] = frozenset()
        self.observe(())

    def observe(self, members: Sequence[Member]) -> bool:
        """Take a new list; return whether the choice may have changed."""
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
        """Choose a process no more that has said that it leaves."""
        self._excluded[instance] = incarnation
        return self.observe(self._members)

    def leave(self) -> None:
        """Choose this instance no more."""
        self._is_leaving = True
        others = {
            zone: tuple(each for each in names if each != self.instance)
            for zone, names in self._zones.items()
        }
        self._replace_zones({zone: ids for zone, ids in others.items() if ids})

    def holder(self, workspace: str) -> str:
        """Return the holder of the workspace's bucket."""
        if workspace not in self._roots:
            self._roots[workspace] = self._choose(workspace)
        return self._roots[workspace]

    def head(self, workspace: str, zone: str) -> str:
        """Return the holder of one zone's shares of the workspace."""
        key = (workspace, zone)
        if key not in self._heads:
            names = self._zones.get(zone, ())
            self._heads[key] = rendezvous(workspace, names)
        return self._heads[key]

    def parent(self, workspace: str) -> str:
        """Return whom this instance lends to; '' if nobody."""
        root = self.holder(workspace)
        if root == self.instance:
            return ''
        if self.is_flat:
            return root
        head = self.head(workspace, self.zone)
        return root if head in {self.instance, ''} else head

    def is_head(self, workspace: str) -> bool:
        """Tell whether this instance borrows for the workspace."""
        if self.is_flat:
            return self.holder(workspace) == self.instance
        return self.head(workspace, self.zone) == self.instance

    def other_heads(self, workspace: str) -> list[str]:
        """List the other zones' holders that lend to this instance."""
        if self.is_flat or self.holder(workspace) != self.instance:
            return []
        others = (zone for zone in self._zones if zone != self.zone)
        return [self.head(workspace, zone) for zone in others]

    def neighbours(self) -> list[str]:
        """List the others that may lend to this instance directly."""
        if self.is_flat:
            return sorted(self.live - {self.instance})
        return self.zone_peers()

    def zone_peers(self) -> list[str]:
        """List the other live instances of the zone."""
        names = self._zones.get(self.zone, ())
        return [each for each in names if each != self.instance]

    def _choose(self, workspace: str) -> str:
        if self.is_flat:
            return rendezvous(workspace, self.live)
        if workspace not in self._root_zones:
            zone = rendezvous(workspace, self._zones)
            self._root_zones[workspace] = zone
        return self.head(workspace, self._root_zones[workspace])

    def _replace_zones(self, fresh: dict[str, tuple[str, ...]]) -> None:
        """Forget only the choices that the change may touch."""
        changed = {
            zone
            for zone in self._zones.keys() | fresh.keys()
            if self._zones.get(zone) != fresh.get(zone)
        }
        if self._zones.keys() != fresh.keys():
            self._root_zones.clear()
        for key in [each for each in self._heads if each[1] in changed]:
            self._heads.pop(key)
        self._roots.clear()
        self._zones = fresh
        self.live = frozenset(
            instance for names in fresh.values() for instance in names
        )
