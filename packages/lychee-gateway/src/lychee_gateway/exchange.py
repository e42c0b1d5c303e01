"""Sending a request to one server, once."""

import asyncio
from collections.abc import Awaitable, Callable
from time import monotonic

from lychee_gateway.calls import (
    Answer,
    Attempt,
    Broken,
    Call,
    Late,
    Moved,
    NotSent,
    Refusal,
    StreamSent,
)
from lychee_gateway.dispatch import Dispatcher, Placed
from lychee_gateway.drain import FlightLog, KeyedFlight
from lychee_gateway.servers import ServerBook
from lychee_http import (
    Header,
    RequestHead,
    ResponseHead,
    ServerConnection,
    forwarded_headers,
    header_value,
)
from lychee_http.exceptions import ServerResponseError
from lychee_types.document import BodyMode
from lychee_types.ids import Token
from lychee_types.records import Endpoint

REFUSED = b"lychee-refused"
"""Header of an answer that says that the server did not run the request."""

OWN_HEADERS = frozenset(
    (b"lychee-request-id", b"lychee-token", b"lychee-deadline", b"content-length")
)
"""Headers that the gateway sets itself; a caller's are dropped."""

ANSWER_DROPS = frozenset((b"content-length", b"lychee-outcome", REFUSED))
"""Headers of an answer that are set anew or never come from a server."""

PassOn = Callable[[ResponseHead, ServerConnection], Awaitable[bool]]
"""Streams an answer to the caller, and returns whether it was whole."""


def outgoing_head(call: Call, endpoint: Endpoint, token: Token | None) -> RequestHead:
    """Return the head that a server gets.

    :param call: the request.
    :param endpoint: the server's address, the Host of a request without one.
    :param token: the fencing token, None for a free service.
    """
    headers: list[Header] = forwarded_headers(call.head.headers, drop=OWN_HEADERS)
    if header_value(call.head.headers, b"host") is None:
        headers.insert(0, (b"host", str(endpoint).encode()))
    headers.append((b"lychee-request-id", call.request_id.encode()))
    headers.append((b"lychee-deadline", b"%d" % call.deadline_ms))
    if token is not None:
        headers.append((b"lychee-token", b"%d" % token))
    if call.body or header_value(call.head.headers, b"content-length") is not None:
        headers.append((b"content-length", b"%d" % len(call.body)))
    return RequestHead(method=call.head.method, target=call.head.target, headers=tuple(headers))


def answer_head(head: ResponseHead) -> ResponseHead:
    """Return the head that the caller gets."""
    headers = tuple(forwarded_headers(head.headers, drop=ANSWER_DROPS))
    return ResponseHead(status=head.status, headers=headers, reason=head.reason, length=head.length)


class Exchange:
    """Sends requests to servers and takes their answers.

    :param dispatcher: checks owner and lease just before the write.
    :param servers: told of answers and failures.
    :param flights: tracks keyed requests.
    """

    def __init__(self, *, dispatcher: Dispatcher, servers: ServerBook, flights: FlightLog) -> None:
        self._dispatcher = dispatcher
        self._servers = servers
        self._flights = flights

    async def run(self, call: Call, placed: Placed, pass_on: PassOn) -> Attempt:
        """Send a request to the server of its place and return what became of it."""
        pool = placed.server.pool
        began = monotonic()
        try:
            conn = await pool.acquire(timeout_s=call.deadline - began)
        except OSError as exc:
            self._servers.note_failure(placed.server)
            return NotSent(reason=f"no connection: {type(exc).__name__}")
        with pool.release_after_use(conn):
            attempt = await self._on_connection(call, placed, conn, pass_on)
        match attempt:
            case Answer(head=head):
                seconds = monotonic() - began
                self._servers.note_answer(placed.server, seconds=seconds, status=head.status)
            case Broken() | Late() | StreamSent(whole=False):
                self._servers.note_failure(placed.server)
            case Refusal():
                self._dispatcher.pause(placed)
        return attempt

    async def _on_connection(
        self, call: Call, placed: Placed, conn: ServerConnection, pass_on: PassOn
    ) -> Attempt:
        token = placed.token
        if call.key is not None:
            token = self._dispatcher.still_holds(call, placed)
            if token is None:
                return Moved()
        if monotonic() >= call.deadline:
            return NotSent(reason="the deadline has passed")
        flight = self._begin_flight(call, placed)
        conn.send(outgoing_head(call, placed.server.record.endpoint, token), call.body)
        began = monotonic()
        earlier, call.maybe_run = call.maybe_run, True
        try:
            async with asyncio.timeout_at(call.deadline):
                with placed.server.awaited():
                    head = await conn.read_head()
                if _is_streamed(call, head):
                    body = None
                else:
                    body = await _whole_body(conn, call.service.max_response_bytes)
        except TimeoutError:
            return Late()
        except ServerResponseError as exc:
            return Broken(reason=exc.message)
        if body is None:
            seconds = monotonic() - began
            self._servers.note_answer(placed.server, seconds=seconds, status=head.status)
            whole = await pass_on(answer_head(head), conn)
            attempt: Attempt = StreamSent(status=head.status, whole=whole)
        else:
            whole = True
            attempt = _as_attempt(head, body)
            if isinstance(attempt, Refusal):
                call.maybe_run = earlier
        if flight is not None and whole:
            self._flights.end(flight)
        return attempt

    def _begin_flight(self, call: Call, placed: Placed) -> KeyedFlight | None:
        if call.key is None:
            return None
        return self._flights.begin(
            service=call.service.name,
            key=call.key,
            server=placed.server.record.id,
            deadline=call.deadline,
        )


def _is_refusal(head: ResponseHead) -> bool:
    return head.status == 503 and header_value(head.headers, REFUSED) is not None


def _is_streamed(call: Call, head: ResponseHead) -> bool:
    return call.service.body is BodyMode.STREAMED and not _is_refusal(head)


def _as_attempt(head: ResponseHead, body: bytes) -> Attempt:
    reason = header_value(head.headers, REFUSED)
    if head.status != 503 or reason is None:
        return Answer(head=answer_head(head), body=body)
    retry_after = header_value(head.headers, b"retry-after") or b""
    return Refusal(
        reason=reason.decode("latin-1"),
        retry_after_s=int(retry_after) if retry_after.isdigit() else None,
    )


async def _whole_body(conn: ServerConnection, limit: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    while chunk := await conn.read_chunk():
        parts.append(chunk)
        size += len(chunk)
        if size > limit:
            raise ServerResponseError(
                message=f"the answer is larger than {limit} bytes",
                remedy="raise the service's max_response_bytes or stream the service",
            )
    return b"".join(parts)
