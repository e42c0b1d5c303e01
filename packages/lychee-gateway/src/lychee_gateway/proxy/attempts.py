"""Sending a request to one server, once."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace

from lychee_gateway.proxy.codec import ProxyCodec, ResponseInfo
from lychee_gateway.proxy.servers import ProxyServer, Sending
from lychee_http import RequestHead, ResponseHead, ServerConnection, header_value
from lychee_http.exceptions import BadRequestError, CallerGoneError, ServerAnswerError
from lychee_http.turns import Turn
from lychee_types.clock import Clock

WHOLE_BYTES = 16_384
"""Largest answer that is read whole before the caller gets any of it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Body:
    """A request's body.

    :param start: its beginning.
    :param is_whole: whether that is all of it.
    :param rest: yields the rest, once.
    """

    start: bytes
    is_whole: bool
    rest: Callable[[], AsyncIterator[bytes]]


@dataclass(frozen=True, kw_only=True, slots=True)
class WholeAnswer:
    """The server's whole answer, which the caller has not got yet.

    :param head: its head.
    :param body: its body.
    """

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class PassedOn:
    """The answer went to the caller while it came.

    :param status: its status.
    :param is_whole: whether it came to its end.
    """

    status: int
    is_whole: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The server did not run the request.

    :param reason: what it said, or why it could not be asked.
    :param was_sent: whether the request reached the server.
    :param is_misdirected: whether another server has the address or the key.
    """

    reason: str
    was_sent: bool
    is_misdirected: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class NoAnswer:
    """The server may have run the request, and its answer is lost.

    :param reason: what happened.
    """

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TooLate:
    """The time was up before the server answered; it may have run the request."""


Attempt = WholeAnswer | PassedOn | NotRun | NoAnswer | TooLate
"""What became of one attempt."""


class Sender:
    """Sends requests to servers.

    :param codec: translates heads.
    :param clock: source of time.
    """

    def __init__(self, *, codec: ProxyCodec, clock: Clock) -> None:
        self._codec = codec
        self._clock = clock

    async def send(
        self, *, turn: Turn, body: Body, server: ProxyServer, until: float, request_id: str
    ) -> Attempt:
        """Send a request to a server and return what became of it.

        :param turn: the caller's request.
        :param body: its body.
        :param server: the server.
        :param until: when the caller's final answer is due, clock seconds.
        :param request_id: the id that the answer must bear.
        """
        began = self._clock.monotonic()
        with server.occupying(began) as sending:
            try:
                conn = await server.pool.take(timeout_s=max(0.0, until - began))
            except OSError as exc:
                server.note_failure(self._clock.monotonic())
                return NotRun(reason=f"no connection: {type(exc).__name__}", was_sent=False)
            with server.pool.lent(conn):
                attempt = await self._on_connection(
                    conn, turn, body, server, sending, until, request_id
                )
        if isinstance(attempt, NoAnswer | TooLate):
            server.note_failure(self._clock.monotonic())
        return attempt

    async def _on_connection(
        self,
        conn: ServerConnection,
        turn: Turn,
        body: Body,
        server: ProxyServer,
        sending: Sending,
        until: float,
        request_id: str,
    ) -> Attempt:
        left_s = until - self._clock.monotonic()
        if left_s <= 0:
            return NotRun(reason="the time was up before it was sent", was_sent=False)
        head = self._codec.forward_request(turn.head, server=server.run.server, left_s=left_s)
        head = _framed(head, body, turn.head)
        try:
            async with asyncio.timeout(left_s):
                conn.send(head, _first_bytes(head, body))
                began = self._clock.monotonic()
                async with _sending(conn, head, body):
                    answer = await conn.read_head()
                    word = self._codec.read_response(answer)
                    seconds = self._clock.monotonic() - began
                    if request_id and word.request_id not in ("", request_id):
                        return NoAnswer(reason="the answer belongs to another request")
                    self._note(server, word, sending, seconds)
                    if word.is_not_run:
                        await _whole_body(conn)
                        return NotRun(
                            reason=f"it answered {answer.status}",
                            was_sent=True,
                            is_misdirected=word.is_misdirected,
                        )
                    if word.is_encoded:
                        return NoAnswer(reason="the body is encoded")
                    return await self._take_answer(conn, answer, turn)
        except TimeoutError:
            return TooLate()
        except ServerAnswerError as exc:
            return NoAnswer(reason=exc.message)

    def _note(
        self, server: ProxyServer, word: ResponseInfo, sending: Sending, seconds: float
    ) -> None:
        if word.occupancy is not None:
            server.note_occupancy(word.occupancy, self._clock.monotonic())
        if not word.is_not_run:
            server.note_answer(sending, seconds)

    async def _take_answer(
        self, conn: ServerConnection, answer: ResponseHead, turn: Turn
    ) -> Attempt:
        head = self._codec.forward_response(answer)
        if (answer.length is not None and answer.length <= WHOLE_BYTES) or answer.status >= 500:
            return WholeAnswer(head=head, body=await _whole_body(conn))
        return await self._stream(conn, head, turn)

    async def _stream(self, conn: ServerConnection, head: ResponseHead, turn: Turn) -> Attempt:
        chunk = await conn.read_chunk()
        await turn.begin(head)
        try:
            while chunk:
                await turn.send_chunk(chunk)
                chunk = await conn.read_chunk()
        except (ServerAnswerError, TimeoutError):
            turn.truncate()
            return PassedOn(status=head.status, is_whole=False)
        await turn.finish()
        return PassedOn(status=head.status, is_whole=True)


def _framed(head: RequestHead, body: Body, caller: RequestHead) -> RequestHead:
    """Return the head with the body's framing: by its length where that is known."""
    declared = header_value(caller.headers, b"content-length")
    if body.is_whole and (body.start or declared is not None):
        framing = (b"content-length", b"%d" % len(body.start))
    elif body.is_whole:
        return head
    elif declared is not None:
        framing = (b"content-length", declared)
    else:
        framing = (b"transfer-encoding", b"chunked")
    return replace(head, headers=(*head.headers, framing))


def _is_chunked(head: RequestHead) -> bool:
    return header_value(head.headers, b"transfer-encoding") is not None


def _first_bytes(head: RequestHead, body: Body) -> bytes:
    if not body.start or not _is_chunked(head):
        return body.start
    return b"%x\r\n%b\r\n" % (len(body.start), body.start)


class _sending:  # noqa: N801
    """Send the rest of a body beside the block, which reads the answer."""

    def __init__(self, conn: ServerConnection, head: RequestHead, body: Body) -> None:
        self._conn = conn
        self._head = head
        self._body = body
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> None:
        if not self._body.is_whole:
            self._task = asyncio.create_task(self._send())

    async def __aexit__(self, *exc: object) -> None:
        if self._task is None:
            return
        self._task.cancel()
        results = await asyncio.gather(self._task, return_exceptions=True)
        for result in results:
            if isinstance(result, BadRequestError | CallerGoneError):
                raise result

    async def _send(self) -> None:
        try:
            await self._conn.send_body(self._body.rest(), chunked=_is_chunked(self._head))
        except (BadRequestError, CallerGoneError):
            # The answer is not waited for: the server cannot get the whole request.
            self._conn.close()
            raise


async def _whole_body(conn: ServerConnection) -> bytes:
    parts = []
    while chunk := await conn.read_chunk():
        parts.append(chunk)
    return b"".join(parts)
