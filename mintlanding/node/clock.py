"""The clocks of an instance."""

import asyncio
import time


def boot_seconds() -> float:
    """Return the seconds since the machine booted, including suspension.

    Leases run on this clock.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def loop_seconds() -> float:
    """Return the time of the running event loop, by which requests end."""
    return asyncio.get_running_loop().time()
