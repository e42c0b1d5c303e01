"""Sources of time. Code that depends on time takes a clock, so that tests can set the time."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; the value never decreases."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...


class SystemClock:
    """The clock of this VM.

    Leases are measured by it, so its monotonic time includes time for which the VM was suspended.
    """

    def monotonic(self) -> float:
        """Return seconds since the VM booted, including time for which it was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the operating system's time in seconds since the Unix epoch."""
        return time.time()
