"""One TCP connection with bounded buffers in both directions."""

import asyncio
import fcntl
import socket
import struct
import sys
import termios
from collections.abc import Callable
from contextlib import suppress
from math import inf
from typing import cast

from msgspec import Struct

from lychee_http.caller_memory import UNCOUNTED, Holding
from lychee_http.lateness import SegmentCount, since_data_s
from lychee_http.socket_state import SocketState
from lychee_types.clock import SystemClock
from lychee_types.timeouts import timeout_after_input

READ_LIMIT_BYTES = 65_536
"""Number of unread bytes at which reading from the peer pauses."""

READ_SIZE_BYTES = 65_536
"""Maximum number of bytes that are read at once, in bytes; event loops take 262,144 by default."""

WRITE_LIMIT_BYTES = 65_536
"""Number of unsent bytes above which :meth:`TcpStream.drain` waits."""

PROBE_S = 1
"""Time without bytes after which the peer's system is probed, and the time between probes, in
seconds.
"""

PROBES = 3
"""Probes without an answer after which a connection is lost; fewer may just be lost packets."""

TIGHT_READ_BYTES = 4_096
"""The same, and the number of unread bytes at which reading pauses, while memory is tight."""

MAX_UNREAD_CHUNKS = 256
"""Number of unread pieces at which reading from the peer pauses; each is an object."""

CALLER_WRITE_LIMIT_BYTES = 16_384
"""The same as :data:`WRITE_LIMIT_BYTES` for callers whose memory is counted."""

CONGESTED_BYTES = 131_072
"""Memory that counts for a caller who does not read on, in bytes: what is unsent, and what its
server's connection has received.
"""

_READ_BUFFER = memoryview(bytearray(READ_SIZE_BYTES))
"""Shared by all connections: an event loop fills it and hands it over before it reads again."""

_TIGHT_READ_BUFFER = _READ_BUFFER[:TIGHT_READ_BYTES]

EARLIER_SPREAD_S = 0.4
"""Most by which bytes that waited may have come before the time that they bear, in seconds, where
the system tells it of newer ones only.
"""

