"""One TCP connection with bounded buffers in both directions."""

import asyncio
import select
import socket
import struct
from collections.abc import Callable
from typing import cast

READ_LIMIT_BYTES = 65_536
"""Unread bytes at which reading from the peer pauses."""

WRITE_LIMIT_BYTES = 65_536
"""Unsent bytes at which a writer that awaits :meth:`TcpStream.drain` waits."""


_NO_LINGER = struct.pack("ii", 1, 0)


def _nothing() -> None:
    """Do nothing."""


class TcpStream(asyncio.Protocol):
    """A transport that one task reads from and writes to.

    :param on_connect: called once the connection is open.
    :param on_disconnect: called when the peer has ended its side or the connection is lost.
    """

    def __init__(
        self,
        *,
        on_connect: "Callable[[TcpStream], None] | None" = None,
        on_disconnect: Callable[[], None] = _nothing,
    ) -> None:
        self.on_disconnect = on_disconnect
        self.eof = False
        self.lost = False
        self.was_reset = False
        self._is_reading_stopped = False
        self._on_connect = on_connect
        self._transport: asyncio.Transport | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._paused = False
        self._reader: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._poll: select.poll | None = None

    @property
    def transport(self) -> asyncio.Transport:
        """The open transport."""
        assert self._transport is not None
        return self._transport

    @property
    def buffered(self) -> int:
        """Number of bytes received and not yet read."""
        return self._size

    @property
    def unsent(self) -> int:
        """Number of bytes written and not yet taken by the operating system."""
        return self.transport.get_write_buffer_size()

    @property
    def is_congested(self) -> bool:
        """Whether a writer has to wait for the peer, or the connection is lost."""
        return self._writable is not None or self.lost

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_LIMIT_BYTES)
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        """Keep received bytes for the reader."""
        self._chunks.append(data)
        self._size += len(data)
        if self._size >= READ_LIMIT_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Note that the peer sends nothing more."""
        self.eof = True
        self._wake_reader()
        self._tell_gone()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake everybody who waits on the connection."""
        self.eof = True
        self.lost = True
        self.was_reset = exc is not None
        self._wake_reader()
        self.resume_writing()
        self._tell_gone()

    def pause_writing(self) -> None:
        """Make writers wait."""
        if self._writable is None:
            self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let writers go on."""
        if self._writable is not None:
            if not self._writable.done():
                self._writable.set_result(None)
            self._writable = None

    async def read(self) -> bytes:
        """Return all received bytes, waiting for some; empty at the end of the stream."""
        while not self._chunks:
            if self.eof or self._is_reading_stopped:
                return b""
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        data = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        self._size = 0
        if self._paused:
            self._paused = False
            if not self.lost:
                self.transport.resume_reading()
        return data

    def stop_reading(self, *, stopped: bool = True) -> None:
        """Have :meth:`read` return nothing instead of waiting, or wait again."""
        self._is_reading_stopped = stopped
        self._wake_reader()

    def write(self, data: bytes) -> None:
        """Send bytes; they are dropped if the connection is lost."""
        if not self.lost:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until few enough bytes are unsent.

        :raises ConnectionError: if the connection is lost.
        """
        if self._writable is not None:
            await asyncio.shield(self._writable)
        if self.lost:
            raise ConnectionResetError("the peer has closed the connection")

    def close(self) -> None:
        """Close the connection after the unsent bytes."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Close the connection at once, so that the peer sees an error and no end of stream."""
        if not self.lost:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            self.abort()

    def is_quiet(self) -> bool:
        """Return whether the peer has neither sent bytes nor ended the connection.

        Asks the operating system as well, since the loop may not have read yet.
        """
        if self.eof or self._size or self.transport.is_closing():
            return False
        if self._poll is None:
            sock = self.transport.get_extra_info("socket")
            self._poll = select.poll()
            self._poll.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return not self._poll.poll(0)

    def _tell_gone(self) -> None:
        on_disconnect, self.on_disconnect = self.on_disconnect, _nothing
        on_disconnect()

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)
