"""What the operating system knows of a connection and its event loop may not have read yet."""

import select
import socket


class SocketState:
    """Asks for the state of a connected socket, which stays its owner's.

    :param sock: the socket; it must be open whenever it is asked for.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLIN | select.POLLOUT | select.POLLRDHUP)

    def has_room(self) -> bool:
        """Return whether the system takes bytes to send."""
        return bool(self._events() & select.POLLOUT)

    def is_quiet(self) -> bool:
        """Return whether there are neither unread bytes nor an end of the stream."""
        return not self._events() & ~select.POLLOUT

    def has_ended(self) -> bool:
        """Return whether the peer has ended its side; bytes ahead of that may be unread."""
        return bool(self._events() & (select.POLLRDHUP | select.POLLERR | select.POLLHUP))

    def is_reset(self) -> bool:
        """Return whether the connection has failed, or both sides have ended."""
        return bool(self._events() & (select.POLLERR | select.POLLHUP))

    def has_failed(self) -> bool:
        """Return whether the connection has failed; both sides may have ended."""
        return bool(self._events() & select.POLLERR)

    def _events(self) -> int:
        return sum(events for _, events in self._poll.poll(0))
