"""Checks of routes: what they match, where they lead, their times."""

import re
from collections import Counter
from collections.abc import Iterator

from mintlanding.config_check.models import Finding
from mintlanding.config_check.registry import CONFIG_CHECKS
from mintlanding.core.checks import Level
from mintlanding.traffic.homes import home_regions
from mintlanding.traffic.models import Route, RouteKind, ServingConfig
from mintlanding.traffic.routes import RouteTable

# Paths of which a request line may consist.
_PATH = re.compile('/[\x21-\x7e]*')


@CONFIG_CHECKS.register('route-never-matches')
def check_matches(cfg: ServingConfig) -> Iterator[Finding]:
    """Find routes that the product's own lookup never returns.

    A path begins with a slash and is looked up without its query, by prefixes
    that end with a slash; a host is looked up without its port. A request for
    exactly the route's prefix is the one that the route is most likely to take.
    The server refuses targets with other characters than visible ASCII ones,
    and takes a host without the white space around it.
    """
    table = RouteTable.from_config(cfg)
    for route in cfg.routes:
        path = route.prefix.partition('?')[0]
        found = table.find(route.host, path)
        is_sendable = _is_sendable(route.host, path)
        if not is_sendable or not _is_equal_match(route, found):
            yield _unmatchable(route)
        elif found is not None and found is not route:
            yield _shadowed(route, found)


@CONFIG_CHECKS.register('route-name-repeated')
def check_names(cfg: ServingConfig) -> Iterator[Finding]:
    """Find routes of the same name, which logs cannot tell apart."""
    counts = Counter(route.name for route in cfg.routes)
    for name, count in counts.items():
        if count > 1:
            yield Finding(
                _place(name),
                str(count),
                f'{count} routes have this name',
                'give each route a name of its own',
            )


@CONFIG_CHECKS.register('share-unknown-service')
def check_services_exist(cfg: ServingConfig) -> Iterator[Finding]:
    """Find shares of services that the configuration does not have."""
    for route in cfg.routes:
        total = sum(weight for _, weight in route.shares)
        for position, (service, weight) in enumerate(route.shares):
            if service in cfg.services:
                continue
            # Without any weight, the first service gets all requests.
            is_used = weight > 0 or (total <= 0 and position == 0)
            effect = 'requests are sent to a service that does not exist'
            if not is_used:
                effect = 'the service does not exist, and gets no requests yet'
            yield Finding(
                _place(route.name, 'shares'),
                service or '(no name)',
                effect,
                'add the service, or name one that exists',
                Level.error if is_used else Level.warning,
            )


@CONFIG_CHECKS.register('share-without-weight')
def check_weights(cfg: ServingConfig) -> Iterator[Finding]:
    """Find shares of weight 0."""
    for route in cfg.routes:
        total = sum(weight for _, weight in route.shares)
        effect = 'the service gets no requests of this route'
        if total <= 0:
            effect = 'no share has a weight; the first gets all requests'
        for service, weight in route.shares:
            if weight <= 0:
                yield Finding(
                    _place(route.name, 'shares'),
                    f'{service}={weight:g}',
                    effect,
                    'set a weight above 0, or remove the share',
                )


@CONFIG_CHECKS.register('timeout-below-objective')
def check_objectives(cfg: ServingConfig) -> Iterator[Finding]:
    """Find requests that time out before they can miss their objective."""
    for route in cfg.routes:
        if route.timeout < route.objective:
            yield Finding(
                _place(route.name, 'timeout'),
                _seconds(route.timeout),
                f'below the latency objective, {_seconds(route.objective)}',
                'raise the timeout, or lower the objective',
            )


@CONFIG_CHECKS.register('event-gap-above-timeout')
def check_event_gaps(cfg: ServingConfig) -> Iterator[Finding]:
    """Find objectives of pauses that no stream can miss."""
    for route in cfg.routes:
        if route.event_gap > route.timeout:
            yield Finding(
                _place(route.name, 'event_gap'),
                _seconds(route.event_gap),
                f'above the timeout of the route, {_seconds(route.timeout)}',
                'lower the event gap, or raise the timeout',
            )


@CONFIG_CHECKS.register('stream-option-without-stream')
def check_stream_options(cfg: ServingConfig) -> Iterator[Finding]:
    """Find options of streams on routes of other kinds."""
    for route in cfg.routes:
        if route.kind is RouteKind.stream:
            continue
        for name in ('event_gap', 'is_resumable'):
            if getattr(route, name):
                yield Finding(
                    _place(route.name, name),
                    str(getattr(route, name)),
                    f'only streams have this, the kind is {route.kind}',
                    'remove the option, or change the kind to stream',
                )


@CONFIG_CHECKS.register('regions-without-overlap')
def check_regions(cfg: ServingConfig) -> Iterator[Finding]:
    """Find routes whose regions exclude those of all workspaces.

    Requests run only in regions that both the route and the workspace allow.
    Routes for some of the workspaces may be intended.
    """
    workspaces = [each for each in cfg.workspaces.values() if each.keys]
    for route in cfg.routes:
        if route.is_public or not workspaces:
            continue
        homes = [home_regions(route, each) for each in workspaces]
        if any(each is None or each for each in homes):
            continue
        yield Finding(
            _place(route.name, 'regions'),
            ', '.join(sorted(route.regions)),
            'no workspace allows any of these regions, so that all requests '
            'are refused',
            'allow a common region in the route and in a workspace',
            Level.error,
        )


@CONFIG_CHECKS.register('attempts-without-retries')
def check_attempts(cfg: ServingConfig) -> Iterator[Finding]:
    """Find attempts on routes whose requests must run only once."""
    for route in cfg.routes:
        if route.attempts > 1 and not route.is_idempotent:
            yield Finding(
                _place(route.name, 'attempts'),
                str(route.attempts),
                'requests of this route must not run more than once',
                'set attempts to 1, or make the route safe or resumable',
            )


def _is_sendable(host: str, path: str) -> bool:
    """Return whether a request can have such a host and path."""
    return _PATH.fullmatch(path) is not None and host == host.strip()


def _is_equal_match(route: Route, found: Route | None) -> bool:
    """Return whether a lookup found the route or one that shadows it."""
    if found is None:
        return False
    return (found.host, found.prefix) == (route.host, route.prefix)


def _unmatchable(route: Route) -> Finding:
    return Finding(
        _place(route.name, 'prefix'),
        f'host {route.host!r}, prefix {route.prefix!r}',
        'no request can match the route',
        'write the host without a port and white space, and a prefix that '
        'begins and ends with a slash, has no query, and has white space and '
        'characters beyond ASCII percent-encoded',
        Level.error,
    )


def _shadowed(route: Route, winner: Route) -> Finding:
    return Finding(
        _place(route.name, 'prefix'),
        f'host {route.host!r}, prefix {route.prefix!r}',
        f'route {winner.name!r} takes all requests: same host and prefix',
        'remove one of the two routes, or change its prefix',
        Level.error,
    )


def _place(name: str, field: str = '') -> str:
    return f'routes.{name}.{field}' if field else f'routes.{name}'


def _seconds(seconds: float) -> str:
    return f'{seconds:g} s'
