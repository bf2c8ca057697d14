"""Run an instance on the platform: `python -m mintlanding.platform`."""

import importlib
import signal


def main() -> None:
    """Run the command.

    SIGHUP, which asks for a reload, would end a process without a handler, so
    it is ignored until one is set. The settings are read only later, so that no
    change is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module('mintlanding.platform.command').main()


if __name__ == '__main__':
    main()
