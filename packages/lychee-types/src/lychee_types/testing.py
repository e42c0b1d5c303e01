"""Test helpers for programs that embed the packages."""

from selectors import SelectorKey, SelectSelector


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


class SimulatedSelector(SelectSelector):
    """Lets an event loop wait in simulated time only; nothing is ever received.

    :param start: the initial time, in seconds.
    """

    def __init__(self, *, start: float = 1_000.0) -> None:
        super().__init__()
        self.now = start

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Move the time forward instead of waiting."""
        self.now += timeout or 0.0
        return []


class SelectorClock:
    """The clock of an event loop that waits in simulated time.

    :param selector: the loop's selector.
    """

    def __init__(self, selector: SimulatedSelector) -> None:
        self._selector = selector

    def monotonic(self) -> float:
        """Return the current reading in seconds."""
        return self._selector.now

    def wall(self) -> float:
        """Return the current reading in seconds."""
        return self._selector.now
