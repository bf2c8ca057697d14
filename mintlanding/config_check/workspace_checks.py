"""Checks of workspaces: their keys and quotas."""

import re
from collections.abc import Iterator

from mintlanding.config_check.models import Finding
from mintlanding.config_check.registry import CONFIG_CHECKS
from mintlanding.config_check.secrets import digest
from mintlanding.core.checks import Level
from mintlanding.traffic.models import ServingConfig, Workspace
from mintlanding.traffic.quotas import MIN_BURST_SECONDS

# Characters of a header field, as the server for callers accepts them.
_SENDABLE = re.compile('[\t\x20-\x7e\x80-\xff]+')


@CONFIG_CHECKS.register('key-shared')
def check_shared_keys(cfg: ServingConfig) -> Iterator[Finding]:
    """Find keys of several workspaces; requests are charged to only one."""
    holders: dict[str, list[str]] = {}
    for workspace in cfg.workspaces.values():
        for key in workspace.keys:
            holders.setdefault(key, []).append(workspace.name)
    for key, names in holders.items():
        if len(names) > 1:
            yield Finding(
                f'workspaces.{names[0]}.keys',
                f'digest {digest(key)}',
                f'held by {len(names)} workspaces: {", ".join(names)}',
                'withdraw the key from all workspaces but one',
                Level.error,
            )


@CONFIG_CHECKS.register('workspace-without-key')
def check_keys(cfg: ServingConfig) -> Iterator[Finding]:
    """Find workspaces whose requests cannot be recognized."""
    for workspace in cfg.workspaces.values():
        if not workspace.keys:
            yield Finding(
                f'workspaces.{workspace.name}.keys',
                '0 keys',
                'no request can be sent for the workspace',
                'add a key, or remove the workspace',
            )


@CONFIG_CHECKS.register('key-unusable')
def check_usable_keys(cfg: ServingConfig) -> Iterator[Finding]:
    """Find keys that no request can carry."""
    for workspace in cfg.workspaces.values():
        for key in sorted(workspace.keys):
            if _SENDABLE.fullmatch(key) and key == key.strip():
                continue
            yield Finding(
                f'workspaces.{workspace.name}.keys',
                f'digest {digest(key)}',
                'no request can carry the key: it begins or ends with white '
                'space, or has a character that no header field may have',
                'withdraw the key, and add one without such characters',
                Level.error,
            )


@CONFIG_CHECKS.register('private-routes-without-key')
def check_private_routes(cfg: ServingConfig) -> Iterator[Finding]:
    """Find private routes that refuse all requests, or none.

    Keys are checked only if there are workspaces.
    """
    private = [route.name for route in cfg.routes if not route.is_public]
    if not private or any(each.keys for each in cfg.workspaces.values()):
        return
    names = ', '.join(private)
    if cfg.workspaces:
        yield Finding(
            'workspaces',
            '0 keys',
            f'all requests are refused on the routes that are not public: '
            f'{names}',
            'add a key to a workspace, or make the routes public',
            Level.error,
        )
        return
    yield Finding(
        'workspaces',
        '0 workspaces',
        f'requests need no key on the routes that are not public: {names}',
        'add a workspace with a key, or make the routes public',
    )


@CONFIG_CHECKS.register('rate-above-burst')
def check_bursts(cfg: ServingConfig) -> Iterator[Finding]:
    """Find bursts that are missing or too small for the rate.

    Instances replace such a burst by the least one for the rate.
    """
    for workspace in _limited(cfg):
        least = workspace.rate * MIN_BURST_SECONDS
        if workspace.burst < least:
            yield Finding(
                f'workspaces.{workspace.name}.burst',
                f'{workspace.burst:g}',
                f'too small for the rate of {workspace.rate:g} per second; '
                f'instances use {least:g} instead',
                f'set a burst of at least {least:g}, or lower the rate',
            )


@CONFIG_CHECKS.register('burst-below-request')
def check_request_size(cfg: ServingConfig) -> Iterator[Finding]:
    """Find quotas whose burst does not hold one request.

    What counts is the burst that instances use, not a smaller one that is set.
    """
    for workspace in _limited(cfg):
        used = max(workspace.burst, workspace.rate * MIN_BURST_SECONDS)
        if used < workspace.plain_tokens:
            yield Finding(
                f'workspaces.{workspace.name}.burst',
                f'{workspace.burst:g}',
                f'below the charge of one request, {workspace.plain_tokens:g}',
                'raise the burst to the charge of a request or more',
            )


@CONFIG_CHECKS.register('burst-without-rate')
def check_rates(cfg: ServingConfig) -> Iterator[Finding]:
    """Find bursts without effect, as a rate of 0 means no quota."""
    for workspace in cfg.workspaces.values():
        if workspace.burst > 0 and workspace.rate <= 0:
            yield Finding(
                f'workspaces.{workspace.name}.rate',
                f'{workspace.rate:g}',
                f'no quota applies, although a burst of {workspace.burst:g} '
                'is set',
                'set a rate above 0, or remove the burst',
            )


@CONFIG_CHECKS.register('request-without-charge')
def check_charges(cfg: ServingConfig) -> Iterator[Finding]:
    """Find quotas of tokens that requests without tokens do not use up."""
    for workspace in _limited(cfg):
        if workspace.counts_tokens and workspace.plain_tokens <= 0:
            yield Finding(
                f'workspaces.{workspace.name}.plain_tokens',
                f'{workspace.plain_tokens:g}',
                'requests that declare no tokens are not charged to the quota',
                'set plain_tokens to the charge of such a request',
            )


def _limited(cfg: ServingConfig) -> Iterator[Workspace]:
    for workspace in cfg.workspaces.values():
        if workspace.rate > 0:
            yield workspace
