"""Callers behind a full link get each answer whole, as none of them leaves."""

import asyncio
from contextlib import suppress
from random import Random

import pytest

from lychee_http import ResponseHead

from .slow_relay import SlowRelay
from .test_pipelining import Harness, get, harness, post, run

SIZE = 12_000
"""Size of the answer that fills the link, in bytes."""

STILL_S = 1.3
"""Time for which the link carries nothing, in seconds; less than callers may stall."""

CALLERS = 20
"""Callers of the random test."""


class FullLink(Harness):
    """Answers ``/large`` with :data:`SIZE` bytes at once."""

    async def _handle(self, exchange):
        if exchange.head.target == b"/large":
            await exchange.send(ResponseHead(status=200, headers=()), b"x" * SIZE)
        else:
            await super()._handle(exchange)


async def call(endpoint, sent, *, half_closes):
    """Send requests and return what comes until the end."""
    reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    received = bytearray()
    try:
        writer.write(sent)
        if half_closes:
            writer.write_eof()
        with suppress(ConnectionError):
            while data := await reader.read(65_536):
                received += data
    finally:
        writer.close()
    return bytes(received)


@pytest.mark.parametrize("ahead", [get(b"large"), get(b"large") + post(b"a", b"b")])
@pytest.mark.parametrize("half_closes", [False, True])
def test_no_caller_behind_a_full_link_that_stands_still_is_taken_for_gone(ahead, half_closes):
    """A half-closed one was, after 1 s: its last requests were cut, as ``caller_left``."""

    async def scenario():
        async with harness(FullLink, checks_delivery=False) as h:
            link = SlowRelay(endpoint=h.endpoint, bytes_per_s=20_000)
            async with link.open() as address:
                h.release(b"a")
                sent = ahead + get(b"late", b"connection: close")
                calling = asyncio.ensure_future(call(address, sent, half_closes=half_closes))
                await h.until_sent(b"late")
                await h.until(lambda: h.conns[0]._stream.eof is half_closes)
                await link.stand_still(STILL_S)
                h.release(b"late")
                received = await calling
                assert [end.reason for end in h.ends] == []
                assert received.endswith(b"by late"), received[-100:]
                assert received.count(b"x") >= SIZE

    run(scenario())


class Mixed(FullLink):
    """Answers ``/after`` once the time in ms in its target is over."""

    async def _handle(self, exchange):
        what, _, ms = exchange.head.target[1:].partition(b"-")
        if what == b"after":
            body, _ = await exchange.read_body(max_bytes=1 << 20)
            await asyncio.sleep(int(ms) / 1_000)
            await exchange.send(ResponseHead(status=200, headers=()), b"y%d" % len(body))
        else:
            await super()._handle(exchange)


def random_requests(rng):
    """Return what a caller sends, and how its answers end."""
    sent, ends = b"", []
    for left in range(rng.randint(1, 4))[::-1]:
        last = [b"connection: close"] * (left == 0)
        ms = rng.randint(0, 1_500)
        match rng.randint(0, 2):
            case 0:
                sent += get(b"large", *last)
                ends.append(b"x" * SIZE)
            case 1:
                sent += get(b"after-%d" % ms, *last)
                ends.append(b"y0")
            case _:
                body = b"b" * rng.choice((1, 5_000, 12_000))
                sent += post(b"after-%d" % ms, body).replace(
                    b"host", b"connection: %b\r\nhost" % (b"close" if last else b"keep-alive")
                )
                ends.append(b"y%d" % len(body))
    return sent, ends


@pytest.mark.parametrize("seed", [1, 2])
def test_random_callers_behind_links_that_stand_still_get_each_answer_whole(seed):
    async def scenario():
        async with harness(Mixed, checks_delivery=False) as h:
            rng = Random(seed)
            link = SlowRelay(endpoint=h.endpoint, bytes_per_s=20_000)
            async with link.open() as address:
                plans = [random_requests(rng) for _ in range(CALLERS)]
                calls = [
                    asyncio.ensure_future(call(address, sent, half_closes=rng.random() < 0.7))
                    for sent, _ in plans
                ]
                await asyncio.sleep(rng.uniform(0.1, 0.4))
                await link.stand_still(STILL_S)
                received = await asyncio.gather(*calls)
                assert [end.reason for end in h.ends] == []
                for (_, ends), data in zip(plans, received, strict=True):
                    bodies = [part for part in data.split(b"HTTP/1.1 200 \r\n") if part]
                    assert [body.partition(b"\r\n\r\n")[2] for body in bodies] == ends

    run(scenario())
