"""The rest of an upload that a carrier drops while the answer to it is still on its way."""

import asyncio
import socket

import pytest

from lychee_gateway.proxy import carrier as carrier_module
from lychee_http import RequestHead
from lychee_http import carrying as carrying_module
from lychee_http.carrying import DROPPED, CarriedStream
from lychee_http.exceptions import ServerResponseError

from .test_carrying import play

BODY = bytes(range(256)) * 12_000

SETTLE_S = 0.3


class OlderStream(CarriedStream):
    """A stream of the version before, which does not know the length."""

    def _begin_frame(self, length):
        if length == DROPPED:
            self._frame_left = length
        else:
            super()._begin_frame(length)


async def answer_long(reader, writer):
    """Answer an upload early."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(BODY) + BODY)
    await writer.drain()


async def drop_the_rest(setup):
    """Have the rest of an upload dropped, of whose answer little has been taken."""
    conn = await setup.open()
    own = conn.stream.transport.get_extra_info("socket")
    own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    (carried,) = setup.carrier._tasks.values()
    narrow = carried.transport.get_extra_info("socket")
    narrow.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    length = (b"content-length", b"8")
    conn.send(RequestHead(method=b"POST", target=b"/", headers=(length,)), b"abcd")
    await conn.read_head()
    await asyncio.sleep(SETTLE_S)
    setup.may_send = False
    conn.stream.write(b"efgh")
    await asyncio.sleep(SETTLE_S)
    assert "dropped" in setup.outcomes
    return conn


@pytest.mark.parametrize("stream", [OlderStream, CarriedStream], ids=["older", "this"])
def test_an_answer_that_was_cut_by_a_drop_is_neither_whole_nor_another_one(stream, monkeypatch):
    monkeypatch.setattr(carrying_module, "CarriedStream", stream)

    async def scenario(setup):
        conn = await drop_the_rest(setup)
        received = bytearray()
        with pytest.raises((ServerResponseError, ConnectionError)):
            while chunk := await conn.read_chunk():
                received += chunk
        assert BODY.startswith(received)
        assert not conn.was_not_sent_on

    play(answer_long, scenario)


def test_a_dropped_connection_is_not_taken_for_an_unused_one(monkeypatch):
    monkeypatch.setattr(carrier_module, "MAX_OPEN", 3)
    monkeypatch.setattr(carrier_module, "SPARE_OPEN", 1)

    async def scenario(setup):
        await drop_the_rest(setup)
        assert not setup.carrier._unused

    play(answer_long, scenario)
