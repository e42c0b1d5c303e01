"""Concurrency limit of a stand-in server, with a queue and load shedding."""

import asyncio
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from lychee_types.exceptions import LycheeError


class ShedError(LycheeError):
    """The queue for a slot is full, so the request is shed."""


class Slots:
    """A semaphore with a bounded first-in, first-out queue.

    :param count: number of requests that can run at once.
    :param queue: number of requests that can wait for a slot.
    """

    def __init__(self, *, count: int, queue: int) -> None:
        self._free_slots = count
        self._max_waiting = queue
        self._waiting: deque[asyncio.Future[None]] = deque()
        self.in_flight = 0

    @contextmanager
    def count_in_flight(self) -> Iterator[None]:
        """Count a request as in flight until the block ends."""
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
            raise ShedError(message="the queue is full", remedy="try another server")
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
        """Pass the slot to the first waiting request, or free it."""
        while self._waiting:
            fut = self._waiting.popleft()
            if not fut.done():
                fut.set_result(None)
                return
        self._free_slots += 1
