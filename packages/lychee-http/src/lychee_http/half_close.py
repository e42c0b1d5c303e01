"""Tells a caller that has ended only its sending side from one that has closed its connection.

Both look the same until something is sent: a peer that has closed answers by a reset.
"""

import asyncio
from collections.abc import Callable

from lychee_http.delivery import StallWatch
from lychee_http.endings import EndReason
from lychee_http.exchange import CallerExchange
from lychee_http.tcp import TcpStream

RESPONSE_PREFIX = b"HTTP/1.1 "
"""How each response begins; sent ahead of a response, byte by byte, it provokes the reset."""

PROBE_S = 0.2
"""Time between two bytes of the prefix, in seconds; a caller may close at any time."""

LOST_ANSWER = b"502 \r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
"""The rest of a response that says that the outcome is unknown."""

CHECK_S = 0.02
"""Interval at which a reset is looked for, in seconds; the event loop does not report it."""

UNDECIDED_S = 0.2
"""Time after which a caller to whom nothing is on its way, and that has not reset the connection,
counts as gone, in seconds."""

PROGRESS_S = 1.0
"""The same for one that has acknowledged something since it ended its side, in seconds."""


class HalfCloseWatch:
    """Watches a connection whose caller has ended its sending side.

    While bytes are on their way, a full link looks like a caller that has left without a reset, so
    it is given the time that any caller may stall.

    :param stream: the connection.
    :param stall_s: maximum time in which the caller acknowledges nothing, in seconds.
    :param first: returns the exchange whose response is due next, None if there is none.
    :param on_gone: called with the reason once the caller is known to be gone, can't be told from
        one, or has stalled.
    """

    def __init__(
        self,
        *,
        stream: TcpStream,
        stall_s: float,
        first: Callable[[], CallerExchange | None],
        on_gone: Callable[[EndReason], None],
    ) -> None:
        self._stream = stream
        self._stall = StallWatch(stall_s=stall_s)
        self._first = first
        self._on_gone = on_gone
        self._task: asyncio.Task[None] | None = None
        self._prefix_sent = 0
        self._probe_at = 0.0
        self._decided_by = 0.0
        self._acknowledged = 0
        self.has_written = False

    def start(self) -> None:
        """Start to watch; the caller has ended its side just now."""
        self._decided_by = asyncio.get_running_loop().time() + UNDECIDED_S
        self._acknowledged = self._stream.acknowledged
        self._task = asyncio.create_task(self._watch())

    def stop(self) -> None:
        """Stop to watch."""
        if self._task is not None:
            self._task.cancel()

    def cut_prefix(self, response: bytes) -> bytes:
        """Return a response without the bytes of the prefix that have been sent already."""
        sent, self._prefix_sent = self._prefix_sent, 0
        return response[sent:]

    def complete_prefix(self) -> None:
        """Make a whole response of a prefix that nothing else will follow."""
        if self._prefix_sent:
            self._stream.write(self.cut_prefix(RESPONSE_PREFIX) + LOST_ANSWER)

    async def _watch(self) -> None:
        while not self._stream.is_reset():
            first = self._first()
            if first is not None and not first.response_started:
                self._probe()
            is_stalled = self._note_progress()
            if first is not None and is_stalled:
                self._on_gone(EndReason.CALLER_STALLED)
                return
            if first is not None and self._is_undecided():
                break
            await asyncio.sleep(CHECK_S)
        self._on_gone(EndReason.CALLER_LEFT)

    def _note_progress(self) -> bool:
        """Note what the caller has acknowledged; return whether it has stalled."""
        now, acknowledged = asyncio.get_running_loop().time(), self._stream.acknowledged
        if acknowledged > self._acknowledged:
            self._acknowledged = acknowledged
            self._decided_by = max(self._decided_by, now + PROGRESS_S)
        return self._stall.is_stalled(
            now=now, acknowledged=acknowledged, written=self._stream.written
        )

    def _is_undecided(self) -> bool:
        """Return whether it is still unknown, after a time, if the caller can read anything."""
        if self.has_written or not self._stream.is_acknowledged():
            return False
        return asyncio.get_running_loop().time() >= self._decided_by

    def _probe(self) -> None:
        """Send the next byte of the prefix if it is due."""
        now = asyncio.get_running_loop().time()
        if now < self._probe_at or self._prefix_sent == len(RESPONSE_PREFIX):
            return
        if self._prefix_sent and not self._stream.is_acknowledged():
            return
        self._stream.write(RESPONSE_PREFIX[self._prefix_sent : self._prefix_sent + 1])
        self._prefix_sent += 1
        self._probe_at = now + PROBE_S
        self.has_written = True
