"""Connections that open in time while the event loop is busy until their time is over."""

import asyncio
import socket
import time
from threading import Thread

import pytest
import uvloop
from msgspec.msgpack import encode

from lychee_http import open_server_connection
from lychee_http.carrying import encode_frame, open_carried_connection
from lychee_types.ids import Incarnation, ServerId
from lychee_types.peer_messages import CarryAccepted, CarryRequest
from lychee_types.records import Endpoint
from lychee_types.registry import ServerIncarnation

LIMIT_S = 0.2
LOOPS = pytest.mark.parametrize("run", [asyncio.run, uvloop.run])


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        yield sock


def address(listener):
    host, port = listener.getsockname()
    return Endpoint(host=host, port=port)


@LOOPS
def test_a_server_that_has_accepted_when_the_time_is_over_is_reached(run, listener):
    async def scenario():
        asyncio.get_running_loop().call_soon(time.sleep, LIMIT_S + 0.1)
        conn = await open_server_connection(address(listener), timeout_s=LIMIT_S)
        conn.close()

    run(scenario())


@LOOPS
def test_a_carrying_gateway_whose_reply_is_there_when_the_time_is_over_is_used(run, listener):
    async def scenario():
        loop = asyncio.get_running_loop()

        def block(sock):
            sock.sendall(encode_frame(encode(CarryAccepted())))
            time.sleep(LIMIT_S + 0.1)

        def serve():
            sock, _ = listener.accept()
            sock.recv(1_000)
            loop.call_soon_threadsafe(block, sock)

        Thread(target=serve, daemon=True).start()
        run_of_server = ServerIncarnation(server=ServerId("s"), incarnation=Incarnation(1))
        request = CarryRequest(run=run_of_server, endpoint=address(listener), timeout_ms=100)
        conn = await open_carried_connection(address(listener), request, timeout_s=LIMIT_S)
        assert conn.is_carried
        conn.close()

    run(scenario())


@LOOPS
def test_an_address_that_accepts_nothing_is_not_reached(run):
    async def scenario():
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            waiting = [socket.socket() for _ in range(4)]
            for sock in waiting:
                sock.setblocking(False)
                sock.connect_ex(full.getsockname())
            with pytest.raises(TimeoutError):
                await open_server_connection(address(full), timeout_s=LIMIT_S)
            for sock in waiting:
                sock.close()

    run(scenario())
