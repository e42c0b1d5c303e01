"""Writing of log lines to a stream that may stall: bounded, and never waited for."""

import asyncio
import os
from collections import deque
from collections.abc import Callable
from time import monotonic

PENDING_BYTES = 1_048_576
"""Bytes of lines that wait for a reader; further lines are left out."""

LINES_PER_S = 200
"""Lines a second that are written in the long run; warnings and errors are not counted."""

BURST_LINES = 400
"""Lines that may be written at once after a quiet time."""

RETRY_S = 0.05
"""Pause before a stream that took nothing is tried again, in seconds."""


class BoundedOutput:
    """Lines on their way to a file descriptor.

    What is left out is counted and told in a line of its own once there is room again.

    :param fd: the descriptor; it is made non-blocking.
    :param left_out: returns the line that tells how many lines were left out.
    """

    def __init__(self, *, fd: int, left_out: Callable[[int], bytes]) -> None:
        self.dropped = 0
        self._fd = fd
        self._left_out = left_out
        self._pending: deque[bytes] = deque()
        self._size = 0
        self._untold = 0
        self._tokens = float(BURST_LINES)
        self._filled_at = monotonic()
        self._is_waiting = False
        os.set_blocking(fd, False)

    def write(self, line: bytes, *, is_urgent: bool) -> None:
        """Write a line, or count it as left out.

        :param line: the line with its end.
        :param is_urgent: whether it is written however many others there were.
        """
        if not (is_urgent or self._take_token()) or self._size + len(line) > PENDING_BYTES:
            self.dropped += 1
            self._untold += 1
            return
        if self._untold:
            told, self._untold = self._left_out(self._untold), 0
            self._keep(told)
        self._keep(line)
        if not self._is_waiting:
            self._flush()

    def close(self) -> None:
        """Write what the stream takes without waiting."""
        self._flush()

    def _take_token(self) -> bool:
        now = monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._filled_at) * LINES_PER_S)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _keep(self, line: bytes) -> None:
        self._pending.append(line)
        self._size += len(line)

    def _flush(self) -> None:
        self._is_waiting = False
        while self._pending:
            line = self._pending.popleft()
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody can be told that the reader of the log has gone.
                self._forget_all(line)
                return
            self._size -= written
            if written < len(line):
                self._pending.appendleft(line[written:])
                self._try_later()
                return

    def _forget_all(self, line: bytes) -> None:
        self.dropped += 1 + len(self._pending)
        self._untold += 1 + len(self._pending)
        self._pending.clear()
        self._size = 0

    def _try_later(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without a loop the next line tries again.
            return
        self._is_waiting = True
        loop.call_later(RETRY_S, self._flush)
