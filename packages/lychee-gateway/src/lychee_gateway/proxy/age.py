"""How old the gateway's state may be, and what it may be used for."""

import asyncio
import math
from collections.abc import Callable

from lychee_gateway.proxy.view import RoutedView
from lychee_types.clock import Clock
from lychee_types.ids import LogIndex
from lychee_types.timeouts import timeout_after_input


class StateAge:
    """The time as of which the gateway's state holds everything acknowledged.

    A state that is confirmed not longer ago than a change may take to be in force is current. What
    happens after that time depends on what is known:

    - A replica has been heard whose state is current, and this gateway has not caught up: a later
      change may be in force at others, and no request is decided by the old one.
    - No such replica has been heard: the group has no leader, and so nothing can change, or the
      gateway is cut off from it. Requests with a known route are still forwarded, so that callers
      do not depend on the control replicas. No request is denied for want of a route.
    - The gateway has not run for that time, as its process was paused: whether it is cut off is not
      known, and it is treated as one that has not caught up.
    - The state was never confirmed, as the gateway or all VMs have just started: it is used for
      as long as a change may take, and no longer.

    :param view: the gateway's copy of the replicated state.
    :param clock: source of time.
    :param apply_s: time within which a change must be in force, in seconds.
    :param running_since: returns the monotonic time in seconds since which the process has run
        without a pause.
    """

    def __init__(
        self,
        *,
        view: RoutedView,
        clock: Clock,
        apply_s: float,
        running_since: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self._view = view
        self._clock = clock
        self._apply_s = apply_s
        self._running_since = running_since
        self._confirmed_at: float | None = None
        self._heard_as_of: float | None = None
        self._installed_at: float | None = None
        self._change = asyncio.Event()
        view.add_listener(self._record_change)

    @property
    def confirmed_at(self) -> float:
        """Return the monotonic time as of which the state is complete, -inf if it is not known."""
        return -math.inf if self._confirmed_at is None else self._confirmed_at

    @property
    def age_s(self) -> float:
        """Return the maximum age of the state in seconds, infinite if it is not known."""
        return self._seconds_since(self._confirmed_at)

    @property
    def age_ms(self) -> int | None:
        """Return the maximum age of the state in milliseconds, None if it is not known."""
        return None if self._confirmed_at is None else round(self.age_s * 1_000)

    @property
    def is_current(self) -> bool:
        """Return whether the state holds every change that must be in force."""
        return self.age_s <= self._apply_s

    @property
    def is_usable(self) -> bool:
        """Return whether requests may be forwarded by the state."""
        if not self._view.has_routes:
            return False
        if self._confirmed_at is None:
            return self._seconds_since(self._installed_at) <= self._apply_s
        return self.is_current or self._silent_s() > self._apply_s

    def record_pulse(self, *, as_of: float, index: LogIndex) -> None:
        """Record that a replica's state was current.

        :param as_of: time as of which it held everything acknowledged, in monotonic seconds.
        :param index: the log index of that state.
        """
        self._heard_as_of = max(as_of, self._heard_as_of or as_of)
        if self._view.state.index >= index:
            self._confirmed_at = max(as_of, self._confirmed_at or as_of)
        self._notify()

    async def wait_until_usable(self, timeout_s: float) -> None:
        """Wait until the state is usable, at most ``timeout_s`` seconds."""
        try:
            async with timeout_after_input(timeout_s):
                while not self.is_usable:
                    await self._change.wait()
        except TimeoutError:
            return

    def _record_change(self) -> None:
        if self._installed_at is None and self._view.has_routes:
            self._installed_at = self._clock.monotonic()
        self._notify()

    def _notify(self) -> None:
        self._change.set()
        self._change = asyncio.Event()

    def _silent_s(self) -> float:
        """Return for how long the process has run and heard no current replica, in seconds."""
        return min(
            self._seconds_since(self._heard_as_of), self._seconds_since(self._running_since())
        )

    def _seconds_since(self, moment: float | None) -> float:
        return math.inf if moment is None else self._clock.monotonic() - moment
