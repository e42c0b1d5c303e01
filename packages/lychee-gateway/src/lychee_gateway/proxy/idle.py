"""How long callers' connections may be idle while the configuration changes."""

from lychee_http.idle_wait import kept_s
from lychee_types.clock import Clock
from lychee_types.routing import CallerBounds


class IdleLimit:
    """The idle time that callers may rely on, whichever configuration they know.

    A connection that became idle under a longer limit, or whose caller does not know the shorter
    one yet, is kept for as long as under that.

    :param keep_s: time within which a change is known everywhere, in seconds.
    :param clock: source of time.
    """

    def __init__(self, *, keep_s: float, clock: Clock) -> None:
        self._keep_s = keep_s
        self._clock = clock
        self._limit_s = CallerBounds().idle_s
        self._former: list[tuple[float, float]] = []

    @property
    def value_s(self) -> float:
        """Return the limit in seconds."""
        now = self._clock.monotonic()
        self._former = [
            old for old in self._former if now - old[0] <= kept_s(old[1]) + self._keep_s
        ]
        return max([self._limit_s, *(limit_s for _, limit_s in self._former)])

    def set(self, limit_s: float) -> None:
        """Set the limit of the configuration in force, in seconds."""
        if limit_s != self._limit_s:
            self._former.append((self._clock.monotonic(), self._limit_s))
            self._limit_s = limit_s
