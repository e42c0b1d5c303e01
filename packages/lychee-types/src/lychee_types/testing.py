"""Test helpers for programs that embed the packages."""


class ManualClock:
    """A clock that changes only by :meth:`advance`.

    :param start: the initial monotonic and wall-clock time, in seconds.
    """

    def __init__(self, *, start: float = 1_000.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by a number of seconds."""
        if seconds < 0:
            raise ValueError(
                "a monotonic clock cannot move back; pass a positive number of seconds"
            )
        self._now += seconds
