"""Parsing of HTTP/1.1 requests by httptools (llhttp) into typed events.

llhttp accepts more than the gateway may accept, so the readers of heads check them again. The
parser here only turns bytes into events and does not interpret requests.
"""

from collections import deque
from dataclasses import dataclass, replace
from typing import Any

import httptools

from lychee_http.caller_memory import HEADER_BYTES, UNCOUNTED, Holding
from lychee_http.messages import Header, RequestHead, header_value
from lychee_types.exceptions import LycheeError

FRAMING_ALLOWANCE = 16
"""Bytes of chunk sizes, extensions and line ends that a server may send for each byte of a body,
beyond the size of a head. A chunk of one byte needs 5; some servers pad its size to 8 digits.
"""

SLICE_BYTES = 16_384
"""Bytes of a caller that are parsed at once; each may be a callback or an object."""

SMALL_BYTES = 512
"""Bytes of a caller that need no slices, as they are too few for `DENSE_CALLBACKS`."""

DENSE_CALLBACKS = 256
"""Callbacks in a slice from which on parsing it takes long for its size."""

FEW_HEADERS = 32
"""Headers in a slice up to which only their bytes count until they are taken."""

DENSE_IN_MESSAGE = 64
"""The same for each message in it; many usual requests are no such slice."""


class MalformedError(LycheeError):
    """Bytes that are not well-formed HTTP/1.1.

    :param status: HTTP status of the response, if the bytes came from a caller.
    """

    def __init__(self, *, message: str, status: int = 400) -> None:
        super().__init__(message=message, remedy="send well-formed HTTP/1.1")
        self.status = status


@dataclass(frozen=True, slots=True)
class EndOfMessage:
    """The message is complete."""


END_OF_MESSAGE = EndOfMessage()
"""The only value of its type that parsers return."""

RequestEvent = RequestHead | bytes | EndOfMessage
"""A request's head, a part of its body, or its end."""


