"""A link in front of a listener that passes few bytes a second and at times none."""

import asyncio
import socket
from contextlib import asynccontextmanager, suppress

from lychee_types.records import Endpoint

BUFFER_BYTES = 4_096
"""Size of the relay's receive buffers as asked of the system, so that little is acknowledged."""

STEP_S = 0.02
"""Interval at which the relay passes bytes on, in seconds."""


class SlowRelay:
    """Relays connections to a listener, and ends none of its own accord.

    :param endpoint: address of the listener.
    :param bytes_per_s: bytes a second that each direction of a connection carries.
    """

    def __init__(self, *, endpoint, bytes_per_s):
        self.stands_still = False
        self._far = endpoint
        self._bytes_per_s = bytes_per_s
        self._tasks = set()

    @asynccontextmanager
    async def open(self):
        """Relay connections until the block ends; return the relay's address."""
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            self._spawn(self._accept(listener))
            try:
                yield Endpoint(host="127.0.0.1", port=listener.getsockname()[1])
            finally:
                for task in self._tasks:
                    task.cancel()
                await asyncio.gather(*self._tasks, return_exceptions=True)

    async def stand_still(self, seconds):
        """Pass nothing for a time in seconds."""
        self.stands_still = True
        await asyncio.sleep(seconds)
        self.stands_still = False

    async def _accept(self, listener):
        loop = asyncio.get_running_loop()
        while True:
            near, _ = await loop.sock_accept(listener)
            self._spawn(self._carry(near))

    async def _carry(self, near):
        loop = asyncio.get_running_loop()
        with near, socket.socket() as far:
            far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
            for sock in (near, far):
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.sock_connect(far, (self._far.host, self._far.port))
            await asyncio.gather(self._pass(near, far), self._pass(far, near))

    async def _pass(self, source, target):
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while True:
                await asyncio.sleep(STEP_S)
                if self.stands_still:
                    continue
                data = await loop.sock_recv(source, max(1, int(self._bytes_per_s * STEP_S)))
                if not data:
                    break
                await loop.sock_sendall(target, data)
        with suppress(OSError):
            target.shutdown(socket.SHUT_WR)

    def _spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
