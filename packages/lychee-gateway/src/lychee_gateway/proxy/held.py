"""Bound the answers that are held back until they are whole, because requests behind them run.

An answer that breaks off after a part of it was sent ends its caller's connection, and with it each
request behind it. So a request is passed on only once there is room for the answers before it.
"""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

MAX_HELD_BYTES = 33_554_432
"""Maximum size of all answers that a gateway holds back, in bytes."""

MAX_HELD_ON_CONNECTION_BYTES = 4_194_304
"""Maximum size of those on one caller's connection, in bytes."""

CALLERS_SHARE = 0.5
"""Share of the bound on callers' memory to which held answers are limited beside it."""

RESERVABLE_SHARE = 0.5
"""Share of both that is reserved while sizes are unknown; answers may be larger than expected."""

MIN_EXPECTED_BYTES = 16_384
"""Least size that an answer is expected to have, in bytes."""

EXPECTED_DECAY = 0.98
"""Share of the expected size that is left after a smaller answer."""


class HeldAnswers:
    """The room for all answers that a gateway holds back.

    :param max_bytes: maximum size of all of them.
    :param max_connection_bytes: maximum size of those on one connection.
    """

    def __init__(
        self,
        *,
        max_bytes: int = MAX_HELD_BYTES,
        max_connection_bytes: int = MAX_HELD_ON_CONNECTION_BYTES,
    ) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._max_connection_bytes = max_connection_bytes
        self._by_connection: Counter[object] = Counter()
        self._expected: dict[str, int] = {}

    @contextmanager
    def track(self, *, conn: object, route: str) -> Iterator["HeldAnswer"]:
        """Track the answer to one request until the block ends.

        :param conn: the caller's connection.
        :param route: name of the request's route.
        """
        held = HeldAnswer(answers=self, conn=conn, route=route)
        try:
            yield held
        finally:
            held.end()

    def expected_bytes(self, route: str) -> int:
        """Return how large the next answer on a route may be, by the last ones."""
        return self._expected.get(route, MIN_EXPECTED_BYTES)

    def learn(self, route: str, size: int) -> None:
        """Learn the size of an answer on a route."""
        expected = max(size, int(self.expected_bytes(route) * EXPECTED_DECAY))
        if expected > MIN_EXPECTED_BYTES:
            self._expected[route] = expected
        else:
            self._expected.pop(route, None)

    def take(self, conn: object, size: int, *, share: float) -> bool:
        """Take room on a connection unless that exceeds a share of it; return whether it did."""
        if self.held_bytes + size > self._max_bytes * share:
            return False
        if self._by_connection[conn] + size > self._max_connection_bytes * share:
            return False
        self.held_bytes += size
        self._by_connection[conn] += size
        return True

    def give_back(self, conn: object, size: int) -> None:
        """Give back room that was taken on a connection."""
        self.held_bytes -= size
        self._by_connection[conn] -= size
        if not self._by_connection[conn]:
            del self._by_connection[conn]


class HeldAnswer:
    """The room for one answer.

    :param answers: the room for all answers.
    :param conn: the caller's connection.
    :param route: name of the request's route.
    """

    def __init__(self, *, answers: HeldAnswers, conn: object, route: str) -> None:
        self._answers = answers
        self._conn = conn
        self._route = route
        self._size = 0
        self._kept = 0
        self._is_over = False
        self._other: HeldAnswer | None = None

    def make_other(self) -> "HeldAnswer":
        """Return the room for another answer to the same request; it ends with this one."""
        self._other = HeldAnswer(answers=self._answers, conn=self._conn, route=self._route)
        return self._other

    def reserve(self) -> bool:
        """Reserve room for an answer of the expected size; return whether there is enough."""
        return self._take(self._answers.expected_bytes(self._route), share=RESERVABLE_SHARE)

    def grow(self, size: int) -> bool:
        """Make room for an answer of a size in bytes; return whether there is enough."""
        return self._take(size, share=1.0)

    def keep(self, size: int) -> None:
        """Keep room for an answer of a size in bytes beside the next attempt's."""
        self._kept = size

    def learn(self, size: int) -> None:
        """Learn the answer's size."""
        self._answers.learn(self._route, size)

    def release(self) -> None:
        """Give the room back."""
        if self._size:
            self._answers.give_back(self._conn, self._size)
            self._size = 0

    def end(self) -> None:
        """Give the room back for good."""
        self.release()
        self._is_over = True
        if self._other is not None:
            self._other.end()

    def _take(self, size: int, *, share: float) -> bool:
        if self._is_over:
            return False
        missing = self._kept + size - self._size
        if missing <= 0:
            return True
        if not self._answers.take(self._conn, missing, share=share):
            return False
        self._size += missing
        return True
