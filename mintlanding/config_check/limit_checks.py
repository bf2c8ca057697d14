"""Checks of the limits of messages."""

from collections.abc import Iterator

from mintlanding.config_check.models import Finding
from mintlanding.config_check.registry import CONFIG_CHECKS
from mintlanding.traffic.models import ServingConfig


@CONFIG_CHECKS.register('idle-below-header-timeout')
def check_idle_timeout(cfg: ServingConfig) -> Iterator[Finding]:
    """Find connections that may stay idle for less time than a head takes."""
    limits = cfg.limits
    if limits.idle_timeout < limits.header_timeout:
        yield Finding(
            'limits.idle_timeout',
            f'{limits.idle_timeout:g} s',
            f'below the timeout of a head, {limits.header_timeout:g} s',
            'raise the idle timeout, or lower the header timeout',
        )
