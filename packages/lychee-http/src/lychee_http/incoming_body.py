"""The body of the request that is being read on a pipelined connection."""

import asyncio
from collections.abc import AsyncIterator

from lychee_http.exchange import CallerExchange
from lychee_http.framing import body_too_large_error
from lychee_http.inbound import CONTINUE, ConnectionLimits
from lychee_http.messages import header_tokens
from lychee_http.parser import EndOfMessage
from lychee_http.reader import RequestReader, TimedReads
from lychee_http.tcp import TcpStream


class IncomingBody:
    """Reads the body of one request at a time; only the last request read can have one.

    :param stream: the connection.
    :param reader: reads the connection's bytes as events.
    :param limits: limits on the connection.
    """

    def __init__(
        self, *, stream: TcpStream, reader: RequestReader, limits: ConnectionLimits
    ) -> None:
        self._stream = stream
        self._reader = reader
        self._limits = limits
        self._exchange: CallerExchange | None = None
        self._is_read = False
        self._finished = asyncio.Event()

    def begin(self, exchange: CallerExchange | None) -> None:
        """Begin with the body of a request; None if the request has none."""
        self._exchange = exchange
        self._is_read = False
        # The response of an earlier request may be sent only now, and says nothing of this one.
        self._finished = asyncio.Event()

    def finish(self, exchange: CallerExchange) -> None:
        """Forget a request that has ended, as the connection may be idle for long."""
        if self._exchange is exchange and self._is_read:
            self._exchange = None
        if self._stream.transport.is_closing():
            self.drop()

    def drop(self, *, at_once: bool = False) -> None:
        """Drop what was received on a connection that ends.

        :param at_once: False to keep it while a request that goes on still reads its body.
        """
        if at_once or not self.is_being_read:
            self._reader.close()
            self.begin(None)

    @property
    def is_being_read(self) -> bool:
        """Whether a part of a body is due to a request that has not ended."""
        exchange = self._exchange
        return exchange is not None and not self._is_read and not exchange.done.done()

    def is_unread(self, exchange: CallerExchange) -> bool:
        """Return whether a request has a body of which a part is still due."""
        return self._exchange is exchange and not self._is_read

    async def wait(self, exchange: CallerExchange) -> bool:
        """Wait until a request's body is read or its response sent; return whether it is read."""
        finished = self._finished
        exchange.done.add_done_callback(lambda _: finished.set())
        await finished.wait()
        return self._is_read

    async def read(self, exchange: CallerExchange, *, max_bytes: int) -> tuple[bytes, bool]:
        """Read the beginning of a request's body; return it, and whether it is the whole body."""
        if not self.is_unread(exchange):
            return b"", True
        expects = b"100-continue" in header_tokens(exchange.head.headers, b"expect")
        if expects and not self._stream.eof:
            await exchange.wait()
            self._stream.write(CONTINUE)
        chunks: list[bytes] = []
        size = 0
        while size < max_bytes:
            chunk = await self._next_chunk()
            if chunk is None:
                return b"".join(chunks), True
            chunks.append(chunk)
            size += len(chunk)
            exchange.hold_memory(len(chunk))
        return b"".join(chunks), False

    async def rest(self, *, limit: int) -> AsyncIterator[bytes]:
        """Yield the rest of the body that is being read.

        :param limit: maximum size of the rest in bytes.
        :raises BadRequestError: if it is too long, too slow or malformed.
        :raises CallerGoneError: if the caller ends the connection inside it.
        """
        size = 0
        while (chunk := await self._next_chunk()) is not None:
            size += len(chunk)
            if size > limit:
                raise body_too_large_error(limit)
            yield chunk

    async def _next_chunk(self) -> bytes | None:
        # Its time counts from the last content: other bytes are no progress.
        reads = TimedReads(reader=self._reader, timeout_s=lambda: self._limits.stall_s)
        part = await self._reader.next_part(reads)
        if isinstance(part, EndOfMessage):
            self._is_read = True
            self._finished.set()
            return None
        return part
