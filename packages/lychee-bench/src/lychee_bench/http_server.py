"""A small HTTP/1.1 server for the bench, on asyncio and httptools."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Protocol, cast

import httptools
from msgspec import Struct

REASONS = {200: b"OK", 404: b"Not Found", 503: b"Service Unavailable"}
BACKLOG = 512
"""Maximum number of connections that wait to be accepted."""


class Request(Struct, frozen=True, kw_only=True):
    """One received request.

    :param method: its method.
    :param target: path and query as received.
    :param headers: values by lower-case name.
    :param body: the whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Response(Struct, frozen=True, kw_only=True):
    """One response to send.

    :param status: HTTP status.
    :param headers: names and values, without the headers that frame the body.
    :param body: the whole body.
    :param chunk_bytes: size of the chunks in which the body is sent, 0 to send it with its length.
    """

    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    chunk_bytes: int = 0


class Connection(Protocol):
    """What a request handler sees of the connection.

    ``over_limit`` says whether it was accepted beyond the limit on connections, and ``opened_at``
    is the event loop's time at which it was accepted, in seconds.
    """

    over_limit: bool
    opened_at: float


RequestHandler = Callable[[Request, Connection], Awaitable[Response]]
"""Handles one request; it is cancelled when the connection is lost."""


class ServerConnection(asyncio.Protocol):
    """One accepted connection; its requests are handled one after another.

    :param server: the server that accepted it.
    """

    def __init__(self, *, server: "HttpServer") -> None:
        self.over_limit = False
        self.opened_at = 0.0
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[tuple[Request, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._writable.set()
        self.opened_at = asyncio.get_running_loop().time()
        self.over_limit = len(self._server.open) >= self._server.connections
        self._server.open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._server.open.discard(self)
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection on a malformed request."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.close()

    def pause_writing(self) -> None:
        """Pause a chunked response until the peer has read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume a chunked response."""
        self._writable.set()

    def on_message_begin(self) -> None:
        """Start to collect a request."""
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Collect a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the request, and start to handle the queue if nothing does so yet."""
        request = Request(
            method=self._parser.get_method().decode("ascii"),
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=b"".join(self._body),
        )
        self._requests.append((request, self._parser.should_keep_alive()))
        if self._task is None:
            self._task = asyncio.create_task(self._handle_requests())

    async def _handle_requests(self) -> None:
        try:
            while self._requests and not self._transport.is_closing():
                request, keep_alive = self._requests.popleft()
                response = await self._server.handler(request, self)
                await self._write(request, response)
                if not keep_alive:
                    self._transport.close()
        finally:
            self._task = None

    async def _write(self, request: Request, response: Response) -> None:
        lines = [b"HTTP/1.1 %d %s" % (response.status, REASONS.get(response.status, b"Other"))]
        lines += [f"{name}: {value}".encode("latin-1") for name, value in response.headers]
        is_chunked = response.chunk_bytes > 0
        framing = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: "
        lines.append(framing if is_chunked else framing + b"%d" % len(response.body))
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        if request.method == "HEAD":
            self._transport.write(head)
        elif is_chunked:
            self._transport.write(head)
            await self._write_chunks(response)
        else:
            self._transport.write(head + response.body)

    async def _write_chunks(self, response: Response) -> None:
        for start in range(0, len(response.body), response.chunk_bytes):
            await self._writable.wait()
            chunk = response.body[start : start + response.chunk_bytes]
            self._transport.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        self._transport.write(b"0\r\n\r\n")


class HttpServer:
    """Accepts connections and hands their requests to a handler.

    :param handler: handles one request.
    :param connections: limit on open connections; those beyond it are marked ``over_limit``.
    """

    def __init__(self, *, handler: RequestHandler, connections: int) -> None:
        self.handler = handler
        self.connections = connections
        self.open: set[ServerConnection] = set()

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Start to listen, and return the listener."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: ServerConnection(server=self), host, port, backlog=BACKLOG
        )
