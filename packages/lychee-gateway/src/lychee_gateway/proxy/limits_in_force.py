"""What callers may send, and how long they may take, while the configuration changes."""

from collections.abc import Callable
from dataclasses import dataclass

from lychee_http import CallerLimits
from lychee_http.idle_wait import kept_s
from lychee_types.clock import Clock
from lychee_types.routing import CallerBounds


@dataclass(frozen=True, kw_only=True, slots=True)
class _Former:
    bounds: CallerBounds
    ended_at: float

    def is_known(self, now: float, keep_s: float) -> bool:
        """Return whether a caller may still go by these bounds."""
        return now - self.ended_at <= keep_s

    def is_idle_known(self, now: float, keep_s: float) -> bool:
        """Return whether a connection may still be kept by their idle time."""
        return self.is_known(now, kept_s(self.bounds.idle_s) + keep_s)


class LimitsInForce:
    """The limits that callers may rely on, whichever configuration they know.

    Connections ask for them each time, as they outlive many configurations. A caller that does not
    know a smaller limit yet, or has begun under a larger one, is judged by the larger one.

    :param keep_s: time within which a change is known everywhere, in seconds.
    :param clock: source of time.
    """

    def __init__(self, *, keep_s: float, clock: Clock) -> None:
        self.stall_s = CallerLimits().stall_s
        self._keep_s = keep_s
        self._clock = clock
        self._bounds = CallerBounds()
        self._former: list[_Former] = []

    @property
    def head_bytes(self) -> int:
        """Return the maximum size of a head in bytes."""
        return int(self._most(lambda bounds: bounds.head_bytes))

    @property
    def body_bytes(self) -> int:
        """Return the maximum size of a body in bytes."""
        return int(self._most(lambda bounds: bounds.body_bytes))

    @property
    def head_s(self) -> float:
        """Return how long a head may take, in seconds."""
        return self._most(lambda bounds: bounds.head_s)

    @property
    def idle_s(self) -> float:
        """Return how long a connection may be idle, in seconds.

        One that became idle under a longer limit is kept for as long as under that.
        """
        if not self._former:
            return self._bounds.idle_s
        now = self._clock.monotonic()
        self._former = [old for old in self._former if old.is_idle_known(now, self._keep_s)]
        return max([self._bounds.idle_s, *(old.bounds.idle_s for old in self._former)])

    def set(self, bounds: CallerBounds) -> None:
        """Set the limits of the configuration in force."""
        if bounds == self._bounds:
            return
        former = _Former(bounds=self._bounds, ended_at=self._clock.monotonic())
        # An older one that allows no more ends before.
        self._former = [old for old in self._former if not _allows(former.bounds, old.bounds)]
        self._former.append(former)
        self._bounds = bounds

    def _most(self, value: Callable[[CallerBounds], float]) -> float:
        """Return the largest value of a limit that a caller may go by."""
        if not self._former:
            return value(self._bounds)
        now = self._clock.monotonic()
        known = [old.bounds for old in self._former if old.is_known(now, self._keep_s)]
        return max(value(bounds) for bounds in (self._bounds, *known))


def _allows(bounds: CallerBounds, others: CallerBounds) -> bool:
    """Return whether some bounds allow all that others do."""
    return (
        bounds.head_bytes >= others.head_bytes
        and bounds.body_bytes >= others.body_bytes
        and bounds.head_s >= others.head_s
        and bounds.idle_s >= others.idle_s
    )
