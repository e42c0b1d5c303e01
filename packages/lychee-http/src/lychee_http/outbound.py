"""Client side of HTTP/1.1, on a connection to a backend server."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import replace

from lychee_http.exceptions import ServerResponseError
from lychee_http.messages import RequestHead, ResponseHead, header_value, header_values
from lychee_http.parser import EndOfMessage, MalformedError
from lychee_http.recent_requests import RecentRequests
from lychee_http.response_parser import ResponseEvent, ResponseParser
from lychee_http.tcp import TcpStream
from lychee_types.records import Endpoint
from lychee_types.timeouts import timeout_after_input

HEAD_LIMIT_BYTES = 65_536
"""Maximum size of the head of a backend server's response."""

MAX_LENGTH_DIGITS = 18
"""Maximum number of digits of a Content-Length; Python reads no number of some thousands."""

BODILESS_STATUSES = frozenset((204, 304))
"""Statuses whose responses have no body."""


def _response_error(message: str) -> ServerResponseError:
    return ServerResponseError(
        message=f"the backend server's answer is unusable: {message}",
        remedy="look at the backend server's log for this request id",
    )


class ServerConnection:
    """An HTTP connection to a backend server; it carries one exchange at a time.

    :param stream: the TCP connection.
    :param until_close: whether to accept a response whose end is marked by the close of the
        connection, because it has neither a length nor chunks.
    :param is_carried: whether another gateway carries the connection.
    :param opening_s: how long it took to open, in seconds.
    """

    def __init__(
        self,
        *,
        stream: TcpStream,
        until_close: bool = False,
        is_carried: bool = False,
        opening_s: float = 0.0,
    ) -> None:
        self.is_carried = is_carried
        self.opening_s = opening_s
        self.recent_requests = RecentRequests()
        self._stream = stream
        self._until_close = until_close
        self._ends_at_close = False
        self._is_request_sent = True
        self._is_answered = False
        self._may_be_reused = True
        self.is_new = True
        self._parser: ResponseParser | None = None
        self._method = b""

    @property
    def stream(self) -> TcpStream:
        """The TCP connection."""
        return self._stream

    @property
    def was_not_sent_on(self) -> bool:
        """Whether it is known that the server got nothing of the last request."""
        return False

    def is_reusable(self) -> bool:
        """Return whether the idle connection can take a request.

        False if the server has closed it, or has sent bytes without a request.
        """
        return self._stream.is_quiet()

    def has_input(self) -> bool:
        """Return whether bytes of the server or the end of its stream are there and not read yet.

        Ask the operating system as well, since the event loop may not have read yet.
        """
        return not self._stream.is_quiet()

    def send(self, head: RequestHead, body: bytes) -> None:
        """Send a request.

        :param head: its head; it must have the header that frames the body.
        :param body: the body as it is sent, or its beginning if :meth:`send_body` sends the rest.
        """
        self._method = head.method
        self.is_new = False
        self._ends_at_close = False
        self._is_answered = False
        self._parser = ResponseParser(head_limit=HEAD_LIMIT_BYTES, to_head=head.method == b"HEAD")
        lines = [b"%b %b HTTP/1.1\r\n" % (head.method, head.target)]
        lines += [b"%b: %b\r\n" % header for header in head.headers]
        lines += (b"\r\n", body)
        self._stream.write(b"".join(lines))

    async def send_body(self, chunks: AsyncIterator[bytes], *, chunked: bool) -> None:
        """Send the rest of a body as it arrives; until its end the connection is not reusable.

        :param chunks: the parts.
        :param chunked: whether the head announces the chunked transfer coding.
        :raises ConnectionError: if the connection is lost.
        """
        self._is_request_sent = False
        async for chunk in chunks:
            self._stream.write(b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunked else chunk)
            await self._stream.drain()
        if chunked:
            self._stream.write(b"0\r\n\r\n")
        self._is_request_sent = True

    async def read_head(self) -> ResponseHead:
        """Read the head of the response.

        :raises ServerResponseError: if the connection ends or the response is malformed.
        """
        event = await self._next_event()
        if not isinstance(event, ResponseHead):
            raise _response_error("it has no head")
        return self._check_framing(event)

    async def read_chunk(self) -> bytes:
        """Read the next part of the body; return ``b""`` at its end.

        :raises ServerResponseError: if the response is incomplete or malformed.
        """
        event = await self._next_event()
        if isinstance(event, EndOfMessage):
            return b""
        if isinstance(event, ResponseHead):
            raise _response_error("it has a second head")
        return event

    def forbid_reuse(self) -> None:
        """Let this exchange be the connection's last one."""
        self._may_be_reused = False

    def end_exchange(self) -> bool:
        """End the exchange; return whether the connection may be used for another one."""
        parser, self._parser = self._parser, None
        # An answer that was not read to its end may be another request's.
        self._is_answered = parser is not None and parser.complete and not parser.has_unread_events
        if not self._may_be_reused or not self._is_request_sent or self._ends_at_close:
            return False
        if parser is not None and not (parser.complete and parser.allows_keep_alive):
            return False
        if parser is not None and parser.has_unread_events:
            # It was given up before its end, as that of another request, whose own may still come.
            return False
        if parser is not None and parser.has_surplus:
            return False
        return not self._stream.unsent and self._stream.is_quiet()

    def close(self) -> None:
        """Close at once; the server treats this as cancellation of the request.

        Bytes of an unanswered request that the server's system has not confirmed are dropped; after
        a plain close this one would go on sending them, and it could still arrive much later.
        """
        if self._stream.unacknowledged and not self._is_answered:
            self._stream.reset()
        else:
            self._stream.abort()

    def discard(self) -> None:
        """Close at once by a TCP reset, so that bytes not yet delivered are dropped."""
        self._stream.reset()

    def _check_framing(self, head: ResponseHead) -> ResponseHead:
        codings = header_values(head.headers, b"transfer-encoding")
        declared = header_value(head.headers, b"content-length")
        if codings and declared is not None:
            raise _response_error("it has both Content-Length and Transfer-Encoding")
        if codings and [coding.lower() for coding in codings] != [b"chunked"]:
            raise _response_error("its Transfer-Encoding is not chunked")
        if sum(len(n) + len(v) for n, v in head.headers) > HEAD_LIMIT_BYTES:
            raise _response_error("its head is too large")
        has_no_body = head.status in BODILESS_STATUSES or self._method == b"HEAD"
        if declared is None:
            if not codings and not has_no_body and self._until_close:
                self._ends_at_close = True
            elif not codings and not has_no_body:
                raise _response_error(
                    "it has neither Content-Length nor chunks, so its end is unknown"
                )
            return head
        if not declared.isdigit() or len(declared) > MAX_LENGTH_DIGITS:
            raise _response_error("its Content-Length is malformed")
        return replace(head, length=int(declared))

    async def _next_event(self) -> ResponseEvent:
        parser = self._parser
        assert parser is not None
        try:
            while (event := parser.next_event()) is None:
                data = await self._stream.read()
                if not data and self._ends_at_close and not self._stream.was_reset:
                    return EndOfMessage()
                if not data:
                    raise _response_error("it was cut short")
                parser.feed(data)
        except MalformedError as exc:
            raise _response_error(exc.message) from exc
        return event


async def open_server_connection(
    endpoint: Endpoint,
    *,
    timeout_s: float,
    until_close: bool = False,
    more_s: Callable[[], float] = lambda: 0.0,
) -> ServerConnection:
    """Connect to a backend server.

    :param endpoint: its address.
    :param timeout_s: maximum wait in seconds.
    :param until_close: whether to accept a response whose end is marked by the close of the
        connection.
    :param more_s: returns, when the wait is over, how much longer it may be, in seconds.
    :raises OSError: if the server cannot be reached in time; TimeoutError is a subclass.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with timeout_after_input(timeout_s, more_s=more_s):
        try:
            _, stream = await loop.create_connection(TcpStream, endpoint.host, endpoint.port)
        except (OverflowError, ValueError) as exc:
            raise OSError(f"{endpoint} is no address of a server: {exc}") from exc
    stream.probe_while_silent()
    return ServerConnection(stream=stream, until_close=until_close, opening_s=loop.time() - began)
