"""Server side of HTTP/1.1 with pipelining: several requests in flight on a caller's connection.

Responses are sent in the order of the requests.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from loguru import logger

from lychee_http.caller_side import caller_side
from lychee_http.closing import wait_until_delivered
from lychee_http.delivery import Outcome
from lychee_http.endings import EndReason
from lychee_http.exceptions import BadRequestError, CallerGoneError
from lychee_http.exchange import CallerExchange, UnansweredReports, encode_closing_response
from lychee_http.exchanges import ExchangeQueue
from lychee_http.framing import check_head, has_body, keeps_alive
from lychee_http.half_close import HalfCloseWatch
from lychee_http.idle_wait import IdleWait
from lychee_http.inbound import ConnectionLimits
from lychee_http.incoming_body import IncomingBody
from lychee_http.messages import RequestHead, ResponseHead
from lychee_http.reader import RequestReader
from lychee_http.tally import RequestTally
from lychee_http.tcp import TcpStream
from lychee_http.watching import DeliveryWatch

PIPELINE_LIMIT = 16
"""Maximum number of requests in flight on one connection."""

READ_ON_LIMIT = 16
"""Maximum number of requests that are read on a connection that is to close."""

FAILURE_STATUS = 502
"""HTTP status of a request whose handler failed; it does not say whether the request was run."""

Handle = Callable[[CallerExchange], Awaitable[None]]
"""Handles one request and sends the response."""

Refuse = Callable[[CallerExchange, BadRequestError], Awaitable[None]]
"""Sends the response to a rejected request."""

IdleAnswer = Callable[[], tuple[ResponseHead, bytes]]
"""Returns the head and body that answer a request that crosses the close of an idle connection."""


class PipelinedConnection:
    """One caller's connection with up to :data:`PIPELINE_LIMIT` requests in flight.

    :param stream: the TCP connection.
    :param limits: limits on the connection, asked for each time.
    :param handle: handles a request and sends the response.
    :param refuse: sends the response to a rejected request.
    :param tally: counts what becomes of each request.
    :param tells_idle: whether answers tell callers how long they may be idle.
    :param idle_answer: what is sent before :meth:`close_if_idle` closes; its status must say that
        the request was not run. None to send nothing.
    """

    def __init__(
        self,
        *,
        stream: TcpStream,
        limits: ConnectionLimits,
        handle: Handle,
        refuse: Refuse,
        tally: RequestTally | None = None,
        tells_idle: bool = False,
        idle_answer: IdleAnswer | None = None,
    ) -> None:
        self.closing = False
        self.tally = tally or RequestTally()
        self._tells_idle = tells_idle
        self._stream = stream
        self._limits = limits
        self._handle = handle
        self._refuse = refuse
        self._idle_answer = idle_answer
        self._is_used = False
        self._read_while_closing = 0
        self._is_answered_ahead = False
        self._unanswered = UnansweredReports(tally=self.tally, side=lambda: caller_side(stream))
        self._reader = RequestReader(stream=stream, head_limit=lambda: limits.head_bytes)
        self.holding = stream.holding
        self._exchanges = ExchangeQueue(limit=PIPELINE_LIMIT, holding=self.holding)
        self._body = IncomingBody(stream=stream, reader=self._reader, limits=limits)
        self._last_exchange: CallerExchange | None = None
        self._ends_by_reset = False
        self._delivery = DeliveryWatch(
            stream=stream,
            tally=self.tally,
            stall_s=limits.stall_s,
            has_requests=lambda: bool(self._exchanges),
            on_stalled=lambda: self._end(EndReason.CALLER_STALLED),
        )
        self._idle = IdleWait(
            stream=stream,
            reader=self._reader,
            delivery=self._delivery,
            idle_s=lambda: limits.idle_s,
            has_requests=lambda: bool(self._exchanges),
            is_over=lambda: self._is_over,
        )
        self._half_close = HalfCloseWatch(
            stream=stream,
            stall_s=limits.stall_s,
            first=self._exchanges.first,
            on_gone=self._end,
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight or has begun to arrive."""
        return self._idle.is_idle

    @property
    def under_way(self) -> int:
        """Number of requests without a complete response or a reason for none."""
        return sum(not (e.is_answered or e.is_reported) for e in self._exchanges)

    async def run(self) -> None:
        """Read requests and handle them until the connection ends."""
        self._stream.on_disconnect = self._on_disconnect
        self.holding.watch(shed=lambda: self._end(EndReason.SHED), end_if_idle=self.close_if_idle)
        try:
            await self._serve_requests()
            await self._close()
        except (CallerGoneError, ConnectionError):
            self._end(self._callers_reason())
        finally:
            self._stop_watching()
            self._end(EndReason.STOPPED)
            self._body.drop()

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle; return whether it is.

        A request that crosses the close is not read. If there has been one before, the caller is
        sent ``idle_answer`` ahead, which it takes as the answer to that request. A connection
        without any request is closed silently, as its caller may not expect bytes yet.
        """
        is_idle = self._idle.end_if_idle()
        self.closing = self.closing or is_idle
        return is_idle

    def count_answered(self, exchange: CallerExchange) -> None:
        """Count a request whose whole response was written."""
        self._delivery.add(exchange.request_id)

    def check_open(self) -> None:
        """Raise an error unless responses can be sent.

        :raises CallerGoneError: if the connection has ended.
        """
        if self._stream.lost or self._stream.transport.is_closing() or self._is_over:
            raise CallerGoneError()

    def begin_response(self, head: bytes) -> bytes:
        """Return what is still to be sent of a response's head."""
        return self._half_close.cut_prefix(head)

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self._half_close.has_written = True
        self._stream.write(data)

    async def drain(self) -> None:
        """Wait while too many bytes are unsent.

        :raises CallerGoneError: if the caller has disconnected or reads too slowly.
        """
        try:
            await self._stream.drain_within(self._limits.stall_s)
        except (TimeoutError, ConnectionError) as exc:
            raise CallerGoneError() from exc

    def truncate(self, exchange: CallerExchange, reason: EndReason = EndReason.ANSWER_CUT) -> None:
        """Close the connection so that the caller sees that a response is incomplete.

        Earlier responses still arrive whole, and requests behind it end without an answer. For an
        HTTP/1.0 caller, for which a close may end a response, the connection is reset after these.
        """
        self._ends_by_reset = exchange.head.version == b"1.0"
        behind = self._exchanges.behind(exchange)
        self._unanswered.report(reason, (exchange, *behind))
        self.closing = True
        self._last_exchange = exchange
        self._exchanges.remove(behind)
        for other in behind:
            other.cancel()
        exchange.mark_done()

    def mark_if_last(self, exchange: CallerExchange) -> bool:
        """Return whether the connection closes after this response.

        It does after the response to the last request that has been read, so that each of them
        gets one; none is read behind that.
        """
        unread = self._body.is_unread(exchange)
        if not (self.closing or unread or not keeps_alive(exchange.head)):
            return False
        self.closing = True
        if self._exchanges.behind(exchange):
            return False
        self._last_exchange = exchange
        return True

    def keep_alive_header(self) -> bytes:
        """Return the line of a response that tells how long the caller may be idle, if any does.

        The connection is kept for longer (:func:`kept_s`), so that no request crosses its close.
        """
        whole_s = int(self._limits.idle_s)
        if not self._tells_idle or self.closing or whole_s < 1:
            return b""
        return b"keep-alive: timeout=%d\r\n" % whole_s

    async def wait_for_stream(self, exchange: CallerExchange) -> None:
        """Wait while a response before one may be sent in parts."""
        while (earlier := self._exchanges.streamed_before(exchange)) is not None:
            await earlier.wait_until_settled()
        for other in self._exchanges.before(exchange):
            other.is_followed = True
        self.check_open()

    def has_requests_behind(self, exchange: CallerExchange) -> bool:
        """Return whether requests that follow one have been read and have no response."""
        return bool(self._exchanges.behind(exchange))

    async def read_body(self, exchange: CallerExchange, *, max_bytes: int) -> tuple[bytes, bool]:
        """Read the beginning of a request's body; return it, and whether it is the whole body."""
        return await self._body.read(exchange, max_bytes=max_bytes)

    def rest_of_body(self, *, limit: int) -> AsyncIterator[bytes]:
        """Yield the rest of the body that is being read, of a maximum size in bytes."""
        return self._body.rest(limit=limit)

    async def _serve_requests(self) -> None:
        """Read requests until none may follow, and wait for their responses."""
        try:
            while await self._accept_request():
                pass
            await self._exchanges.wait_until_empty()
        except (CallerGoneError, ConnectionError):
            raise
        except Exception:
            logger.exception("unexpected error on a caller's connection")
            self._cancel_requests(EndReason.FAILED)

    async def _accept_request(self) -> bool:
        """Read one request and start its handler; return False if no other may follow."""
        await self._exchanges.wait_for_room()
        if self._stream.lost or self._stream.transport.is_closing():
            # Bytes that were read before the caller left ask for nothing any more.
            raise CallerGoneError()
        try:
            head = await self._read_head()
            if head is None:
                return False
            if self._last_exchange is not None:
                self._unanswered.report(EndReason.CLOSING_ANSWER, (self._make_exchange(head),))
                return False
            check_head(head, limit=self._reader.head_limit)
            exchange = self._make_exchange(head)
        except CallerGoneError:
            # Only the request that was cut is lost; earlier ones still get their responses.
            return False
        except BadRequestError as exc:
            await self._reject_head(exc)
            return False
        self._start(exchange)
        if has_body(head) and not await self._body.wait(exchange):
            self.closing = True
            return False
        # What its caller has sent before it learns of the close is answered too.
        self._read_while_closing += self.closing
        return keeps_alive(head) and self._read_while_closing < READ_ON_LIMIT

    def _make_exchange(self, head: RequestHead) -> CallerExchange:
        previous_done = self._exchanges.last_done
        exchange = CallerExchange(head=head, conn=self, previous_done=previous_done)
        self._body.begin(exchange if has_body(head) else None)
        if not has_body(head):
            self._reader.next_event()
        return exchange

    def _start(self, exchange: CallerExchange) -> None:
        self._is_used = True
        self._add(exchange)
        exchange.task = asyncio.create_task(self._serve(exchange))
        # A task that is cancelled before it begins runs nothing of its own.
        exchange.task.add_done_callback(lambda _: exchange.mark_done())

    def _add(self, exchange: CallerExchange) -> None:
        self._exchanges.add(exchange)
        exchange.done.add_done_callback(lambda _: self._exchange_done(exchange))

    async def _serve(self, exchange: CallerExchange) -> None:
        try:
            await self._handle(exchange)
            if not exchange.is_answered and not exchange.is_reported:
                logger.error("a request's handler has sent no answer")
                await self._answer_failure(exchange)
        except BadRequestError as exc:
            await self._reject(exchange, exc)
        except CallerGoneError:
            self._caller_gone(exchange)
        except asyncio.CancelledError:
            if exchange.task is None or not exchange.task.cancelling():
                logger.exception("a wait of a caller's request was cancelled from elsewhere")
                await self._answer_failure(exchange)
                return
            if not exchange.is_answered and not exchange.is_reported:
                # The next answer would be taken for the one to this request.
                self.truncate(exchange, EndReason.STOPPED)
            raise
        except Exception:
            logger.exception("unexpected error while handling a caller's request")
            await self._answer_failure(exchange)
        finally:
            exchange.mark_done()

    def _caller_gone(self, exchange: CallerExchange) -> None:
        """End what the caller has ended: only this request if that was cut, else everything."""
        if exchange.is_reported:
            return
        is_cut = self._stream.eof and self._body.is_unread(exchange)
        if is_cut and not self._stream.is_reset():
            self.closing = True
            self._unanswered.report(EndReason.REQUEST_CUT, (exchange,))
        else:
            self._end(self._callers_reason())

    async def _reject(self, exchange: CallerExchange, exc: BadRequestError) -> None:
        self.closing = True
        if exchange.response_started:
            self.truncate(exchange, EndReason.REQUEST_CUT)
            return
        try:
            await self._refuse(exchange, exc)
        except CallerGoneError:
            self._caller_gone(exchange)

    async def _answer_failure(self, exchange: CallerExchange) -> None:
        """Answer a request whose handler failed, so that the others on the connection go on."""
        if exchange.is_answered:
            return
        if exchange.response_started:
            self.truncate(exchange, EndReason.FAILED)
            return
        try:
            await exchange.send(ResponseHead(status=FAILURE_STATUS, headers=()), b"")
        except CallerGoneError:
            self._caller_gone(exchange)

    async def _reject_head(self, exc: BadRequestError) -> None:
        """Reject a malformed or unacceptable request head, after all earlier responses."""
        if self._last_exchange is not None:
            return
        head = RequestHead(method=b"GET", target=b"/", headers=())
        exchange = CallerExchange(
            head=head,
            conn=self,
            previous_done=self._exchanges.last_done,
        )
        self._add(exchange)
        self.closing = True
        try:
            await self._refuse(exchange, exc)
        except CallerGoneError:
            self._caller_gone(exchange)
        finally:
            exchange.mark_done()

    def _exchange_done(self, exchange: CallerExchange) -> None:
        self._delivery.begin_quiet_time()
        self._exchanges.remove_done()
        self._body.finish(exchange)
        if self._is_over:
            # The close tells the caller that later requests were not read.
            self._stream.stop_reading()

    @property
    def _is_over(self) -> bool:
        """Whether the last response that the connection carries has been sent."""
        if self._last_exchange is None:
            return False
        return all(e.done.done() for e in (self._last_exchange, *self._exchanges))

    def _on_disconnect(self) -> None:
        if self._stream.lost:
            self._end(EndReason.CALLER_LEFT)
            return
        self._stream.on_disconnect = self._on_disconnect
        self._half_close.has_written = False
        self._half_close.start()

    def _callers_reason(self) -> EndReason:
        """Return why nothing more can be sent to the caller."""
        if self._stream.is_reset():
            return EndReason.CALLER_LEFT
        return EndReason.CALLER_STALLED

    def _end(self, reason: EndReason) -> None:
        """End the connection at once; only its caller's end or the process's may do so.

        All other ways out are closed by :meth:`_close` once the caller has what was written.
        """
        self._cancel_requests(reason)
        self._body.drop(at_once=reason is EndReason.SHED)
        self._delivery.report(reason)
        if self._stream.transport.is_closing():
            return
        self.tally.count_dropped(reason, self._reader.discarded + self._stream.unread_bytes)
        self._half_close.complete_prefix()
        self._close_stream(by_reset=any(e.ends_with_connection for e in self._exchanges))

    def _close_stream(self, *, by_reset: bool) -> None:
        """Close the connection, by a reset if its end could be taken for that of a response."""
        if by_reset or self._ends_by_reset:
            self._stream.reset()
        else:
            self._stream.abort()

    def _cancel_requests(self, reason: EndReason) -> None:
        """Report and cancel the requests that get no answer.

        Those that must not be repeated are not cancelled.
        """
        self._unanswered.report(reason, self._exchanges, skipped=self._skip_requests())
        for exchange in self._exchanges:
            exchange.cancel()

    def _skip_requests(self) -> int:
        """Skip the requests that have been received and will not be handled; return how many."""
        if self._body.is_being_read:
            # What has been received is the rest of a body that its handler still passes on.
            return 0
        self._reader.discard_unread()
        return self._reader.skip_requests()

    async def _read_head(self) -> RequestHead | None:
        return await self._reader.read_head(
            wait_for_request=self._idle.wait, timeout_s=lambda: self._limits.head_s
        )

    async def _close(self) -> None:
        """Close once the caller has what was written, has left, or does not read on."""
        self._stop_watching()
        self._half_close.complete_prefix()
        self._answer_ahead()
        reason = self._closing_reason()
        outcome = await wait_until_delivered(
            self._stream,
            stall_s=self._limits.stall_s,
            discard=self._reader.discard,
            body_bytes=self._reader.discarded_body_bytes,
            with_end=not self._ends_by_reset,
        )
        self._unanswered.report(reason, (), skipped=self._skip_unanswered(outcome))
        self.tally.count_dropped(reason, self._reader.discarded + self._stream.unread_bytes)
        match outcome:
            case Outcome.STALLED:
                self._delivery.report(EndReason.CALLER_STALLED)
            case Outcome.PEER_LEFT:
                self._delivery.report(EndReason.CALLER_LEFT)
            case Outcome.DELIVERED:
                self._delivery.forget()
        self._close_stream(by_reset=False)

    def _answer_ahead(self) -> None:
        """Answer a request that may be on its way to a connection that was closed as idle."""
        if self._idle_answer is None or not (self._idle.is_ended and self._is_used):
            return
        if self._stream.eof or self._last_exchange is not None:
            # No request follows, or a closing answer says already that none is read.
            return
        head, body = self._idle_answer()
        self._is_answered_ahead = True
        self._stream.write(encode_closing_response(head, body))

    def _skip_unanswered(self, outcome: Outcome) -> int:
        """Skip what has been received; return how many requests in it got no answer.

        A caller that has reset the connection may not have read what was sent ahead.
        """
        skipped = self._skip_requests()
        if not skipped or not self._is_answered_ahead or outcome is not Outcome.DELIVERED:
            return skipped
        self.tally.count_answered_ahead()
        return skipped - 1

    def _closing_reason(self) -> EndReason:
        if self._idle.is_ended or not self.closing:
            return EndReason.IDLE
        return EndReason.CLOSING_ANSWER

    def _stop_watching(self) -> None:
        self._stream.on_disconnect = lambda: None
        self._half_close.stop()
        self._delivery.stop()
