"""TCP relays in front of the control replicas, to simulate network partitions.

While a direction is cut, no bytes are forwarded in it and no connection is opened over it. Bytes
that were held back are forwarded when the cut is healed, as TCP does after a network outage.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

import psutil
from msgspec import Struct

from lychee_types.records import Endpoint

CHUNK_BYTES = 65_536
"""Maximum number of bytes per read."""

UNKNOWN = "unknown"
"""Name of a peer that is not a process of the deployment."""

PidsByName = Callable[[], dict[str, int]]
"""Returns the ids of the processes that may connect, by name."""


class Direction(Struct, frozen=True, kw_only=True):
    """One direction of the traffic between two processes.

    :param source: name of the sender.
    :param target: name of the receiver.
    """

    source: str
    target: str


class Network:
    """Simulated network, with the directions that are cut."""

    def __init__(self) -> None:
        self._cut: set[Direction] = set()
        self._changed = asyncio.Event()

    def cut(self, *directions: Direction) -> None:
        """Stop the traffic in some directions."""
        self._cut.update(directions)

    def heal(self, *directions: Direction) -> None:
        """Resume the traffic in some directions."""
        self._cut.difference_update(directions)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_open(self, *directions: Direction) -> None:
        """Wait until none of the directions is cut."""
        while self._cut.intersection(directions):
            await self._changed.wait()


class Relay:
    """Forwards the connections to one process.

    :param name: name of that process.
    :param listen: address that peers connect to.
    :param target: address that the process listens on.
    :param network: tells which directions are cut.
    :param pids: returns the ids of the processes that may connect, by name.
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
        """Start to listen, and return the listener."""
        return await asyncio.start_server(self._accept, self._listen.host, self._listen.port)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._relay_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Close every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = find_process(writer.get_extra_info("peername")[1], self._pids())
        self.connection_counts[peer] = self.connection_counts.get(peer, 0) + 1
        to_target = Direction(source=peer, target=self._name)
        from_target = Direction(source=self._name, target=peer)
        try:
            await self._network.wait_open(to_target, from_target)
            target_reader, target_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            writer.transport.abort()
            return
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._forward(reader, target_writer, to_target))
                tasks.create_task(self._forward(target_reader, writer, from_target))
        except* OSError:
            pass
        finally:
            writer.transport.abort()
            target_writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._network.wait_open(direction)
            if writer.is_closing():
                break
            self.forwarded_bytes += len(data)
            writer.write(data)
            await writer.drain()
        await self._network.wait_open(direction)
        raise ConnectionResetError("the peer closed the connection")


def find_process(port: int, pids: dict[str, int]) -> str:
    """Return the name of the process whose connection has that local port."""
    for name, pid in pids.items():
        try:
            connections = psutil.Process(pid).net_connections(kind="tcp")
        except psutil.Error:
            continue
        if any(conn.laddr and conn.laddr.port == port for conn in connections):
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
