"""A server that answers early and reads on gets the rest of what was written to it."""

import asyncio
import socket

import pytest
import uvloop

from lychee_http import RequestHead
from lychee_http.pool import ServerPool
from lychee_types.records import Endpoint

BODY = b"x" * 60_000

ANSWER = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"


def read_to_end(conn):
    """Return all bytes that arrive at a socket, and whether its peer has reset it."""
    received = bytearray()
    conn.settimeout(5)
    try:
        while data := conn.recv(4_096):
            received += data
    except ConnectionResetError:
        return bytes(received), True
    return bytes(received), False


async def rest():
    yield BODY


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("is_whole", [True, False], ids=["at once", "in parts"])
def test_a_server_that_answered_early_gets_the_whole_request(is_whole, run):
    async def scenario(listener):
        host, port = listener.getsockname()
        pool = ServerPool(endpoint=Endpoint(host=host, port=port))
        conn = await pool.acquire(timeout_s=1.0)
        accepted, _ = listener.accept()
        sender = conn.stream.transport.get_extra_info("socket")
        sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(BODY))
        headers = ((b"content-length", b"%d" % len(BODY)),)
        head = RequestHead(method=b"POST", target=b"/", headers=headers)
        with pool.release_after_use(conn):
            conn.send(head, BODY if is_whole else b"")
            if not is_whole:
                await conn.send_body(rest(), chunked=False)
            accepted.sendall(ANSWER)
            assert (await conn.read_head()).status == 200
            assert await conn.read_chunk() == b"ok" and await conn.read_chunk() == b""
            assert conn.stream.unacknowledged and not conn.stream.unsent
        await asyncio.sleep(0.05)
        with accepted:
            return await asyncio.to_thread(read_to_end, accepted)

    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        received, was_reset = run(scenario(listener))
    assert received.endswith(BODY) and not was_reset
