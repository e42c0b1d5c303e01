"""A priority queue ordered by deadline."""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(order=True, slots=True)
class Waiter(Generic[T]):
    """An entry of the queue.

    :param deadline: monotonic time in seconds by which the item must be answered.
    :param arrival: number that orders entries with equal deadlines by arrival.
    :param item: the waiting item.
    :param removed: whether it has been removed from the queue.
    """

    deadline: float
    arrival: int
    item: T = field(compare=False)
    removed: bool = field(default=False, compare=False)


class DeadlineQueue(Generic[T]):
    """A queue of items in order of deadline, earliest first."""

    def __init__(self) -> None:
        self._heap: list[Waiter[T]] = []
        self._last_arrival = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, item: T, *, deadline: float) -> Waiter[T]:
        """Add an item and return its entry.

        :param item: the item.
        :param deadline: monotonic time in seconds.
        """
        self._last_arrival += 1
        waiter = Waiter(deadline=deadline, arrival=self._last_arrival, item=item)
        heappush(self._heap, waiter)
        self._size += 1
        return waiter

    def head(self) -> Waiter[T] | None:
        """Return the entry with the earliest deadline, or None if the queue is empty."""
        while self._heap and self._heap[0].removed:
            heappop(self._heap)
        return self._heap[0] if self._heap else None

    def remove(self, waiter: Waiter[T]) -> None:
        """Remove an entry; does nothing if it has already been removed."""
        if waiter.removed:
            return
        waiter.removed = True
        self._size -= 1
        if len(self._heap) > 2 * self._size + 16:
            self._heap = [kept for kept in self._heap if not kept.removed]
            heapify(self._heap)

    def waiting(self) -> list[Waiter[T]]:
        """Return all entries in order of deadline."""
        return sorted(waiter for waiter in self._heap if not waiter.removed)


def can_meet_deadline(
    *, now: float, deadline: float, ahead: int, parallel: int, service_s: float
) -> bool:
    """Return whether a request that joins the queue is expected to be answered in time.

    :param now: monotonic time in seconds.
    :param deadline: monotonic time in seconds by which it must be answered.
    :param ahead: number of requests that wait ahead of it.
    :param parallel: number of requests that run in parallel.
    :param service_s: measured time to serve one request in seconds, 0 if unknown.
    """
    wait_s = service_s * (ahead + 1) / max(1, parallel)
    return now + wait_s + service_s <= deadline
