"""The listening socket that gateways on one VM share."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from loguru import logger

from lychee_types.records import Endpoint

BACKLOG = 1_024
"""Connections that the operating system keeps until they are accepted."""

ACCEPTS_PER_TURN = 64
"""Connections accepted before the loop does other work."""

PAUSE_S = 0.1
"""Pause after the operating system refused to accept a connection, in seconds."""

Accept = Callable[[socket.socket], Awaitable[None]]
"""Takes over an accepted connection."""


class Listener:
    """Accepts connections on an address that other processes may listen on as well.

    The socket is accepted from directly, since whatever is in its queue when it closes is reset.

    :param endpoint: the address; port 0 takes a free one.
    :param accept: takes over each connection.
    """

    def __init__(self, *, endpoint: Endpoint, accept: Accept) -> None:
        self._accept = accept
        self._tasks: set[asyncio.Task[None]] = set()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._sock.setblocking(False)
        self._sock.bind((endpoint.host, endpoint.port))

    @property
    def endpoint(self) -> Endpoint:
        """The address that is listened on."""
        host, port = self._sock.getsockname()
        return Endpoint(host=host, port=port)

    def start(self) -> None:
        """Begin to accept."""
        self._sock.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept_some)

    async def stop(self) -> None:
        """Accept what is queued, close, and wait until all connections are taken over."""
        asyncio.get_running_loop().remove_reader(self._sock.fileno())
        while self._accept_one():
            pass
        self._sock.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept_some(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        try:
            sock, _ = self._sock.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return False
        except OSError as exc:
            logger.warning("a connection cannot be accepted: {}; raise the file limit", exc)
            self._pause()
            return False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = asyncio.ensure_future(self._take_over(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def _pause(self) -> None:
        """Let some connections end before others are accepted."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock.fileno())
        loop.call_later(PAUSE_S, self._go_on)

    def _go_on(self) -> None:
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept_some)

    async def _take_over(self, sock: socket.socket) -> None:
        try:
            await self._accept(sock)
        except OSError:
            sock.close()
