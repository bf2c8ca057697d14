"""Find a route by host and longest prefix, and a workspace by key."""

import random
from typing import Self

from mintlanding.traffic.models import Route, ServingConfig, Workspace

_SLASH = '/'


class RouteTable:
    """Routes of one configuration.

    A lookup costs one step for each segment of the path, whatever the number
    of routes.
    """

    def __init__(self, routes: dict[tuple[str, str], Route]) -> None:
        """Take the routes by host and prefix."""
        self._routes = routes

    @classmethod
    def from_config(cls, cfg: ServingConfig) -> Self:
        """Index the routes of a configuration."""
        return cls({(each.host, each.prefix): each for each in cfg.routes})

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        name = _without_port(host).lower()
        end = path.rfind(_SLASH)
        while end >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind(_SLASH, 0, end)
        return None


class KeyTable:
    """Workspaces by key."""

    def __init__(self, holders: dict[str, Workspace]) -> None:
        """Take the workspace of each key."""
        self._holders = holders

    @classmethod
    def from_config(cls, cfg: ServingConfig) -> Self:
        """Index the keys of a configuration."""
        return cls(
            {
                key: workspace
                for workspace in cfg.workspaces.values()
                for key in workspace.keys
            },
        )

    def find(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key."""
        return self._holders.get(key)


def choose_service(route: Route, rnd: random.Random) -> str:
    """Return a service of the route, by weight."""
    if len(route.shares) == 1:
        return route.shares[0][0]
    names = [name for name, _ in route.shares]
    weights = [weight for _, weight in route.shares]
    if sum(weights) <= 0:
        return names[0]
    return rnd.choices(names, weights)[0]


def _without_port(host: str) -> str:
    name, _, _ = host.partition(':')
    return name
