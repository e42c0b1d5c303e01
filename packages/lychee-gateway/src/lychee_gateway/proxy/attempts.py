"""Make one attempt to get a request answered by one server."""

import asyncio
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, nullcontext, suppress
from dataclasses import dataclass

from lychee_gateway.proxy.claims import AnswerClaim
from lychee_gateway.proxy.codec import ProxyCodec, ResponseInfo
from lychee_gateway.proxy.held import HeldAnswer
from lychee_gateway.proxy.limits import ServerLimits
from lychee_gateway.proxy.own_link import OwnLinkFullError
from lychee_gateway.proxy.paths import ServerPaths
from lychee_gateway.proxy.peers import NotReachedError
from lychee_gateway.proxy.request_bodies import (
    Body,
    BodySending,
    encode_buffered,
    with_body_framing,
)
from lychee_gateway.proxy.resets import ResetRecorder
from lychee_gateway.proxy.server_waits import ServerWait, ServerWaits
from lychee_gateway.proxy.servers import InFlightRequest, ProxyServer
from lychee_http import ResponseHead, ServerConnection
from lychee_http.exceptions import ServerResponseError
from lychee_http.exchange import CallerExchange
from lychee_http.outbound import BODILESS_STATUSES
from lychee_http.stages import Stage
from lychee_http.used_connections import UsedConnections
from lychee_types.clock import Clock
from lychee_types.timeouts import timeout_after_input

LAST_SEND_SHARE = 0.9
"""Share of the drain time after which nothing is sent to a leaving server, however late it opened
a connection.
"""

SETTLE_S = 0.002
"""Time for which nothing is sent on a new connection, beyond the time for the way, in seconds.

A server resets a connection beyond those that it accepts. If a request is on its way then, nobody
knows whether it runs.
"""

MAX_SETTLE_S = 0.01
"""Maximum time for which nothing is sent on a new connection, in seconds."""

NOT_RUN_RETRY_S = 0.1
"""Retry delay after a request that a server did not run, in seconds."""

MIN_FAILURE_STATUS = 500
"""Lowest HTTP status by which a server says that it failed."""

MIN_UNSUCCESSFUL_STATUS = 300
"""Lowest HTTP status by which a server may refuse a request without reading on."""

MAX_BUFFERED_ANSWER_BYTES = 16_384
"""Maximum size of an answer that is buffered whole before any of it is sent to the caller."""

MAX_BUFFERED_AHEAD_BYTES = 262_144
"""The same for an answer of a known size for which requests behind it wait."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WholeAnswer:
    """The server's answer, buffered whole and not sent to the caller yet.

    :param head: head to send to the caller.
    :param body: body to send to the caller.
    """

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class PassedOn:
    """The server's answer was streamed to the caller.

    :param status: its HTTP status.
    :param is_whole: whether it was complete; if not, the caller's answer was truncated.
    :param is_disconnected: whether the server ended the connection before that.
    """

    status: int
    is_whole: bool
    is_disconnected: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The server did not run the request.

    :param reason: what the server answered, or why the request was not sent.
    :param was_sent: whether bytes of it were sent, also if they reached no server.
    :param is_misdirected: whether the address or the key belongs to another server.
    :param retry_after_s: time after which another request may be run, in seconds.
    """

    reason: str
    was_sent: bool
    is_misdirected: bool = False
    retry_after_s: float = NOT_RUN_RETRY_S


@dataclass(frozen=True, kw_only=True, slots=True)
class NoAnswer:
    """The server may have run the request, but no usable answer came.

    :param reason: what happened.
    :param is_disconnected: whether the server ended the connection.
    :param is_callers_fault: whether it had not got the whole body from its caller.
    :param is_dropped: whether the server has told that it no longer has the request.
    """

    reason: str
    is_disconnected: bool = False
    is_callers_fault: bool = False
    is_dropped: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class TooLate:
    """The time for it passed before the server answered; it may have run the request.

    :param is_callers_fault: whether it had not got the whole body from its caller.
    :param reason: what ended the time.
    """

    is_callers_fault: bool = False
    reason: str = "no answer in time"


@dataclass(frozen=True, kw_only=True, slots=True)
class TooLarge:
    """There is no room to hold the answer back, and requests behind it run."""


Attempt = WholeAnswer | PassedOn | NotRun | NoAnswer | TooLate | TooLarge
"""The result of one attempt."""


