"""Connections that wait to be accepted when a listener stops."""

import socket

from lychee_http.listener import Listener
from lychee_types.records import Endpoint

from .test_pipelining import run


class AbortedFirst:
    """A listening socket whose first queued connection was given up by its caller."""

    def __init__(self, sock):
        self._sock = sock
        self._has_aborted = False

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def accept(self):
        if not self._has_aborted:
            self._has_aborted = True
            raise ConnectionAbortedError
        return self._sock.accept()


def test_a_stop_accepts_what_is_queued_behind_a_connection_that_was_given_up():
    """Those behind it were reset, with what their callers had sent."""

    async def scenario():
        accepted = []

        async def accept(sock):
            accepted.append(sock)

        listener = Listener(endpoint=Endpoint(host="127.0.0.1", port=0), accept=accept)
        listener.start()
        listener._sock = AbortedFirst(listener._sock)
        address = (listener.endpoint.host, listener.endpoint.port)
        callers = [socket.create_connection(address) for _ in range(3)]
        await listener.stop()
        assert len(accepted) == len(callers)
        for sock in (*callers, *accepted):
            sock.close()

    run(scenario())
