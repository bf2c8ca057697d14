"""Run an instance with an address of its own in place of the targets' one.

`python -m soak.instance ADDRESS`: each instance reaches the targets through
proxies that it shares with no other.
"""

import importlib
import signal
import sys

# Host of all targets in the store; nothing listens there.
TARGETS_HOST = '127.0.0.2'


def main(address):
    """Run the program; connections to the targets go to `address`."""
    # Such a signal would end the process before the program handles it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    loop_class = importlib.import_module('asyncio').BaseEventLoop
    connect = loop_class.create_connection

    def create_connection(loop, factory, host=None, *args, **options):
        if host == TARGETS_HOST:
            host = address
        return connect(loop, factory, host, *args, **options)

    loop_class.create_connection = create_connection
    importlib.import_module('mintlanding.platform.__main__').main()


if __name__ == '__main__':
    main(sys.argv[1])
