"""Reading of request heads and bodies from a connection, in order and with timeouts."""

from collections.abc import Awaitable, Callable
from time import monotonic

from lychee_http.exceptions import BadRequestError, CallerGoneError
from lychee_http.messages import RequestHead
from lychee_http.parser import EndOfMessage, MalformedError, RequestEvent, RequestParser
from lychee_http.tcp import TcpStream
from lychee_types.timeouts import timeout_after_input

LATE_READS = 2
"""Maximum number of reads of what has arrived when the time for it is over."""


class RequestReader:
    """Reads a connection's bytes as events of requests.

    :param stream: the connection.
    :param head_limit: returns the maximum size of a head now, in bytes.
    """

    def __init__(self, *, stream: TcpStream, head_limit: Callable[[], int]) -> None:
        self._stream = stream
        self._holding = stream.holding
        self._current_head_limit = head_limit
        self._first_head_limit = head_limit()
        self._parser = RequestParser(head_limit=self._first_head_limit, holding=self._holding)
        self.discarded = 0
        self._skipped = 0
        self._is_closed = False
        self._is_skipping = False

    @property
    def head_limit(self) -> int:
        """Return the maximum size of the head read last: the larger of when it began and now."""
        return max(self._first_head_limit, self._current_head_limit())

    @property
    def in_head(self) -> bool:
        """Whether a head has begun and is incomplete."""
        return self._parser.in_head

    @property
    def has_next_event(self) -> bool:
        """Whether an event or error is available without more bytes."""
        self._parser.head_limit = self.head_limit
        return self._parser.has_next_event

    def next_event(self) -> RequestEvent | None:
        """Return the next event, or None if more bytes are needed.

        :raises BadRequestError: if the bytes are not a well-formed request.
        :raises CallerGoneError: if the connection has ended and what was received was dropped.
        """
        if self._is_closed:
            raise CallerGoneError()
        self._parser.head_limit = self.head_limit
        try:
            return self._parser.next_event()
        except MalformedError as exc:
            raise BadRequestError(
                status=exc.status,
                message=f"the request is malformed: {exc.message}",
                remedy="send a well-formed HTTP/1.1 request",
            ) from exc

    async def receive(self, timeout_s: float) -> bool:
        """Wait for bytes to parse; return False at the end of the stream or a timeout.

        Bytes that have arrived when the time is over are still taken.

        :param timeout_s: maximum wait in seconds; a negative one counts as 0.
        """
        while True:
            try:
                async with timeout_after_input(timeout_s, has_input=self._has_input):
                    chunks = await self._stream.read_chunks()
            except TimeoutError:
                if not self._has_input():
                    return False
                timeout_s = 0.0
            else:
                for chunk in chunks:
                    if chunk.earlier_at is None:
                        self._parser.feed(chunk.data, received_at=chunk.received_at)
                    else:
                        self._parser.feed_waited(
                            chunk.data, received_at=chunk.received_at, earlier_at=chunk.earlier_at
                        )
                return bool(chunks)

    @property
    def _is_turn_due(self) -> bool:
        return self._parser.is_dense or self._holding.is_full

    async def take_turn(self) -> None:
        """Let others go on if what was parsed last took long for its size, or memory is full."""
        if self._is_turn_due:
            await self._holding.take_turn()

    def _has_input(self) -> bool:
        return not self._stream.is_quiet()

    async def read_head(
        self,
        *,
        wait_for_request: Callable[[], Awaitable[bool]],
        timeout_s: Callable[[], float],
    ) -> RequestHead | None:
        """Read the next head; return None if no request comes.

        :param wait_for_request: waits for a request's first bytes; returns whether there are any.
        :param timeout_s: returns the maximum wait now for the rest of a head that has begun, in
            seconds.
        :raises BadRequestError: if that time is over.
        :raises CallerGoneError: if the connection ends inside the head.
        """
        if self._is_turn_due:
            await self.take_turn()
        self._first_head_limit = self._current_head_limit()
        event = self.next_event()
        if event is None and not self.in_head:
            if not await wait_for_request():
                return None
            self._first_head_limit = self._current_head_limit()
            if self._is_turn_due:
                await self.take_turn()
            event = self.next_event()
        if event is None:
            event = await self._read_rest_of_head(timeout_s)
        assert isinstance(event, RequestHead)
        return event

    async def _read_rest_of_head(self, timeout_s: Callable[[], float]) -> RequestEvent:
        reads = TimedReads(reader=self, timeout_s=timeout_s)
        self._holding.start_wait()
        while (event := self.next_event()) is None:
            if not await reads.receive():
                raise self.incomplete_error("head")
            await self.take_turn()
        self._holding.end_wait()
        return event

    async def next_part(self, reads: "TimedReads") -> bytes | EndOfMessage:
        """Return the next part of a body, or its end.

        :param reads: reads until there is one.
        :raises BadRequestError: if its time is over.
        :raises CallerGoneError: if the connection ends before.
        """
        await self.take_turn()
        while (event := self.next_event()) is None:
            self._holding.start_wait()
            if not await reads.receive():
                raise self.incomplete_error("body")
            await self.take_turn()
        if isinstance(event, bytes):
            self._holding.note_content(len(event))
        else:
            self._holding.end_wait()
        assert not isinstance(event, RequestHead)
        return event

    def incomplete_error(self, part: str) -> BadRequestError | CallerGoneError:
        """Return the error for a request of which a part did not arrive.

        :param part: "head" or "body", for the message.
        """
        if self._stream.eof:
            return CallerGoneError()
        return BadRequestError(
            status=408, message=f"the request's {part} took too long", remedy="send it faster"
        )

    def close(self) -> None:
        """Drop what was received and not taken."""
        self._is_closed = True
        self._parser.close()

    def discard(self, data: bytes) -> None:
        """Drop bytes that nobody handles.

        Their size is added to :attr:`discarded`, and :meth:`skip_requests` returns how many whole
        requests they had, unless they take long to parse for their size.
        """
        self.discarded += len(data)
        if not self._parser.is_dense:
            self._parser.feed(data)
            self._skip_events()

    def discard_unread(self) -> None:
        """Drop what the connection has received and nobody has read, as :meth:`discard` does."""
        if not self._is_closed:
            self.discard(b"".join(chunk.data for chunk in self._stream.take_unread()))

    def discarded_body_bytes(self) -> int:
        """Return :attr:`discarded` while a body that nobody reads goes on, else 0."""
        return self.discarded if self._parser.in_body else 0

    def skip_requests(self) -> int:
        """Skip what has been received; return how many whole requests in it were not read.

        Those behind bytes that take long to parse for their size are not told.
        """
        self._skip_events()
        skipped, self._skipped = self._skipped, 0
        return skipped

    def _skip_events(self) -> None:
        while not self._parser.is_dense and self._parser.has_next_event:
            try:
                event = self._parser.next_event()
            except MalformedError:
                # What is malformed is no request.
                return
            if isinstance(event, RequestHead):
                self._is_skipping = True
            elif isinstance(event, EndOfMessage):
                self._skipped += self._is_skipping
                self._is_skipping = False


class TimedReads:
    """Reads a part of a request that must arrive within a time.

    What has arrived when the time is over is read too, in :data:`LATE_READS` reads at most.

    :param reader: reads the connection.
    :param timeout_s: returns the time now, in seconds; the longer of when the part began and now
        counts.
    """

    def __init__(self, *, reader: RequestReader, timeout_s: Callable[[], float]) -> None:
        self._reader = reader
        self._timeout_s = timeout_s
        self._first_timeout_s = timeout_s()
        self._began_at = monotonic()
        self._late_reads = 0

    async def receive(self) -> bool:
        """Wait for bytes to parse; return False at the end of the stream or of the time."""
        while True:
            deadline = self._deadline()
            left_s = deadline - monotonic()
            if left_s <= 0:
                self._late_reads += 1
            if self._late_reads > LATE_READS:
                return False
            if await self._reader.receive(left_s):
                return True
            if self._deadline() <= deadline:
                return False

    def _deadline(self) -> float:
        return self._began_at + max(self._first_timeout_s, self._timeout_s())
