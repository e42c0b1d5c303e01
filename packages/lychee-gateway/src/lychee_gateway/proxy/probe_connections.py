"""Connections on which servers are asked for their load."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf
from weakref import WeakKeyDictionary

from lychee_gateway.proxy.servers import ProxyServer
from lychee_http import ServerConnection
from lychee_types.ids import ServiceName
from lychee_types.registry import ServerIncarnation

CONNECT_TIMEOUT_S = 0.1
"""Maximum wait for a new connection on which a server is asked, in seconds."""


class ProbeConnection:
    """A connection during one probe.

    :param conn: the connection.
    :param former_at: when the probe before it on this connection was sent, if its answer did not
        name it, as monotonic time in seconds; None if there was none.
    """

    def __init__(self, conn: ServerConnection, *, former_at: float | None) -> None:
        self.conn = conn
        self.names_requests = False
        self.asked_at = -inf
        self._former_at = former_at

    def earliest_asked_at(self, asked_at: float) -> float:
        """Return when the answer that has come can have been asked for at the earliest.

        An answer that does not name its request may be a late copy of the one before it.

        :param asked_at: when the probe was sent, as monotonic time in seconds.
        """
        self.asked_at = asked_at
        return asked_at if self.names_requests or self._former_at is None else self._former_at


class ProbeConnections:
    """Gives out connections for probes, those of the servers' pools if possible.

    An answer that does not name its request could not be told from a late copy of it, which would
    be taken for the answer to a caller's request. The connection of such an answer is kept for
    probes only.

    :param accepted: returns how many connections a server of a service accepts, 0 if unknown.
    :param gateways: returns the approximate number of gateways, which share these.
    """

    def __init__(
        self, *, accepted: Callable[[ServiceName], int], gateways: Callable[[], int]
    ) -> None:
        self._accepted = accepted
        self._gateways = gateways
        self._nameless: set[ServiceName] = set()
        self._kept: dict[ServerIncarnation, ServerConnection] = {}
        self._asked_at: WeakKeyDictionary[ServerConnection, float] = WeakKeyDictionary()

    def is_available(self, server: ProxyServer) -> bool:
        """Return whether there is a connection to a server, or may be another one."""
        is_pooled = len(server.pool) > 0 and server.record.service not in self._nameless
        return server.run in self._kept or is_pooled or self._may_open(server)

    def keep_only(self, runs: set[ServerIncarnation]) -> None:
        """Close the connections to all servers but these."""
        for run in self._kept.keys() - runs:
            self._kept.pop(run).close()

    @contextmanager
    def use(self, server: ProxyServer, conn: ServerConnection) -> Iterator[ProbeConnection]:
        """Keep a connection for its next use when the block ends, or close it."""
        probe = ProbeConnection(conn, former_at=self._asked_at.get(conn))
        try:
            yield probe
        except BaseException:
            conn.close()
            raise
        if probe.names_requests:
            self._nameless.discard(server.record.service)
            with server.pool.release_after_use(conn):
                return
        self._nameless.add(server.record.service)
        if not conn.end_exchange() or server.run in self._kept or not self._may_open(server):
            conn.close()
            return
        self._kept[server.run] = conn
        self._asked_at[conn] = probe.asked_at
        conn.stream.on_disconnect = conn.stream.on_input = lambda: self._drop(server.run, conn)

    async def acquire(self, server: ProxyServer) -> ServerConnection | None:
        """Return a connection to a server, None if no further one may be opened.

        :raises OSError: if a new connection does not open in time.
        """
        conn = self._take_kept(server)
        if conn is None and server.record.service not in self._nameless:
            conn = _take_direct(server)
        if conn is not None:
            return conn
        if not self._may_open(server):
            return None
        return await server.pool.connect(timeout_s=CONNECT_TIMEOUT_S)

    def _may_open(self, server: ProxyServer) -> bool:
        """Return whether a connection for probes stays within this gateway's share.

        Requests need another one if they can't use it.
        """
        service = server.record.service
        added = 2 if service in self._nameless else 1
        share = self._accepted(service) // max(1, self._gateways())
        return server.in_flight + len(server.pool) + added <= share

    def _take_kept(self, server: ProxyServer) -> ServerConnection | None:
        conn = self._kept.pop(server.run, None)
        if conn is None:
            return None
        conn.stream.on_disconnect = conn.stream.on_input = lambda: None
        if conn.is_reusable():
            return conn
        conn.close()
        return None

    def _drop(self, run: ServerIncarnation, conn: ServerConnection) -> None:
        if self._kept.get(run) is conn:
            del self._kept[run]
        conn.close()


def _take_direct(server: ProxyServer) -> ServerConnection | None:
    """Return an idle connection that no other gateway carries, None if there is none."""
    while (conn := server.pool.take_idle()) is not None:
        if not conn.is_carried:
            return conn
        conn.close()
    return None
