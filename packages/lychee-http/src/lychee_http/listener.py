"""Listening socket on an address that the gateways on one VM share."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from loguru import logger

from lychee_types.records import Endpoint

BACKLOG = 1_024
"""Maximum number of connections that the operating system queues until they are accepted."""

MAX_ACCEPTS_PER_CALLBACK = 16
"""Maximum number of connections accepted before the event loop does other work; each takes a
descriptor until it is known whether it is refused.
"""

ACCEPT_RETRY_DELAY_S = 0.1
"""Pause after the operating system failed to accept a connection, in seconds."""

Accept = Callable[[socket.socket], Awaitable[None]]
"""Starts to serve an accepted connection."""


class Listener:
    """Accepts connections on an address on which other processes may listen as well.

    It accepts from the socket itself instead of through an asyncio server: connections that are
    still queued when the socket closes are reset, so :meth:`stop` accepts them first.

    :param endpoint: the address; port 0 selects a free one.
    :param accept: called with each accepted connection.
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
        """The address on which the socket listens."""
        host, port = self._sock.getsockname()
        return Endpoint(host=host, port=port)

    def start(self) -> None:
        """Start to listen and to accept connections."""
        self._sock.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept_pending)

    async def stop(self) -> None:
        """Accept queued connections, close the socket, and wait for all ``accept`` calls."""
        asyncio.get_running_loop().remove_reader(self._sock.fileno())
        while self._accept_one():
            pass
        self._sock.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept_pending(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_CALLBACK):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return False
        except ConnectionAbortedError:
            # Others may be queued behind the one that its caller has given up.
            return True
        except OSError as exc:
            logger.warning("cannot accept a connection: {}; raise the limit on open files", exc)
            self._pause_accepting()
            return False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = asyncio.ensure_future(self._run_accept(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def _pause_accepting(self) -> None:
        """Stop accepting for a while, so that open connections can end first."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock.fileno())
        loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._sock.fileno() >= 0:
            asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept_pending)

    async def _run_accept(self, sock: socket.socket) -> None:
        try:
            await self._accept(sock)
        except OSError:
            sock.close()
