"""Random walks: a request that was not sent on, as a carrier says, has not reached its server."""

import asyncio
import random
from contextlib import suppress

import pytest

from lychee_http import RequestHead
from lychee_http.exceptions import ServerResponseError

from .test_carrying import ANSWER, play

INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"

PARTS = (ANSWER, ANSWER, INTERIM, ANSWER[:20], ANSWER + ANSWER)
"""What the server may send: an answer, an interim one, the beginning of one, two at once."""


class Walk:
    """Sends uploads in parts through a carrier that may drop each of them."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._received = bytearray()

    async def behave(self, reader, writer):
        rng = self._rng
        while data := await reader.read(rng.choice([7, 60, 4_000, 65_536])):
            self._received += data
            if b"POST" in data or rng.random() < 0.3:
                for _ in range(rng.choice([0, 1, 1, 2])):
                    writer.write(rng.choice(PARTS))
            await asyncio.sleep(rng.choice([0, 0, 0.001, 0.01]))

    async def scenario(self, setup):
        number = 0
        for _ in range(4):
            setup.may_send = is_reusable = True
            conn = await setup.open()
            while is_reusable and conn.is_reusable() and number < 16:
                number += 1
                is_reusable = await self._exchange(setup, conn, b"<%d>" % number)
            conn.close()

    async def _exchange(self, setup, conn, mark):
        """Send a request whose bytes name it; return whether the connection can be used again."""
        size = self._rng.choice([0, 8, 200, 70_000, 300_000])
        body = (mark * (size // len(mark) + 1))[:size]
        length = (b"content-length", b"%d" % size)
        setup.may_send = self._rng.random() < 0.6
        conn.send(RequestHead(method=b"POST", target=b"/" + mark, headers=(length,)), b"")
        sending = asyncio.create_task(conn.send_body(self._parts(setup, body), chunked=False))
        with suppress(TimeoutError, ServerResponseError, ConnectionError):
            async with asyncio.timeout(0.25):
                await conn.read_head()
                while await conn.read_chunk():
                    pass
                await asyncio.wait({sending}, timeout=0.1)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        is_reusable = conn.end_exchange()
        if conn.was_not_sent_on:
            # What the server has not read yet would come now.
            await asyncio.sleep(0.03)
            assert mark not in self._received
        return is_reusable

    async def _parts(self, setup, body):
        at = 0
        while at < len(body):
            step = self._rng.choice([4, 100, 20_000, 100_000])
            yield body[at : at + step]
            at += step
            setup.may_send = self._rng.random() < 0.6
            await asyncio.sleep(self._rng.choice([0, 0, 0.001]))


@pytest.mark.parametrize("seed", range(15))
def test_a_request_that_was_not_sent_on_has_not_reached_its_server(seed):
    walk = Walk(seed)
    play(walk.behave, walk.scenario)
