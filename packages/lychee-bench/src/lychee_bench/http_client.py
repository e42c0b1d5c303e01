"""HTTP/1.1 client connections of the bench, over asyncio and httptools."""

import asyncio
from collections.abc import Mapping
from typing import cast

import httptools
from msgspec import Struct

from lychee_types.exceptions import LycheeError
from lychee_types.records import Endpoint


class ConnectionRefusedByPeerError(LycheeError):
    """No connection could be opened, so nothing was sent."""


class ConnectionBrokenError(LycheeError):
    """The connection broke before the answer was whole."""


class Answer(Struct, frozen=True, kw_only=True):
    """One whole answer as its framing tells.

    :param status: HTTP status.
    :param headers: values by lower-case name.
    :param body: the whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class ClientConnection(asyncio.Protocol):
    """One connection that carries one request at a time.

    :param endpoint: the peer.
    """

    def __init__(self, *, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.usable = False
        self._parser = httptools.HttpResponseParser(self)
        self._fut: asyncio.Future[Answer] | None = None
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection is open."""
        self._transport = cast(asyncio.Transport, transport)
        self.usable = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request that waits."""
        self.usable = False
        self._fail("the connection was closed before the answer was whole")

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that nobody asked for close the connection."""
        if self._fut is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self.close()
            self._fail(f"the answer is malformed: {exc}")

    def on_message_begin(self) -> None:
        """Start a new answer."""
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand over the answer."""
        answer = Answer(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=b"".join(self._body),
        )
        if not self._parser.should_keep_alive():
            self.close()
        fut, self._fut = self._fut, None
        if fut is not None and not fut.done():
            fut.set_result(answer)

    def _fail(self, message: str) -> None:
        fut, self._fut = self._fut, None
        if fut is not None and not fut.done():
            fut.set_exception(
                ConnectionBrokenError(message=message, remedy="ask again by another VM")
            )

    def close(self) -> None:
        """Close the connection; nothing is sent on it any more."""
        self.usable = False
        self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self.usable = False
        self._transport.abort()

    async def request(
        self,
        *,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes = b"",
    ) -> Answer:
        """Send a request and return its whole answer; cancelling it closes the connection.

        :raises ConnectionBrokenError: if the connection broke first.
        """
        assert self._fut is None and self.usable
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.endpoint}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._fut = asyncio.get_running_loop().create_future()
        self._transport.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        try:
            return await self._fut
        except asyncio.CancelledError:
            self._fut = None
            self.close()
            raise


async def connect(endpoint: Endpoint, *, timeout_s: float = 1.0) -> ClientConnection:
    """Open a connection.

    :raises ConnectionRefusedByPeerError: if it cannot be opened in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(
                lambda: ClientConnection(endpoint=endpoint), endpoint.host, endpoint.port
            )
            return conn
    except (OSError, TimeoutError) as exc:
        raise ConnectionRefusedByPeerError(
            message=f"no connection to {endpoint}: {type(exc).__name__}",
            remedy="check that the process runs",
        ) from exc
