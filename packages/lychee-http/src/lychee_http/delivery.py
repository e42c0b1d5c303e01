"""When a connection may be closed without destroying what was written to it, decided without I/O.

What the operating system has taken is not delivered: as long as the peer's system has not
acknowledged it, closing the connection turns the peer's next bytes into a reset that drops it.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum

LINGER_S = 1.0
"""Time for which a peer that has everything may still send or see the end, in seconds."""

BODY_S = 30.0
"""Time for which a peer that has everything is read on while it sends a body, in seconds."""

CHECK_S = 0.05
"""Interval at which the bytes without acknowledgement are asked for, in seconds."""

DELIVERY_CHECK_S = 1.0
"""Interval at which a connection without requests is asked for what is on its way, in seconds."""

MAX_REMEMBERED = 64
"""Number of responses from which on those that were acknowledged are forgotten."""

MAX_REMEMBERED_ID = 128
"""Characters of a request's id that are remembered with its response."""


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
    :param body_bytes: bytes that have come while the peer is sending a body, 0 if it isn't.
    """

    now: float
    unacknowledged: int
    has_ended: bool
    has_left: bool
    body_bytes: int = 0


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
        self._reads_until = 0.0
        self._body_bytes = 0

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
            self._reads_until = progress.now + BODY_S
        if progress.body_bytes > self._body_bytes:
            # A peer whose sending fails may not look for an answer any more.
            self._body_bytes = progress.body_bytes
            self._lingers_until = min(progress.now + self._linger_s, self._reads_until)
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


class StallWatch:
    """Tells when a peer to which bytes are on their way has acknowledged nothing for too long.

    :param stall_s: how long that is, in seconds.
    """

    def __init__(self, *, stall_s: float) -> None:
        self._stall_s = stall_s
        self._acknowledged = -1
        self._since = 0.0

    def is_stalled(self, *, now: float, acknowledged: int, written: int) -> bool:
        """Return whether it has, as of now.

        :param now: monotonic time in seconds.
        :param acknowledged: number of bytes of the connection that were acknowledged.
        :param written: number of bytes written to it.
        """
        if acknowledged == written or acknowledged != self._acknowledged:
            self._acknowledged = acknowledged
            self._since = now
        return now >= self._since + self._stall_s


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

    def take(self) -> tuple[str, ...]:
        """Forget all, and return the ids of the requests whose responses were remembered."""
        requests = tuple(request for _, request in self._ends)
        self._ends.clear()
        return requests
