"""Callers' connections: each is a task that reads requests and writes answers in turn."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from time import monotonic

from loguru import logger

from lychee_http import CallerConnection, CallerLimits, RequestHead, TcpStream
from lychee_http.exceptions import BadRequestError, CallerGoneError
from lychee_types.exceptions import InvariantError

STOP_LIMIT_S = 60.0
"""Longest wait at a stop for answers that are still being sent, in seconds."""

STOP_CHECK_S = 0.02
"""Interval at which a stop looks for connections that have become idle, in seconds."""

FRESH_S = 0.5
"""Time that a stop leaves to a connection to send its first request, in seconds."""

Handle = Callable[[RequestHead, CallerConnection], Awaitable[None]]
"""Answers one request on its connection."""

Refuse = Callable[[BadRequestError, CallerConnection], Awaitable[None]]
"""Answers a request that cannot be taken."""

Crash = Callable[[CallerConnection], Awaitable[None]]
"""Answers a request on which the gateway failed."""


class CallerConnections:
    """All connections of one listener.

    :param handle: answers a request.
    :param refuse: answers a request that cannot be taken.
    :param answer_failure: answers a request on which the gateway failed.
    :param on_invariant_error: told of a broken invariant.
    :param limits: limits on heads and idle time.
    """

    def __init__(
        self,
        *,
        handle: Handle,
        refuse: Refuse,
        answer_failure: Crash,
        on_invariant_error: Callable[[InvariantError], None],
        limits: CallerLimits | None = None,
    ) -> None:
        self._handle = handle
        self._refuse = refuse
        self._answer_failure = answer_failure
        self._on_invariant_error = on_invariant_error
        self._limits = limits or CallerLimits()
        self._tasks: dict[asyncio.Task[None], CallerConnection] = {}
        self._stopping = False

    def __len__(self) -> int:
        return len(self._tasks)

    async def accept(self, sock: socket.socket) -> None:
        """Take over an accepted connection."""
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(lambda: TcpStream(on_connect=self._made), sock)

    def begin_stop(self) -> None:
        """End each connection after its next answer."""
        self._stopping = True
        for conn in self._tasks.values():
            conn.closing = True

    async def finish(self) -> None:
        """Close idle connections and wait until the last answer has been sent.

        A connection that has just been opened is given some time to send its request.
        """
        self.begin_stop()
        began = monotonic()
        while self._tasks and monotonic() < began + STOP_LIMIT_S:
            fresh = monotonic() >= began + FRESH_S
            for conn in list(self._tasks.values()):
                conn.close_if_idle(fresh=fresh)
            await asyncio.wait(list(self._tasks), timeout=STOP_CHECK_S)

    def _made(self, stream: TcpStream) -> None:
        conn = CallerConnection(stream=stream, limits=self._limits)
        conn.closing = self._stopping
        task = asyncio.get_running_loop().create_task(self._serve(conn))
        self._tasks[task] = conn
        task.add_done_callback(self._tasks.pop)

    async def _serve(self, conn: CallerConnection) -> None:
        try:
            while await self._serve_one(conn):
                pass
            await conn.close()
        except (CallerGoneError, ConnectionError, asyncio.CancelledError):
            conn.abort()
        except InvariantError as exc:
            conn.abort()
            self._on_invariant_error(exc)
        except Exception:
            logger.exception("a caller's request failed")
            await self._apologise(conn)

    async def _apologise(self, conn: CallerConnection) -> None:
        """Answer a request on which the gateway failed, if nothing was answered yet."""
        if conn.response_started:
            conn.abort()
            return
        conn.closing = True
        try:
            await self._answer_failure(conn)
            await conn.close()
        except Exception:
            logger.exception("a failed request cannot be answered")
            conn.abort()

    async def _serve_one(self, conn: CallerConnection) -> bool:
        """Answer one request; False if the connection is over."""
        try:
            head = await conn.read_head()
            if head is None:
                return False
            await self._handle(head, conn)
        except BadRequestError as exc:
            conn.closing = True
            await self._refuse(exc, conn)
            return False
        return conn.next_request()
