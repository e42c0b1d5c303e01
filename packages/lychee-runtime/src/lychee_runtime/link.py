"""Typed, batched, bidirectional streams between processes over grpclib.

A link sends tuples of messages: all messages that were posted since the last write are sent as one
frame, which keeps the cost per message low at high rates.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass
from ssl import SSLContext
from typing import Any, Generic, Protocol, TypeVar

from grpclib.client import Channel
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server
from loguru import logger
from msgspec import DecodeError, ValidationError

from lychee_runtime.codec import MsgpackCodec
from lychee_types.exceptions import UnavailableError
from lychee_types.records import Endpoint
from lychee_types.timeouts import take_input, timeout_after_input

S = TypeVar("S")
R = TypeVar("R")

SILENCE_CHECKS = 4
"""Number of checks without a byte that make up the maximum silence."""

PENDING_LIMIT = 20_000
"""Maximum number of unsent messages; a link whose peer doesn't read is closed beyond it."""

PENDING_BYTES = 8_388_608
"""Maximum size of unsent messages beside the largest one, in bytes; the same beyond it."""

CONNECT_TIMEOUT_S = 1.0
"""Maximum time to open a connection, in seconds."""

CLOSE_TIMEOUT_S = 1.0
"""Maximum time for peers to read the remaining data when a listener closes, in seconds."""


class _Stream(Protocol):
    async def send_message(self, message: Any) -> None: ...

    async def recv_message(self) -> Any: ...


class _Connection(Protocol):
    data_received: int


@contextmanager
def as_unavailable(peer: str) -> Iterator[None]:
    """Convert the errors of a broken connection to :class:`UnavailableError`.

    :param peer: name of the other process, for the message.
    """
    task = asyncio.current_task()
    cancelling = task.cancelling() if task is not None else 0
    try:
        yield
    except (
        GRPCError,
        StreamTerminatedError,
        ProtocolError,
        OSError,
        TimeoutError,
        ValidationError,
        DecodeError,
    ) as exc:
        # grpclib ends a pending call by cancelling its task, but never calls uncancel. Its error
        # also replaces a cancellation by somebody else, which is then lost.
        while task is not None and task.cancelling() > cancelling:
            task.uncancel()
        raise UnavailableError(
            message=f"the stream with {peer} broke: {type(exc).__name__} {exc}".rstrip(),
            remedy="check that the process runs, its address, and the key files",
        ) from exc


def _no_bulk(message: Any) -> int:
    """Return that a message is small."""
    return 0


def _default_max_bytes() -> float:
    return PENDING_BYTES


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingBound:
    """Bound on the messages that a link has not sent yet, for a peer that reads slowly or not.

    One message may be of any size: the bound is on what is unsent beside the largest.

    :param size_of: returns the size of what is large in a message, in bytes.
    :param max_bytes: returns the bound in bytes.
    """

    size_of: Callable[[Any], int] = _no_bulk
    max_bytes: Callable[[], float] = _default_max_bytes


