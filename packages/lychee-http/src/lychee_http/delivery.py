"""When a connection may be closed without destroying what was written to it, decided without I/O.

What the operating system has taken is not delivered: as long as the peer's system has not
acknowledged it, closing the connection turns the peer's next bytes into a reset that drops it.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum

LINGER_S = 1.0
"""Time for which a peer that has everything may still send or see the end, in seconds."""

CHECK_S = 0.05
"""Interval at which the bytes without acknowledgement are asked for, in seconds."""

MAX_REMEMBERED = 64
"""Number of responses from which on those that were acknowledged are forgotten."""


class Outcome(Enum):
    """What became of the bytes that were written to a connection."""

    DELIVERED = "delivered"
    """The peer's system has acknowledged all of them."""

    PEER_LEFT = "peer_left"
    """The peer has reset the connection."""

    STALLED = "stalled"
    """The peer has not read on."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Progress:
    """What is known of a connection to which nothing more is written.

    :param now: monotonic time in seconds.
    :param unacknowledged: bytes written that the peer's system has not acknowledged.
    :param has_ended: whether the peer has ended its side.
    :param has_left: whether the connection is lost or reset.
    """

    now: float
    unacknowledged: int
    has_ended: bool
    has_left: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitUntil:
    """Read and discard what the peer sends until a time, then decide again.

    :param at: monotonic time in seconds.
    """

    at: float


class Delivery:
    """Decides when a connection to which nothing more is written may be closed.

    :param now: monotonic time in seconds.
    :param stall_s: maximum time in which the peer acknowledges nothing, in seconds.
    :param linger_s: time for which a peer that has everything is read on, in seconds.
    """

    def __init__(self, *, now: float, stall_s: float, linger_s: float = LINGER_S) -> None:
        self._stall_s = stall_s
        self._linger_s = linger_s
        self._stalled_at = now + stall_s
        self._least: int | None = None
        self._lingers_until: float | None = None

    def step(self, progress: Progress) -> WaitUntil | Outcome:
        """Return until when to wait, or what became of the bytes; the connection closes then."""
        if progress.has_left:
            return Outcome.PEER_LEFT
        if not progress.unacknowledged:
            return self._linger(progress)
        return self._watch(progress)

    def _linger(self, progress: Progress) -> WaitUntil | Outcome:
        if self._lingers_until is None:
            self._lingers_until = progress.now + self._linger_s
        if progress.has_ended or progress.now >= self._lingers_until:
            return Outcome.DELIVERED
        return WaitUntil(at=self._lingers_until)

    def _watch(self, progress: Progress) -> WaitUntil | Outcome:
        if self._least is None or progress.unacknowledged < self._least:
            self._least = progress.unacknowledged
            self._stalled_at = progress.now + self._stall_s
        if progress.now >= self._stalled_at:
            return Outcome.STALLED
        return WaitUntil(at=min(progress.now + CHECK_S, self._stalled_at))


class SentResponses:
    """The responses that were written whole to a connection, until they are acknowledged."""

    def __init__(self) -> None:
        self._ends: deque[tuple[int, str]] = deque()

    def __len__(self) -> int:
        """Return how many are remembered."""
        return len(self._ends)

    def add(self, *, end: int, request: str) -> None:
        """Remember a response.

        :param end: number of bytes written to the connection up to its end.
        :param request: the request's id, empty if it is not known.
        """
        self._ends.append((end, request))

    def forget(self, *, acknowledged: int) -> None:
        """Forget the responses that were acknowledged.

        :param acknowledged: number of bytes of the connection that were acknowledged.
        """
        while self._ends and self._ends[0][0] <= acknowledged:
            self._ends.popleft()

    def requests(self) -> tuple[str, ...]:
        """Return the ids of the requests whose responses are remembered."""
        return tuple(request for _, request in self._ends)
