"""The slots of a stand-in server: how many requests run, wait, or are shed."""

import asyncio
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from lychee_types.exceptions import LycheeError


class ShedError(LycheeError):
    """Too many requests wait already."""


class Slots:
    """Slots with a bounded queue in order of arrival.

    :param count: how many requests run at once.
    :param queue: how many wait.
    """

    def __init__(self, *, count: int, queue: int) -> None:
        self._free_slots = count
        self._max_waiting = queue
        self._waiting: deque[asyncio.Future[None]] = deque()
        self.in_flight = 0

    @contextmanager
    def count_in_flight(self) -> Iterator[None]:
        """Count a request while it runs or waits."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def acquire(self) -> None:
        """Wait for a free slot and take it.

        :raises ShedError: if the queue is full.
        """
        if self._free_slots:
            self._free_slots -= 1
            return
        if len(self._waiting) >= self._max_waiting:
            raise ShedError(message="the queue is full", remedy="ask another server")
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(fut)
        try:
            await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                self.release()
            else:
                self._waiting.remove(fut)
            raise

    def release(self) -> None:
        """Give the slot to the next in the queue, or free it."""
        while self._waiting:
            fut = self._waiting.popleft()
            if not fut.done():
                fut.set_result(None)
                return
        self._free_slots += 1
