"""Sources of time. Decisions take a clock, so that tests can set the time."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic and of wall time."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; it never goes back."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...


class SystemClock:
    """The clock of this VM.

    Leases are judged by it, so it counts the time that the VM was suspended.
    """

    def monotonic(self) -> float:
        """Return seconds since the VM was started, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the operating system's time in seconds since the Unix epoch."""
        return time.time()
