"""Home regions: where requests of a route or a workspace may run."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from mintlanding.traffic.models import Route, Workspace

# Regions in which a request may run, None for all.
Homes = frozenset[str] | None
# Regions by availability zone.
Regions = Mapping[str, str]


def home_regions(route: Route, workspace: Workspace | None) -> Homes:
    """Return the regions in which a request may run, None for all.

    Where the route and the workspace both name regions, both bind.
    """
    lists = [route.regions]
    if workspace is not None:
        lists.append(workspace.regions)
    named = [each for each in lists if each]
    if not named:
        return None
    return frozenset.intersection(*named)


@dataclass(frozen=True, slots=True)
class RegionMap:
    """The region of each zone, and that of this instance."""

    own: str = ''
    by_zone: Regions = field(default_factory=dict)

    def allows_target(self, zone: str, homes: Homes) -> bool:
        """Return whether a request may run in a zone.

        A zone of unknown region is in no home.
        """
        return homes is None or self.by_zone.get(zone, '') in homes

    def allows_member(self, zone: str, homes: Homes) -> bool:
        """Return whether the body of a request may go to a member in a zone.

        It has already come to the region of this instance.
        """
        region = self.by_zone.get(zone, '')
        if homes is not None and region and region == self.own:
            return True
        return self.allows_target(zone, homes)
