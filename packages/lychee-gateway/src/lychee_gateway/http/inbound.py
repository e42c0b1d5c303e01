"""HTTP/1.1 on a caller's connection, parsed by h11."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import h11

from lychee_gateway.exceptions import BadRequestError, CallerGoneError
from lychee_gateway.http.messages import RequestHead, ResponseHead, header_value
from lychee_gateway.http.wire import Wire

LINGER_S = 1.0
"""Longest time to read and drop what a caller still sends before its connection closes."""

LINGER_BYTES = 1_048_576
"""Most bytes read and dropped before a connection closes."""


_READ_WHOLE = (
    h11.DONE,
    h11.MUST_CLOSE,
    h11.CLOSED,
    h11.MIGHT_SWITCH_PROTOCOL,  # type: ignore[attr-defined]
)

_Next = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on a caller's connection.

    :param head_bytes: largest request head.
    :param head_s: time from a request's first byte to the end of its head, in seconds.
    :param idle_s: time without a request after which the connection closes, in seconds.
    """

    head_bytes: int = 16_384
    head_s: float = 5.0
    idle_s: float = 60.0


def _as_head(event: h11.Request) -> RequestHead:
    return RequestHead(
        method=event.method,
        target=event.target,
        headers=tuple(event.headers),
        version=event.http_version,
    )


def _has_body(head: RequestHead) -> bool:
    if header_value(head.headers, b"transfer-encoding") is not None:
        return True
    return header_value(head.headers, b"content-length") not in (None, b"0")


def _check_head(head: RequestHead, limit: int) -> None:
    """Refuse a large head, and framings that two parsers may read differently."""
    size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
    if size > limit:
        raise BadRequestError(
            status=431,
            message="the request's head is too large",
            remedy=f"send at most {limit} bytes of headers",
        )
    coded = header_value(head.headers, b"transfer-encoding") is not None
    if coded and header_value(head.headers, b"content-length") is not None:
        raise BadRequestError(
            status=400,
            message="the request has both Content-Length and Transfer-Encoding",
            remedy="send one of the two",
        )
    if coded and head.version == b"1.0":
        raise BadRequestError(
            status=400,
            message="an HTTP/1.0 request has Transfer-Encoding",
            remedy="send Content-Length, or use HTTP/1.1",
        )
    if head.method == b"CONNECT":
        raise BadRequestError(
            status=501, message="CONNECT is not served", remedy="send requests to a service's path"
        )


