"""The boot-time clock, which keeps running while a VM is suspended."""

import time

MS_PER_S = 1000


def read_clock_ms():
    """Return the boot-time clock's time in milliseconds.

    Examples
    --------
    >>> read_clock_ms() > 0
    True
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def read_remaining_s(deadline_ms):
    """Return the seconds until a deadline, 0 if it has passed.

    Examples
    --------
    >>> read_remaining_s(0)
    0.0
    """
    return max(0, deadline_ms - read_clock_ms()) / MS_PER_S
