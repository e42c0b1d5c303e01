"""Server side of HTTP/1.1, on a caller's connection with one request at a time."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from time import monotonic
from typing import Protocol

from lychee_http.caller_memory import EXCHANGE_BYTES, head_bytes
from lychee_http.closing import wait_until_delivered
from lychee_http.delivery import StallWatch
from lychee_http.exceptions import CallerGoneError
from lychee_http.framing import (
    body_too_large_error,
    check_head,
    declared_length,
    has_body,
    keeps_alive,
)
from lychee_http.messages import RequestHead, ResponseHead, header_tokens
from lychee_http.parser import EndOfMessage
from lychee_http.reader import RequestReader, TimedReads
from lychee_http.tcp import TcpStream

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""The interim response to Expect: 100-continue."""

COLLECTED_FACTOR = 1.5
"""Memory that counts for each byte of a body that is collected: it grows in place, and is copied
once it is whole.
"""

BODILESS_STATUSES = frozenset((204, 304))
"""Statuses whose responses have neither body nor length."""


class ConnectionLimits(Protocol):
    """Limits on a caller's connection, which asks for them each time: they may change meanwhile.

    The meaning of each is that in :class:`CallerLimits`.
    """

    @property
    def head_bytes(self) -> int:
        """Return the maximum size of a request head."""
        ...

    @property
    def head_s(self) -> float:
        """Return the time from a request's first byte to the end of its head, in seconds."""
        ...

    @property
    def idle_s(self) -> float:
        """Return the time without a request after which the connection closes, in seconds."""
        ...

    @property
    def stall_s(self) -> float:
        """Return the maximum time that a caller may stall, in seconds."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on a caller's connection.

    :param head_bytes: maximum size of a request head.
    :param head_s: time from a request's first byte to the end of its head, in seconds.
    :param idle_s: time without a request after which the connection closes, in seconds.
    :param stall_s: maximum time that a caller may stall, in seconds: without reading while a
        response is sent, or without sending while the body of a pipelined request is read.
    """

    head_bytes: int = 16_384
    head_s: float = 5.0
    idle_s: float = 60.0
    stall_s: float = 10.0


