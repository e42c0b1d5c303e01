"""The console's HTTP server: connections on the asyncio loop in front of circuits.web.

circuits.web answers a second request with the response to the first, has no length limits or
timeouts, accepts ambiguous lengths and returns every cookie that it receives. So h11 parses each
request here, and circuits.web gets one plain request per connection, which closes after the
response.
"""

import asyncio
import re
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from http.cookies import CookieError, SimpleCookie
from typing import cast

import h11
from circuits import BaseComponent, handler
from circuits.net.events import disconnect, read
from circuits.web.http import HTTP
from loguru import logger

HEAD_LIMIT_BYTES = 16_384
"""Maximum size of the request line and headers."""

BODY_LIMIT_BYTES = 1_048_576
"""Maximum size of a request body."""

REQUEST_TIMEOUT_S = 15.0
"""Timeout for receiving a whole request, and for closing a connection, in seconds."""

RESPONSE_TIMEOUT_S = 60.0
"""Timeout for producing a response and sending it, in seconds."""

CONNECTION_LIMIT = 200
"""Maximum number of open connections."""

FORM_TYPE = "application/x-www-form-urlencoded"

_CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_PATH = re.compile(rb"/[A-Za-z0-9/._~-]{0,200}")
_QUERY = re.compile(rb"[A-Za-z0-9=&%+._~-]{0,2000}")


class RejectedRequestError(Exception):
    """A request that is rejected before it reaches circuits.web.

    :param status: the response's status.
    :param text: the response's body.
    """

    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


