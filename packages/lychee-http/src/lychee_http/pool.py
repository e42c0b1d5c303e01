"""Pool of connections to one backend server, kept open between requests."""

from collections.abc import Callable, Container, Iterator
from contextlib import contextmanager

from lychee_http import ServerConnection, open_server_connection
from lychee_types.records import Endpoint

CONNECT_TIMEOUT_S = 0.5
"""Maximum wait for a connection to open, in seconds."""

MAX_PASSED_OVER = 4
"""Number of idle connections that a request passes over before the oldest of them is closed.

Otherwise callers that give all their requests one id would leave a connection behind for each.
"""


class ServerPool:
    """Idle connections to one incarnation of a backend server; the last used is reused first.

    The number of open connections exceeds the highest number of requests in flight only by those
    that a request passes over, `MAX_PASSED_OVER` at most.

    :param endpoint: the server's address.
    :param until_close: whether to accept a response whose end is marked by the close of the
        connection.
    """

    def __init__(self, *, endpoint: Endpoint, until_close: bool = False) -> None:
        self._until_close = until_close
        self.endpoint = endpoint
        self._idle: list[ServerConnection] = []
        self._unproven: list[ServerConnection] = []
        self._closed = False

    def __len__(self) -> int:
        return len(self._idle)

    async def acquire(
        self, *, timeout_s: float, but: Container[ServerConnection] = ()
    ) -> ServerConnection:
        """Return an idle connection, or a new one; no byte of the next request has been sent on it.

        :param timeout_s: maximum wait in seconds.
        :param but: connections that are not to be used.
        :raises OSError: if the server cannot be reached in time.
        """
        return self.take_idle(but) or await self.connect(timeout_s=timeout_s)

    async def connect(
        self, *, timeout_s: float, more_s: Callable[[], float] = lambda: 0.0
    ) -> ServerConnection:
        """Return a new connection, which shows that the server still accepts some.

        :param timeout_s: maximum wait in seconds.
        :param more_s: returns, when it is over, how much longer the wait may be, in seconds.
        :raises OSError: if the server cannot be reached in time.
        """
        return await open_server_connection(
            self.endpoint,
            timeout_s=min(timeout_s, CONNECT_TIMEOUT_S),
            until_close=self._until_close,
            more_s=more_s,
        )

    @contextmanager
    def release_after_use(self, conn: ServerConnection) -> Iterator[None]:
        """Return a connection to the pool when the block ends.

        It is kept only if its exchange ended cleanly, and closed otherwise.
        """
        try:
            yield
        finally:
            if not self._closed and conn.end_exchange():
                self._add_idle(conn)
            else:
                conn.close()

    def add(self, conn: ServerConnection) -> None:
        """Add a connection that has not been used yet."""
        if self._closed or not conn.is_reusable():
            conn.close()
        else:
            self._add_idle(conn)

    def doubt_direct(self) -> None:
        """Set the idle direct connections aside: their way may be cut without a sign of it."""
        self._unproven += [conn for conn in self._idle if not conn.is_carried]
        self._idle = [conn for conn in self._idle if conn.is_carried]

    def trust_direct(self) -> None:
        """Use the idle direct connections again, and close those that another gateway carries."""
        self.drop_carried()
        self._idle, self._unproven = self._unproven + self._idle, []

    def drop_carried(self) -> None:
        """Close the idle connections that another gateway carries."""
        carried = [conn for conn in self._idle if conn.is_carried]
        self._idle = [conn for conn in self._idle if not conn.is_carried]
        for conn in carried:
            conn.close()

    def keep_at_most(self, limit: int) -> None:
        """Close the least recently used idle connections beyond a limit."""
        surplus = max(0, len(self._idle) - limit)
        for conn in self._idle[:surplus]:
            conn.close()
        del self._idle[:surplus]

    def close(self) -> None:
        """Close idle connections now, and those in use as soon as they are returned."""
        self._closed = True
        self._idle, self._unproven = self._unproven + self._idle, []
        self.keep_at_most(0)

    def _add_idle(self, conn: ServerConnection) -> None:
        self._idle.append(conn)
        conn.stream.on_disconnect = lambda: self._remove(conn)
        # Bytes that nobody asked for would be kept as long as the connection.
        conn.stream.on_input = lambda: self._remove(conn)

    def _remove(self, conn: ServerConnection) -> None:
        for conns in (self._idle, self._unproven):
            if conn in conns:
                conns.remove(conn)
        conn.close()

    def take_idle(self, but: Container[ServerConnection] = ()) -> ServerConnection | None:
        """Return an idle connection that can take a request, None if there is none.

        :param but: connections that are not to be used.
        """
        return self._take_from(self._idle, but)

    def take_unproven(self, but: Container[ServerConnection] = ()) -> ServerConnection | None:
        """Return a connection that was set aside, None if there is none.

        :param but: connections that are not to be used.
        """
        return self._take_from(self._unproven, but)

    def _take_from(
        self, conns: list[ServerConnection], but: Container[ServerConnection]
    ) -> ServerConnection | None:
        passed_over = 0
        for conn in conns[::-1]:
            if conn in but:
                passed_over += 1
                continue
            conns.remove(conn)
            conn.stream.on_disconnect = conn.stream.on_input = lambda: None
            if conn.is_reusable():
                return conn
            conn.close()
        if passed_over >= MAX_PASSED_OVER:
            self._remove(conns[0])
        return None