RECEIPT_CLOCK = SystemClock()
"""The clock of the times at which bytes were received."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def _is_never_late() -> bool:
    """Return that bytes are read as they come."""
    return False


def _is_unknown() -> float:
    """Return that it is not known when bytes came at the earliest."""
    return inf


def _do_nothing() -> None:
    """Do nothing."""


class Chunk(Struct, frozen=True, gc=False):
    """Bytes that were received at once.

    :param data: the bytes.
    :param received_at: when, in seconds by :data:`RECEIPT_CLOCK`. Of bytes that waited to be read,
        the system tells when the newest came.
    :param earlier_at: of bytes that waited, when those ahead of the newest request's are taken to
        have been received; they came :data:`EARLIER_SPREAD_S` before that at most. None if all
        were received at once.
    """

    data: bytes
    received_at: float
    earlier_at: float | None = None


class TcpStream(asyncio.BufferedProtocol):
    """A TCP connection that one task reads from and writes to.

    :param on_connect: called once the connection is open.
    :param on_disconnect: called when the peer has ended its stream or the connection is lost; each
        callback that is set is called at most once. ``on_input`` is called whenever bytes come.
    :param is_late: returns whether bytes that are read now may have waited in the system's buffer.
    :param earliest: returns a time before which none of these came, in seconds by
        :data:`RECEIPT_CLOCK`; infinite if none is known.
    :param holding: counts what the connection holds, if it is a caller's.
    """

    def __init__(
        self,
        *,
        on_connect: "Callable[[TcpStream], None] | None" = None,
        on_disconnect: Callable[[], None] = _do_nothing,
        is_late: Callable[[], bool] = _is_never_late,
        earliest: Callable[[], float] = _is_unknown,
        holding: Holding = UNCOUNTED,
    ) -> None:
        self.holding = holding
        self.on_disconnect = on_disconnect
        self.on_input: Callable[[], None] = _do_nothing
        self.eof = False
        self.lost = False
        self.was_reset = False
        self.is_closed_here = False
        self.loss: Exception | None = None
        self._is_reading_stopped = False
        self._is_writing_ended = False
        self._on_connect = on_connect
        self._transport: asyncio.Transport | None = None
        self._received: list[Chunk] = []
        self._received_size = 0
        self._read_size = READ_SIZE_BYTES
        self._is_reading_paused = False
        self._is_late = is_late
        self._earliest = earliest
        self._emptied_at = -inf
        self._segments = SegmentCount()
        self._has_resumed = False
        self._data_waiter: asyncio.Future[None] | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._state: SocketState | None = None
        self._lost_event = asyncio.Event()
        self._written = 0
        self._acknowledged = 0
        self._received_in_all = 0

    @property
    def transport(self) -> asyncio.Transport:
        """The open transport."""
        assert self._transport is not None
        return self._transport

    @property
    def peer(self) -> str:
        """The address of the peer, empty if it is not known any more."""
        address = self.transport.get_extra_info("peername")
        return f"{address[0]}:{address[1]}" if address else ""

    @property
    def unread_bytes(self) -> int:
        """Number of bytes received and not yet returned by :meth:`read`."""
        return self._received_size

    @property
    def unsent(self) -> int:
        """Number of bytes written and not yet passed to the operating system."""
        return self.transport.get_write_buffer_size()

    @property
    def unacknowledged(self) -> int:
        """Number of bytes written that the peer's operating system has not confirmed.

        The end of this side counts as one; 0 if the connection is lost or closing.
        """
        if self.lost or self.transport.is_closing():
            return 0
        sock = self.transport.get_extra_info("socket")
        pending = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        return self.unsent + int.from_bytes(pending, sys.byteorder)

    @property
    def written(self) -> int:
        """Number of bytes written since the connection opened."""
        return self._written

    @property
    def acknowledged(self) -> int:
        """Number of them that the peer's operating system is known to have confirmed.

        Of a connection that is lost or closing, this is what was known when it was asked last.
        """
        if not self.lost and not self.transport.is_closing():
            left = self.unacknowledged
            self._acknowledged = self._written - max(0, left - self._is_writing_ended)
        return self._acknowledged

    @property
    def received(self) -> int:
        """Number of bytes received since the connection opened."""
        return self._received_in_all

    @property
    def is_congested(self) -> bool:
        """Whether :meth:`drain` has to wait, or the connection is lost."""
        return self._drain_waiter is not None or self.lost

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and call ``on_connect``."""
        self._transport = cast(asyncio.Transport, transport)
        is_counted = self.holding is not UNCOUNTED
        limit = CALLER_WRITE_LIMIT_BYTES if is_counted else WRITE_LIMIT_BYTES
        self._transport.set_write_buffer_limits(high=limit)
        if self._on_connect is not None:
            self._on_connect(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the event loop reads into."""
        if self.holding.is_nearly_full:
            self._read_size = TIGHT_READ_BYTES
            return _TIGHT_READ_BUFFER
        self._read_size = READ_SIZE_BYTES
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take bytes out of the buffer."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Store received bytes, and pause reading when there are too many."""
        received_at = RECEIPT_CLOCK.monotonic()
        is_full = len(data) >= self._read_size
        if not is_full:
            self._segments.reads += 1
        if self._has_resumed or self._is_late():
            self._received.append(self._chunk_that_waited(data, received_at))
        else:
            self._received.append(Chunk(data, received_at))
        # Of what a full read leaves in the system's buffer it is not known when it came.
        self._emptied_at = inf if is_full else received_at
        self._received_size += len(data)
        self._received_in_all += len(data)
        self.holding.add_input(len(data))
        if not self._is_reading_paused and self._has_enough():
            self._is_reading_paused = True
            self.transport.pause_reading()
        self._wake_reader()
        self.on_input()

    def _has_enough(self) -> bool:
        """Return whether as much is unread as may be."""
        if len(self._received) >= MAX_UNREAD_CHUNKS:
            return True
        return self._received_size >= min(READ_LIMIT_BYTES, self._read_size)

    def _chunk_that_waited(self, data: bytes, read_at: float) -> Chunk:
        """Return bytes that may have waited, with the times that are known of them."""
        earliest = self._emptied_at
        if not self._has_resumed:
            earliest = max(earliest, self._earliest())
        self._has_resumed = False
        sock = self.transport.get_extra_info("socket")
        newest_at = read_at - since_data_s(sock)
        if self._segments.is_one(sock):
            return Chunk(data, newest_at)
        return Chunk(data, newest_at, min(newest_at, earliest + EARLIER_SPREAD_S))

    def eof_received(self) -> bool:
        """Handle the peer's end of stream; the connection stays open for writing."""
        self.eof = True
        self._wake_reader()
        self._notify_disconnect()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake all tasks that wait on the connection."""
        self.eof = True
        self.lost = True
        self._lost_event.set()
        self.was_reset = exc is not None
        self.loss = exc
        self._wake_reader()
        self.resume_writing()
        self.holding.end()
        self._notify_disconnect()

    def pause_writing(self) -> None:
        """Make writers wait."""
        if self._drain_waiter is None:
            self._drain_waiter = asyncio.get_running_loop().create_future()
            self.holding.add(CONGESTED_BYTES)
            self.holding.start_wait()

    def resume_writing(self) -> None:
        """Let waiting writers continue."""
        if self._drain_waiter is not None:
            if not self._drain_waiter.done():
                self._drain_waiter.set_result(None)
            self._drain_waiter = None
            self.holding.add(-CONGESTED_BYTES)
            self.holding.end_wait()

    async def read(self) -> bytes:
        """Return all received bytes, waiting until there are some.

        At the end of the stream, and while reading is stopped, return ``b""`` instead of waiting.
        """
        chunks = await self.read_chunks()
        return chunks[0].data if len(chunks) == 1 else b"".join(c.data for c in chunks)

    async def read_chunks(self) -> list[Chunk]:
        """Return all received bytes as :meth:`read` does, with the times of their receipt."""
        while not self._received:
            if self.eof or self._is_reading_stopped:
                return []
            self._data_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._data_waiter
            finally:
                self._data_waiter = None
        return self.take_unread()

    def take_unread(self) -> list[Chunk]:
        """Return what has been received and not read, with the times of its receipt."""
        chunks, self._received = self._received, []
        self.holding.add_input(-self._received_size)
        self._received_size = 0
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._has_resumed = True
            if not (self.lost or self.transport.is_closing()):
                self.transport.resume_reading()
        return chunks

    def stop_reading(self, *, stopped: bool = True) -> None:
        """Make :meth:`read` return nothing instead of waiting, or make it wait again.

        :param stopped: False to let it wait again.
        """
        self._is_reading_stopped = stopped
        self._wake_reader()

    def write(self, data: bytes) -> None:
        """Send bytes; they are dropped if the connection is lost, closing or ended by this side."""
        if self.lost or self._is_writing_ended or self.transport.is_closing():
            return
        self._written += len(data)
        self.transport.write(data)

    def end_writing(self) -> None:
        """End this side of the stream after the unsent bytes have been sent.

        If there are none, the operating system sends the end before this returns.
        """
        if self.lost or self._is_writing_ended or self.transport.is_closing():
            return
        self._is_writing_ended = self.is_closed_here = True
        if self.unsent:
            self.transport.write_eof()
        else:
            self._shut_down()

    def _shut_down(self) -> None:
        """End this side now; uvloop would do so a turn later, and its socket object refuses to."""
        own = self.transport.get_extra_info("socket")
        sock = socket.socket(own.family, own.type, own.proto, fileno=own.fileno())
        try:
            # Fails if the peer has reset the connection, which the event loop tells.
            with suppress(OSError):
                sock.shutdown(socket.SHUT_WR)
        finally:
            # The descriptor stays the transport's.
            sock.detach()

    async def drain(self) -> None:
        """Wait until the number of unsent bytes is below the limit.

        :raises ConnectionError: if the connection is lost.
        """
        if self._drain_waiter is not None:
            await asyncio.shield(self._drain_waiter)
        if self.lost:
            raise ConnectionResetError("the peer has closed the connection")

    async def drain_within(self, stall_s: float) -> None:
        """Wait while too many bytes are unsent, as long as the peer goes on reading.

        :param stall_s: maximum time in which the peer reads nothing, in seconds.
        :raises TimeoutError: if it is over.
        :raises ConnectionError: if the connection is lost.
        """
        while self.is_congested:
            acknowledged = self.acknowledged
            try:
                async with timeout_after_input(stall_s, has_input=self._has_room):
                    await self.drain()
            except TimeoutError:
                if self.acknowledged <= acknowledged and not self._has_room():
                    raise

    def _has_room(self) -> bool:
        """Return whether the operating system takes bytes, or the wait for that is over."""
        if not self.is_congested or self.transport.is_closing():
            return True
        return self._socket_state().has_room()

    def close(self) -> None:
        """Close the connection after the unsent bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    async def wait_until_lost(self) -> None:
        """Wait until the connection is lost."""
        await self._lost_event.wait()

    def abort(self) -> None:
        """Close the connection at once; bytes that :attr:`unsent` counts are dropped."""
        if self._transport is not None:
            self.is_closed_here |= not self._transport.is_closing()
            self._transport.abort()

    def reset(self) -> None:
        """Close the connection at once by a TCP reset, which the peer sees as an error."""
        if not self.lost:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            self.abort()

    def probe_while_silent(self) -> None:
        """Lose the connection within seconds if its way is cut while nothing is sent.

        The probes are answered by the peer's system, however long its process may take. There is no
        limit on sent bytes (TCP_USER_TIMEOUT): it would also end a connection to a peer that is
        slow to read.
        """
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)

    def drop_undelivered_after(self, limit_s: float) -> None:
        """Have the operating system drop bytes that the peer's system has not confirmed in time.

        It drops them also when this process is paused, and at once when it closes the connection or
        ends. A pause between probes without bytes ends the connection too.

        :param limit_s: maximum time in seconds.
        """
        sock = self.transport.get_extra_info("socket")
        limit_ms = round(limit_s * 1_000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def is_quiet(self) -> bool:
        """Return whether the peer has neither sent unread bytes nor ended the connection.

        Ask the operating system as well, since the event loop may not have read yet.
        """
        if self.eof or self._received_size or self.transport.is_closing():
            return False
        return self._socket_state().is_quiet()

    def has_ended(self) -> bool:
        """Return whether the peer has ended its side, or the connection is lost.

        Ask the operating system, since the event loop sees no end behind bytes it does not read.
        """
        return self.eof or self.transport.is_closing() or self._socket_state().has_ended()

    def is_reset(self) -> bool:
        """Return whether the connection is lost, or the peer has reset it after ending its side.

        Ask the operating system, since the event loop does not watch a stream that has ended.
        """
        if self.lost or self.transport.is_closing():
            return True
        return self._socket_state().is_reset()

    def has_failed(self) -> bool:
        """Return whether the connection is lost, or has been reset by the peer.

        Ask the operating system as well; both sides may have ended.
        """
        if self.lost or self.transport.is_closing():
            return True
        return self._socket_state().has_failed()

    def is_acknowledged(self) -> bool:
        """Return whether the peer's operating system has confirmed every byte written."""
        return not self.unacknowledged

    def _socket_state(self) -> SocketState:
        if self._state is None:
            self._state = SocketState(self.transport.get_extra_info("socket"))
        return self._state

    def _notify_disconnect(self) -> None:
        on_disconnect, self.on_disconnect = self.on_disconnect, _do_nothing
        on_disconnect()

    def _wake_reader(self) -> None:
        if self._data_waiter is not None and not self._data_waiter.done():
            self._data_waiter.set_result(None)