class Sender:
    """Sends requests to servers.

    :param codec: translates request and response heads.
    :param paths: opens connections to servers.
    :param limits: rate limits of the servers.
    :param resets: records servers that reset connections.
    :param drain_s: time after which a leaving server must get no more requests, in seconds.
    :param clock: source of time.
    :param is_usable: returns whether requests may be sent by the gateway's state.
    :param limit_wait: limits a wait without which an answer can still be passed on.
    :param waits: watches the requests that servers have not answered.
    """

    def __init__(
        self,
        *,
        codec: ProxyCodec,
        paths: ServerPaths,
        limits: ServerLimits,
        resets: ResetRecorder,
        drain_s: float,
        clock: Clock,
        is_usable: Callable[[], bool] = lambda: True,
        limit_wait: Callable[[], AbstractAsyncContextManager[None]] = nullcontext,
        waits: ServerWaits | None = None,
    ) -> None:
        self._codec = codec
        self._paths = paths
        self._limits = limits
        self._resets = resets
        self._last_send_s = drain_s * LAST_SEND_SHARE
        self._clock = clock
        self._is_usable = is_usable
        self._limit_wait = limit_wait
        self._waits = waits or ServerWaits(clock=clock)

    async def send(
        self,
        *,
        exchange: CallerExchange,
        body: Body,
        server: ProxyServer,
        deadline: float,
        request_id: str,
        used: UsedConnections,
        held: HeldAnswer,
        claim: AnswerClaim | None = None,
        selected_at: float | None = None,
    ) -> Attempt:
        """Send a request to a server and return the result.

        :param exchange: the exchange with the caller.
        :param body: the request's body.
        :param server: the server to send it to.
        :param deadline: monotonic time in seconds by which the caller must have the final answer.
        :param request_id: the id that the answer must repeat, empty if the request has none.
        :param used: the connections on which the request, or another one with the same id, was
            sent before, to which that of this attempt is added. Another copy of an earlier answer,
            which may still come there, bears the same id.
        :param held: the room for the answer.
        :param claim: the attempt's claim to pass its answer on, None for the only attempt.
        :param selected_at: monotonic time at which the server was selected, in seconds; None for
            just now.
        """
        began = self._clock.monotonic()
        selected_at = began if selected_at is None else selected_at
        exchange.stage = Stage.CONNECTION
        with server.track_request(began) as in_flight:
            try:
                conn = await self._paths.acquire(
                    server, timeout_s=max(0.0, deadline - began), but=used
                )
            except OSError as exc:
                if not isinstance(exc, OwnLinkFullError):
                    server.record_failure(self._clock.monotonic())
                return _not_connected(exc)
            used.add(conn)
            with server.pool.release_after_use(conn):
                if conn.is_new and not await self._is_accepted(conn):
                    server.record_failure(self._clock.monotonic())
                    self._resets.record(server, conn)
                    return NotRun(reason="the server reset the connection", was_sent=False)
                attempt = await self._send_on(
                    conn,
                    exchange,
                    body,
                    server,
                    in_flight,
                    deadline,
                    request_id,
                    held,
                    claim,
                    selected_at,
                )
        if isinstance(attempt, NoAnswer | TooLate) and attempt.is_callers_fault:
            return attempt
        if isinstance(attempt, NoAnswer | TooLate):
            server.record_failure(self._clock.monotonic())
        if isinstance(attempt, NoAnswer):
            self._resets.record(server, conn)
        if conn.is_carried and server.is_direct:
            # Its way was mended meanwhile, and nobody would take this connection again.
            server.pool.drop_carried()
        if isinstance(attempt, TooLate) or (isinstance(attempt, NoAnswer) and attempt.is_dropped):
            server.record_unanswered()
        match attempt:
            case TooLate() | NoAnswer(is_disconnected=True) if conn.is_carried:
                # The carrying gateway may be cut off itself by now.
                server.pool.drop_carried()
            case TooLate() | NoAnswer(is_disconnected=True):
                self._paths.suspect(server, since=began)
        return attempt

    async def has_ended(self, server: ProxyServer) -> bool:
        """Return whether nobody accepts connections at a server's address any more."""
        return await self._paths.has_ended(server)

    async def _is_accepted(self, conn: ServerConnection) -> bool:
        """Return whether a server has kept a new connection for a moment."""
        await asyncio.sleep(min(MAX_SETTLE_S, SETTLE_S + conn.opening_s))
        return conn.is_reusable()

    async def _send_on(
        self,
        conn: ServerConnection,
        exchange: CallerExchange,
        body: Body,
        server: ProxyServer,
        in_flight: InFlightRequest,
        deadline: float,
        request_id: str,
        held: HeldAnswer,
        claim: AnswerClaim | None,
        selected_at: float,
    ) -> Attempt:
        remaining_s = deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return NotRun(reason="the time was up before it was sent", was_sent=False)
        if server.has_drained(self._clock.monotonic(), self._last_send_s):
            return NotRun(reason="the server left before it was sent", was_sent=False)
        if not self._is_usable():
            # The process was paused, or has fallen behind, since the server was selected.
            return NotRun(reason="the state was outdated before it was sent", was_sent=False)
        if not self._limits.may_send(server, selected_at=selected_at):
            return NotRun(reason="the permit expired before it was sent", was_sent=False)
        head = self._codec.forward_request(
            exchange.head, server=server.run.server, remaining_s=remaining_s
        )
        head = with_body_framing(head, body, exchange.head)
        self._limits.count_attempt(server.run)
        sending = BodySending(conn, head, body)
        wait = ServerWait(
            server=server,
            conn=conn,
            request_id=request_id,
            in_flight=in_flight,
            is_sent=sending.is_done,
            sent_at=self._clock.monotonic(),
            deadline=deadline,
        )
        try:
            async with timeout_after_input(remaining_s, has_input=conn.has_input):
                exchange.record_sending(server=server.run.server, is_carried=conn.is_carried)
                conn.send(head, encode_buffered(head, body))
                began = self._clock.monotonic()
                async with sending:
                    with self._waits.track(wait):
                        answer = await conn.read_head()
                    info = self._codec.read_response(answer)
                    seconds = self._clock.monotonic() - began
                    if _is_foreign(info, request_id):
                        return NoAnswer(reason="the answer belongs to another request")
                    if not info.request_id:
                        # Another copy of it could not be told from the next answer.
                        conn.forbid_reuse()
                    if not conn.is_carried:
                        server.heard_at = self._clock.monotonic()
                        self._paths.record_heard()
                    self._record_answer(server, answer, info, in_flight, seconds)
                    if info.is_not_run:
                        await _read_body(conn, max_bytes=MAX_BUFFERED_ANSWER_BYTES)
                        return NotRun(
                            reason=f"it answered {answer.status}",
                            was_sent=True,
                            is_misdirected=info.is_misdirected,
                        )
                    if info.is_encoded:
                        return NoAnswer(reason="the body is encoded")
                    if body.is_upload and answer.status < MIN_UNSUCCESSFUL_STATUS:
                        with suppress(TimeoutError):
                            async with self._limit_wait():
                                await sending.finish(deadline - self._clock.monotonic())
                    return await self._read_answer(
                        conn, answer, exchange, held, claim or AnswerClaim()
                    )
        except TimeoutError:
            return TooLate(is_callers_fault=sending.awaits_caller)
        except (ServerResponseError, ConnectionError) as exc:
            if conn.was_not_sent_on:
                return NotRun(reason="the carrying gateway did not send it on", was_sent=True)
            if wait.is_dropped:
                return NoAnswer(reason="its server no longer has it", is_dropped=True)
            if sending.has_stalled:
                return NoAnswer(reason="the caller stopped sending the body", is_callers_fault=True)
            return _no_answer(conn, exc)

    def _record_answer(
        self,
        server: ProxyServer,
        answer: ResponseHead,
        info: ResponseInfo,
        in_flight: InFlightRequest,
        seconds: float,
    ) -> None:
        if info.occupancy is not None:
            now = self._clock.monotonic()
            server.record_occupancy(info.occupancy, now)
            if info.request_id and not info.is_misdirected:
                server.record_load_evidence(info.occupancy, asked_at=in_flight.sent_at, now=now)
        has_failed = answer.status >= MIN_FAILURE_STATUS
        if has_failed and not info.is_not_run:
            # Its time says nothing: a server that fails at once would look like the fastest one.
            server.record_failure(self._clock.monotonic())
        elif not info.is_not_run:
            server.record_answer(in_flight, seconds)
        # A server that refuses or fails may answer before it knows of its limit.
        is_no_news = info.is_limit_malformed or info.is_not_run or has_failed
        if info.limit_per_s is not None or not is_no_news:
            self._limits.record(server.run, info.limit_per_s, sent_at=in_flight.sent_at)

    async def _read_answer(
        self,
        conn: ServerConnection,
        answer: ResponseHead,
        exchange: CallerExchange,
        held: HeldAnswer,
        claim: AnswerClaim,
    ) -> Attempt:
        claim.has_begun = True
        head = self._codec.forward_response(answer)
        declared = _declared_size(answer, exchange)
        body = bytearray()
        while _is_kept_back(exchange, held, declared=declared, size=len(body)):
            chunk = await conn.read_chunk()
            if not chunk:
                held.learn(len(body))
                return WholeAnswer(head=head, body=bytes(body))
            body += chunk
        if exchange.is_followed:
            held.learn(max(declared or 0, len(body)))
            return TooLarge()
        claim.take()
        # From now on no request behind it is passed on, also before its first part comes.
        exchange.is_streamed = True
        held.release()
        chunk = bytes(body) or await conn.read_chunk()
        return await self._stream_answer(conn, head, exchange, held, chunk)

    async def _stream_answer(
        self,
        conn: ServerConnection,
        head: ResponseHead,
        exchange: CallerExchange,
        held: HeldAnswer,
        chunk: bytes,
    ) -> Attempt:
        await exchange.send_head(head)
        size = 0
        try:
            while chunk:
                size += len(chunk)
                await exchange.send_chunk(chunk)
                chunk = await conn.read_chunk()
        except (ServerResponseError, TimeoutError):
            exchange.truncate()
            return PassedOn(status=head.status, is_whole=False, is_disconnected=conn.stream.eof)
        held.learn(size)
        await exchange.finish()
        return PassedOn(status=head.status, is_whole=True)


