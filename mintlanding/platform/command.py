"""Command that runs an instance on the deployment platform."""

import sys

import eliot

from mintlanding.conf.exceptions import SettingsError
from mintlanding.core.application import Application, run_application
from mintlanding.core.exceptions import AddressNotAvailable
from mintlanding.core.logs import configure_stdout_logs
from mintlanding.node.application import NodeApplication
from mintlanding.platform import records, requests
from mintlanding.platform.settings import load_settings, settings_path
from mintlanding.platform.store import PlatformStore

_EXIT_SETTINGS = 2
_EXIT_ADDRESS = 3


def build() -> Application:
    """Create the instance that the settings file describes."""
    cfg = load_settings(settings_path())
    eliot.add_global_fields(instance=cfg.node.facts.instance)
    store = PlatformStore.from_config(cfg.store_address)
    node = NodeApplication.from_config(cfg.node, store, records, requests)
    return node.application


def main() -> None:
    """Run the instance until a signal ends it.

    A process that cannot run has an exit code of its own for settings and for
    an address that is not available; that of an unforeseen error is 1.
    """
    try:
        run_application(
            build,
            lambda: load_settings(settings_path()),
            configure_stdout_logs,
        )
    except SettingsError as exc:
        sys.stderr.write(f'{exc}\n')
        sys.exit(_EXIT_SETTINGS)
    except AddressNotAvailable as exc:
        sys.stderr.write(f'{exc}\n')
        sys.exit(_EXIT_ADDRESS)
