"""A timer doesn't end what has arrived while the event loop was busy."""

import asyncio
import os
import time
from contextlib import suppress

import pytest
import uvloop

from lychee_http import CallerLimits

from .test_pipelining import TEST_TIMEOUT_S, caller, get, harness, post, read_until

LOOPS = [uvloop.new_event_loop, asyncio.new_event_loop]

BUSY_S = 0.3
"""Time for which the event loop is busy across a limit, in seconds."""


def run(work, new_loop):
    async def bounded():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await work

    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(bounded())


@pytest.fixture(params=LOOPS, ids=["uvloop", "asyncio"])
def new_loop(request):
    return request.param


def send_while_busy(writer, data, *, at_s):
    """Send data at a time, by the system, and keep the event loop busy for a while after that."""

    def send():
        os.write(writer.get_extra_info("socket").fileno(), data)
        time.sleep(BUSY_S)

    asyncio.get_running_loop().call_later(at_s, send)


def test_a_request_that_arrives_in_time_is_not_dropped_as_the_idle_time_ends(new_loop):
    async def scenario():
        async with harness() as h:
            h.limits = CallerLimits(idle_s=-1.2)
            async with caller(h) as (reader, writer):
                await h.until(lambda: h.conns and h.conns[0]._idle._is_waiting)
                h.release(b"a")
                send_while_busy(writer, get(b"a"), at_s=0.1)
                assert b"200" in await read_until(reader, b"by a")

    run(scenario(), new_loop)


def test_a_head_whose_rest_arrives_in_time_is_not_rejected(new_loop):
    async def scenario():
        async with harness() as h:
            h.limits = CallerLimits(head_s=0.3)
            async with caller(h) as (reader, writer):
                data = get(b"a")
                h.release(b"a")
                writer.write(data[:10])
                send_while_busy(writer, data[10:], at_s=0.2)
                assert b"200" in await read_until(reader, b"by a")

    run(scenario(), new_loop)


def test_a_head_that_goes_on_arriving_after_its_time_is_rejected(new_loop):
    async def scenario():
        async with harness() as h:
            # Its time must be over first, however many bytes the loop sends until then.
            h.limits = CallerLimits(head_s=0.3, head_bytes=64 * 1_048_576)
            async with caller(h) as (reader, writer):
                answer = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
                writer.write(b"GET / HTTP/1.1\r\nx: ")
                while not answer.done():
                    with suppress(ConnectionError):
                        writer.write(b"y")
                    await asyncio.sleep(0)
                assert b"408" in await answer

    run(scenario(), new_loop)


def test_a_body_whose_rest_arrives_in_time_is_not_rejected(new_loop):
    async def scenario():
        async with harness() as h:
            h.limits = CallerLimits(stall_s=0.3)
            async with caller(h) as (reader, writer):
                data = post(b"a", b"0123456789")
                h.release(b"a")
                writer.write(data[:-5])
                send_while_busy(writer, data[-5:], at_s=0.2)
                assert b"200" in await read_until(reader, b"by a0123456789")

    run(scenario(), new_loop)
