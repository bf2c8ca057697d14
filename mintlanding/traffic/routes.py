"""Lookup of routes by host and longest prefix, and of workspaces by key."""

import random
from typing import Self

from mintlanding.traffic.models import Route, ServingConfig, Workspace

_SLASH = '/'


class RouteTable:
    """Routes of one configuration.

    The cost of a lookup grows with the segments of the path, not with the
    number of routes.
    """

    def __init__(self, routes: dict[tuple[str, str], Route]) -> None:
        """Take the routes by host and prefix."""
        self._routes = routes

    @classmethod
    def from_config(cls, cfg: ServingConfig) -> Self:
        """Index the routes of a configuration."""
        return cls({(each.host, each.prefix): each for each in cfg.routes})

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any."""
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

    def __init__(self, workspaces: dict[str, Workspace]) -> None:
        """Take the workspaces by key."""
        self._workspaces = workspaces

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
        """Return the workspace that a key belongs to, if any."""
        return self._workspaces.get(key)


def choose_service(route: Route, rnd: random.Random) -> str:
    """Return a random service of the route, by weight."""
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