class Link(Generic[S, R]):
    """A bidirectional stream of messages to another process.

    :param stream: the grpclib stream.
    :param peer: name of the other process, for error messages.
    :param connection: the connection that the stream has to itself, None if it shares one.
    :param bound: bound on unsent messages, None for one by their number only.
    """

    def __init__(
        self,
        *,
        stream: _Stream,
        peer: str,
        connection: _Connection | None = None,
        bound: PendingBound | None = None,
    ) -> None:
        self.peer = peer
        self._stream = stream
        self._connection = connection
        self._bound = bound or PendingBound()
        self._pending: list[S] = []
        self._pending_bytes = 0
        self._largest_bytes = 0
        self._writer_wakeup = asyncio.Event()
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether the link has been closed for sending."""
        return self._closed

    @property
    def received_bytes(self) -> int:
        """Return the bytes that have arrived, also of an unfinished message.

        0 on a connection that several streams share.
        """
        return self._connection.data_received if self._connection is not None else 0

    @property
    def pending_bytes(self) -> int:
        """Return the size of the messages that have not been sent yet, in bytes."""
        return self._pending_bytes

    def post(self, message: S) -> None:
        """Queue a message; it is lost if the connection breaks before the message is written."""
        if self._closed:
            return
        size = self._bound.size_of(message)
        self._pending.append(message)
        self._pending_bytes += size
        self._largest_bytes = max(self._largest_bytes, size)
        others_bytes = self._pending_bytes - self._largest_bytes
        if len(self._pending) > PENDING_LIMIT or others_bytes > self._bound.max_bytes():
            self._drop_pending()
        self._writer_wakeup.set()

    def _drop_pending(self) -> None:
        """Close without sending what is unsent, as the peer does not read."""
        logger.bind(
            event="link_behind", messages=len(self._pending), bytes=self._pending_bytes
        ).warning("the stream with {} is closed: its peer is too far behind", self.peer)
        self._take_pending()
        self.close()

    def _take_pending(self) -> tuple[S, ...]:
        batch, self._pending = tuple(self._pending), []
        self._pending_bytes = self._largest_bytes = 0
        return batch

    def close(self) -> None:
        """Stop writing; :meth:`run_writer` returns."""
        self._closed = True
        self._writer_wakeup.set()

    async def receive(self, *, silence_s: float | None = None) -> tuple[R, ...]:
        """Wait for the next frame and return its messages; an empty tuple means that the
        stream has ended.

        :param silence_s: maximum time without a byte from the peer, in seconds; None for no limit.
            A large frame on a slow connection may take longer in all.
        :raises UnavailableError: if the connection broke.
        :raises TimeoutError: if the peer was silent for too long.
        """
        async with self._limit_silence(silence_s):
            with as_unavailable(self.peer):
                batch: tuple[R, ...] | None = await self._stream.recv_message()
        return batch or ()

    @asynccontextmanager
    async def _limit_silence(self, silence_s: float | None) -> AsyncIterator[None]:
        if silence_s is None:
            yield
            return
        async with asyncio.timeout(None) as limit:
            checks = asyncio.create_task(self._end_when_silent(limit, silence_s))
            try:
                yield
            finally:
                checks.cancel()

    async def _end_when_silent(self, limit: asyncio.Timeout, silence_s: float) -> None:
        known_bytes, silent_checks = self.received_bytes, 0
        while silent_checks < SILENCE_CHECKS:
            await asyncio.sleep(silence_s / SILENCE_CHECKS)
            await take_input()
            silent_checks += 1
            if self.received_bytes > known_bytes:
                known_bytes, silent_checks = self.received_bytes, 0
        limit.reschedule(asyncio.get_running_loop().time())

    async def run_writer(self) -> None:
        """Write posted messages until the link closes.

        :raises UnavailableError: if the connection broke.
        """
        try:
            while not self._closed:
                await self._writer_wakeup.wait()
                self._writer_wakeup.clear()
                batch = self._take_pending()
                if batch:
                    with as_unavailable(self.peer):
                        await self._stream.send_message(batch)
        finally:
            self.close()


@asynccontextmanager
async def open_link(
    *,
    endpoint: Endpoint,
    method: str,
    send: Any,
    receive: Any,
    ssl: SSLContext | None = None,
    bound: PendingBound | None = None,
) -> AsyncIterator[Link[Any, Any]]:
    """Open a link to another process; it closes when the block ends.

    :param endpoint: the other process's address.
    :param method: the stream method's name.
    :param send: type of the messages sent.
    :param receive: type of the messages received.
    :param ssl: TLS context, None for plain TCP.
    :param bound: bound on unsent messages, None for one by their number only.
    :raises UnavailableError: if the connection can't be opened or breaks.
    """
    peer = str(endpoint)
    channel = Channel(endpoint.host, endpoint.port, codec=MsgpackCodec(), ssl=ssl)
    try:
        with as_unavailable(peer):
            async with timeout_after_input(CONNECT_TIMEOUT_S):
                protocol = await channel.__connect__()
        request = channel.request(
            method, Cardinality.STREAM_STREAM, tuple[send, ...], tuple[receive, ...]
        )
        with as_unavailable(peer):
            async with request as stream:
                await stream.send_request()
                link: Link[Any, Any] = Link(
                    stream=stream, peer=peer, connection=protocol.connection, bound=bound
                )
                writer = asyncio.create_task(link.run_writer())
                try:
                    yield link
                finally:
                    writer.cancel()
                    await asyncio.gather(writer, return_exceptions=True)
                    await stream.cancel()
    finally:
        channel.close()


LinkHandler = Callable[[Link[Any, Any]], Awaitable[None]]
"""Coroutine function that serves one link; the link closes when it returns."""


class LinkService:
    """A set of stream methods for a grpclib server.

    ``codec`` counts the bytes that they send.

    :param name: name of the peers, for error messages.
    """

    def __init__(self, *, name: str) -> None:
        self.codec = MsgpackCodec()
        self._name = name
        self._handlers: dict[str, Handler] = {}

    def add(
        self,
        *,
        method: str,
        send: Any,
        receive: Any,
        handler: LinkHandler,
        bound: PendingBound | None = None,
    ) -> None:
        """Add a stream method.

        :param method: its name.
        :param send: type of the messages that this process sends.
        :param receive: type of the messages that this process receives.
        :param handler: serves one link.
        :param bound: bound on each link's unsent messages, None for one by their number only.
        """

        async def serve(stream: Any) -> None:
            link: Link[Any, Any] = Link(stream=stream, peer=self._name, bound=bound)
            writer = asyncio.create_task(link.run_writer())
            try:
                await handler(link)
            except UnavailableError as exc:
                logger.debug("a peer's stream ended early: {}", exc)
            finally:
                writer.cancel()
                await asyncio.gather(writer, return_exceptions=True)

        self._handlers[method] = Handler(
            serve, Cardinality.STREAM_STREAM, tuple[receive, ...], tuple[send, ...]
        )

    def __mapping__(self) -> Mapping[str, Handler]:
        """Return the handlers by method name, as grpclib requires."""
        return self._handlers


@asynccontextmanager
async def serve_links(
    *, service: LinkService, endpoint: Endpoint, ssl: SSLContext | None = None
) -> AsyncIterator[Server]:
    """Listen for links and serve them until the block ends.

    :param service: the stream methods.
    :param endpoint: the address to listen on.
    :param ssl: TLS context, None for plain TCP.
    :raises OSError: if listening on the address fails.
    """
    server = Server([service], codec=service.codec)
    await server.start(endpoint.host, endpoint.port, ssl=ssl, reuse_address=True)
    try:
        yield server
    finally:
        server.close()
        # A connection whose peer doesn't read would never close.
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await server.wait_closed()
