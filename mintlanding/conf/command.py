"""Run a binary with a settings file."""

import sys
from collections.abc import Callable

from mintlanding.conf.loader import load_settings
from mintlanding.conf.models import InstanceSettings
from mintlanding.core.application import Application, run_application
from mintlanding.core.exceptions import ConfigurationError

EXIT_FAILED = 1
EXIT_SETTINGS = 2


def run_binary(
    path: str,
    build: Callable[[InstanceSettings], Application],
) -> None:
    """Run until stopped; exit 2 for invalid settings, 1 for a failed start."""
    try:
        cfg = load_settings(path)
    except ConfigurationError as exc:
        sys.stderr.write(f'{exc}\n')
        sys.exit(EXIT_SETTINGS)
    try:
        run_application(lambda: build(cfg), lambda: load_settings(path))
    except ConfigurationError as unusable:
        sys.stderr.write(f'{unusable}\n')
        sys.exit(EXIT_SETTINGS)
    except OSError as failure:
        sys.stderr.write(f'{path}: cannot start: {failure}\n')
        sys.exit(EXIT_FAILED)
