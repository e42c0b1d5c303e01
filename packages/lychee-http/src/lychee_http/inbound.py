"""HTTP/1.1 on a caller's connection."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from time import monotonic

from lychee_http.exceptions import CallerGoneError
from lychee_http.framing import (
    check_head,
    declared_length,
    has_body,
    keeps_alive,
    too_large,
)
from lychee_http.messages import RequestHead, ResponseHead, header_tokens
from lychee_http.parser import EndOfMessage
from lychee_http.reader import RequestReader
from lychee_http.tcp import TcpStream

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""The interim answer to Expect: 100-continue."""

BODILESS = frozenset((204, 304))
"""Statuses whose answers have neither body nor length."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on a caller's connection.

    :param head_bytes: largest request head.
    :param head_s: time from a request's first byte to the end of its head, in seconds.
    :param idle_s: time without a request after which the connection closes, in seconds.
    :param stall_s: time without reading a whole answer after which a caller counts as gone, in
        seconds.
    """

    head_bytes: int = 16_384
    head_s: float = 5.0
    idle_s: float = 60.0
    stall_s: float = 10.0


class CallerConnection:
    """One caller's connection; a single task reads requests and writes answers in turn.

    :param stream: the connection.
    :param limits: limits on heads and idle time.
    """

    def __init__(self, *, stream: TcpStream, limits: CallerLimits) -> None:
        self.closing = False
        self.response_started = False
        self._stream = stream
        self._limits = limits
        self._reader = RequestReader(stream=stream, head_limit=limits.head_bytes)
        self._head: RequestHead | None = None
        self._waiting = False
        self._served = False
        self._read_whole = False
        self._answered = False
        self._chunked = False

    def close_if_idle(self, *, fresh: bool) -> None:
        """Close the connection if the task waits for a request and none has arrived.

        :param fresh: whether to close a connection as well that has not sent any request yet.
        """
        if self._waiting and (fresh or self._served) and self._stream.is_quiet():
            self._stream.abort()

    @contextmanager
    def cancel_on_disconnect(self, cancel: Callable[[], None]) -> Iterator[None]:
        """Call ``cancel`` when the caller vanishes inside the block."""
        self._stream.on_disconnect = cancel
        try:
            if self._stream.eof:
                raise CallerGoneError()
            yield
        finally:
            self._stream.on_disconnect = lambda: None

    async def read_head(self) -> RequestHead | None:
        """Return the next request's head, or None when the connection is over.

        :raises BadRequestError: if the request cannot be taken.
        :raises CallerGoneError: if the connection ended inside the head.
        """
        event = self._reader.next_event()
        if event is None and not self._reader.in_head:
            if not await self._wait_for_request():
                return None
            event = self._reader.next_event()
        if event is None:
            event = await self._reader.rest_of_head(self._limits.head_s)
        assert isinstance(event, RequestHead)
        self._head = event
        check_head(event, limit=self._limits.head_bytes)
        if not has_body(event):
            self._read_whole = isinstance(self._reader.next_event(), EndOfMessage)
        return event

    async def read_body(self, *, limit: int, timeout_s: float) -> bytes:
        """Return the whole body of the current request.

        :param limit: largest body in bytes.
        :param timeout_s: longest wait in seconds.
        :raises BadRequestError: if the body is too large, too slow or malformed.
        :raises CallerGoneError: if the caller closed the connection first.
        """
        if self._read_whole:
            return b""
        assert self._head is not None
        if (declared_length(self._head) or 0) > limit:
            raise too_large(limit)
        if b"100-continue" in header_tokens(self._head.headers, b"expect"):
            self._stream.write(CONTINUE)
        parts: list[bytes] = []
        size = 0
        until = monotonic() + timeout_s
        while True:
            event = self._reader.next_event()
            if isinstance(event, EndOfMessage):
                self._read_whole = True
                return b"".join(parts)
            if isinstance(event, bytes):
                parts.append(event)
                size += len(event)
                if size > limit:
                    raise too_large(limit)
            elif not await self._reader.feed(until - monotonic()):
                raise self._reader.cut("body")

    async def send(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole answer.

        :raises CallerGoneError: if the caller has left or reads too slowly.
        """
        if self._is_to_head() or head.status in BODILESS:
            body = b""
        elif head.length is None:
            head = replace(head, length=len(body))
        self._stream.write(self._begin_answer(head) + body)
        self._answered = True
        await self._drain(self._limits.stall_s)

    def send_head(self, head: ResponseHead) -> None:
        """Send the head of an answer whose body follows in chunks."""
        self._stream.write(self._begin_answer(head))

    async def send_chunk(self, data: bytes, *, stall_s: float) -> None:
        """Send a part of the body, waiting while the caller reads slowly.

        :param data: the part.
        :param stall_s: time without reading after which the caller counts as gone, in seconds.
        :raises CallerGoneError: if the caller has left or reads too slowly.
        """
        if not self._is_to_head():
            self._stream.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
            await self._drain(stall_s)

    async def finish(self) -> None:
        """End the answer."""
        if self._chunked and not self._is_to_head():
            self._stream.write(b"0\r\n\r\n")
        self._answered = True

    def next_request(self) -> bool:
        """Return whether the connection can take another request, and get ready for it."""
        if not (self._read_whole and self._answered) or self.closing or self._stream.lost:
            return False
        self._head = None
        self._served = True
        self._read_whole = self.response_started = self._answered = self._chunked = False
        return True

    def abort(self) -> None:
        """Close the connection at once."""
        self._stream.abort()

    def truncate(self) -> None:
        """Close the connection so that the caller cannot take the answer for whole.

        The end of an answer to an HTTP/1.0 caller may be told by the end of the stream only.
        """
        if self._head is not None and self._head.version == b"1.0":
            self._stream.reset()
        else:
            self._stream.abort()

    async def close(self) -> None:
        """Close after the caller has had the time to read the last answer."""
        unread = not self._read_whole or self._reader.pending or self._stream.buffered
        if unread and not self._stream.eof:
            if self._stream.transport.can_write_eof():
                self._stream.transport.write_eof()
            await self._reader.drop_rest()
        self._stream.close()

    def _begin_answer(self, head: ResponseHead) -> bytes:
        """Return the bytes of an answer's head, and note how its body is framed."""
        self.response_started = True
        lines = [b"HTTP/1.1 %d %b\r\n" % (head.status, head.reason)]
        lines += [b"%b: %b\r\n" % header for header in head.headers]
        if head.length is not None and head.status not in BODILESS:
            lines.append(b"content-length: %d\r\n" % head.length)
        elif head.status not in BODILESS:
            self._chunked = self._head is None or self._head.version != b"1.0"
            lines.append(b"transfer-encoding: chunked\r\n" if self._chunked else b"")
        if (
            self.closing
            or not self._read_whole
            or self._head is None
            or not keeps_alive(self._head)
        ):
            self.closing = True
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)

    def _is_to_head(self) -> bool:
        return self._head is not None and self._head.method == b"HEAD"

    async def _wait_for_request(self) -> bool:
        self._waiting = True
        try:
            return await self._reader.feed(self._limits.idle_s)
        finally:
            self._waiting = False

    async def _drain(self, stall_s: float) -> None:
        if not self._stream.is_congested:
            return
        try:
            async with asyncio.timeout(stall_s):
                await self._stream.drain()
        except (TimeoutError, ConnectionError) as exc:
            raise CallerGoneError() from exc
