"""Clock for leases, which keeps running while the machine is suspended."""

import time


def boot_seconds() -> float:
    """Return the seconds since the machine booted, including suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
