"""What a carrier takes for a request that waits, and for a connection that is unused."""

import asyncio
import socket

import pytest

from lychee_gateway.proxy import carrier as carrier_module
from lychee_http import RequestHead

from .test_carrying import ANSWER, play
from .test_review_carried_given_up import LateServer, give_up, narrow_setup, read_all

SETTLE_S = 0.1

CLOSING = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"

INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"


def small_listener():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


def upload_head(size):
    length = (b"content-length", b"%d" % size)
    return RequestHead(method=b"POST", target=b"/", headers=(length,))


async def give_up_behind(listener, size, part):
    """Give up an upload after its server has sent a part; return the places and what comes."""
    setup = narrow_setup(LateServer(listener))
    setup.carrier.start()
    try:
        conn = await setup.open()
        accepted, _ = listener.accept()
        conn.send(upload_head(size), b"")
        await asyncio.sleep(SETTLE_S)
        accepted.sendall(part)
        await asyncio.sleep(SETTLE_S)
        conn.stream.write(b"x" * size)
        await asyncio.sleep(3 * SETTLE_S)
        places = len(setup.carrier._waiting), len(setup.carrier._unused)
        conn.close()
        await asyncio.sleep(5 * SETTLE_S)
        with accepted:
            return places, await asyncio.to_thread(read_all, accepted)
    finally:
        await setup.carrier.close()


@pytest.mark.parametrize("size", [40_000, 100_000])
@pytest.mark.parametrize(
    "part",
    [b"", INTERIM, b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc"],
    ids=["none", "interim", "begun"],
)
def test_an_upload_that_was_given_up_behind_a_part_of_an_answer_is_not_sent_on(part, size):
    with small_listener() as listener:
        places, (received, was_reset) = asyncio.run(give_up_behind(listener, size, part))
    assert places == (1, 0)
    assert was_reset and received < 20_000


def test_a_request_behind_the_rest_of_an_upload_is_not_sent_to_a_server_that_has_left():
    received = bytearray()

    async def answer_early(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        received.extend(await reader.readexactly(4))
        writer.write(ANSWER)
        while data := await reader.read(1_000):
            received.extend(data)

    async def scenario(setup):
        conn = await setup.open()
        conn.send(upload_head(8), b"abcd")
        assert (await conn.read_head()).status == 200
        while await conn.read_chunk():
            pass
        conn.stream.write(b"efgh")
        assert conn.end_exchange()
        setup.may_send = False
        conn.send(RequestHead(method=b"POST", target=b"/second", headers=()), b"")
        await conn.stream.wait_until_lost()
        await setup.server.ended.wait()
        assert b"/second" not in received

    play(answer_early, scenario)


def test_a_connection_in_use_is_not_taken_for_an_unused_one(monkeypatch):
    monkeypatch.setattr(carrier_module, "MAX_OPEN", 3)
    monkeypatch.setattr(carrier_module, "SPARE_OPEN", 1)

    async def behave(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"POST"):
            writer.write(INTERIM)
            await reader.readexactly(8)
        writer.write(ANSWER)

    async def scenario(setup):
        busy = await setup.open()
        busy.send(upload_head(8), b"")
        await asyncio.sleep(SETTLE_S)
        busy.stream.write(b"abcd")
        await asyncio.sleep(SETTLE_S)
        idle = await setup.open()
        assert len(setup.carrier._waiting) == 1
        await setup.open()
        await asyncio.sleep(SETTLE_S)
        assert idle.stream.is_leaving and not busy.stream.is_leaving

    play(behave, scenario)


def test_a_large_upload_that_was_answered_early_is_not_taken_for_one_that_was_given_up():
    with small_listener() as listener:
        received, _ = asyncio.run(give_up(listener, 1_000_000, answer=CLOSING))
    assert received > 500_000


def test_an_upload_that_was_answered_early_is_whole_behind_a_full_carrier():
    with small_listener() as listener:
        received, _ = asyncio.run(give_up(listener, 150_000, answer=CLOSING))
    assert received > 150_000