class HeadCollector:
    """Assembles heads, one after the other, from the parser's callbacks.

    :param head_limit: maximum size of an incomplete head in bytes; it may be set anew.
    :param max_headers: maximum number of headers, None for no limit.
    """

    def __init__(self, *, head_limit: int, max_headers: int | None) -> None:
        self.head_limit = head_limit
        self._max_headers = max_headers
        self._in_head = False
        self._head_bytes = 0
        self._head_count = 0
        self._header_count = 0
        self._is_between_messages = True
        self._headers: list[Header] = []
        self._error: MalformedError | None = None

    @property
    def in_head(self) -> bool:
        """Whether a head has begun and is incomplete."""
        return self._in_head

    @property
    def in_body(self) -> bool:
        """Whether a message's head is complete and its end has not come."""
        return not (self._in_head or self._is_between_messages or self._error)

    def on_message_begin(self) -> None:
        """Begin a head."""
        self._in_head = True
        self._is_between_messages = False
        self._head_count += 1
        self._head_bytes = 0
        self._headers = []

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Add a header; trailers are ignored.

        :raises MalformedError: if there are too many.
        """
        self._header_count += 1
        if not self._in_head:
            return
        if self._max_headers is not None and len(self._headers) >= self._max_headers:
            text = f"it has more than {self._max_headers} headers"
            raise MalformedError(message=text, status=431)
        self._headers.append((name.lower(), (value or b"").strip()))

    def on_message_complete(self) -> None:
        """End a message."""
        self._is_between_messages = True

    def _parse(self, parser: Any, data: bytes) -> None:
        """Parse bytes, and reject an incomplete head that exceeds the limit.

        If a head began behind other bytes in the same read, only its later bytes are counted.
        """
        heads_if_all_of_one = self._head_count + self._is_between_messages
        was_outside_body = self._in_head or self._is_between_messages
        try:
            parser.feed_data(data)
        except httptools.HttpParserError as exc:
            cause = exc.__context__
            if isinstance(cause, MalformedError):
                self._error = cause
            else:
                self._error = MalformedError(message=str(exc) or type(exc).__name__)
            return
        if self._in_head:
            if was_outside_body and self._head_count == heads_if_all_of_one:
                self._head_bytes += len(data)
            if self._head_bytes > self.head_limit:
                self._error = MalformedError(message="the head is too large", status=431)


@dataclass(slots=True)
class _Unparsed:
    """Bytes that were fed and not all parsed.

    :param data: the bytes.
    :param received_at: when the newest were received.
    :param earlier_at: when the others are taken to have been, None if all came at once.
    :param begin: place of the first one that was not parsed.
    """

    data: bytes
    received_at: float | None
    earlier_at: float | None = None
    begin: int = 0

    @property
    def is_small(self) -> bool:
        """Whether these are few bytes that were received at once, and none was parsed."""
        return self.earlier_at is None and not self.begin and len(self.data) <= SMALL_BYTES

    @property
    def size(self) -> int:
        """Number of bytes that were not parsed."""
        return len(self.data) - self.begin

    def take(self) -> bytes:
        """Return the next slice."""
        begin, self.begin = self.begin, min(len(self.data), self.begin + SLICE_BYTES)
        return self.data if self.begin - begin == len(self.data) else self.data[begin : self.begin]


class RequestParser(HeadCollector):
    """Turns a caller's bytes into requests, a slice at a time, as their events are asked for.

    :param head_limit: maximum size of an incomplete head in bytes, and of any bytes of a body that
        go on without content, such as trailers. Bytes within a chunked body that are not content
        are limited by :data:`FRAMING_ALLOWANCE` too.
    :param holding: counts the memory of what was fed and not yet taken.
    """

    def __init__(self, *, head_limit: int, holding: Holding = UNCOUNTED) -> None:
        super().__init__(head_limit=head_limit, max_headers=None)
        self.is_dense = False
        self._parser = httptools.HttpRequestParser(self)
        self._holding = holding
        self._unparsed: deque[_Unparsed] = deque()
        self._events: deque[RequestEvent | bytearray] = deque()
        self._target = b""
        self._received_at: float | None = None
        self._part_count = 0
        self._memory = 0
        self._content_bytes = 0
        self._framing_bytes = 0
        self._bytes_without_content = 0

    @property
    def has_next_event(self) -> bool:
        """Whether an event or error is available without more bytes."""
        self._parse_until_event()
        return bool(self._events) or self._error is not None

    def next_event(self) -> RequestEvent | None:
        """Return the next event, or None if more bytes are needed.

        Parts of a body that were parsed together are returned as one.

        :raises MalformedError: if the bytes after the last event are malformed.
        """
        if not self._events:
            self._parse_until_event()
        if self._events:
            event = self._events.popleft()
            return bytes(event) if isinstance(event, bytearray) else event
        if self._error is not None:
            # Each raise adds its frames, and with them the bytes that they were given.
            raise self._error.with_traceback(None)
        return None

    def feed(self, data: bytes, *, received_at: float | None = None) -> None:
        """Take bytes, which are parsed when their events are asked for.

        :param received_at: when they were received, which the heads that end in them bear.
        """
        self._take(_Unparsed(data, received_at))

    def feed_waited(self, data: bytes, *, received_at: float, earlier_at: float) -> None:
        """Take bytes that waited to be read.

        :param received_at: when the newest were received, which the last head that ends in them
            bears.
        :param earlier_at: when the others are taken to have been, which the heads before bear.
        """
        self._take(_Unparsed(data, received_at, earlier_at))

    def close(self) -> None:
        """Drop what was fed and not taken, and take nothing more.

        The parser and this object refer to each other, so it would be kept until the next garbage
        collection.
        """
        self._error = self._error or MalformedError(message="the connection is closed")
        self._unparsed.clear()
        self._events.clear()
        self._headers = []

    def _take(self, part: _Unparsed) -> None:
        if self._error is None:
            self._unparsed.append(part)
            self._holding.add_input(part.size)

    def _parse_until_event(self) -> None:
        if self._memory and not self._events:
            self._count_memory(self._head_memory())
        if not self._unparsed:
            return
        while self._unparsed and not self._events and self._error is None:
            part = self._unparsed[0]
            if self._is_between_messages and part.is_small:
                self._parse_small(part)
            else:
                self._parse_slice()
        if self._memory and not self._events:
            self._count_memory(self._head_memory())
        if self._error is not None and self._unparsed:
            self._holding.add_input(-sum(part.size for part in self._unparsed))
            self._unparsed.clear()

    def _head_memory(self) -> int:
        """Return the memory of the head in progress, in bytes."""
        return self._head_bytes + HEADER_BYTES * len(self._headers) if self._in_head else 0

    def _count_memory(self, size: int) -> None:
        """Count the memory of the head in progress and of the events that were not taken."""
        if size != self._memory:
            self._holding.add_input(size - self._memory)
            self._memory = size

    def _parse_small(self, part: _Unparsed) -> None:
        """Parse the few bytes of a usual request, without what only long ones need."""
        self._unparsed.popleft()
        self._header_count = 0
        self.is_dense = False
        self._feed(part.data, part.received_at)
        if self._is_between_messages:
            self._headers = []
        self._memory += len(part.data)
        if self._header_count > FEW_HEADERS and (self._events or self._in_head):
            self._count_memory(self._memory + HEADER_BYTES * self._header_count)

    def _parse_slice(self) -> None:
        part = self._unparsed[0]
        data = part.take()
        if not part.size:
            self._unparsed.popleft()
        self._header_count = self._part_count = 0
        was_in_body, head_count = self.in_body, self._head_count
        content_bytes = self._content_bytes
        self._feed_slice(data, part, is_last=not part.size)
        if self._is_between_messages:
            # The head was handed over, and its connection may be idle for long.
            self._headers = []
        if was_in_body and self.in_body and self._head_count == head_count:
            self._limit_framing(len(data), self._content_bytes - content_bytes)
        callbacks = self._header_count + self._part_count
        messages = 1 + self._head_count - head_count
        self.is_dense = callbacks >= max(DENSE_CALLBACKS, DENSE_IN_MESSAGE * messages)
        is_kept = self._header_count > FEW_HEADERS and (self._events or self._in_head)
        added = HEADER_BYTES * self._header_count if is_kept else 0
        # What was counted for the bytes themselves now counts for what was made of them.
        self._memory += len(data)
        self._count_memory(self._memory + added)

    def _feed_slice(self, data: bytes, part: _Unparsed, *, is_last: bool) -> None:
        """Parse a slice; of bytes that waited, the last head bears when the newest came."""
        if part.earlier_at is None:
            self._feed(data, part.received_at)
            return
        known = len(self._events)
        self._feed(data, part.earlier_at)
        if not (is_last or self.in_body):
            return
        for place in reversed(range(known, len(self._events))):
            event = self._events[place]
            if isinstance(event, RequestHead):
                self._events[place] = replace(event, received_at=part.received_at)
                return

    def _feed(self, data: bytes, received_at: float | None) -> None:
        self._received_at = received_at
        while data and self._error is None:
            try:
                self._parse(self._parser, data)
                return
            except httptools.HttpParserUpgrade as exc:
                data = data[exc.args[0] :]
                self._continue_without_upgrade()

    def _limit_framing(self, size: int, content_bytes: int) -> None:
        """Reject a body of which far more is framing than content, or that goes on without any."""
        self._framing_bytes += size - content_bytes
        self._bytes_without_content = 0 if content_bytes else self._bytes_without_content + size
        if self._error is not None:
            return
        if self._bytes_without_content > self.head_limit:
            self._error = MalformedError(message="its trailers are too long", status=431)
        elif self._framing_bytes > self.head_limit + FRAMING_ALLOWANCE * self._content_bytes:
            self._error = MalformedError(message="its chunks have too many bytes beside the body")

    def on_message_begin(self) -> None:
        """Begin a request."""
        super().on_message_begin()
        self._target = b""
        self._content_bytes = self._framing_bytes = self._bytes_without_content = 0

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""
        self._target += part

    def on_headers_complete(self) -> None:
        """End a head."""
        self._in_head = False
        self._events.append(
            RequestHead(
                method=self._parser.get_method(),
                target=self._target,
                headers=tuple(self._headers),
                version=self._parser.get_http_version().encode(),
                received_at=self._received_at,
            )
        )

    def on_body(self, data: bytes) -> None:
        """Add a part of a body, to the one before if that was not taken yet."""
        self._part_count += 1
        self._content_bytes += len(data)
        last = self._events[-1] if self._events else None
        match last:
            case bytearray():
                last += data
            case bytes():
                self._events[-1] = bytearray(last) + data
            case _:
                self._events.append(data)

    def on_message_complete(self) -> None:
        """End a request."""
        super().on_message_complete()
        self._events.append(END_OF_MESSAGE)

    def _continue_without_upgrade(self) -> None:
        """Continue after a request that asks for a protocol upgrade, which is never granted.

        The parser does not read such a request's body, so one with a body is rejected.
        """
        for name in (b"content-length", b"transfer-encoding"):
            if header_value(tuple(self._headers), name) not in (None, b"0"):
                self._error = MalformedError(message="a request to upgrade has a body")
                self._drop_last_request()
                return
        self._parser = httptools.HttpRequestParser(self)

    def _drop_last_request(self) -> None:
        """Drop the events of the last request; those before it are still to be answered."""
        while not isinstance(self._events.pop(), RequestHead):
            pass
