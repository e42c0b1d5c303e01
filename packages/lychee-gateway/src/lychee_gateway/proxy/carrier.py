"""Carry connections of other gateways to registered servers.

A carried connection is bytes and nothing else, but that a request which waited here has less time
left: the gateway that asked for it has chosen the server and answers for the request. Nothing is
carried on to a further gateway.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

from loguru import logger
from msgspec import DecodeError
from msgspec.msgpack import Decoder, Encoder

from lychee_gateway.proxy.peers import NotReachedError
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.servers import ProxyServer
from lychee_http import ServerConnection, TcpStream
from lychee_http.carrying import DROPPED, LEAVING, LENGTH, MAX_REPLY_BYTES, encode_frame
from lychee_http.closing import wait_until_delivered
from lychee_http.listener import Listener
from lychee_http.tcp import RECEIPT_CLOCK
from lychee_types.peer_messages import CarryAccepted, CarryRefused, CarryReply, CarryRequest
from lychee_types.records import Endpoint

REQUEST_TIMEOUT_S = 1.0
"""Maximum wait for the request on a new connection, in seconds."""

MAX_OPEN = 512
"""Maximum number of connections that are carried."""

CARRIED_FDS_SHARE = 1 / 6
"""Share of the descriptors to which carried connections are limited; each takes two."""

SPARE_OPEN = 32
"""Number of free places below which connections that are not in use are asked to end."""

MAX_WAITING = 64
"""Maximum number of carried connections whose server owes an answer."""

FULL_RETRY_S = 0.2
"""Delay after which a full gateway may be asked again, in seconds."""

UNKNOWN_RETRY_S = 0.2
"""The same for a server that is not registered here, as this gateway's state may be older."""

STALL_S = 10.0
"""Maximum time in which a gateway reads nothing of the last bytes carried to it, in seconds."""

MIN_WAIT_S = 0.1
"""Least time that is taken off the time that a carried request has left, in seconds."""

END_CHECK_S = 0.1
"""Interval at which a gateway is watched while nothing more can be read of it, in seconds."""

MAX_WAIT_S = 2.0
"""Time after which a request that waited here is not sent any more, in seconds.

A gateway that was paused for longer may not know yet that the server has left.
"""

_ENCODER = Encoder()
_REQUEST_DECODER: Decoder[CarryRequest] = Decoder(CarryRequest)


class _RefusedError(Exception):
    """A connection is not carried.

    :param reply: what the asking gateway is told.
    """

    def __init__(self, reply: CarryRefused) -> None:
        super().__init__(reply.reason)
        self.reply = reply


