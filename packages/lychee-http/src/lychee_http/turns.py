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
from lychee_http.wire import Wire

PIPELINE_LIMIT = 16
"""Requests of one connection that may be under way at once."""

Handle = Callable[["Turn"], Awaitable[None]]
"""Answers one request."""

Refuse = Callable[["Turn", BadRequestError], Awaitable[None]]
"""Answers a request that cannot be taken."""


class Turn:
    """One request of a connection, and its place in the order of answers.

    :param head: the request's head.
    :param conn: its connection.
    :param before: done when all earlier requests have been answered, None for the first one.
    """

    def __init__(
        self, *, head: RequestHead, conn: "TurnConnection", before: "asyncio.Future[None] | None"
    ) -> None:
        self.head = head
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.is_cancellable = True
        self.task: asyncio.Task[None] | None = None
        self.began_answer = False
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

    async def read_body(self, *, atmost: int) -> tuple[bytes, bool]:
        """Return the body's beginning, and whether that is the whole of it.

        :param atmost: number of bytes after which the rest is left to :meth:`rest_of_body`.
        """
        return await self._conn.read_body(self, atmost=atmost)

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

    async def begin(self, head: ResponseHead) -> None:
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
        self.began_answer = True
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


class TurnConnection:
    """One caller's connection.

    :param wire: the connection.
    :param limits: limits on heads and idle time.
    :param handle: answers a request.
    :param refuse: answers a request that cannot be taken.
    """

    def __init__(self, *, wire: Wire, limits: CallerLimits, handle: Handle, refuse: Refuse) -> None:
        self.closing = False
        self._wire = wire
        self._limits = limits
        self._handle = handle
        self._refuse = refuse
        self._reader = RequestReader(wire=wire, head_limit=limits.head_bytes)
        self._turns: list[Turn] = []
        self._room = asyncio.Event()
        self._reading: Turn | None = None
        self._body_read = False
        self._body_over = asyncio.Event()
        self._waiting = False
        self._stop_after: Turn | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is under way or has begun to arrive."""
        return self._waiting and not self._turns and self._wire.is_quiet()

    @property
    def under_way(self) -> int:
        """Return how many requests have no whole answer."""
        return len(self._turns)

    async def run(self) -> None:
        """Read requests and have them answered until the connection is over."""
        self._wire.on_gone = self._caller_gone
        try:
            while await self._take_one():
                pass
            while self._turns:
                await asyncio.wait([turn.done for turn in self._turns])
                self._sweep()
            await self._close()
        except (CallerGoneError, ConnectionError):
            self._wire.abort()
        finally:
            self._wire.on_gone = lambda: None
            for turn in self._turns:
                if turn.task is not None and turn.is_cancellable:
                    turn.task.cancel()
            if self._turns:
                self._wire.abort()

    def close_if_idle(self) -> None:
        """Close the connection if nothing is under way."""
        if self.is_idle:
            self._wire.abort()

    def check_open(self) -> None:
        """Raise unless answers can be sent.

        :raises CallerGoneError: if the connection has ended.
        """
        if self._wire.lost or self._wire.transport.is_closing():
            raise CallerGoneError()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self._wire.write(data)

    async def drain(self) -> None:
        """Wait while the caller reads slowly.

        :raises CallerGoneError: if the caller has left or reads too slowly.
        """
        if not self._wire.is_congested:
            return
        try:
            async with asyncio.timeout(self._limits.stall_s):
                await self._wire.drain()
        except (TimeoutError, ConnectionError) as exc:
            raise CallerGoneError() from exc

    def truncate(self, head: RequestHead) -> None:
        """Close at once; an HTTP/1.0 caller would take a plain end for the answer's."""
        if head.version == b"1.0":
            self._wire.reset()
        else:
            self._wire.abort()

    def closes_after(self, turn: Turn) -> bool:
        """Return whether the connection ends with this answer, and have it end then."""
        unread = self._reading is turn and not self._body_read
        if self.closing or unread or not keeps_alive(turn.head):
            self.closing = True
            self._stop_after = turn
            for later in self._turns[self._turns.index(turn) + 1 :]:
                if later.task is not None:
                    later.task.cancel()
            return True
        return False

    async def read_body(self, turn: Turn, *, atmost: int) -> tuple[bytes, bool]:
        """Return the beginning of a body, and whether that is the whole of it."""
        if self._reading is not turn or self._body_read:
            return b"", True
        if b"100-continue" in header_tokens(turn.head.headers, b"expect"):
            await turn.wait()
            self._wire.write(CONTINUE)
        parts: list[bytes] = []
        size = 0
        while size < atmost:
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
        while len(self._turns) >= PIPELINE_LIMIT:
            self._room.clear()
            await self._room.wait()
        try:
            head = await self._read_head()
            if head is None:
                return False
            self._reading = None
            turn = self._make_turn(head)
            check_head(head, limit=self._limits.head_bytes)
        except BadRequestError as exc:
            await self._answer_refusal(exc)
            return False
        self._start(turn)
        if has_body(head):
            await self._until_body_read(turn)
        return not self.closing and turn is not self._stop_after

    def _make_turn(self, head: RequestHead) -> Turn:
        before = self._turns[-1].done if self._turns else None
        turn = Turn(head=head, conn=self, before=before)
        self._body_read = False
        self._body_over.clear()
        if has_body(head):
            self._reading = turn
        else:
            self._reader.next_event()
        return turn

    def _start(self, turn: Turn) -> None:
        self._turns.append(turn)
        turn.done.add_done_callback(lambda _: self._turn_done(turn))
        turn.task = asyncio.create_task(self._serve(turn))

    async def _until_body_read(self, turn: Turn) -> None:
        turn.done.add_done_callback(lambda _: self._body_over.set())
        await self._body_over.wait()
        if not self._body_read:
            self.closing = True

    async def _serve(self, turn: Turn) -> None:
        try:
            await self._handle(turn)
        except BadRequestError as exc:
            await self._refuse_turn(turn, exc)
        except (CallerGoneError, ConnectionError):
            self._wire.abort()
        except asyncio.CancelledError:
            if turn.began_answer:
                self._wire.abort()
            raise
        except Exception:
            logger.exception("a caller's request failed")
            self._wire.abort()
        finally:
            turn.end()

    async def _refuse_turn(self, turn: Turn, exc: BadRequestError) -> None:
        self.closing = True
        if turn.began_answer:
            self._wire.abort()
            return
        try:
            await self._refuse(turn, exc)
        except (CallerGoneError, ConnectionError):
            self._wire.abort()

    async def _answer_refusal(self, exc: BadRequestError) -> None:
        """Answer bytes that are no request that can be taken, after all earlier answers."""
        head = RequestHead(method=b"GET", target=b"/", headers=())
        turn = Turn(head=head, conn=self, before=self._turns[-1].done if self._turns else None)
        self._turns.append(turn)
        self.closing = True
        try:
            await self._refuse(turn, exc)
        finally:
            turn.end()
            self._sweep()

    def _turn_done(self, turn: Turn) -> None:
        self._sweep()
        if turn is self._stop_after:
            # The caller learns by the close that later requests were not read.
            self._wire.stop_reading()

    def _sweep(self) -> None:
        self._turns = [turn for turn in self._turns if not turn.done.done()]
        self._room.set()

    def _caller_gone(self) -> None:
        for turn in self._turns:
            if turn.is_cancellable and turn.task is not None:
                turn.task.cancel()

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
                if got or self._wire.eof or not self._turns:
                    return got
        finally:
            self._waiting = False

    async def _close(self) -> None:
        """Close after the caller has had the time to read the last answer."""
        if not self._wire.eof and (self.closing or self._wire.buffered):
            if self._wire.transport.can_write_eof():
                self._wire.transport.write_eof()
            self._wire.stop_reading(stopped=False)
            await self._reader.drop_rest()
        self._wire.close()


def body_limit_fault(head: RequestHead, limit: int) -> BadRequestError | None:
    """Return the refusal of a body that says that it is too long, None otherwise."""
    return too_large(limit) if (declared_length(head) or 0) > limit else None
