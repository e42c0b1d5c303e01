"""A caller's connection on which several requests may be under way, answered in their order."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace

from loguru import logger

from lychee_http.exceptions import BadRequestError, CallerGoneError
from lychee_http.framing import (
    check_head,
    declared_length,
    has_body,
    keeps_alive,
    too_large,
)
from lychee_http.inbound import BODILESS, CONTINUE, CallerLimits
from lychee_http.messages import RequestHead, ResponseHead, header_tokens
from lychee_http.parser import EndOfMessage
from lychee_http.reader import RequestReader
from lychee_http.tcp import TcpStream

PIPELINE_LIMIT = 16
"""Requests of one connection that may be under way at once."""

Handle = Callable[["CallerExchange"], Awaitable[None]]
"""Answers one request."""

Refuse = Callable[["CallerExchange", BadRequestError], Awaitable[None]]
"""Answers a request that cannot be taken."""


class CallerExchange:
    """One request of a connection, and its place in the order of answers.

    :param head: the request's head.
    :param conn: its connection.
    :param before: done when all earlier requests have been answered, None for the first one.
    """

    def __init__(
        self,
        *,
        head: RequestHead,
        conn: "PipelinedConnection",
        before: "asyncio.Future[None] | None",
    ) -> None:
        self.head = head
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.is_cancellable = True
        self.task: asyncio.Task[None] | None = None
        self.response_started = False
        self._conn = conn
        self._before = before
        self._chunked = False

    async def wait(self) -> None:
        """Wait until all earlier requests of the connection have been answered.

        :raises CallerGoneError: if the connection ends before.
        """
        if self._before is not None and not self._before.done():
            await asyncio.shield(self._before)
        self._conn.check_open()

    async def read_body(self, *, max_bytes: int) -> tuple[bytes, bool]:
        """Return the body's beginning, and whether that is the whole of it.

        :param max_bytes: number of bytes after which the rest is left to :meth:`rest_of_body`.
        """
        return await self._conn.read_body(self, max_bytes=max_bytes)

    def rest_of_body(self, *, limit: int) -> AsyncIterator[bytes]:
        """Yield the rest of the body as it comes.

        :param limit: most bytes of the rest.
        """
        return self._conn.rest_of_body(limit=limit)

    async def send(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole answer when it is this request's turn.

        :raises CallerGoneError: if the caller has left or reads too slowly.
        """
        await self.wait()
        if self.head.method == b"HEAD" or head.status in BODILESS:
            body = b""
        elif head.length is None:
            head = replace(head, length=len(body))
        self._conn.write(self._begin(head) + body)
        await self._conn.drain()
        self.end()

    async def send_head(self, head: ResponseHead) -> None:
        """Send the head of an answer whose body follows."""
        await self.wait()
        self._conn.write(self._begin(head))

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of the body.

        :raises CallerGoneError: if the caller has left or reads too slowly.
        """
        if self.head.method == b"HEAD":
            return
        self._conn.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
        await self._conn.drain()

    async def finish(self) -> None:
        """End the answer's body."""
        if self._chunked and self.head.method != b"HEAD":
            self._conn.write(b"0\r\n\r\n")
        await self._conn.drain()
        self.end()

    def end(self) -> None:
        """Let the next request have its turn."""
        if not self.done.done():
            self.done.set_result(None)

    def truncate(self) -> None:
        """Close the connection so that the caller cannot take the answer for whole."""
        self._conn.truncate(self.head)

    def _begin(self, head: ResponseHead) -> bytes:
        self.response_started = True
        lines = [b"HTTP/1.1 %d %b\r\n" % (head.status, head.reason)]
        lines += [b"%b: %b\r\n" % header for header in head.headers]
        if head.status not in BODILESS:
            if head.length is not None:
                lines.append(b"content-length: %d\r\n" % head.length)
            elif self.head.version != b"1.0":
                self._chunked = True
                lines.append(b"transfer-encoding: chunked\r\n")
        if self._conn.closes_after(self):
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)


