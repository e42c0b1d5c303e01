"""Ask the gateway's own connections what its link carries while another one opens."""

from dataclasses import dataclass
from math import inf
from weakref import WeakSet

from loguru import logger

from lychee_http import TcpStream
from lychee_policy import LinkUse, StreamUse, sum_of_uses
from lychee_types.clock import Clock

LOOK_GAP_S = 0.1
"""Time between two looks at the connections while another one opens, in seconds."""


@dataclass(kw_only=True, frozen=True, slots=True)
class _Mark:
    """The bytes of a connection that were confirmed and received at some moment."""

    acknowledged: int = 0
    received: int = 0


_NONE = _Mark()


class OwnLinkFullError(TimeoutError):
    """A connection did not open in time, but this gateway's own link was full meanwhile."""


class OwnLink:
    """The open connections that share this gateway's link."""

    def __init__(self) -> None:
        self._streams: WeakSet[TcpStream] = WeakSet()

    def add(self, stream: TcpStream) -> None:
        """Ask this connection too, as long as it is open."""
        self._streams.add(stream)

    def marks(self) -> dict[TcpStream, _Mark]:
        """Return what each open connection has carried since it opened."""
        for stream in [stream for stream in self._streams if stream.lost]:
            self._streams.discard(stream)
        return {stream: _mark(stream) for stream in self._streams}


class Opening:
    """The wait for one connection to open, and what the others carry meanwhile.

    They are asked only if it is late, at each :data:`LOOK_GAP_S`.

    :param link: the open connections.
    :param timeout_s: maximum wait in seconds.
    :param limit_s: the same while the link is shown to be full.
    :param clock: source of time.
    """

    def __init__(self, *, link: OwnLink, timeout_s: float, limit_s: float, clock: Clock) -> None:
        self._link = link
        self._clock = clock
        self._first: dict[TcpStream, _Mark] | None = None
        self._last: dict[TcpStream, _Mark] = {}
        self._moved_at: dict[TcpStream, float] = {}
        self.began = clock.monotonic()
        self.timeout_s = timeout_s
        self._limit_s = max(limit_s, timeout_s)
        self.use = LinkUse()

    @property
    def first_s(self) -> float:
        """Time until the first look, in seconds."""
        return min(LOOK_GAP_S, self.timeout_s) / 2

    def more_s(self) -> float:
        """Look, and return how much longer the connection may take to open, in seconds."""
        self._look()
        waited_s = self._clock.monotonic() - self.began
        if waited_s < self.timeout_s:
            return min(LOOK_GAP_S, self.timeout_s - waited_s)
        return min(LOOK_GAP_S, self._limit_s - waited_s) if self.use.is_filled else 0.0

    def _look(self) -> None:
        marks, now = self._link.marks(), self._clock.monotonic()
        if self._first is None:
            self._first = self._last = marks
        for stream, mark in marks.items():
            if mark != self._last.get(stream, _NONE):
                self._moved_at[stream] = now
        first, self._last = self._first, marks
        self.use = sum_of_uses(
            [
                _use(stream, mark, first.get(stream, _NONE), now - self._moved_at.get(stream, -inf))
                for stream, mark in marks.items()
            ]
        )


def _mark(stream: TcpStream) -> _Mark:
    return _Mark(acknowledged=_acknowledged(stream), received=stream.received)


def _acknowledged(stream: TcpStream) -> int:
    try:
        return stream.acknowledged
    except OSError as exc:
        logger.debug("the system does not tell what is acknowledged: {!r}", exc)
        return stream.written - stream.unsent


def _use(stream: TcpStream, mark: _Mark, first: _Mark, still_s: float) -> StreamUse:
    return StreamUse(
        acknowledged=mark.acknowledged - first.acknowledged,
        waiting=stream.written - mark.acknowledged,
        received=mark.received - first.received,
        still_s=still_s,
    )