class CallerConnection:
    """One caller's connection; a single task reads requests and writes answers in turn.

    :param wire: the connection.
    :param limits: limits on heads and idle time.
    """

    def __init__(self, *, wire: Wire, limits: CallerLimits) -> None:
        self.closing = False
        self._wire = wire
        self._limits = limits
        self._head: RequestHead | None = None
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head_bytes)

    @property
    def gone(self) -> bool:
        """Whether the caller has closed its side."""
        return self._wire.eof

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._head is None and not self._conn.trailing_data[0] and not self._wire.buffered

    @contextmanager
    def cancelling(self, cancel: Callable[[], None]) -> Iterator[None]:
        """Call ``cancel`` when the caller vanishes inside the block."""
        self._wire.on_gone = cancel
        try:
            if self._wire.eof:
                raise CallerGoneError()
            yield
        finally:
            self._wire.on_gone = lambda: None

    async def read_head(self) -> RequestHead | None:
        """Return the next request's head, or None when the connection is over.

        :raises BadRequestError: if the request cannot be taken.
        """
        event = self._next_event()
        if event is h11.NEED_DATA and not self._conn.trailing_data[0]:
            if not await self._feed(self._limits.idle_s):
                return None
            event = self._next_event()
        if event is h11.NEED_DATA:
            event = await self._read_rest_of_head()
        if not isinstance(event, h11.Request):
            return None
        self._head = _as_head(event)
        _check_head(self._head, self._limits.head_bytes)
        if not _has_body(self._head):
            self._next_event()
        return self._head

    async def _read_rest_of_head(self) -> _Next:
        loop = asyncio.get_running_loop()
        until = loop.time() + self._limits.head_s
        event: _Next = h11.NEED_DATA
        while event is h11.NEED_DATA:
            if not await self._feed(until - loop.time()):
                if self._wire.eof:
                    raise CallerGoneError()
                raise BadRequestError(
                    status=408, message="the request's head took too long", remedy="send it faster"
                )
            event = self._next_event()
        return event

    async def read_body(self, *, limit: int, timeout_s: float) -> bytes:
        """Return the whole body of the current request.

        :param limit: largest body in bytes.
        :param timeout_s: longest wait in seconds.
        :raises BadRequestError: if the body is too large, too slow or malformed.
        :raises CallerGoneError: if the caller closed the connection first.
        """
        assert self._head is not None
        if self._conn.their_state in _READ_WHOLE:
            return b""
        declared = header_value(self._head.headers, b"content-length")
        if declared is not None and int(declared) > limit:
            raise _too_large(limit)
        if self._conn.they_are_waiting_for_100_continue:
            reply = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
            self._wire.write(self._conn.send(reply))
        parts: list[bytes] = []
        size = 0
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limit:
                    raise _too_large(limit)
            elif not await self._feed(until - loop.time()):
                if self._wire.eof:
                    raise CallerGoneError()
                raise BadRequestError(
                    status=408, message="the request's body took too long", remedy="send it faster"
                )

    async def send(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole answer.

        :raises ConnectionError: if the connection is lost.
        """
        self.send_head(head)
        await self.send_chunk(body)
        await self.finish()

    def send_head(self, head: ResponseHead) -> None:
        """Send the head of an answer; its length or chunking is set from ``head.length``."""
        headers = list(head.headers)
        if head.length is not None:
            headers.append((b"content-length", b"%d" % head.length))
        elif head.status not in (204, 304):
            headers.append((b"transfer-encoding", b"chunked"))
        if self.closing or self._conn.their_state not in _READ_WHOLE:
            headers.append((b"connection", b"close"))
        event = h11.Response(status_code=head.status, headers=headers, reason=head.reason)
        self._wire.write(self._conn.send(event))

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of the body, waiting while the caller reads slowly.

        :raises ConnectionError: if the connection is lost.
        """
        if data and not self._is_to_head():
            self._wire.write(self._conn.send(h11.Data(data=data)))
            await self._wire.drain()

    async def finish(self) -> None:
        """End the answer."""
        self._wire.write(self._conn.send(h11.EndOfMessage()))

    @property
    def answering(self) -> bool:
        """Whether the head of an answer has been sent."""
        return self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    def next_request(self) -> bool:
        """Return whether the connection can take another request, and get ready for it."""
        self._head = None
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        return not self._wire.lost

    def abort(self) -> None:
        """Close the connection at once."""
        self._wire.abort()

    def truncate(self) -> None:
        """Close the connection so that the caller cannot take the answer for whole.

        The end of an answer to an HTTP/1.0 caller may be told by the end of the stream only.
        """
        if self._head is not None and self._head.version == b"1.0":
            self._wire.reset()
        else:
            self._wire.abort()

    async def close(self) -> None:
        """Close after the caller has had the time to read the last answer."""
        if not self._wire.lost and not self._wire.eof and self._unread():
            if self._wire.transport.can_write_eof():
                self._wire.transport.write_eof()
            await self._drop_rest()
        self._wire.close()

    async def _drop_rest(self) -> None:
        dropped = 0
        try:
            async with asyncio.timeout(LINGER_S):
                while dropped < LINGER_BYTES:
                    data = await self._wire.read()
                    if not data:
                        return
                    dropped += len(data)
        except TimeoutError:
            return

    def _unread(self) -> bool:
        whole = self._conn.their_state in _READ_WHOLE
        return not whole or bool(self._conn.trailing_data[0]) or bool(self._wire.buffered)

    def _is_to_head(self) -> bool:
        return self._head is not None and self._head.method == b"HEAD"

    def _next_event(self) -> _Next:
        try:
            event: _Next = self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            raise BadRequestError(
                status=exc.error_status_hint,
                message=f"the request is malformed: {exc}",
                remedy="send a well-formed HTTP/1.1 request",
            ) from exc
        return event

    async def _feed(self, timeout_s: float) -> bool:
        """Wait for bytes; False at the end of the stream or of the time."""
        try:
            async with asyncio.timeout(max(timeout_s, 0)):
                data = await self._wire.read()
        except TimeoutError:
            return False
        if not data:
            return False
        self._conn.receive_data(data)
        return True


def _too_large(limit: int) -> BadRequestError:
    return BadRequestError(
        status=413,
        message="the request's body is too large",
        remedy=f"send at most {limit} bytes",
    )
