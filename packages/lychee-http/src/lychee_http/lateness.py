"""How long bytes waited in the operating system's buffer before this process read them."""

import asyncio
import fcntl
import socket
import struct
import termios

from loguru import logger

from lychee_types.clock import Clock

TICK_S = 0.1
"""Interval at which the event loop is watched, in seconds."""

MAX_LATE_S = 0.1
"""Delay of a tick above which bytes may have waited for longer than matters, in seconds."""

MIN_PAUSE_S = 1.5
"""Delay of a tick above which the process counts as paused, in seconds.

Shorter delays leave nothing outdated that is confirmed several times a second and used for 2 s.
"""

LAST_DATA_RECEIVED = struct.Struct("52xI")
"""The beginning of the system's ``tcp_info``, up to the time since bytes came, in milliseconds."""

SEGMENTS_RECEIVED = struct.Struct("152xI")
"""The same up to the number of segments with bytes that came; one sent twice may count twice."""


class LoopWatch:
    """Knows whether the event loop was busy, or its process paused, a moment ago.

    :param clock: source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._ticked_at = clock.monotonic()
        self._ticked_before = self._ticked_at
        self._was_late = False
        self._running_since = self._ticked_at

    async def run(self) -> None:
        """Watch the event loop until cancelled."""
        self._ticked_at = self._clock.monotonic()
        self._ticked_before = self._ticked_at
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Record that the event loop has taken another turn."""
        now = self._clock.monotonic()
        self._was_late = self._is_overdue(now)
        if self._is_paused(now):
            self._running_since = now
        self._ticked_before = self._ticked_at
        self._ticked_at = now

    def is_late(self) -> bool:
        """Return whether bytes that are read now may have waited."""
        # The tick itself may come before the bytes that waited with it.
        return self._was_late or self._is_overdue(self._clock.monotonic())

    def earliest(self) -> float:
        """Return a time before which none of the bytes came that are read now.

        It is that of the last tick but one: by the last, what had come before it had been read.
        """
        return self._ticked_before

    def running_since(self) -> float:
        """Return the monotonic time in seconds since which the process was not paused."""
        # What waited with the tick may ask before it.
        now = self._clock.monotonic()
        return now if self._is_paused(now) else self._running_since

    def _is_paused(self, now: float) -> bool:
        return now - self._ticked_at > MIN_PAUSE_S

    def _is_overdue(self, now: float) -> bool:
        return now - self._ticked_at > TICK_S + MAX_LATE_S


def since_data_s(sock: socket.socket) -> float:
    """Return for how long no bytes have come on a connection, in seconds; 0 if that is unknown.

    Of bytes that are read now, this is the wait of the newest.
    """
    return float(_ask_system(sock, LAST_DATA_RECEIVED) or 0) / 1_000


class SegmentCount:
    """Knows whether bytes that were read at once came in one segment, and so at one time.

    A read that empties the system's buffer ends with a segment. So there are no more segments than
    such reads only where each has read one.
    """

    def __init__(self) -> None:
        self.reads = 0
        self._surplus: int | None = 0

    def is_one(self, sock: socket.socket) -> bool:
        """Return whether the last read, which was counted, has read one segment for certain."""
        segments = _ask_system(sock, SEGMENTS_RECEIVED)
        if segments is None:
            return False
        surplus = segments - self.reads
        is_one = surplus == self._surplus
        # Segments that came since the read belong to the next one.
        self._surplus = None if _has_unread(sock) else surplus
        return is_one


def _has_unread(sock: socket.socket) -> bool:
    try:
        return any(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))
    except OSError as exc:
        logger.debug("the system does not tell whether bytes wait: {!r}", exc)
        return True


def _ask_system(sock: socket.socket, field: struct.Struct) -> int | None:
    """Return a number of the system's ``tcp_info`` on a connection, None if it tells none."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, field.size)
        (number,) = field.unpack(info)
    except (OSError, struct.error) as exc:
        logger.debug("the system does not tell of the bytes received: {!r}", exc)
        return None
    return int(number)
