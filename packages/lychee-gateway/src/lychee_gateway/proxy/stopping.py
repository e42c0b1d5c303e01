"""When a stopping gateway takes its last requests, and when it ends those that remain."""

import asyncio
from collections.abc import Callable
from types import TracebackType

from lychee_types.clock import Clock
from lychee_types.timeouts import INPUT_TURNS

TAKE_ANY_S = 2.8
"""Maximum time after the beginning of a stop in which any request is taken, in seconds.

Later ones are taken only if they end within the grace time even if they use up their own time.
"""

LISTEN_SHARE = 0.5
"""Share of the grace time for which a stopping gateway still accepts connections."""

LAST_WAIT_SHARE = 0.88
"""Share of the grace time after which requests that wait for a server are rejected."""

FINISH_SHARE = 0.92
"""Share of the grace time after which requests that servers have not answered are answered here."""

END_SHARE = 0.96
"""Share of the grace time after which connections are aborted, whatever is in progress on them."""


class StopLimit:
    """A context that a stop ends at a share of the grace time, by a :exc:`TimeoutError`.

    :param stop: the schedule of the stop.
    :param share: the share.
    :param is_exempt: returns, when it is due, whether the block goes on all the same.
    """

    __slots__ = ("_is_exempt", "_share", "_stop", "_timeout", "_timer")

    def __init__(
        self, *, stop: "StopSchedule", share: float, is_exempt: Callable[[], bool] | None = None
    ) -> None:
        self._stop = stop
        self._share = share
        self._is_exempt = is_exempt
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.Handle | None = None

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        self._stop.add(self)

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stop.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(exc_type, exc, traceback)

    def schedule(self) -> None:
        """End the block in time, as the stop has begun."""
        delay_s = max(0.0, self._stop.left_s(self._share))
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._end, INPUT_TURNS)

    def _end(self, turns: int) -> None:
        """End the block once the loop has taken in what had arrived."""
        if turns:
            self._timer = asyncio.get_running_loop().call_soon(self._end, turns - 1)
        elif self._is_exempt is None or not self._is_exempt():
            self._timeout.reschedule(asyncio.get_running_loop().time())


class StopSchedule:
    """The schedule of a gateway's stop; before :meth:`begin` it limits nothing.

    :param grace_s: time between the request to stop and the end of the process, in seconds.
    :param clock: source of time.
    """

    def __init__(self, *, grace_s: float, clock: Clock) -> None:
        self._grace_s = grace_s
        self._clock = clock
        self._began_at: float | None = None
        self._limits: set[StopLimit] = set()

    @property
    def has_begun(self) -> bool:
        """Whether the gateway stops."""
        return self._began_at is not None

    @property
    def is_over(self) -> bool:
        """Whether the connections that are left are to be aborted."""
        return self.left_s(END_SHARE) <= 0

    @property
    def listen_s(self) -> float:
        """Return for how long connections are still accepted, in seconds."""
        return self._grace_s * LISTEN_SHARE

    def begin(self) -> None:
        """Begin the stop."""
        self._began_at = self._clock.monotonic()
        for limit in self._limits:
            limit.schedule()

    def takes(self, deadline: float) -> bool:
        """Return whether a request is sent to a server now; otherwise it is to be rejected.

        :param deadline: monotonic time in seconds by which it ends.
        """
        if self._began_at is None:
            return True
        now = self._clock.monotonic()
        take_any_s = min(TAKE_ANY_S, self.listen_s)
        return now <= self._began_at + take_any_s or deadline - now <= self.left_s(FINISH_SHARE)

    def limit_wait(self) -> StopLimit:
        """Limit a wait of a request that was not sent yet.

        The block raises :exc:`TimeoutError` if the stop leaves it no more time.
        """
        return StopLimit(stop=self, share=LAST_WAIT_SHARE)

    def limit_attempt(self, *, is_exempt: Callable[[], bool]) -> StopLimit:
        """Limit an attempt, so that its request can still be answered before the end.

        The block raises :exc:`TimeoutError` if the stop leaves it no more time.

        :param is_exempt: returns whether the attempt goes on all the same, to the end.
        """
        return StopLimit(stop=self, share=FINISH_SHARE, is_exempt=is_exempt)

    def add(self, limit: StopLimit) -> None:
        """Let the stop end a block."""
        self._limits.add(limit)
        if self.has_begun:
            limit.schedule()

    def discard(self, limit: StopLimit) -> None:
        """Forget a block that has ended."""
        self._limits.discard(limit)

    def left_s(self, share: float) -> float:
        """Return the time until a share of the grace time is over, in seconds."""
        if self._began_at is None:
            return float("inf")
        return self._began_at + self._grace_s * share - self._clock.monotonic()
