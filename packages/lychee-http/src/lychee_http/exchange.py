"""One request on a pipelined connection and its response."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import replace
from time import monotonic
from typing import Protocol

from lychee_http.caller_memory import EXCHANGE_BYTES, Holding, head_bytes
from lychee_http.caller_side import CallerSide
from lychee_http.endings import ConnectionEnd, EndReason, UnansweredRequest, log_end
from lychee_http.inbound import BODILESS_STATUSES
from lychee_http.messages import RequestHead, ResponseHead
from lychee_http.stages import Sending, Stage
from lychee_http.tally import RequestTally
from lychee_http.tcp import RECEIPT_CLOCK


class ResponseChannel(Protocol):
    """The connection on which an exchange reads its request's body and sends its response.

    It sends the responses of its exchanges in the order of their requests.
    """

    tally: RequestTally
    """Counts what becomes of each request."""

    holding: Holding
    """What the connection holds."""

    def check_open(self) -> None:
        """Raise an error unless responses can be sent.

        :raises CallerGoneError: if the connection has ended.
        """
        ...

    def begin_response(self, head: bytes) -> bytes:
        """Return what is still to be sent of a response's head."""
        ...

    def write(self, data: bytes) -> None:
        """Send bytes."""
        ...

    async def drain(self) -> None:
        """Wait while too many bytes are unsent.

        :raises CallerGoneError: if the caller has disconnected or reads too slowly.
        """
        ...

    def truncate(self, exchange: "CallerExchange") -> None:
        """Close the connection so that the caller sees that a response is incomplete."""
        ...

    def mark_if_last(self, exchange: "CallerExchange") -> bool:
        """Return whether the connection closes after this response."""
        ...

    def keep_alive_header(self) -> bytes:
        """Return the line that tells how long the caller may be idle, empty if none does."""
        ...

    def count_answered(self, exchange: "CallerExchange") -> None:
        """Count a request whose whole response was written."""
        ...

    def has_requests_behind(self, exchange: "CallerExchange") -> bool:
        """Return whether requests that follow one have been read and have no response."""
        ...

    async def wait_for_stream(self, exchange: "CallerExchange") -> None:
        """Wait while a response before one may be sent in parts."""
        ...

    async def read_body(self, exchange: "CallerExchange", *, max_bytes: int) -> tuple[bytes, bool]:
        """Read the beginning of a request's body; return it, and whether it is the whole body."""
        ...

    def rest_of_body(self, *, limit: int) -> AsyncIterator[bytes]:
        """Yield the rest of the body that is being read, of a maximum size in bytes."""
        ...