class CallerConnection:
    """One caller's connection; a single task alternates reading requests and sending responses.

    :param stream: the TCP connection.
    :param limits: limits on the connection.
    """

    def __init__(self, *, stream: TcpStream, limits: CallerLimits) -> None:
        self.closing = False
        self.response_started = False
        self._stream = stream
        self._holding = stream.holding
        self._memory = 0
        self._limits = limits
        self._reader = RequestReader(stream=stream, head_limit=lambda: limits.head_bytes)
        self._head: RequestHead | None = None
        self._is_waiting_for_request = False
        self._has_served_request = False
        self._is_request_read = False
        self._is_response_sent = False
        self._is_chunked = False
        self._ends_by_reset = False
        self._stall = StallWatch(stall_s=limits.stall_s)

    def close_if_idle(self, *, include_unused: bool) -> bool:
        """Close the connection if the task waits for a request and none has begun to arrive.

        A caller that still receives its answer is left alone, unless it stalls. Return whether it
        was closed.

        :param include_unused: whether to close also a connection without any request so far.
        """
        if (
            self._is_waiting_for_request
            and (include_unused or self._has_served_request)
            and self._stream.is_quiet()
            and (self._stream.is_acknowledged() or self._is_stalled())
        ):
            self._stream.abort()
            return True
        return False

    def _is_stalled(self) -> bool:
        return self._stall.is_stalled(
            now=monotonic(),
            acknowledged=self._stream.acknowledged,
            written=self._stream.written,
        )

    @contextmanager
    def cancel_on_disconnect(self, cancel: Callable[[], None]) -> Iterator[None]:
        """Call ``cancel`` if the caller disconnects inside the block.

        :raises CallerGoneError: if the caller has disconnected before the block.
        """
        self._stream.on_disconnect = cancel
        try:
            if self._stream.eof:
                raise CallerGoneError()
            yield
        finally:
            self._stream.on_disconnect = lambda: None

    async def read_head(self) -> RequestHead | None:
        """Read the next request's head; return None if the connection ends or idles too long.

        :raises BadRequestError: if the request is rejected.
        :raises CallerGoneError: if the connection ended inside the head.
        """
        head = await self._reader.read_head(
            wait_for_request=self._wait_for_request, timeout_s=lambda: self._limits.head_s
        )
        if head is None:
            return None
        self._head = head
        self._hold_memory(EXCHANGE_BYTES + head_bytes(head))
        check_head(head, limit=self._reader.head_limit)
        if not has_body(head):
            self._is_request_read = isinstance(self._reader.next_event(), EndOfMessage)
        return head

    async def read_body(self, *, limit: int, timeout_s: float) -> bytes:
        """Read the whole body of the current request.

        :param limit: maximum size of the body in bytes.
        :param timeout_s: maximum wait in seconds.
        :raises BadRequestError: if the body is too large, too slow or malformed.
        :raises CallerGoneError: if the caller closed the connection first.
        """
        if self._is_request_read:
            return b""
        assert self._head is not None
        if (declared_length(self._head) or 0) > limit:
            raise body_too_large_error(limit)
        if b"100-continue" in header_tokens(self._head.headers, b"expect"):
            self._stream.write(CONTINUE)
        body = bytearray()
        reads = TimedReads(reader=self._reader, timeout_s=lambda: timeout_s)
        while not isinstance(part := await self._reader.next_part(reads), EndOfMessage):
            body += part
            self._hold_memory(int(COLLECTED_FACTOR * len(part)))
            if len(body) > limit:
                raise body_too_large_error(limit)
        self._is_request_read = True
        return bytes(body)

    def _hold_memory(self, size: int) -> None:
        """Count memory that the current request takes up, in bytes."""
        self._memory += size
        self._holding.add(size)

    def release_memory(self) -> None:
        """Drop what was received, and count what the current request takes up as given back."""
        self._reader.close()
        self._give_back()

    def _give_back(self) -> None:
        self._holding.add(-self._memory)
        self._memory = 0

    async def send(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole response.

        :raises CallerGoneError: if the caller has disconnected or reads too slowly.
        """
        if self._is_head_request() or head.status in BODILESS_STATUSES:
            body = b""
        elif head.length is None:
            head = replace(head, length=len(body))
        self._stream.write(self._encode_response_head(head) + body)
        self._is_response_sent = True
        await self._drain(self._limits.stall_s)

    def send_head(self, head: ResponseHead) -> None:
        """Send the head of a response whose body follows by :meth:`send_chunk`."""
        self._stream.write(self._encode_response_head(head))

    async def send_chunk(self, data: bytes, *, stall_s: float) -> None:
        """Send a part of the body; wait while too many bytes are unsent.

        :param data: the part.
        :param stall_s: maximum wait for the caller to read, in seconds.
        :raises CallerGoneError: if the caller has disconnected or reads too slowly.
        """
        if not self._is_head_request():
            self._stream.write(b"%x\r\n%b\r\n" % (len(data), data) if self._is_chunked else data)
            await self._drain(stall_s)

    async def finish(self) -> None:
        """End the response."""
        if self._is_chunked and not self._is_head_request():
            self._stream.write(b"0\r\n\r\n")
        self._is_response_sent = True

    def prepare_next_request(self) -> bool:
        """Prepare for the next request; return whether the connection can take one."""
        if (
            not (self._is_request_read and self._is_response_sent)
            or self.closing
            or self._stream.lost
        ):
            return False
        self._head = None
        self._give_back()
        self._has_served_request = True
        self._is_request_read = self.response_started = self._is_response_sent = (
            self._is_chunked
        ) = False
        return True

    def abort(self) -> None:
        """Close the connection at once, by a reset if its end could be taken for a response's."""
        is_begun = self.response_started and not self._is_response_sent
        if self._ends_by_reset or (is_begun and self._is_of_old_version()):
            self._stream.reset()
        else:
            self._stream.abort()

    def shed(self) -> None:
        """Close the connection at once, and drop what was received."""
        self._reader.close()
        self.abort()

    def truncate(self) -> None:
        """Close the connection so that the caller sees that the response is incomplete.

        For an HTTP/1.0 caller the end of the stream may mark the end of the response, so the
        connection is reset. Both are done by :meth:`close`, after earlier responses have arrived.
        """
        self.closing = True
        self._ends_by_reset = self._is_of_old_version()

    async def close(self) -> None:
        """Close once the caller has what was written, has left, or does not read on."""
        await wait_until_delivered(
            self._stream,
            stall_s=self._limits.stall_s,
            discard=self._reader.discard,
            body_bytes=self._reader.discarded_body_bytes,
            with_end=not self._ends_by_reset,
        )
        if self._ends_by_reset:
            self._stream.reset()
        else:
            self._stream.abort()

    def _encode_response_head(self, head: ResponseHead) -> bytes:
        """Return the bytes of a response's head, and record how its body is framed."""
        self.response_started = True
        lines = [b"HTTP/1.1 %d %b\r\n" % (head.status, head.reason)]
        lines += [b"%b: %b\r\n" % header for header in head.headers]
        if head.length is not None and head.status not in BODILESS_STATUSES:
            lines.append(b"content-length: %d\r\n" % head.length)
        elif head.status not in BODILESS_STATUSES:
            self._is_chunked = self._head is None or self._head.version != b"1.0"
            lines.append(b"transfer-encoding: chunked\r\n" if self._is_chunked else b"")
        if (
            self.closing
            or not self._is_request_read
            or self._head is None
            or not keeps_alive(self._head)
        ):
            self.closing = True
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)

    def _is_of_old_version(self) -> bool:
        return self._head is not None and self._head.version == b"1.0"

    def _is_head_request(self) -> bool:
        return self._head is not None and self._head.method == b"HEAD"

    async def _wait_for_request(self) -> bool:
        self._is_waiting_for_request = True
        try:
            return await self._reader.receive(self._limits.idle_s)
        finally:
            self._is_waiting_for_request = False

    async def _drain(self, stall_s: float) -> None:
        try:
            await self._stream.drain_within(stall_s)
        except (TimeoutError, ConnectionError) as exc:
            raise CallerGoneError() from exc
