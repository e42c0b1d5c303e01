"""Parsing of HTTP/1.1 responses by httptools (llhttp) into typed events."""

from collections import deque

import httptools

from lychee_http.framing import VERSIONS
from lychee_http.messages import Headers, ResponseHead, header_value
from lychee_http.parser import (
    END_OF_MESSAGE,
    FRAMING_ALLOWANCE,
    EndOfMessage,
    HeadCollector,
    MalformedError,
)

MAX_HEADERS = 1_000
"""Maximum number of headers of a response; each takes more memory than its bytes. Those of requests
are limited by their bytes, and their memory is counted.
"""

PROTOCOL = b"HTTP/"
"""Beginning of each response; llhttp also takes those of related protocols."""

MIN_STATUS = 100
"""Lowest status code (RFC 9110, section 15)."""

MIN_FINAL_STATUS = 200
"""Lowest status code of a response that is not an interim one."""

MAX_STATUS = 599
"""Highest status code (RFC 9110, section 15)."""

ResponseEvent = ResponseHead | bytes | EndOfMessage
"""A response's head, a part of its body, or its end."""


class ResponseParser(HeadCollector):
    """Turns a server's bytes into one response; interim (1xx) responses are ignored.

    A head that cannot be one of an HTTP/1 response is malformed, so that nothing behind it is taken
    for the response.

    :param head_limit: maximum size of a head in bytes, and of any bytes that are neither a head
        nor part of a body, such as trailers. Bytes within a chunked body that are not of it are
        limited by :data:`FRAMING_ALLOWANCE` too.
    :param to_head: whether the request was a HEAD, whose response has no body.
    """

    def __init__(self, *, head_limit: int, to_head: bool) -> None:
        super().__init__(head_limit=head_limit, max_headers=MAX_HEADERS)
        self._parser = httptools.HttpResponseParser(self)
        self._events: deque[ResponseEvent] = deque()
        self._to_head = to_head
        self._reason = b""
        self._first_bytes = b""
        self._interim = False
        self._bytes_without_event = 0
        self._framing_bytes = 0
        self._body_bytes = 0
        self.complete = False
        self.has_surplus = False
        self.allows_keep_alive = False

    @property
    def has_unread_events(self) -> bool:
        """Whether a part of the response, or its end, has been parsed and not been returned."""
        return bool(self._events)

    def next_event(self) -> ResponseEvent | None:
        """Return the next event, or None if more bytes are needed.

        Parts of a body that have arrived together are returned as one.

        :raises MalformedError: if the bytes after the last event are malformed.
        """
        if self._events:
            return self._join_parts(self._events.popleft())
        if self._error is not None and not self.complete:
            # Each raise adds its frames, and with them the bytes that they were given.
            raise self._error.with_traceback(None)
        return None

    def feed(self, data: bytes) -> None:
        """Parse bytes; any bytes after the response set :attr:`has_surplus`."""
        if self.complete:
            self.has_surplus = True
            return
        if len(self._first_bytes) < len(PROTOCOL):
            self._check_protocol(data)
        if self._error is not None:
            self.has_surplus = True
            return
        event_count, body_bytes = len(self._events), self._body_bytes
        was_in_body = self.in_body
        try:
            self._parse(self._parser, data)
        except httptools.HttpParserUpgrade:
            self._error = MalformedError(message="it switches protocols")
            if not self.complete:
                self._events.clear()
        self._limit_bytes_without_event(len(data), len(self._events) > event_count)
        if was_in_body:
            self._limit_framing(len(data) - (self._body_bytes - body_bytes))
        if self._error is not None:
            self.has_surplus = True

    def _check_protocol(self, data: bytes) -> None:
        """Reject a response whose first bytes, line ends aside, are not those of HTTP."""
        data = data if self._first_bytes else data.lstrip(b"\r\n")
        self._first_bytes += data[: len(PROTOCOL) - len(self._first_bytes)]
        if not PROTOCOL.startswith(self._first_bytes):
            self._error = MalformedError(message="it is not HTTP")

    def _limit_bytes_without_event(self, size: int, has_event: bool) -> None:
        """Reject bytes that go on without a head or a part of a body."""
        self._bytes_without_event = 0 if has_event else self._bytes_without_event + size
        if self._error is None and self._bytes_without_event > self.head_limit:
            self._error = MalformedError(message="its bytes are neither a head nor a body")

    def _limit_framing(self, size: int) -> None:
        """Reject a body of which far more is framing than content."""
        self._framing_bytes += size
        allowed = self.head_limit + FRAMING_ALLOWANCE * self._body_bytes
        if self._error is None and not self.complete and self._framing_bytes > allowed:
            self._error = MalformedError(message="its chunks have too many bytes beside the body")

    def _join_parts(self, event: ResponseEvent) -> ResponseEvent:
        """Return an event, joined with those behind it if they are parts of the same body."""
        if not isinstance(event, bytes):
            return event
        parts = [event]
        while self._events and isinstance(part := self._events[0], bytes):
            parts.append(part)
            self._events.popleft()
        return event if len(parts) == 1 else b"".join(parts)

    def on_message_begin(self) -> None:
        """Begin a response."""
        if self.complete:
            self.has_surplus = True
            return
        super().on_message_begin()
        self._reason = b""

    def on_status(self, part: bytes) -> None:
        """Add a part of the reason phrase."""
        self._reason += part

    def on_headers_complete(self) -> None:
        """End a head.

        :raises MalformedError: if it cannot be the head of a response.
        """
        if self.complete:
            return
        self._in_head = False
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise MalformedError(message=f"its status is {status:03d}")
        # Behind an interim response, 1.0 is the version of a related protocol.
        if version.encode() not in VERSIONS or (self._interim and version == "1.0"):
            raise MalformedError(message=f"its version is HTTP/{version}")
        self._interim = status < MIN_FINAL_STATUS
        if self._interim:
            _check_interim(tuple(self._headers))
            return
        self._events.append(
            ResponseHead(status=status, headers=tuple(self._headers), reason=self._reason)
        )
        if self._to_head:
            self._complete_message()

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        if self.complete:
            self.has_surplus = True
        else:
            self._body_bytes += len(data)
            self._events.append(data)

    def on_message_complete(self) -> None:
        """End a response unless it was an interim one."""
        super().on_message_complete()
        if not self._interim and not self.complete:
            self._complete_message()

    def _complete_message(self) -> None:
        self.complete = True
        self.allows_keep_alive = self._parser.should_keep_alive()
        self._events.append(END_OF_MESSAGE)


def _check_interim(headers: Headers) -> None:
    """Check that an interim response has no content.

    :raises MalformedError: if its headers announce some.
    """
    has_codings = header_value(headers, b"transfer-encoding") is not None
    if has_codings or header_value(headers, b"content-length") not in (None, b"0"):
        raise MalformedError(message="it is an interim response with content")