class CallerExchange:
    """One request on a connection and its response, which is sent after all earlier ones.

    :param head: the request's head.
    :param conn: its connection.
    :param previous_done: completed when all earlier responses have been sent, None if there are
        none.
    """

    def __init__(
        self,
        *,
        head: RequestHead,
        conn: ResponseChannel,
        previous_done: "asyncio.Future[None] | None",
    ) -> None:
        self.head = head
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.is_cancellable = True
        self.task: asyncio.Task[None] | None = None
        self.response_started = False
        self.is_streamed = False
        self.is_followed = False
        self.reserve: Callable[[], bool] = lambda: True
        self.is_answered = False
        self.is_reported = False
        self.request_id = ""
        self.timeout_s: float | None = None
        self.stage = Stage.HANDLING
        self.sendings: list[Sending] = []
        self._read_at = monotonic()
        self._is_held = False
        self._settled: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._conn = conn
        self._previous_done = previous_done
        self._is_chunked = False
        self._memory = 0
        self.hold_memory(EXCHANGE_BYTES + head_bytes(head))
        conn.tally.count_read()

    @property
    def age_s(self) -> float:
        """Time since the request's head was received, in seconds."""
        if self.head.received_at is None:
            return 0.0
        return RECEIPT_CLOCK.monotonic() - self.head.received_at

    @property
    def ends_with_connection(self) -> bool:
        """Whether its response has begun and a close could be taken for the response's end."""
        is_begun = self.response_started and not self.is_answered
        return is_begun and self.head.version == b"1.0"

    def hold_memory(self, size: int) -> None:
        """Count memory that the request takes up until it is done, in bytes."""
        self._memory += size
        self._conn.holding.add(size)

    def release_memory(self) -> None:
        """Count the memory as given back."""
        self._conn.holding.add(-self._memory)
        self._memory = 0

    def cancel(self) -> None:
        """Cancel the handling of a request that may be cancelled, unless its own task asks."""
        if self.task is None or self.task is asyncio.current_task():
            return
        if self.is_cancellable:
            self.task.cancel()

    def as_unanswered(self) -> UnansweredRequest:
        """Return what is to be reported of a request that gets no answer."""
        last = self.sendings[-1] if self.sendings else None
        age_ms = round((monotonic() - self._read_at) * 1_000)
        timeout_ms = round(self.timeout_s * 1_000) if self.timeout_s is not None else None
        return UnansweredRequest(
            request=self.request_id,
            was_sent=last is not None,
            has_begun=self.response_started,
            age_ms=age_ms,
            stage=self.stage,
            server=last.server if last is not None else "",
            is_carried=last is not None and last.is_carried,
            left_ms=timeout_ms - age_ms if timeout_ms is not None else None,
        )

    def record_sending(self, *, server: str, is_carried: bool) -> None:
        """Record that the request is sent to a server now.

        :param server: the server's id.
        :param is_carried: whether another gateway carries it there.
        """
        self.stage = Stage.RESPONSE
        self.sendings.append(Sending(server=server, is_carried=is_carried))

    async def wait(self) -> None:
        """Wait until all earlier responses on the connection have been sent.

        :raises CallerGoneError: if the connection ends first.
        """
        if self._previous_done is not None and not self._previous_done.done():
            await asyncio.shield(self._previous_done)
        self._conn.check_open()

    def check_open(self) -> None:
        """Raise an error unless the response can still be sent.

        :raises CallerGoneError: if the connection has ended.
        """
        self._conn.check_open()

    async def wait_for_stream(self) -> None:
        """Wait for earlier responses that may be streamed; if one breaks off, the connection ends.

        All others before this one are then held back until they are whole (:attr:`is_followed`).

        :raises CallerGoneError: if it has ended.
        """
        await self._conn.wait_for_stream(self)

    def try_hold(self) -> bool:
        """Return whether the response can be held back until it is whole.

        There must be room for it, by :attr:`reserve`, unless :meth:`hold` was called.
        """
        if self.is_streamed or self.response_started:
            return False
        self._is_held = self._is_held or self.reserve()
        return self._is_held

    def hold(self) -> None:
        """Let requests behind go on, as the response is held back until it is whole."""
        self._is_held = True
        self._settle()

    async def wait_until_settled(self) -> None:
        """Wait until the response is held back or done."""
        is_begun = self.is_streamed or self.response_started
        await asyncio.shield(self.done if is_begun else self._settled)

    @property
    def connection(self) -> ResponseChannel:
        """The caller's connection."""
        return self._conn

    @property
    def has_requests_behind(self) -> bool:
        """Whether later requests on the connection have been read and have no response."""
        return self._conn.has_requests_behind(self)

    async def read_body(self, *, max_bytes: int) -> tuple[bytes, bool]:
        """Read the beginning of the body; return it, and whether it is the whole body.

        :param max_bytes: size at which reading stops; :meth:`rest_of_body` reads the rest.
        """
        return await self._conn.read_body(self, max_bytes=max_bytes)

    def rest_of_body(self, *, limit: int) -> AsyncIterator[bytes]:
        """Yield the rest of the body as it arrives.

        :param limit: maximum size of the rest in bytes.
        """
        return self._conn.rest_of_body(limit=limit)

    async def send(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole response, after all earlier responses.

        :raises CallerGoneError: if the caller has disconnected or reads too slowly.
        """
        self.stage = Stage.DELIVERY
        await self.wait()
        if self.head.method == b"HEAD" or head.status in BODILESS_STATUSES:
            body = b""
        elif head.length is None:
            head = replace(head, length=len(body))
        self._conn.write(self._encode_response_head(head) + body)
        await self._conn.drain()
        self._mark_answered()

    async def send_head(self, head: ResponseHead) -> None:
        """Send the head of a response, after all earlier responses; the body follows."""
        await self.wait()
        self._conn.write(self._encode_response_head(head))

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of the body.

        :raises CallerGoneError: if the caller has disconnected or reads too slowly.
        """
        if self.head.method == b"HEAD":
            return
        self._conn.write(b"%x\r\n%b\r\n" % (len(data), data) if self._is_chunked else data)
        await self._conn.drain()

    async def finish(self) -> None:
        """End the response's body."""
        if self._is_chunked and self.head.method != b"HEAD":
            self._conn.write(b"0\r\n\r\n")
        await self._conn.drain()
        self._mark_answered()

    def mark_done(self) -> None:
        """Mark the exchange as done, so that the next response can be sent."""
        if not self.done.done():
            self.done.set_result(None)
            self.release_memory()
        self._settle()

    def truncate(self) -> None:
        """Close the connection so that the caller sees that the response is incomplete."""
        self._conn.truncate(self)

    def _mark_answered(self) -> None:
        if not self.is_reported:
            self.is_answered = True
            self._conn.count_answered(self)
        self.mark_done()

    def _settle(self) -> None:
        if not self._settled.done():
            self._settled.set_result(None)

    def _encode_response_head(self, head: ResponseHead) -> bytes:
        self.response_started = True
        lines = _status_and_headers(head)
        if head.status not in BODILESS_STATUSES:
            if head.length is not None:
                lines.append(b"content-length: %d\r\n" % head.length)
            elif self.head.version != b"1.0":
                self._is_chunked = True
                lines.append(b"transfer-encoding: chunked\r\n")
        if self._conn.mark_if_last(self):
            lines.append(b"connection: close\r\n")
        else:
            lines.append(self._conn.keep_alive_header())
        lines.append(b"\r\n")
        return self._conn.begin_response(b"".join(lines))


def encode_closing_response(head: ResponseHead, body: bytes) -> bytes:
    """Return a whole response behind which its connection closes."""
    lines = _status_and_headers(head)
    lines.append(b"content-length: %d\r\n" % len(body))
    lines.append(b"connection: close\r\n\r\n")
    return b"".join(lines) + body


def _status_and_headers(head: ResponseHead) -> list[bytes]:
    lines = [b"HTTP/1.1 %d %b\r\n" % (head.status, head.reason)]
    return lines + [b"%b: %b\r\n" % header for header in head.headers]


class UnansweredReports:
    """Logs and counts requests that get no answer, each of them once.

    :param tally: counts them after they have been logged.
    :param side: returns the state of the caller's side of the connection.
    """

    def __init__(self, *, tally: RequestTally, side: Callable[[], CallerSide]) -> None:
        self._tally = tally
        self._side = side

    def report(
        self, reason: EndReason, exchanges: Iterable[CallerExchange], *, skipped: int = 0
    ) -> None:
        """Report those of some exchanges that have no answer and were not reported.

        :param reason: why they have none.
        :param exchanges: the exchanges.
        :param skipped: number of requests behind them that were received and not handled.
        """
        lost = [e for e in exchanges if not (e.is_answered or e.is_reported)]
        if not lost and not skipped:
            return
        for exchange in lost:
            exchange.is_reported = True
        requests = tuple(e.as_unanswered() for e in lost)
        end = ConnectionEnd(reason=reason, requests=requests, skipped=skipped, side=self._side())
        log_end(end)
        self._tally.count_end(end)
