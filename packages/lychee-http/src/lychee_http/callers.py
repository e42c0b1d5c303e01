"""Callers' connections; for each one a task alternates reading requests and sending responses."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from time import monotonic

from loguru import logger

from lychee_http import CallerConnection, CallerLimits, RequestHead, TcpStream
from lychee_http.caller_memory import UNCOUNTED, CallerMemory
from lychee_http.exceptions import BadRequestError, CallerGoneError
from lychee_types.exceptions import InvariantError

STOP_LIMIT_S = 60.0
"""Maximum wait during a stop for responses that are still being sent, in seconds."""

STOP_CHECK_S = 0.02
"""Interval at which a stop checks for connections that have become idle, in seconds."""

UNUSED_GRACE_S = 0.5
"""Time during a stop in which an unused connection may still send a request, in seconds."""

Handle = Callable[[RequestHead, CallerConnection], Awaitable[None]]
"""Handles one request and sends the response on its connection."""

Refuse = Callable[[BadRequestError, CallerConnection], Awaitable[None]]
"""Sends the response to a rejected request."""

AnswerFailure = Callable[[CallerConnection], Awaitable[None]]
"""Sends the response to a request whose handler raised an unexpected error."""


class CallerConnections:
    """All connections that one listener has accepted.

    :param handle: handles a request and sends the response.
    :param refuse: sends the response to a rejected request.
    :param answer_failure: sends the response to a request whose handler raised an unexpected error.
    :param on_invariant_error: called when a handler raises an :class:`InvariantError`.
    :param limits: limits on each connection.
    :param memory: the account of what the connections hold, None to count nothing.
    """

    def __init__(
        self,
        *,
        handle: Handle,
        refuse: Refuse,
        answer_failure: AnswerFailure,
        on_invariant_error: Callable[[InvariantError], None],
        limits: CallerLimits | None = None,
        memory: CallerMemory | None = None,
    ) -> None:
        self._handle = handle
        self._refuse = refuse
        self._answer_failure = answer_failure
        self._on_invariant_error = on_invariant_error
        self._limits = limits or CallerLimits()
        self._memory = memory
        self._tasks: dict[asyncio.Task[None], CallerConnection] = {}
        self._is_stopping = False

    def __len__(self) -> int:
        return len(self._tasks)

    async def accept(self, sock: socket.socket) -> None:
        """Start to serve an accepted connection."""
        holding = UNCOUNTED if self._memory is None else self._memory.open()
        if holding is None:
            sock.close()
            return
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(
                lambda: TcpStream(on_connect=self._on_connect, holding=holding), sock
            )
        except OSError:
            holding.end()
            raise

    def begin_stop(self) -> None:
        """Close each connection after its next response."""
        self._is_stopping = True
        for conn in self._tasks.values():
            conn.closing = True

    async def finish(self) -> None:
        """Close idle connections and wait until the last response has been sent.

        Wait at most :data:`STOP_LIMIT_S`. A connection without any request so far is closed only
        after :data:`UNUSED_GRACE_S`, so that a request on its way is still answered.
        """
        self.begin_stop()
        started_at = monotonic()
        while self._tasks and monotonic() < started_at + STOP_LIMIT_S:
            include_unused = monotonic() >= started_at + UNUSED_GRACE_S
            for conn in list(self._tasks.values()):
                conn.close_if_idle(include_unused=include_unused)
            await asyncio.wait(list(self._tasks), timeout=STOP_CHECK_S)

    def _on_connect(self, stream: TcpStream) -> None:
        conn = CallerConnection(stream=stream, limits=self._limits)
        conn.closing = self._is_stopping
        stream.holding.watch(
            shed=conn.shed, end_if_idle=lambda: conn.close_if_idle(include_unused=True)
        )
        task = asyncio.get_running_loop().create_task(self._serve_connection(conn))
        self._tasks[task] = conn
        task.add_done_callback(self._tasks.pop)

    async def _serve_connection(self, conn: CallerConnection) -> None:
        try:
            while await self._serve_request(conn):
                pass
            await conn.close()
        except (CallerGoneError, asyncio.CancelledError):
            conn.abort()
        except InvariantError as exc:
            conn.abort()
            self._on_invariant_error(exc)
        except Exception:
            logger.exception("unexpected error while handling a caller's request")
            await self._answer_unexpected_error(conn)
        finally:
            conn.release_memory()

    async def _answer_unexpected_error(self, conn: CallerConnection) -> None:
        """Answer a request whose handler raised an unexpected error, unless a response began."""
        if conn.response_started:
            conn.abort()
            return
        conn.closing = True
        try:
            await self._answer_failure(conn)
            await conn.close()
        except Exception:
            logger.exception("cannot send the response to a failed request")
            conn.abort()

    async def _serve_request(self, conn: CallerConnection) -> bool:
        """Handle one request; return False if the connection is over."""
        try:
            head = await conn.read_head()
            if head is None:
                return False
            await self._handle(head, conn)
        except BadRequestError as exc:
            conn.closing = True
            await self._refuse(exc, conn)
            return False
        return conn.prepare_next_request()