class Connection(asyncio.Protocol):
    """A browser's connection, which carries a single request.

    It takes the place of the socket in circuits.web's events.

    :param bridge: the component that fires its events.
    """

    def __init__(self, *, bridge: "WebBridge") -> None:
        self.cookie: str | None = None
        self.query = ""
        self.body = b""
        self._bridge = bridge
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_LIMIT_BYTES)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._request: h11.Request | None = None
        self._is_input_closed = False

    def getpeername(self) -> tuple[str, int]:
        """Return the browser's address; circuits.web calls this as on a socket."""
        peer = self._transport.get_extra_info("peername") if self._transport else None
        return (peer[0], peer[1]) if peer else ("", 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request, or reject the connection if there are too many."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._bridge.add(self):
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, "Too many connections; try again.")
            return
        self._start_timer(REQUEST_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the bridge."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._bridge.remove(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes after the first request are dropped."""
        if self._is_input_closed or self._transport is None or self._transport.is_closing():
            return
        try:
            self._parser.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as exc:
            status = HTTPStatus(exc.error_status_hint or HTTPStatus.BAD_REQUEST)
            self._reject(status, "This is no valid HTTP request.")
        except RejectedRequestError as exc:
            self._reject(exc.status, exc.text)

    def write(self, data: bytes) -> None:
        """Write a part of the response."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def close(self) -> None:
        """Close once everything has been written, or abort if that takes too long."""
        if self._transport is not None:
            self._transport.close()
            self._start_timer(REQUEST_TIMEOUT_S)

    def _read_events(self) -> None:
        while not self._is_input_closed:
            event = self._parser.next_event()
            match event:
                case h11.Request():
                    self._check_head(event)
                    self._request = event
                case h11.Data():
                    self.body += event.data
                    if len(self.body) > BODY_LIMIT_BYTES:
                        raise RejectedRequestError(
                            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "The form is too large."
                        )
                case h11.EndOfMessage():
                    self._forward_request()
                case h11.ConnectionClosed():
                    self.close()
                    return
                case _:
                    return

    def _check_head(self, request: h11.Request) -> None:
        names = [name for name, _ in request.headers]
        size = len(request.target) + sum(len(name) + len(text) for name, text in request.headers)
        if size > HEAD_LIMIT_BYTES:
            raise RejectedRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "The headers are too large."
            )
        if any(_CONTROL_CHARACTERS.search(text) for _, text in request.headers):
            raise RejectedRequestError(HTTPStatus.BAD_REQUEST, "Send headers as plain text.")
        headers = dict(request.headers)
        if b"transfer-encoding" in names or names.count(b"content-length") > 1:
            raise RejectedRequestError(HTTPStatus.BAD_REQUEST, "Send one Content-Length.")
        if int(headers.get(b"content-length", b"0")) > BODY_LIMIT_BYTES:
            raise RejectedRequestError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "The form is too large."
            )
        if request.method not in (b"GET", b"POST"):
            raise RejectedRequestError(HTTPStatus.METHOD_NOT_ALLOWED, "Use GET or POST.")
        content_type = headers.get(b"content-type", b"").split(b";")[0].strip().lower()
        if request.method == b"POST" and content_type != FORM_TYPE.encode():
            raise RejectedRequestError(HTTPStatus.UNSUPPORTED_MEDIA_TYPE, "Send a form.")
        path, _, query = request.target.partition(b"?")
        if not _PATH.fullmatch(path) or not _QUERY.fullmatch(query):
            raise RejectedRequestError(HTTPStatus.NOT_FOUND, "There is no such page.")
        self.query = query.decode()
        self.cookie = _session_cookie(headers.get(b"cookie", b""))

    def _forward_request(self) -> None:
        """Fire a request without the browser's headers to circuits.web."""
        request = self._request
        assert request is not None and self._transport is not None
        self._is_input_closed = True
        self._transport.pause_reading()
        self._start_timer(RESPONSE_TIMEOUT_S)
        path = request.target.partition(b"?")[0]
        head = b"%s %s HTTP/1.1\r\nHost: console\r\nConnection: close\r\n\r\n"
        self._bridge.fire(read(self, head % (bytes(request.method), path)), "web")

    def _reject(self, status: HTTPStatus, text: str) -> None:
        self._is_input_closed = True
        body = text.encode() + b"\n"
        head = (
            f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: text/plain\r\n"
            f"Allow: GET, POST\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.write(head.encode() + body)
        self.close()

    def _start_timer(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._abort)

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class WebBridge(BaseComponent):  # type: ignore[misc]
    """Passes events between circuits.web and the connections.

    :param secure: whether browsers use HTTPS.
    """

    channel = "web"
    host = "console"
    port = 0
    display_banner = False

    def __init__(self, *, secure: bool) -> None:
        super().__init__()
        self.secure = secure
        self.connections: set[Connection] = set()
        self.http = HTTP(self).register(self)

    def make_connection(self) -> Connection:
        """Return a new connection; the listener's protocol factory."""
        return Connection(bridge=self)

    def add(self, conn: Connection) -> bool:
        """Add a connection; return False if there are too many."""
        if len(self.connections) >= CONNECTION_LIMIT:
            return False
        self.connections.add(conn)
        return True

    def remove(self, conn: Connection) -> None:
        """Remove a connection."""
        self.connections.discard(conn)
        self.fire(disconnect(conn), "web")

    @handler("write")  # type: ignore[untyped-decorator]
    def on_write(self, conn: Connection, data: bytes) -> None:
        """Write a part of a response."""
        conn.write(data)

    @handler("close")  # type: ignore[untyped-decorator]
    def on_close(self, conn: Connection | None = None) -> None:
        """Close a connection after its response."""
        if conn is not None:
            conn.close()


@contextmanager
def _ignoring_cookie_errors() -> Iterator[None]:
    try:
        yield
    except CookieError as exc:
        logger.debug("invalid Cookie header; treating the request as without a session: {}", exc)


def _session_cookie(header: bytes) -> str | None:
    cookies: SimpleCookie = SimpleCookie()
    with _ignoring_cookie_errors():
        cookies.load(header.decode("latin-1"))
    found = cookies.get(SESSION_COOKIE)
    return found.value if found is not None else None


SESSION_COOKIE = "lychee_session"
"""Name of the session cookie."""