class PipelinedConnection:
    """One caller's connection.

    :param stream: the connection.
    :param limits: limits on heads and idle time.
    :param handle: answers a request.
    :param refuse: answers a request that cannot be taken.
    """

    def __init__(
        self, *, stream: TcpStream, limits: CallerLimits, handle: Handle, refuse: Refuse
    ) -> None:
        self.closing = False
        self._stream = stream
        self._limits = limits
        self._handle = handle
        self._refuse = refuse
        self._reader = RequestReader(stream=stream, head_limit=limits.head_bytes)
        self._exchanges: list[CallerExchange] = []
        self._room = asyncio.Event()
        self._reading: CallerExchange | None = None
        self._body_read = False
        self._body_over = asyncio.Event()
        self._waiting = False
        self._stop_after: CallerExchange | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is under way or has begun to arrive."""
        return self._waiting and not self._exchanges and self._stream.is_quiet()

    @property
    def under_way(self) -> int:
        """Return how many requests have no whole answer."""
        return len(self._exchanges)

    async def run(self) -> None:
        """Read requests and have them answered until the connection is over."""
        self._stream.on_disconnect = self._caller_gone
        try:
            while await self._take_one():
                pass
            while self._exchanges:
                await asyncio.wait([exchange.done for exchange in self._exchanges])
                self._sweep()
            await self._close()
        except (CallerGoneError, ConnectionError):
            self._stream.abort()
        finally:
            self._stream.on_disconnect = lambda: None
            for exchange in self._exchanges:
                if exchange.task is not None and exchange.is_cancellable:
                    exchange.task.cancel()
            if self._exchanges:
                self._stream.abort()

    def close_if_idle(self) -> None:
        """Close the connection if nothing is under way."""
        if self.is_idle:
            self._stream.abort()

    def check_open(self) -> None:
        """Raise unless answers can be sent.

        :raises CallerGoneError: if the connection has ended.
        """
        if self._stream.lost or self._stream.transport.is_closing():
            raise CallerGoneError()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self._stream.write(data)

    async def drain(self) -> None:
        """Wait while the caller reads slowly.

        :raises CallerGoneError: if the caller has left or reads too slowly.
        """
        if not self._stream.is_congested:
            return
        try:
            async with asyncio.timeout(self._limits.stall_s):
                await self._stream.drain()
        except (TimeoutError, ConnectionError) as exc:
            raise CallerGoneError() from exc

    def truncate(self, head: RequestHead) -> None:
        """Close at once; an HTTP/1.0 caller would take a plain end for the answer's."""
        if head.version == b"1.0":
            self._stream.reset()
        else:
            self._stream.abort()

    def closes_after(self, exchange: CallerExchange) -> bool:
        """Return whether the connection ends with this answer, and have it end then."""
        unread = self._reading is exchange and not self._body_read
        if self.closing or unread or not keeps_alive(exchange.head):
            self.closing = True
            self._stop_after = exchange
            for later in self._exchanges[self._exchanges.index(exchange) + 1 :]:
                if later.task is not None:
                    later.task.cancel()
            return True
        return False

    async def read_body(self, exchange: CallerExchange, *, max_bytes: int) -> tuple[bytes, bool]:
        """Return the beginning of a body, and whether that is the whole of it."""
        if self._reading is not exchange or self._body_read:
            return b"", True
        if b"100-continue" in header_tokens(exchange.head.headers, b"expect"):
            await exchange.wait()
            self._stream.write(CONTINUE)
        parts: list[bytes] = []
        size = 0
        while size < max_bytes:
            chunk = await self._next_chunk()
            if chunk is None:
                return b"".join(parts), True
            parts.append(chunk)
            size += len(chunk)
        return b"".join(parts), False

    async def rest_of_body(self, *, limit: int) -> AsyncIterator[bytes]:
        """Yield the rest of the body that is being read.

        :raises BadRequestError: if it is too long, too slow or malformed.
        """
        size = 0
        while (chunk := await self._next_chunk()) is not None:
            size += len(chunk)
            if size > limit:
                raise too_large(limit)
            yield chunk

    async def _next_chunk(self) -> bytes | None:
        while (event := self._reader.next_event()) is None:
            if not await self._reader.feed(self._limits.stall_s):
                raise self._reader.cut("body")
        if isinstance(event, EndOfMessage):
            self._body_read = True
            self._body_over.set()
            return None
        assert isinstance(event, bytes)
        return event

    async def _take_one(self) -> bool:
        """Read one request and begin to answer it; False if no other may follow."""
        while len(self._exchanges) >= PIPELINE_LIMIT:
            self._room.clear()
            await self._room.wait()
        try:
            head = await self._read_head()
            if head is None:
                return False
            self._reading = None
            exchange = self._make_exchange(head)
            check_head(head, limit=self._limits.head_bytes)
        except BadRequestError as exc:
            await self._answer_refusal(exc)
            return False
        self._start(exchange)
        if has_body(head):
            await self._until_body_read(exchange)
        return not self.closing and exchange is not self._stop_after

    def _make_exchange(self, head: RequestHead) -> CallerExchange:
        before = self._exchanges[-1].done if self._exchanges else None
        exchange = CallerExchange(head=head, conn=self, before=before)
        self._body_read = False
        self._body_over.clear()
        if has_body(head):
            self._reading = exchange
        else:
            self._reader.next_event()
        return exchange

    def _start(self, exchange: CallerExchange) -> None:
        self._exchanges.append(exchange)
        exchange.done.add_done_callback(lambda _: self._exchange_done(exchange))
        exchange.task = asyncio.create_task(self._serve(exchange))

    async def _until_body_read(self, exchange: CallerExchange) -> None:
        exchange.done.add_done_callback(lambda _: self._body_over.set())
        await self._body_over.wait()
        if not self._body_read:
            self.closing = True

    async def _serve(self, exchange: CallerExchange) -> None:
        try:
            await self._handle(exchange)
        except BadRequestError as exc:
            await self._refuse_exchange(exchange, exc)
        except (CallerGoneError, ConnectionError):
            self._stream.abort()
        except asyncio.CancelledError:
            if exchange.response_started:
                self._stream.abort()
            raise
        except Exception:
            logger.exception("a caller's request failed")
            self._stream.abort()
        finally:
            exchange.end()

    async def _refuse_exchange(self, exchange: CallerExchange, exc: BadRequestError) -> None:
        self.closing = True
        if exchange.response_started:
            self._stream.abort()
            return
        try:
            await self._refuse(exchange, exc)
        except (CallerGoneError, ConnectionError):
            self._stream.abort()

    async def _answer_refusal(self, exc: BadRequestError) -> None:
        """Answer bytes that are no request that can be taken, after all earlier answers."""
        head = RequestHead(method=b"GET", target=b"/", headers=())
        exchange = CallerExchange(
            head=head, conn=self, before=self._exchanges[-1].done if self._exchanges else None
        )
        self._exchanges.append(exchange)
        self.closing = True
        try:
            await self._refuse(exchange, exc)
        finally:
            exchange.end()
            self._sweep()

    def _exchange_done(self, exchange: CallerExchange) -> None:
        self._sweep()
        if exchange is self._stop_after:
            # The caller learns by the close that later requests were not read.
            self._stream.stop_reading()

    def _sweep(self) -> None:
        self._exchanges = [exchange for exchange in self._exchanges if not exchange.done.done()]
        self._room.set()

    def _caller_gone(self) -> None:
        for exchange in self._exchanges:
            if exchange.is_cancellable and exchange.task is not None:
                exchange.task.cancel()

    async def _read_head(self) -> RequestHead | None:
        event = self._reader.next_event()
        if event is None and not self._reader.in_head:
            if not await self._wait_for_request():
                return None
            event = self._reader.next_event()
        if event is None:
            event = await self._reader.rest_of_head(self._limits.head_s)
        assert isinstance(event, RequestHead)
        return event

    async def _wait_for_request(self) -> bool:
        self._waiting = True
        try:
            while True:
                got = await self._reader.feed(self._limits.idle_s)
                # A connection is idle only when its last answer has gone.
                if got or self._stream.eof or not self._exchanges:
                    return got
        finally:
            self._waiting = False

    async def _close(self) -> None:
        """Close after the caller has had the time to read the last answer."""
        if not self._stream.eof and (self.closing or self._stream.buffered):
            if self._stream.transport.can_write_eof():
                self._stream.transport.write_eof()
            self._stream.stop_reading(stopped=False)
            await self._reader.drop_rest()
        self._stream.close()


def declared_length_error(head: RequestHead, limit: int) -> BadRequestError | None:
    """Return the refusal of a body that says that it is too long, None otherwise."""
    return too_large(limit) if (declared_length(head) or 0) > limit else None
