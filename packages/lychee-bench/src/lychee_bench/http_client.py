"""A small HTTP/1.1 client for the bench, on asyncio and httptools."""

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
    """The connection broke before the response was complete."""


class ClientResponse(Struct, frozen=True, kw_only=True):
    """One complete response.

    :param status: HTTP status.
    :param headers: values by lower-case name.
    :param body: the whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class ClientConnection(asyncio.Protocol):
    """One connection, on which one request can be in progress at a time.

    :param endpoint: address of the peer.
    """

    def __init__(self, *, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.usable = False
        self._parser = httptools.HttpResponseParser(self)
        self._fut: asyncio.Future[ClientResponse] | None = None
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Mark the connection as usable."""
        self._transport = cast(asyncio.Transport, transport)
        self.usable = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        self.usable = False
        self._fail("the connection was closed before the response was complete")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is in progress."""
        if self._fut is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self.close()
            self._fail(f"the response is malformed: {exc}")

    def on_message_begin(self) -> None:
        """Start to collect a response."""
        self._reset()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Complete the request in progress with the response."""
        response = ClientResponse(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=b"".join(self._body),
        )
        if not self._parser.should_keep_alive():
            self.close()
        fut, self._fut = self._fut, None
        if fut is not None and not fut.done():
            fut.set_result(response)

    def _fail(self, message: str) -> None:
        fut, self._fut = self._fut, None
        if fut is not None and not fut.done():
            fut.set_exception(
                ConnectionBrokenError(message=message, remedy="retry through another gateway")
            )

    def close(self) -> None:
        """Close the connection after pending bytes are sent."""
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
    ) -> ClientResponse:
        """Send a request and return its complete response; cancellation closes the connection.

        :raises ConnectionBrokenError: if the connection breaks before.
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
            remedy="check that the process is running",
        ) from exc
