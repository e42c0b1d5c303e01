"""A bounded queue in order of deadline."""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(order=True, slots=True)
class Waiter(Generic[T]):
    """An item that waits.

    :param deadline: monotonic time in seconds by which it must be answered.
    :param number: order of arrival among equal deadlines.
    :param item: the item.
    :param gone: whether it waits no more.
    """

    deadline: float
    number: int
    item: T = field(compare=False)
    gone: bool = field(default=False, compare=False)


class DeadlineQueue(Generic[T]):
    """Items in order of deadline, earliest first."""

    def __init__(self) -> None:
        self._heap: list[Waiter[T]] = []
        self._numbers = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, item: T, *, deadline: float) -> Waiter[T]:
        """Add an item.

        :param item: the item.
        :param deadline: monotonic time in seconds.
        """
        self._numbers += 1
        waiter = Waiter(deadline=deadline, number=self._numbers, item=item)
        heappush(self._heap, waiter)
        self._size += 1
        return waiter

    def head(self) -> Waiter[T] | None:
        """Return the item with the earliest deadline, or None."""
        while self._heap and self._heap[0].gone:
            heappop(self._heap)
        return self._heap[0] if self._heap else None

    def remove(self, waiter: Waiter[T]) -> None:
        """Remove an item; nothing happens if it is gone already."""
        if waiter.gone:
            return
        waiter.gone = True
        self._size -= 1
        if len(self._heap) > 2 * self._size + 16:
            self._heap = [kept for kept in self._heap if not kept.gone]
            heapify(self._heap)

    def waiting(self) -> list[Waiter[T]]:
        """Return all waiting items in order of deadline."""
        return sorted(waiter for waiter in self._heap if not waiter.gone)


def can_meet_deadline(
    *, now: float, deadline: float, ahead: int, parallel: int, service_s: float
) -> bool:
    """Return whether a request that begins to wait can be expected to be answered in time.

    :param now: monotonic time in seconds.
    :param deadline: monotonic time in seconds by which it must be answered.
    :param ahead: number of requests that wait before it.
    :param parallel: number of requests that run at once.
    :param service_s: measured time of one request in seconds, 0 if unknown.
    """
    wait_s = service_s * (ahead + 1) / max(1, parallel)
    return now + wait_s + service_s <= deadline
