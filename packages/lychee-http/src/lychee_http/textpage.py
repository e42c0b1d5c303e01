"""HTTP server of a few text pages, for metrics collectors and operators."""

import asyncio
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lychee_http.exceptions import BadRequestError
from lychee_http.exchange import CallerExchange
from lychee_http.inbound import CallerLimits
from lychee_http.listener import Listener
from lychee_http.messages import ResponseHead
from lychee_http.pipelining import PipelinedConnection
from lychee_http.tcp import TcpStream
from lychee_types.records import Endpoint

METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""

JSON_TYPE = b"application/json"
"""Content type of JSON."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PageText:
    """The answer to a request for a page.

    :param text: the text.
    :param content_type: its content type.
    :param status: the HTTP status.
    """

    text: bytes
    content_type: bytes = METRICS_TYPE
    status: int = 200


RenderPage = Callable[[str], PageText]
"""Returns a page's text, given the query string of the request."""


class TextPages:
    """Serves texts, each under one path.

    :param endpoint: the address to listen on.
    :param pages: returns the text of each path; called for each request.
    """

    def __init__(self, *, endpoint: Endpoint, pages: Mapping[str, RenderPage]) -> None:
        self._pages = {path.encode(): render for path, render in pages.items()}
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
        path, _, query = exchange.head.target.partition(b"?")
        render = self._pages.get(path)
        if render is None:
            await exchange.send(ResponseHead(status=404, headers=()), b"")
            return
        page = render(query.decode("latin-1"))
        headers = ((b"content-type", page.content_type),)
        await exchange.send(ResponseHead(status=page.status, headers=headers), page.text)

    async def _refuse(self, exchange: CallerExchange, exc: BadRequestError) -> None:
        await exchange.send(ResponseHead(status=exc.status, headers=()), exc.message.encode())
