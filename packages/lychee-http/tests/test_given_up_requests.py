"""A request that was given up reaches its server no more, however long its bytes were under way."""

import asyncio
import socket

import pytest
import uvloop

from lychee_http import RequestHead
from lychee_http.pool import ServerPool
from lychee_types.records import Endpoint

BODY = b"x" * 60_000
"""More than a server with a small buffer takes in, less than the sender's system does."""

HEAD = RequestHead(method=b"POST", target=b"/", headers=((b"content-length", b"%d" % len(BODY)),))


def read_all(conn):
    """Return all bytes that arrive at a socket, and whether its peer has reset it."""
    received = bytearray()
    conn.settimeout(5)
    try:
        while data := conn.recv(65_536):
            received += data
    except ConnectionResetError:
        return bytes(received), True
    return bytes(received), False


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("ended_by", ["deadline", "close"])
def test_bytes_that_were_not_delivered_are_dropped(ended_by, run):
    async def scenario(listener):
        host, port = listener.getsockname()
        pool = ServerPool(endpoint=Endpoint(host=host, port=port))
        conn = await pool.acquire(timeout_s=1.0)
        accepted, _ = listener.accept()
        sender = conn.stream.transport.get_extra_info("socket")
        sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(BODY))
        with pool.release_after_use(conn):
            conn.send(HEAD, BODY)
            assert conn.stream.unacknowledged and not conn.stream.unsent
            if ended_by == "close":
                conn.close()
        await asyncio.sleep(0.05)
        with accepted:
            return await asyncio.to_thread(read_all, accepted)

    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        received, was_reset = run(scenario(listener))
    assert was_reset and len(received) < len(BODY)


def test_a_delivered_request_is_cancelled_by_a_plain_close():
    async def scenario(listener):
        host, port = listener.getsockname()
        pool = ServerPool(endpoint=Endpoint(host=host, port=port))
        conn = await pool.acquire(timeout_s=1.0)
        accepted, _ = listener.accept()
        with pool.release_after_use(conn):
            conn.send(HEAD, b"")
            await asyncio.to_thread(accepted.recv, 1, socket.MSG_PEEK)
            assert not conn.stream.unacknowledged
        with accepted:
            return await asyncio.to_thread(read_all, accepted)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        received, was_reset = asyncio.run(scenario(listener))
    assert received.startswith(b"POST / ") and not was_reset


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_request_that_got_the_answer_to_another_one_is_not_sent_on(run):
    # Its head alone was read, which tells that; the answer counted as the request's own.
    async def scenario(listener):
        host, port = listener.getsockname()
        pool = ServerPool(endpoint=Endpoint(host=host, port=port))
        conn = await pool.acquire(timeout_s=1.0)
        accepted, _ = listener.accept()
        sender = conn.stream.transport.get_extra_info("socket")
        sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(BODY))
        with pool.release_after_use(conn):
            conn.send(HEAD, BODY)
            accepted.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            await conn.read_head()
        await asyncio.sleep(0.05)
        with accepted:
            return await asyncio.to_thread(read_all, accepted)

    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        received, was_reset = run(scenario(listener))
    assert was_reset and len(received) < len(BODY)
