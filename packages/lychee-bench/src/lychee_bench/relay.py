"""TCP relays in front of the control replicas, whose directions can be cut.

A cut direction carries no byte, and no connection comes about over it; what was held is carried
on when the cut ends, as TCP does after a lost network came back.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

import psutil
from msgspec import Struct

from lychee_types.records import Endpoint

CHUNK_BYTES = 65_536
"""Bytes read at once."""

UNKNOWN = "unknown"
"""Name of a peer that is none of the deployment's processes."""

PidsByName = Callable[[], dict[str, int]]
"""Gives the ids of the processes that may connect, by name."""


class Direction(Struct, frozen=True, kw_only=True):
    """One direction between two processes.

    :param source: name of the sender.
    :param target: name of the receiver.
    """

    source: str
    target: str


class Network:
    """Which directions are cut."""

    def __init__(self) -> None:
        self._cut: set[Direction] = set()
        self._changed = asyncio.Event()

    def cut(self, *directions: Direction) -> None:
        """Cut directions."""
        self._cut.update(directions)

    def heal(self, *directions: Direction) -> None:
        """Let directions carry bytes again."""
        self._cut.difference_update(directions)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_open(self, *directions: Direction) -> None:
        """Wait until none of the directions is cut."""
        while self._cut.intersection(directions):
            await self._changed.wait()


class Relay:
    """Carries the connections to one process.

    :param name: name of that process.
    :param listen: where peers connect.
    :param target: where the process listens.
    :param network: which directions are cut.
    :param pids: ids of the processes that may connect.
    """

    def __init__(
        self, *, name: str, listen: Endpoint, target: Endpoint, network: Network, pids: PidsByName
    ) -> None:
        self.connection_counts: dict[str, int] = {}
        self.forwarded_bytes = 0
        self._name = name
        self._listen = listen
        self._target = target
        self._network = network
        self._pids = pids
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> asyncio.Server:
        """Start to listen."""
        return await asyncio.start_server(self._accept, self._listen.host, self._listen.port)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._relay_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """End every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = find_process(writer.get_extra_info("peername")[1], self._pids())
        self.connection_counts[peer] = self.connection_counts.get(peer, 0) + 1
        there = Direction(source=peer, target=self._name)
        back = Direction(source=self._name, target=peer)
        try:
            await self._network.wait_open(there, back)
            up_reader, up_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            writer.transport.abort()
            return
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._forward(reader, up_writer, there))
                tasks.create_task(self._forward(up_reader, writer, back))
        except* OSError:
            pass
        finally:
            writer.transport.abort()
            up_writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Direction
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._network.wait_open(way)
            if writer.is_closing():
                break
            self.forwarded_bytes += len(data)
            writer.write(data)
            await writer.drain()
        await self._network.wait_open(way)
        raise ConnectionResetError("the peer closed the connection")


def find_process(port: int, pids: dict[str, int]) -> str:
    """Return the name of the process whose connection has that local port."""
    for name, pid in pids.items():
        try:
            found = psutil.Process(pid).net_connections(kind="tcp")
        except psutil.Error:
            continue
        if any(conn.laddr and conn.laddr.port == port for conn in found):
            return name
    return UNKNOWN


@asynccontextmanager
async def run_relays(relays: tuple[Relay, ...]) -> AsyncIterator[None]:
    """Run relays until the block ends."""
    async with AsyncExitStack() as stack:
        for relay in relays:
            listener = await relay.run()
            stack.push_async_callback(relay.close)
            stack.callback(listener.close)
        yield
