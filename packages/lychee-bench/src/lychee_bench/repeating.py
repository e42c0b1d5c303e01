"""A relay in front of a stand-in server, which repeats responses and refuses requests itself.

It delays and splits the server's bytes, and sends second copies of responses up to 2 s late, where
the next response is expected.
"""

import asyncio
import random
import re

from loguru import logger

from lychee_types.records import Endpoint

REPEATED_SHARE = 0.1
"""Share of the responses that are sent once more."""

REPEATED_REFUSAL_SHARE = 0.7
"""The same for the relay's own refusals, after which gateways send the request again."""

REFUSED_SHARE = 0.2
"""Share of the requests that the relay refuses and the server never gets."""

MAX_LATE_S = 2.0
"""Maximum delay of a second copy, in seconds."""

MAX_DELAY_S = 0.01
"""Maximum delay of each part of a response, in seconds."""

MAX_REPEATED_BYTES = 16_384
"""Maximum size of a response that is sent once more, in bytes."""

READ_BYTES = 65_536
"""Maximum number of bytes per read."""

_REQUEST_ID = re.compile(rb"\r\n(lychee-request-id: [^\r]*\r\n)", re.IGNORECASE)
_LENGTH = re.compile(rb"\r\ncontent-length: ([0-9]+)\r\n", re.IGNORECASE)


class RepeatingRelay:
    """Relays the connections to one server.

    :param target: the server's address.
    :param rng: source of random numbers.
    """

    def __init__(self, *, target: Endpoint, rng: random.Random) -> None:
        self._target = target
        self._rng = rng

    async def listen(self, endpoint: Endpoint) -> asyncio.Server:
        """Start to listen, and return the listener."""
        return await asyncio.start_server(self._serve, endpoint.host, endpoint.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = self._target
        server_reader, server_writer = await asyncio.open_connection(
            target.host, target.port, limit=READ_BYTES
        )
        loop = asyncio.get_running_loop()
        late: list[tuple[float, bytes]] = []
        try:
            while request := await reader.read(READ_BYTES):
                for due in [copy for copy in late if copy[0] <= loop.time()]:
                    late.remove(due)
                    await self._send(writer, due[1])
                share = REPEATED_SHARE
                if self._rng.random() < REFUSED_SHARE:
                    share = REPEATED_REFUSAL_SHARE
                    response = _refusal(request)
                else:
                    server_writer.write(request)
                    response = await _read_response(server_reader)
                await self._send(writer, response)
                if self._rng.random() < share and len(response) <= MAX_REPEATED_BYTES:
                    # Most copies are early, when the refused request is likely to be sent again.
                    late.append((loop.time() + MAX_LATE_S * self._rng.random() ** 3, response))
        except (ConnectionError, asyncio.IncompleteReadError) as exc:
            logger.debug("one side of a relayed connection has ended: {!r}", exc)
        except asyncio.CancelledError:
            # Raised again, it would be logged as an error of the stream when the process ends.
            logger.debug("a relayed connection ends with the process")
        finally:
            server_writer.transport.abort()
            writer.transport.abort()

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send a response in two parts, each after a short delay."""
        end = self._rng.randrange(len(data))
        for part in (data[:end], data[end:]):
            await asyncio.sleep(self._rng.uniform(0.0, MAX_DELAY_S))
            if writer.transport.is_closing():
                raise ConnectionResetError("the gateway has closed the connection")
            writer.write(part)
            await writer.drain()


def _refusal(request: bytes) -> bytes:
    request_id = _REQUEST_ID.search(request)
    name = b"" if request_id is None else request_id[1]
    return b"HTTP/1.1 503 No\r\n%bLychee-Refused: shed\r\nContent-Length: 0\r\n\r\n" % name


async def _read_response(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    length = _LENGTH.search(head)
    if length is not None:
        return head + await reader.readexactly(int(length[1]))
    chunks = [head]
    while chunks[-1] != b"0\r\n\r\n":
        size_line = await reader.readuntil(b"\r\n")
        chunks.append(size_line + await reader.readexactly(int(size_line, 16) + 2))
    return b"".join(chunks)
