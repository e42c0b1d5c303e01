"""Tells a caller that has ended only its sending side from one that has closed its connection.

Both look the same until something is sent: a peer that has closed answers by a reset.
"""

import asyncio
from collections.abc import Callable

from lychee_http.exchange import CallerExchange
from lychee_http.tcp import TcpStream

RESPONSE_PREFIX = b"HTTP/1.1 "
"""How each response begins; sent ahead of a response, it provokes the reset."""

CHECK_S = 0.02
"""Interval at which a reset is looked for, in seconds; the event loop does not report it."""

UNDECIDED_S = 0.2
"""Time after which a caller that has neither reset the connection nor acknowledged anything counts
as gone, in seconds."""


class HalfCloseWatch:
    """Watches a connection whose caller has ended its sending side.

    :param stream: the connection.
    :param first: returns the exchange whose response is due next, None if there is none.
    :param on_gone: called once the caller is known to be gone, or can't be told from one.
    """

    def __init__(
        self,
        *,
        stream: TcpStream,
        first: Callable[[], CallerExchange | None],
        on_gone: Callable[[], None],
    ) -> None:
        self._stream = stream
        self._first = first
        self._on_gone = on_gone
        self._task: asyncio.Task[None] | None = None
        self._is_prefix_sent = False
        self._decided_by = 0.0
        self.has_written = False

    def start(self) -> None:
        """Start to watch; the caller has ended its side just now."""
        self._decided_by = asyncio.get_running_loop().time() + UNDECIDED_S
        self._task = asyncio.create_task(self._watch())

    def stop(self) -> None:
        """Stop to watch."""
        if self._task is not None:
            self._task.cancel()

    def cut_prefix(self, response: bytes) -> bytes:
        """Return a response without the prefix if that has been sent already."""
        if not self._is_prefix_sent:
            return response
        self._is_prefix_sent = False
        return response.removeprefix(RESPONSE_PREFIX)

    async def _watch(self) -> None:
        while not self._stream.is_reset():
            first = self._first()
            if first is not None and not self.has_written and not first.response_started:
                self._send_prefix()
            if first is not None and self._is_undecided():
                break
            await asyncio.sleep(CHECK_S)
        self._on_gone()

    def _is_undecided(self) -> bool:
        """Return whether it is still unknown, after a time, if the caller can read anything."""
        if asyncio.get_running_loop().time() < self._decided_by:
            return False
        if self._is_prefix_sent:
            return not self._stream.is_acknowledged()
        return not self.has_written and not self._stream.unsent

    def _send_prefix(self) -> None:
        self._is_prefix_sent = True
        self.has_written = True
        self._decided_by = asyncio.get_running_loop().time() + UNDECIDED_S
        self._stream.write(RESPONSE_PREFIX)
