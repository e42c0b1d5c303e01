"""HTTP server of a single text page, for metrics collectors."""

import asyncio
import socket
from collections.abc import Callable

from lychee_http.exceptions import BadRequestError
from lychee_http.exchange import CallerExchange
from lychee_http.inbound import CallerLimits
from lychee_http.listener import Listener
from lychee_http.messages import ResponseHead
from lychee_http.pipelining import PipelinedConnection
from lychee_http.tcp import TcpStream
from lychee_types.records import Endpoint

CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
"""Content type of the page: the Prometheus text format."""


class TextPage:
    """Serves a text under one path.

    :param endpoint: the address to listen on.
    :param path: path of the page.
    :param render: returns the text; called for each request.
    """

    def __init__(self, *, endpoint: Endpoint, path: str, render: Callable[[], bytes]) -> None:
        self._path = path.encode()
        self._render = render
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = Listener(endpoint=endpoint, accept=self._accept)

    def start(self) -> None:
        """Start to serve."""
        self._listener.start()

    async def stop(self) -> None:
        """Stop listening, and cancel the tasks that serve open connections."""
        await self._listener.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(lambda: TcpStream(on_connect=self._on_connect), sock)

    def _on_connect(self, stream: TcpStream) -> None:
        conn = PipelinedConnection(
            stream=stream, limits=CallerLimits(), handle=self._handle, refuse=self._refuse
        )
        task = asyncio.get_running_loop().create_task(conn.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, exchange: CallerExchange) -> None:
        if exchange.head.target.partition(b"?")[0] != self._path:
            await exchange.send(ResponseHead(status=404, headers=()), b"")
            return
        await exchange.send(ResponseHead(status=200, headers=(CONTENT_TYPE,)), self._render())

    async def _refuse(self, exchange: CallerExchange, exc: BadRequestError) -> None:
        await exchange.send(ResponseHead(status=exc.status, headers=()), exc.message.encode())
