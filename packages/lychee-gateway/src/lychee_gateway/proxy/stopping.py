"""When a stopping gateway takes its last requests, and when it ends those that remain."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lychee_types.clock import Clock

TAKE_ANY_S = 2.8
"""Maximum time after the beginning of a stop in which any request is taken, in seconds.

Later ones are taken only if they end within the grace time even if they use up their own time.
"""

LISTEN_SHARE = 0.5
"""Share of the grace time for which a stopping gateway still accepts connections."""

LAST_WAIT_SHARE = 0.88
"""Share of the grace time after which requests that wait for a server are rejected."""

FINISH_SHARE = 0.92
"""Share of the grace time after which requests that are still in progress are aborted."""


class StopSchedule:
    """The schedule of a gateway's stop; before :meth:`begin` it limits nothing.

    :param grace_s: time between the request to stop and the end of the process, in seconds.
    :param clock: source of time.
    """

    def __init__(self, *, grace_s: float, clock: Clock) -> None:
        self._grace_s = grace_s
        self._clock = clock
        self._began_at: float | None = None
        self._waits: set[asyncio.Timeout] = set()

    @property
    def has_begun(self) -> bool:
        """Whether the gateway stops."""
        return self._began_at is not None

    @property
    def is_over(self) -> bool:
        """Whether the requests that are still in progress are to be aborted."""
        return self._left_s(FINISH_SHARE) <= 0

    @property
    def listen_s(self) -> float:
        """Return for how long connections are still accepted, in seconds."""
        return self._grace_s * LISTEN_SHARE

    def begin(self) -> None:
        """Begin the stop."""
        self._began_at = self._clock.monotonic()
        for wait in self._waits:
            wait.reschedule(self._wait_until())

    def takes(self, deadline: float) -> bool:
        """Return whether a request is sent to a server now; otherwise it is to be rejected.

        :param deadline: monotonic time in seconds by which it ends.
        """
        if self._began_at is None:
            return True
        now = self._clock.monotonic()
        take_any_s = min(TAKE_ANY_S, self.listen_s)
        return now <= self._began_at + take_any_s or deadline - now <= self._left_s(FINISH_SHARE)

    @asynccontextmanager
    async def limit_wait(self) -> AsyncIterator[None]:
        """Limit a wait of a request that was not sent yet.

        :raises TimeoutError: if the stop leaves it no more time.
        """
        async with asyncio.timeout_at(self._wait_until()) as wait:
            self._waits.add(wait)
            try:
                yield
            finally:
                self._waits.discard(wait)

    def _wait_until(self) -> float | None:
        """Return the event loop's time at which waits end, None before the stop."""
        if self._began_at is None:
            return None
        return asyncio.get_running_loop().time() + self._left_s(LAST_WAIT_SHARE)

    def _left_s(self, share: float) -> float:
        """Return the time until a share of the grace time is over, in seconds."""
        if self._began_at is None:
            return float("inf")
        return self._began_at + self._grace_s * share - self._clock.monotonic()
