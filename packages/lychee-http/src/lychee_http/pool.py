"""Connections to one backend server, kept open between requests."""

from collections.abc import Iterator
from contextlib import contextmanager

from lychee_http import ServerConnection, open_server_connection
from lychee_types.records import Endpoint

CONNECT_TIMEOUT_S = 0.5
"""Longest wait for a connection to open, in seconds."""


class ServerPool:
    """Idle connections to one run of a backend server, the last used first.

    The number of open connections never exceeds the highest number of requests in flight.

    :param endpoint: the server's address.
    :param until_close: whether an answer without a length may end with its connection.
    """

    def __init__(self, *, endpoint: Endpoint, until_close: bool = False) -> None:
        self._until_close = until_close
        self.endpoint = endpoint
        self._idle: list[ServerConnection] = []
        self._closed = False

    def __len__(self) -> int:
        return len(self._idle)

    async def acquire(self, *, timeout_s: float) -> ServerConnection:
        """Return an idle connection, or a new one. No byte has been written to it.

        :param timeout_s: longest wait in seconds.
        :raises OSError: if the server cannot be reached in time.
        """
        conn = self._take_idle()
        if conn is not None:
            return conn
        return await open_server_connection(
            self.endpoint,
            timeout_s=min(timeout_s, CONNECT_TIMEOUT_S),
            until_close=self._until_close,
        )

    @contextmanager
    def release_after_use(self, conn: ServerConnection) -> Iterator[None]:
        """Take a connection back when the block ends; it is kept only if its exchange was clean."""
        try:
            yield
        finally:
            if not self._closed and conn.reset():
                self._keep(conn)
            else:
                conn.close()

    def keep_at_most(self, limit: int) -> None:
        """Close the longest unused connections beyond a limit."""
        surplus = max(0, len(self._idle) - limit)
        for conn in self._idle[:surplus]:
            conn.close()
        del self._idle[:surplus]

    def close(self) -> None:
        """Close idle connections now, and those in use as soon as they come back."""
        self._closed = True
        self.keep_at_most(0)

    def _keep(self, conn: ServerConnection) -> None:
        self._idle.append(conn)
        conn.stream.on_disconnect = lambda: self._drop(conn)

    def _drop(self, conn: ServerConnection) -> None:
        if conn in self._idle:
            self._idle.remove(conn)
        conn.close()

    def _take_idle(self) -> ServerConnection | None:
        while self._idle:
            conn = self._idle.pop()
            conn.stream.on_disconnect = lambda: None
            if conn.is_fresh():
                return conn
            conn.close()
        return None
