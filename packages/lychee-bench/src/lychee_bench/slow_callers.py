"""Callers on slow links, which go on sending while they read and never leave."""

import asyncio
import re
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from itertools import count

from lychee_bench.answers import check_response_body
from lychee_bench.audit import Violation
from lychee_bench.balancer import GatewayAddresses
from lychee_types.records import Endpoint

LINK_BYTES_PER_S = 130_000
"""Rate at which a caller reads, in bytes per second."""

BUFFER_BYTES = 8_192
"""Size of a caller's receive buffer as asked of the operating system, in bytes."""

ANSWER_BYTES = 150_000
"""Length of each response body."""

PIPELINED = 2
"""Number of requests that a caller sends at once; the last asks for the connection's end."""

READ_S = 0.02
"""Interval at which a caller reads, in seconds."""

SEND_ON_S = 0.4
"""Interval at which a caller sends another request while it reads, in seconds."""

CALL_LIMIT_S = 30.0
"""Time in which a connection must end, longer than any fault lasts, in seconds."""

CUT = "a response was cut though its caller stayed"


async def open_slow(endpoint: Endpoint) -> socket.socket:
    """Open a connection with a small receive buffer, so that little is acknowledged early.

    :raises OSError: if it cannot be opened.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (endpoint.host, endpoint.port))
    except BaseException:
        sock.close()
        raise
    return sock


class SlowCaller:
    """A caller that reads slowly and sends on until the gateway ends its connection.

    :param name: key of its requests, and prefix of their ids.
    :param path: URL prefix of a service whose responses are not streamed.
    :param sock: its connection.
    :param first: number of requests that it sends at once.
    :param asks_to_close: whether the last of these asks for the connection's end.
    :param send_on_s: interval at which it sends another request while it reads, in seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        path: str,
        sock: socket.socket,
        first: int = PIPELINED,
        asks_to_close: bool = True,
        send_on_s: float = SEND_ON_S,
    ) -> None:
        self.received = bytearray()
        self._name = name
        self._path = path
        self._sock = sock
        self._loop = asyncio.get_running_loop()
        self._began_at = self._loop.time()
        self._sent = 0
        self._first = first
        self._send_on_s = send_on_s
        self._closing_request = first if asks_to_close else 0

    async def call(self) -> int:
        """Call until the connection ends; return how many responses are whole."""
        with suppress(ConnectionResetError, TimeoutError):
            async with asyncio.timeout(CALL_LIMIT_S):
                await self._send(self._first)
                await self._read_and_send_on()
        return count_whole(bytes(self.received), name=self._name)[0]

    async def _read_and_send_on(self) -> None:
        send_at = self._began_at + self._send_on_s
        while await self._read():
            if self._loop.time() >= send_at:
                await self._send(1)
                send_at += self._send_on_s

    async def _send(self, number: int) -> None:
        data = b""
        for _ in range(number):
            self._sent += 1
            data += f"GET {self._path}{self._name}?size={ANSWER_BYTES} HTTP/1.1\r\n".encode()
            data += f"Host: x\r\nLychee-Request-Id: {self._name}.{self._sent}\r\n".encode()
            data += b"Connection: close\r\n\r\n" if self._sent == self._closing_request else b"\r\n"
        with suppress(ConnectionResetError, BrokenPipeError):
            await self._loop.sock_sendall(self._sock, data)

    async def _read(self) -> bool:
        """Read what has come over the link by now; return False at the connection's end."""
        await asyncio.sleep(READ_S)
        on_link = int((self._loop.time() - self._began_at) * LINK_BYTES_PER_S)
        data = await self._loop.sock_recv(self._sock, max(on_link - len(self.received), 1))
        self.received += data
        return bool(data)


def count_whole(data: bytes, *, name: str) -> tuple[int, bytes]:
    """Return how many responses are whole, and what is left from the first that is not.

    :param data: all that a caller has received.
    :param name: prefix of its requests' ids.
    """
    for number in count():
        head, _, rest = data.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
        body = rest[: int(length[1])] if length else b""
        if length is None or len(body) < int(length[1]):
            break
        request = f"{name}.{number + 1}"
        if head[9:12] == b"200" and not check_response_body(body, request=request, key=name):
            break
        data = rest[len(body) :]
    return number, data


class SlowCallers:
    """Slow callers of each gateway, one connection after the other.

    :param gateways: the gateways.
    :param path: URL prefix of an idempotent service whose responses are not streamed.
    :param process_id: returns the id of a gateway's process by name, None if it was killed.
    """

    def __init__(
        self,
        *,
        gateways: tuple[GatewayAddresses, ...],
        path: str,
        process_id: Callable[[str], int | None],
    ) -> None:
        self.violations: list[Violation] = []
        self._gateways = gateways
        self._path = path
        self._process_id = process_id
        self._whole = self._connections = self._killed = 0

    async def run(self, seconds: float) -> None:
        """Open connections for that many seconds, and wait until all have ended."""
        until = time.monotonic() + seconds
        async with asyncio.TaskGroup() as tasks:
            for gateway in self._gateways:
                tasks.create_task(self._call_again(gateway, until))

    def summary(self) -> str:
        """Return the counts as text."""
        return (
            f"slow callers: {self._connections} connections, {self._whole} whole responses,"
            f" {len(self.violations)} cut, {self._killed} ended with a killed gateway"
        )

    async def _call_again(self, gateway: GatewayAddresses, until: float) -> None:
        while time.monotonic() < until:
            process = self._process_id(gateway.name)
            name = f"slow-{gateway.name}-{time.monotonic_ns()}"
            try:
                with await open_slow(gateway.listen) as sock:
                    whole = await SlowCaller(name=name, path=self._path, sock=sock).call()
            except OSError:
                await asyncio.sleep(SEND_ON_S)
                continue
            self._judge(name, whole, was_killed=process != self._process_id(gateway.name))

    def _judge(self, name: str, whole: int, *, was_killed: bool) -> None:
        self._connections += 1
        self._whole += whole
        if whole < PIPELINED and was_killed:
            self._killed += 1
        elif whole < PIPELINED:
            detail = f"{name}: {whole} of {PIPELINED} responses are whole"
            self.violations.append(Violation(kind=CUT, detail=detail))
