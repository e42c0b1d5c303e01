"""HTTP/1.1 on a connection to a backend server, parsed by h11."""

import asyncio

import h11

from lychee_gateway.exceptions import ServerAnswerError
from lychee_gateway.http.messages import RequestHead, ResponseHead, header_value
from lychee_gateway.http.wire import Wire
from lychee_types.records import Endpoint

HEAD_LIMIT_BYTES = 65_536
"""Largest head of a backend server's answer."""

BODILESS = frozenset((204, 304))
"""Statuses whose answers have no body."""


def _broken(message: str) -> ServerAnswerError:
    return ServerAnswerError(
        message=f"the backend server's answer is unusable: {message}",
        remedy="look at the backend server's log for this request id",
    )


class ServerConnection:
    """One connection to a backend server; it carries one exchange at a time.

    :param wire: the connection.
    """

    def __init__(self, *, wire: Wire) -> None:
        self._wire = wire
        self._conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES)
        self._method = b""

    @property
    def wire(self) -> Wire:
        """The connection's transport."""
        return self._wire

    def is_fresh(self) -> bool:
        """Return whether the server has neither closed the connection nor sent unasked bytes."""
        return self._wire.is_quiet()

    def send(self, head: RequestHead, body: bytes) -> None:
        """Write a whole request; the headers must hold the body's length."""
        self._method = head.method
        event = h11.Request(method=head.method, target=head.target, headers=list(head.headers))
        data = self._conn.send(event)
        if body:
            data += self._conn.send(h11.Data(data=body))
        data += self._conn.send(h11.EndOfMessage())
        self._wire.write(data)

    async def read_head(self) -> ResponseHead:
        """Return the head of the answer.

        :raises ServerAnswerError: if the connection ends or the answer is malformed.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse) and event.status_code != 101:
                continue
            if isinstance(event, h11.Response):
                return self._as_head(event)
            raise _broken("it ended before its head")

    async def read_chunk(self) -> bytes:
        """Return the next part of the body, empty at its end.

        :raises ServerAnswerError: if the answer is cut short or malformed.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise _broken("it ended early")

    def reset(self) -> bool:
        """Get ready for the next exchange; False if the connection must not be reused."""
        if self._conn.our_state is h11.IDLE:
            return self._wire.is_quiet()
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return False
        if self._conn.trailing_data[0] or self._wire.unsent or not self._wire.is_quiet():
            return False
        self._conn.start_next_cycle()
        return True

    def close(self) -> None:
        """Close at once; the server takes this as the request's cancellation."""
        self._wire.abort()

    def _as_head(self, event: h11.Response) -> ResponseHead:
        headers = tuple(event.headers)
        coded = header_value(headers, b"transfer-encoding")
        declared = header_value(headers, b"content-length")
        if coded is not None and declared is not None:
            raise _broken("it has both Content-Length and Transfer-Encoding")
        length = int(declared) if declared is not None else None
        bodiless = event.status_code in BODILESS or self._method == b"HEAD"
        if length is None and coded is None and not bodiless:
            raise _broken("it has neither Content-Length nor chunks, so its end cannot be told")
        return ResponseHead(
            status=event.status_code, headers=headers, reason=event.reason, length=length
        )

    async def _next_event(self) -> h11.Event:
        try:
            while (event := self._conn.next_event()) is h11.NEED_DATA:
                data = await self._wire.read()
                if not data and self._wire.lost and self._conn.their_state is h11.SEND_RESPONSE:
                    raise _broken("the connection was lost")
                self._conn.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise _broken(str(exc)) from exc
        assert isinstance(event, h11.Event)
        return event


async def open_server_connection(endpoint: Endpoint, *, timeout_s: float) -> ServerConnection:
    """Connect to a backend server.

    :param endpoint: its address.
    :param timeout_s: longest wait in seconds.
    :raises OSError: if it cannot be reached in time; a TimeoutError is one.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, wire = await loop.create_connection(Wire, endpoint.host, endpoint.port)
    return ServerConnection(wire=wire)
