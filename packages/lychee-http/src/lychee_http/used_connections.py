"""The connections to servers on which a request must not be sent any more."""

from time import monotonic

from lychee_http.outbound import ServerConnection


class UsedConnections:
    """The connections on which a request was sent, or another one with the same id lately.

    ``has_repeated_id`` tells whether a connection was passed over because of another request.

    :param request_id: the request's id.
    """

    __slots__ = ("_conns", "_id_hash", "has_repeated_id")

    def __init__(self, request_id: str) -> None:
        self._id_hash = hash(request_id)
        self._conns: set[ServerConnection] = set()
        self.has_repeated_id = False

    def __contains__(self, conn: object) -> bool:
        """Return whether a response that comes on a connection may be that of another attempt."""
        if not isinstance(conn, ServerConnection):
            return False
        if conn in self._conns:
            return True
        is_repeated = self._id_hash in conn.recent_requests
        self.has_repeated_id = self.has_repeated_id or is_repeated
        return is_repeated

    def add(self, conn: ServerConnection) -> None:
        """Record that the request is sent on a connection, before it is sent."""
        self._conns.add(conn)
        conn.recent_requests.add(self._id_hash, now=monotonic())
        if conn.recent_requests.is_full:
            conn.forbid_reuse()