class Carrier:
    """Takes connections of other gateways and carries them to servers.

    :param endpoint: the address to listen on.
    :param servers: the registered servers, the only addresses that it connects to.
    :param connect: opens a direct connection to a server, within a time in seconds, or raises
        an OSError.
    :param is_late: returns whether bytes that are read now may have waited in the system's buffer.
    :param take_off: returns the first bytes of a request with less time left, by seconds, and as
        many bytes.
    :param may_send: returns whether a request may be sent to a server now.
    :param on_request: called with the outcome of each request.
    :param on_bytes: called with the number of bytes that were carried, in either direction.
    :param max_fds: maximum number of descriptors of the process, None if it is not known.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        servers: ServerList,
        connect: Callable[[ProxyServer, float], Awaitable[ServerConnection]],
        on_request: Callable[[str], None],
        on_bytes: Callable[[int], None],
        is_late: Callable[[], bool] = lambda: False,
        take_off: Callable[[bytes, float], bytes] = lambda data, waited_s: data,
        max_fds: int | None = None,
        may_send: Callable[[ProxyServer], bool] = lambda server: True,
    ) -> None:
        self._max_fds = max_fds
        self._servers = servers
        self._connect = connect
        self._is_late = is_late
        self._take_off = take_off
        self._may_send = may_send
        self._on_request = on_request
        self._on_bytes = on_bytes
        self._listener = Listener(endpoint=endpoint, accept=self._accept)
        self._tasks: dict[asyncio.Task[None], TcpStream] = {}
        self._waiting: set[TcpStream] = set()
        # The one that was used least recently is first.
        self._unused: dict[TcpStream, None] = {}
        self._is_leaving = False

    def __len__(self) -> int:
        """Return how many connections are carried."""
        return len(self._tasks)

    def start(self) -> None:
        """Start to listen."""
        self._listener.start()

    def leave(self) -> None:
        """Take no more connections, and ask for the end of those that are carried."""
        self._is_leaving = True
        for stream in self._tasks.values():
            stream.write(LENGTH.pack(LEAVING))

    async def close(self) -> None:
        """Stop to listen and end all carried connections."""
        await self._listener.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(
            lambda: TcpStream(on_connect=self._on_connect, is_late=self._is_late), sock
        )

    def _on_connect(self, stream: TcpStream) -> None:
        stream.probe_while_silent()
        task = asyncio.get_running_loop().create_task(self._serve(stream))
        self._tasks[task] = stream
        task.add_done_callback(self._tasks.pop)

    async def _serve(self, stream: TcpStream) -> None:
        try:
            server, conn = await self._open(stream)
        except _RefusedError as exc:
            await self._refuse(stream, exc.reply)
            return
        except (ConnectionError, TimeoutError, DecodeError) as exc:
            logger.bind(event="bad_carry_request").info("no request to carry: {!r}", exc)
            self._on_request("bad")
            stream.abort()
            return
        self._on_request("carried")
        try:
            stream.write(_encode_reply(CarryAccepted()))
            self._unused[stream] = None
            if self._is_leaving:
                stream.write(LENGTH.pack(LEAVING))
            await self._carry(stream, conn, server)
        finally:
            self._end_at_server(stream, conn)
            self._waiting.discard(stream)
            self._unused.pop(stream, None)
            stream.abort()

    async def _open(self, stream: TcpStream) -> tuple[ProxyServer, ServerConnection]:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            request = _REQUEST_DECODER.decode(await _read_frame(stream))
        server = self._servers.find(request.run)
        if self._is_leaving:
            raise _refused_error("this gateway is stopping", retry_after_s=FULL_RETRY_S)
        if server is None or server.record.endpoint != request.endpoint:
            raise _refused_error(
                "this address is no registered server", retry_after_s=UNKNOWN_RETRY_S
            )
        max_open = self._max_open()
        if len(self._tasks) > max_open - SPARE_OPEN:
            self._end_an_unused_one()
        if len(self._tasks) > max_open or len(self._waiting) >= MAX_WAITING:
            raise _refused_error("this gateway has no room", retry_after_s=FULL_RETRY_S)
        try:
            return server, await self._connect(server, request.timeout_ms / 1_000)
        except NotReachedError as exc:
            raise _refused_error(
                "the server accepts no connection",
                is_unreached=exc.is_unreached,
                retry_after_s=exc.retry_after_s,
            ) from exc
        except OSError as exc:
            raise _refused_error(
                f"the server accepts no connection: {exc!r}", is_unreached=True
            ) from exc

    def _max_open(self) -> int:
        """Return how many connections may be carried."""
        if self._max_fds is None:
            return MAX_OPEN
        return min(MAX_OPEN, int(self._max_fds * CARRIED_FDS_SHARE))

    def _end_an_unused_one(self) -> None:
        """Ask for the end of a connection; an answer that it may still deliver comes to its end."""
        stream = next(iter(self._unused), None)
        if stream is not None:
            del self._unused[stream]
            stream.write(LENGTH.pack(LEAVING))

    async def _refuse(self, stream: TcpStream, reply: CarryRefused) -> None:
        self._on_request("unreached" if reply.is_unreached else "refused")
        logger.bind(event="carry_refused").info("a connection is not carried: {}", reply.reason)
        stream.write(_encode_reply(reply))
        await _wait_until_delivered(stream)
        stream.abort()

    async def _carry(self, caller: TcpStream, conn: ServerConnection, target: ProxyServer) -> None:
        # The server takes the close as the end of the request, as from a caller of its own.
        caller.on_disconnect = lambda: self._end_at_server(caller, conn)
        if caller.eof:
            return
        up = asyncio.ensure_future(self._carry_up(caller, conn, target))
        try:
            await self._carry_down(conn.stream, caller)
        except ConnectionError as exc:
            logger.debug("a carried connection has ended: {!r}", exc)
        finally:
            up.cancel()
            with suppress(asyncio.CancelledError):
                await up

    def _end_at_server(self, caller: TcpStream, conn: ServerConnection) -> None:
        """Close the connection to a server; one that has answered still gets what was written."""
        if caller in self._waiting:
            conn.close()
        else:
            conn.stream.abort()

    async def _carry_up(
        self, caller: TcpStream, conn: ServerConnection, target: ProxyServer
    ) -> None:
        server = conn.stream
        try:
            while chunks := await caller.read_chunks():
                data = b"".join(chunk.data for chunk in chunks)
                if caller not in self._waiting:
                    waited_s = RECEIPT_CLOCK.monotonic() - chunks[0].received_at
                    if waited_s > MAX_WAIT_S or not self._may_send(target):
                        self._drop(caller, server, waited_s)
                        return
                    data = self._without_wait(data, waited_s)
                self._waiting.add(caller)
                self._unused.pop(caller, None)
                self._on_bytes(len(data))
                server.write(data)
                if not await _drain(server, unless_ended=caller):
                    self._end_at_server(caller, conn)
                    caller.abort()
                    return
        except ConnectionError as exc:
            # The other direction delivers what the server has sent until then.
            logger.debug("a server has ended a carried connection: {!r}", exc)

    def _drop(self, caller: TcpStream, server: TcpStream, waited_s: float) -> None:
        """End a connection without sending the request that came on it."""
        logger.bind(event="carried_request_dropped", waited_ms=round(waited_s * 1_000)).info(
            "a carried request came too late for its server"
        )
        self._on_request("dropped")
        self._unused.pop(caller, None)
        if server.unread_bytes or caller.is_congested:
            # The answer to an earlier request is on its way, and this may be the rest of that one.
            caller.abort()
        else:
            caller.write(LENGTH.pack(DROPPED))
            # Nothing may follow this frame: an older gateway would take it for an answer.
            caller.end_writing()
        server.abort()

    def _without_wait(self, data: bytes, waited_s: float) -> bytes:
        """Return the first bytes of a request without the time that they waited here."""
        return data if waited_s < MIN_WAIT_S else self._take_off(data, waited_s)

    async def _carry_down(self, server: TcpStream, caller: TcpStream) -> None:
        while data := await server.read():
            if caller in self._waiting:
                self._waiting.remove(caller)
                self._unused[caller] = None
            self._on_bytes(len(data))
            caller.write(encode_frame(data))
            await caller.drain()
        if server.was_reset:
            await _wait_until_delivered(caller, with_end=False)
            caller.reset()
            return
        caller.write(LENGTH.pack(0))
        await _wait_until_delivered(caller)


async def _drain(server: TcpStream, *, unless_ended: TcpStream) -> bool:
    """Wait until a server takes bytes again; return False if the asking gateway gave up meanwhile.

    It did if it has ended and the server has sent nothing. Otherwise it may have its answer, and
    what it sent is to reach the server.

    :param unless_ended: the connection of that gateway, of which nothing is read meanwhile.
    :raises ConnectionError: if the connection to the server is lost.
    """
    while server.is_congested:
        with suppress(TimeoutError):
            async with asyncio.timeout(END_CHECK_S):
                await server.drain()
                return True
        if not server.received and unless_ended.has_ended():
            return False
    return True


async def _read_frame(stream: TcpStream) -> bytes:
    """Read the one frame that a new connection begins with.

    :raises ConnectionError: if the connection ends before, or more or longer frames come.
    """
    received = bytearray()
    while True:
        if len(received) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(received)
            size = LENGTH.size + length
            if length > MAX_REPLY_BYTES or len(received) > size:
                raise ConnectionAbortedError("the first frame is too long")
            if len(received) == size:
                return bytes(received[LENGTH.size :])
        data = await stream.read()
        if not data:
            raise ConnectionResetError("the connection ended before its first frame")
        received += data


async def _wait_until_delivered(stream: TcpStream, *, with_end: bool = True) -> None:
    """Wait until the asking gateway has everything, or has left.

    :param with_end: False if the connection is to be reset afterwards.
    """
    await wait_until_delivered(
        stream, stall_s=STALL_S, discard=lambda data: None, with_end=with_end
    )


def _encode_reply(reply: CarryReply) -> bytes:
    return encode_frame(_ENCODER.encode(reply))


def _refused_error(
    reason: str, *, is_unreached: bool = False, retry_after_s: float = FULL_RETRY_S
) -> _RefusedError:
    return _RefusedError(
        CarryRefused(
            reason=reason,
            is_unreached=is_unreached,
            retry_after_ms=round(retry_after_s * 1_000),
        )
    )
