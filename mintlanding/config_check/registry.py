"""Registry of the checks of a valid configuration."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from mintlanding.config_check.models import Finding
from mintlanding.core.registry import Registry
from mintlanding.traffic.models import ServingConfig

ConfigCheck = Callable[[ServingConfig], Iterable[Finding]]
CONFIG_CHECKS: Registry[ConfigCheck] = Registry('configuration check')


def run_config_checks(cfg: ServingConfig) -> list[Finding]:
    """Return the findings of all checks, in order of registration."""
    return [
        replace(finding, check=name)
        for name, check in CONFIG_CHECKS
        for finding in check(cfg)
    ]