def _declared_size(answer: ResponseHead, exchange: CallerExchange) -> int | None:
    """Return the size that an answer has by its head, None if unknown.

    For a failure it is 0, so that one which breaks off early can be repeated.
    """
    if exchange.head.method == b"HEAD" or answer.status in BODILESS_STATUSES:
        return 0
    return 0 if answer.status >= MIN_FAILURE_STATUS else answer.length


def _is_kept_back(
    exchange: CallerExchange, held: HeldAnswer, *, declared: int | None, size: int
) -> bool:
    """Return whether no part of an answer is sent now, as it is small or requests behind it run.

    :param declared: its size by its head in bytes, None if unknown.
    :param size: number of bytes that have come.
    """
    largest = max(declared or 0, size)
    if exchange.is_followed:
        return held.grow(largest)
    if declared is None:
        return False
    is_awaited = exchange.has_requests_behind and not exchange.is_streamed
    if is_awaited and largest <= MAX_BUFFERED_AHEAD_BYTES and held.grow(largest):
        exchange.hold()
        return True
    return largest <= MAX_BUFFERED_ANSWER_BYTES


def _is_foreign(info: ResponseInfo, request_id: str) -> bool:
    """Return whether an answer names another request than the one that is in flight."""
    return info.request_id not in ("", request_id)


def _not_connected(exc: OSError) -> NotRun:
    reason = f"no connection: {type(exc).__name__}"
    match exc:
        case NotReachedError(retry_after_s=retry_after_s):
            return NotRun(reason=reason, was_sent=False, retry_after_s=retry_after_s)
        case _:
            return NotRun(reason=reason, was_sent=False)


def _no_answer(conn: ServerConnection, exc: ServerResponseError | ConnectionError) -> NoAnswer:
    match exc:
        case ServerResponseError(message=message):
            return NoAnswer(reason=message, is_disconnected=conn.stream.eof)
        case _:
            return NoAnswer(reason=f"its connection failed: {exc!r}", is_disconnected=True)


async def _read_body(conn: ServerConnection, *, max_bytes: int) -> tuple[bytes, bool]:
    """Read a body until it ends or exceeds a size; return what was read and whether it ended."""
    body = bytearray()
    while len(body) <= max_bytes:
        chunk = await conn.read_chunk()
        if not chunk:
            return bytes(body), True
        body += chunk
    return bytes(body), False
