"""Requests without an answer are reported with a reason that is true."""

import asyncio
import socket
import struct

import pytest
from loguru import logger

from lychee_http import CallerLimits
from lychee_http.caller_side import CallerSide
from lychee_http.endings import EndReason

from .test_pipelining import Harness, caller, get, harness, post, read_to_end, run


class StrayHarness(Harness):
    """Handles ``/stray`` by a wait that something else cancels."""

    async def _handle(self, exchange):
        if exchange.head.target != b"/stray":
            await super()._handle(exchange)
            return
        shared = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_soon(shared.cancel)
        await shared


@pytest.mark.parametrize("ahead", [b"", get(b"a")])
def test_a_request_whose_wait_is_cancelled_from_elsewhere_is_answered(ahead):
    """It ended without an answer, as ``stopped``, and so did those behind it."""

    async def scenario():
        async with harness(StrayHarness) as h, caller(h) as (reader, writer):
            h.release(b"a", b"b", b"c")
            writer.write(ahead + get(b"stray") + post(b"b", b"body"))
            writer.write(get(b"c", b"connection: close"))
            data = await read_to_end(reader)
            statuses = [int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:]]
            assert statuses == [200] * bool(ahead) + [502, 200, 200]
            assert h.ends == []

    run(scenario())


@pytest.mark.parametrize("half_closes", [False, True])
@pytest.mark.parametrize("behind", [b"", get(b"b")])
def test_a_caller_that_reads_nothing_has_stalled_and_not_left(half_closes, behind):
    """A half-closed one was said to have left, although it was there all the time."""

    async def scenario():
        async with harness(checks_delivery=False) as h:
            h.limits = CallerLimits(stall_s=0.3)
            async with caller(h) as (_, writer):
                writer.write(get(b"big") + behind)
                if half_closes:
                    writer.write_eof()
                    await h.until(lambda: h.conns and h.conns[0]._stream.eof)
                h.release(b"big")
                await h.until(lambda: h.ends)
                assert {end.reason for end in h.ends} == {EndReason.CALLER_STALLED}

    run(scenario())


@pytest.mark.parametrize("reason", EndReason)
def test_what_the_process_itself_ends_is_warned_of(reason):
    """A request whose connection was shed was noted as its caller's doing."""
    levels = []
    sink = logger.add(lambda message: levels.append(message.record["level"].name))

    async def scenario():
        async with harness(checks_delivery=False) as h, caller(h) as (_, writer):
            writer.write(get(b"a"))
            await h.until_sent(b"a")
            h.conns[0]._end(reason)
            assert [end.reason for end in h.ends] == [reason]

    run(scenario())
    logger.remove(sink)
    callers = (EndReason.CALLER_LEFT, EndReason.CALLER_STALLED, EndReason.REQUEST_CUT)
    assert levels == ["INFO" if reason in callers else "WARNING"]


@pytest.mark.parametrize("how", ["resets", "closes", "half-closes", "stays"])
def test_the_line_tells_whose_end_ended_the_connection(how):
    async def scenario():
        async with harness(checks_delivery=False) as h, caller(h) as (_, writer):
            writer.write(get(b"a"))
            await h.until_sent(b"a")
            match how:
                case "resets":
                    sock = writer.get_extra_info("socket")
                    linger = struct.pack("ii", 1, 0)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.close()
                case "closes":
                    writer.close()
                case "half-closes":
                    writer.write_eof()
                    await h.until(lambda: h.conns[0]._stream.eof)
                    h.conns[0]._end(EndReason.STOPPED)
                case "stays":
                    h.conns[0]._end(EndReason.STOPPED)
            await h.until(lambda: h.ends)
            sides = {"half-closes": CallerSide.HALF_CLOSED, "stays": CallerSide.OPEN}
            assert [end.side for end in h.ends] == [sides.get(how, CallerSide.RESET)]

    run(scenario())
