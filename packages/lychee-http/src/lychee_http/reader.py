"""Reading requests from a connection: heads and bodies in order, bounded in time."""

import asyncio
from time import monotonic

from lychee_http.exceptions import BadRequestError, CallerGoneError
from lychee_http.parser import MalformedError, RequestEvent, RequestParser
from lychee_http.tcp import TcpStream

LINGER_S = 1.0
"""Longest time to read and drop what a caller still sends before its connection closes."""

LINGER_BYTES = 1_048_576
"""Most bytes read and dropped before a connection closes."""


class RequestReader:
    """Turns what a connection receives into requests' events.

    :param stream: the connection.
    :param head_limit: largest head in bytes.
    """

    def __init__(self, *, stream: TcpStream, head_limit: int) -> None:
        self._stream = stream
        self._parser = RequestParser(head_limit=head_limit)

    @property
    def in_head(self) -> bool:
        """Whether a head has begun and is not whole."""
        return self._parser.in_head

    @property
    def pending(self) -> bool:
        """Whether an event is there without more bytes."""
        return self._parser.pending

    def next_event(self) -> RequestEvent | None:
        """Return the next event, or None if more bytes are needed.

        :raises BadRequestError: if the bytes are no well-formed request.
        """
        try:
            return self._parser.next_event()
        except MalformedError as exc:
            raise BadRequestError(
                status=exc.status,
                message=f"the request is malformed: {exc.message}",
                remedy="send a well-formed HTTP/1.1 request",
            ) from exc

    async def feed(self, timeout_s: float) -> bool:
        """Wait for bytes; False at the end of the stream or of the time."""
        try:
            async with asyncio.timeout(max(timeout_s, 0)):
                data = await self._stream.read()
        except TimeoutError:
            return False
        self._parser.feed(data)
        return bool(data)

    async def rest_of_head(self, timeout_s: float) -> RequestEvent:
        """Return a head that has begun to arrive.

        :raises BadRequestError: if it takes too long.
        :raises CallerGoneError: if the connection ends before.
        """
        until = monotonic() + timeout_s
        while (event := self.next_event()) is None:
            if not await self.feed(until - monotonic()):
                raise self.cut("head")
        return event

    def cut(self, part: str) -> BadRequestError | CallerGoneError:
        """Return why a part of a request did not arrive."""
        if self._stream.eof:
            return CallerGoneError()
        return BadRequestError(
            status=408, message=f"the request's {part} took too long", remedy="send it faster"
        )

    async def drop_rest(self) -> None:
        """Read and drop what the caller still sends, for a bounded time."""
        dropped = 0
        try:
            async with asyncio.timeout(LINGER_S):
                while dropped < LINGER_BYTES:
                    data = await self._stream.read()
                    if not data:
                        return
                    dropped += len(data)
        except TimeoutError:
            return
