"""Timeouts that let the event loop take in what has already arrived before they end a wait.

When the loop is busy across a timeout, the timer and the awaited bytes come in the same turn of the
loop, and a plain ``asyncio.timeout`` cancels the wait although the bytes are there.
"""

import asyncio
from collections.abc import Callable
from types import TracebackType

INPUT_TURNS = 12
"""Turns of the event loop in which bytes that have arrived reach the task that waits for them.

One turn reads them. Each task, future or stream on the way to the waiting task takes one more.
"""

MAX_INPUT_TURNS = 64
"""Maximum number of turns for a connection on which more and more bytes arrive."""


MAX_LATE_S = 0.1
"""Time after which only `INPUT_TURNS` turns in all are waited for, in seconds."""


def _no_more() -> float:
    """Return that a block gets no further time."""
    return 0.0


def _is_unknown() -> bool:
    """Return that input may be there, as nobody can tell."""
    return True


class timeout_after_input:  # noqa: N801
    """Limit the time of a block as ``asyncio.timeout`` does, but take in first what is there.

    :param delay_s: maximum time in seconds; a negative one counts as 0.
    :param has_input: returns whether there is input that the block has not taken yet; None if that
        is unknown, and then the block ends `INPUT_TURNS` turns of the loop later.
    :param more_s: returns, when the time is over, how much more of it the block gets, in seconds.
    :raises TimeoutError: if the time is over and no input ends the block.
    """

    def __init__(
        self,
        delay_s: float,
        *,
        has_input: Callable[[], bool] | None = None,
        more_s: Callable[[], float] = _no_more,
    ) -> None:
        self._delay_s = max(0.0, delay_s)
        self._has_input = has_input or _is_unknown
        self._more_s = more_s
        self._turns = INPUT_TURNS if has_input is None else MAX_INPUT_TURNS
        self._loop = asyncio.get_running_loop()
        self._limit = asyncio.timeout(None)
        self._timer: asyncio.Handle | None = None
        self._ends_by = self._loop.time() + self._delay_s + MAX_LATE_S

    async def __aenter__(self) -> None:
        await self._limit.__aenter__()
        self._timer = self._loop.call_later(self._delay_s, self._end_without_input, self._turns)

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await self._limit.__aexit__(exc_type, exc, traceback)

    def _end_without_input(self, turns: int) -> None:
        is_late = self._loop.time() > self._ends_by and self._turns - turns >= INPUT_TURNS
        if turns and not is_late and self._has_input():
            self._timer = self._loop.call_soon(self._end_without_input, turns - 1)
            return
        more_s = self._more_s()
        if more_s > 0:
            self._ends_by = self._loop.time() + more_s + MAX_LATE_S
            self._timer = self._loop.call_later(more_s, self._end_without_input, self._turns)
        else:
            self._limit.reschedule(self._loop.time())


async def take_input() -> None:
    """Let the event loop take in what has arrived, and other tasks act on it."""
    for _ in range(INPUT_TURNS):
        await asyncio.sleep(0)
