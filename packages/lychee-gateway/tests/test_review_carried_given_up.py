"""A carried request that the asking gateway gave up reaches its server no more."""

import asyncio
import socket

import pytest
import uvloop

from lychee_http import RequestHead
from lychee_types.records import Endpoint

from .test_carrying import Setup

READ_LATE_S = 0.5


def read_all(conn):
    """Return all bytes that arrive at a socket, and whether its peer has reset it."""
    received = bytearray()
    conn.settimeout(5)
    try:
        while data := conn.recv(65_536):
            received += data
    except ConnectionResetError:
        return len(received), True
    return len(received), False


class LateServer:
    """A server whose system takes in little before it reads."""

    def __init__(self, listener):
        host, port = listener.getsockname()
        self.endpoint = Endpoint(host=host, port=port)


def narrow_setup(server):
    """Return a carrier whose system takes little for its server."""
    setup = Setup(server)
    connect = setup.carrier._connect

    async def connect_narrowly(server, timeout_s):
        conn = await connect(server, timeout_s)
        sock = conn.stream.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
        return conn

    setup.carrier._connect = connect_narrowly
    return setup


async def until_taken_in(stream):
    """Wait until the carrier's system has all bytes, or takes in no more.

    How many it takes in while the carrier reads nothing differs from system to system.
    """
    async with asyncio.timeout(5):
        left = None
        while left != (left := stream.unacknowledged):  # noqa: ASYNC110
            await asyncio.sleep(0.2)


async def give_up(listener, size, *, answer=b"", receive_buffer=None):
    """Send a request that is carried, and close; return what its server gets afterwards.

    The server answers before it reads if there is an answer. The carrier's system takes in the
    bytes of a receive buffer only, if that is given.
    """
    setup = narrow_setup(LateServer(listener))
    if receive_buffer is not None:
        sock = setup.carrier._listener._sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    setup.carrier.start()
    try:
        conn = await setup.open()
        accepted, _ = listener.accept()
        length = (b"content-length", b"%d" % size)
        conn.send(RequestHead(method=b"POST", target=b"/", headers=(length,)), b"x" * size)
        await until_taken_in(conn.stream)
        if answer:
            accepted.sendall(answer)
            assert (await conn.read_head()).status == 200 and not await conn.read_chunk()
            assert not conn.end_exchange()
        conn.close()
        await asyncio.sleep(READ_LATE_S)
        with accepted:
            return await asyncio.to_thread(read_all, accepted)
    finally:
        await setup.carrier.close()


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("size", [40_000, 150_000, 220_000, 300_000, 400_000])
def test_a_carrier_drops_what_it_holds_of_a_request_that_was_given_up(size, run):
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        received, was_reset = run(give_up(listener, size))
    assert was_reset and received < size


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("size", [300_000, 400_000])
def test_a_carrier_whose_system_takes_in_little_drops_what_it_holds(size, run):
    # The test waited until the carrier's system had everything, which never came where it is full.
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        received, was_reset = run(give_up(listener, size, receive_buffer=16_384))
    assert was_reset and received < size


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_carrier_sends_nothing_more_of_a_large_request_that_was_given_up(run):
    """The carrier has stopped reading from the asking gateway, as its own way is full."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        received, was_reset = run(give_up(listener, 400_000))
    assert was_reset and received <= 8_192


def test_a_carrier_ends_a_large_request_that_was_given_up_while_its_server_reads_nothing():
    """It kept the connection, and its place among those that wait, as long as the server's."""

    async def scenario(listener):
        setup = Setup(LateServer(listener))
        setup.carrier.start()
        conn = await setup.open()
        accepted, _ = listener.accept()
        length = (b"content-length", b"9000000")
        conn.send(RequestHead(method=b"POST", target=b"/", headers=(length,)), b"x" * 9_000_000)
        await asyncio.sleep(0.3)
        assert len(setup.carrier) == len(setup.carrier._waiting) == 1
        conn.close()
        await asyncio.sleep(2.0)
        left = len(setup.carrier), len(setup.carrier._waiting)
        accepted.close()
        await setup.carrier.close()
        return left

    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        assert asyncio.run(scenario(listener)) == (0, 0)


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_the_rest_of_a_carried_request_that_was_answered_early_reaches_its_server(run):
    answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        received, was_reset = run(give_up(listener, 40_000, answer=answer))
    assert received > 40_000 and not was_reset
