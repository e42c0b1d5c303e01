"""Connections to servers that another gateway carries, as the gateway that asked for one sees them.

The bytes towards the server follow the request as they are. The bytes from the server come in
frames, each a length and as many bytes, because the end of a connection alone does not tell whether
the server or the carrying gateway has ended it:

- The first frame is the reply.
- An empty frame says that the server has ended its stream cleanly.
- The length :data:`LEAVING` says that the carrying gateway is stopping; no bytes follow it.
- The length :data:`DROPPED` says that it has sent the server nothing of the request that came last,
  and ends the connection. A gateway that does not know this length takes it for a frame that is cut
  off, which leaves the outcome unknown.
"""

import asyncio
from struct import Struct as Layout

from msgspec import DecodeError
from msgspec.msgpack import Decoder, Encoder

from lychee_http.messages import RequestHead
from lychee_http.outbound import ServerConnection
from lychee_http.tcp import TcpStream
from lychee_types.exceptions import LycheeError
from lychee_types.peer_messages import CarryAccepted, CarryRefused, CarryReply, CarryRequest
from lychee_types.records import Endpoint
from lychee_types.timeouts import timeout_after_input

LENGTH = Layout(">I")
"""A frame's length."""

LEAVING = 0xFFFF_FFFF
"""Length of a frame that has no bytes and says that the carrying gateway is stopping."""

DROPPED = 0xFFFF_FFFE
"""Length of a frame that has no bytes and says that the last request was not sent on."""

MAX_REPLY_BYTES = 4_096
"""Maximum size of the request and of the reply, in bytes."""

_ENCODER = Encoder()
_REPLY_DECODER: Decoder[CarryReply] = Decoder(CarryReply)


class NotCarriedError(LycheeError):
    """Another gateway does not carry a connection to a server.

    :param is_unreached: whether the server accepts no connection from that gateway either.
    :param retry_after_s: time after which it makes sense to ask it again, in seconds.
    """

    def __init__(self, *, message: str, is_unreached: bool, retry_after_s: float) -> None:
        super().__init__(message=message, remedy="ask another gateway")
        self.is_unreached = is_unreached
        self.retry_after_s = retry_after_s


def encode_frame(payload: bytes) -> bytes:
    """Return the bytes of a frame."""
    return LENGTH.pack(len(payload)) + payload


class CarriedStream(TcpStream):
    """A connection to a carrying gateway; it reads as the server's own connection would."""

    def __init__(self) -> None:
        super().__init__()
        self.is_leaving = False
        self.was_not_sent_on = False
        self._reply: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._reply_bytes = bytearray()
        self._length_bytes = bytearray()
        self._frame_left = 0
        self._is_ended = False

    async def receive_reply(self) -> bytes:
        """Return the first frame.

        :raises ConnectionError: if the connection ends before.
        """
        return await self._reply

    def data_received(self, data: bytes) -> None:
        """Take the bytes of the frames apart."""
        view = memoryview(data)
        while view and not self._is_ended:
            if not self._frame_left:
                view = self._read_length(view)
                continue
            part, view = view[: self._frame_left], view[self._frame_left :]
            self._frame_left -= len(part)
            self._receive_part(bytes(part))

    def eof_received(self) -> bool:
        """Handle the end of the stream, which is clean only after an empty frame."""
        self.was_reset = not self._is_ended
        self._fail_reply()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the loss of the connection."""
        super().connection_lost(exc)
        self.was_reset = not self._is_ended
        self._fail_reply()

    def is_quiet(self) -> bool:
        """Return whether a further request may be sent on the connection."""
        is_between_frames = not self._frame_left and not self._length_bytes
        return is_between_frames and not self.is_leaving and super().is_quiet()

    def _read_length(self, view: memoryview) -> memoryview:
        missing = LENGTH.size - len(self._length_bytes)
        self._length_bytes += view[:missing]
        if len(self._length_bytes) == LENGTH.size:
            (length,) = LENGTH.unpack(self._length_bytes)
            self._length_bytes.clear()
            self._begin_frame(length)
        return view[missing:]

    def _begin_frame(self, length: int) -> None:
        if not self._reply.done() and not 0 < length <= MAX_REPLY_BYTES:
            self.abort()
        elif length == LEAVING:
            self.is_leaving = True
            self._notify_disconnect()
        elif length == DROPPED:
            self.was_not_sent_on = True
            self.abort()
        elif length == 0:
            self._is_ended = True
            super().eof_received()
        else:
            self._frame_left = length

    def _receive_part(self, part: bytes) -> None:
        if self._reply.done():
            super().data_received(part)
            return
        self._reply_bytes += part
        if not self._frame_left:
            self._reply.set_result(bytes(self._reply_bytes))

    def _fail_reply(self) -> None:
        if not self._reply.done():
            self._reply.set_exception(ConnectionResetError("the carrying gateway has gone"))
            # Nobody may wait for it any more.
            self._reply.exception()


class CarriedConnection(ServerConnection):
    """A connection to a server that another gateway carries.

    :param stream: the connection to that gateway.
    :param until_close: as for :class:`ServerConnection`.
    """

    def __init__(self, *, stream: CarriedStream, until_close: bool) -> None:
        super().__init__(stream=stream, until_close=until_close, is_carried=True)
        self._carried_stream = stream
        self._received_before = 0

    @property
    def was_not_sent_on(self) -> bool:
        """Whether the carrying gateway tells that the server got nothing of the last request."""
        has_input = self._carried_stream.received > self._received_before
        return self._carried_stream.was_not_sent_on and not has_input

    def send(self, head: RequestHead, body: bytes) -> None:
        """Send a request as :class:`ServerConnection` does."""
        self._received_before = self._carried_stream.received
        super().send(head, body)


async def open_carried_connection(
    carrier: Endpoint, request: CarryRequest, *, timeout_s: float, until_close: bool = False
) -> ServerConnection:
    """Open a connection to a server through another gateway.

    :param carrier: the address at which that gateway takes connections.
    :param request: the server.
    :param timeout_s: maximum wait in seconds.
    :param until_close: as for :class:`ServerConnection`.
    :raises OSError: if that gateway cannot be reached in time.
    :raises NotCarriedError: if it refuses.
    """
    loop = asyncio.get_running_loop()
    async with timeout_after_input(timeout_s):
        _, stream = await loop.create_connection(CarriedStream, carrier.host, carrier.port)
        stream.probe_while_silent()
        try:
            stream.write(encode_frame(_ENCODER.encode(request)))
            _check_reply(await stream.receive_reply())
        except BaseException:
            stream.abort()
            raise
    return CarriedConnection(stream=stream, until_close=until_close)


def _check_reply(data: bytes) -> None:
    try:
        reply = _REPLY_DECODER.decode(data)
    except DecodeError as exc:
        raise NotCarriedError(
            message=f"its reply is unreadable: {exc}", is_unreached=False, retry_after_s=1.0
        ) from exc
    match reply:
        case CarryAccepted():
            return
        case CarryRefused(reason=reason, is_unreached=is_unreached, retry_after_ms=retry_after_ms):
            raise NotCarriedError(
                message=reason, is_unreached=is_unreached, retry_after_s=retry_after_ms / 1_000
            )
