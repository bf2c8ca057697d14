"""The clock of leases: it goes on while the machine is suspended."""

import time


def boot_seconds() -> float:
    """Return seconds since the machine's start, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
