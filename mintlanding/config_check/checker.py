"""Checks of a valid configuration, with all modules of checks loaded."""

from mintlanding.config_check import (
    limit_checks,
    route_checks,
    service_checks,
    workspace_checks,
)
from mintlanding.config_check.registry import run_config_checks

# Importing a module registers its checks.
CHECK_MODULES = (route_checks, service_checks, workspace_checks, limit_checks)

__all__ = ('CHECK_MODULES', 'run_config_checks')
