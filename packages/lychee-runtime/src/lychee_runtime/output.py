"""Write log lines to a stream that may stall, with bounded memory and without blocking."""

import asyncio
import os
from collections import deque
from collections.abc import Callable
from time import monotonic

MAX_PENDING_BYTES = 1_048_576
"""Maximum size of the lines that wait to be written, in bytes; further lines are dropped."""

LINES_PER_S = 200
"""Sustained rate limit in lines per second; warnings and errors are exempt."""

BURST_LINES = 400
"""Number of lines that may be written at once after a pause (size of the token bucket)."""

RETRY_S = 0.05
"""Delay before a write is retried on a stream that did not accept all data, in seconds."""


class BoundedOutput:
    """Writes lines to a file descriptor and drops lines that exceed the limits.

    Dropped lines are counted. A notice with their number is written before the next line that is
    within the limits.

    :param fd: the descriptor; it is made non-blocking.
    :param format_dropped: returns the notice for a number of dropped lines.
    """

    def __init__(self, *, fd: int, format_dropped: Callable[[int], bytes]) -> None:
        self.dropped = 0
        self._fd = fd
        self._format_dropped = format_dropped
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._unreported = 0
        self._tokens = float(BURST_LINES)
        self._refilled_at = monotonic()
        self._is_retry_scheduled = False
        os.set_blocking(fd, False)

    def write(self, line: bytes, *, is_urgent: bool) -> None:
        """Write a line without blocking, or drop and count it.

        :param line: the line, including its line break.
        :param is_urgent: whether the line is exempt from the rate limit.
        """
        if (
            not (is_urgent or self._take_token())
            or self._pending_bytes + len(line) > MAX_PENDING_BYTES
        ):
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            notice, self._unreported = self._format_dropped(self._unreported), 0
            self._enqueue(notice)
        self._enqueue(line)
        if not self._is_retry_scheduled:
            self._flush()

    def close(self) -> None:
        """Write as many of the waiting lines as the stream accepts without blocking."""
        self._flush()

    def _take_token(self) -> bool:
        now = monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _enqueue(self, line: bytes) -> None:
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _flush(self) -> None:
        self._is_retry_scheduled = False
        while self._pending:
            line = self._pending.popleft()
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The log itself can't be written, for example because its reader has exited, so the
                # error can't be reported anywhere.
                self._drop_all(line)
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending.appendleft(line[written:])
                self._retry_later()
                return

    def _drop_all(self, line: bytes) -> None:
        self.dropped += 1 + len(self._pending)
        self._unreported += 1 + len(self._pending)
        self._pending.clear()
        self._pending_bytes = 0

    def _retry_later(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without an event loop, the next call of write tries again.
            return
        self._is_retry_scheduled = True
        loop.call_later(RETRY_S, self._flush)
