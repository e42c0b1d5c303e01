"""`side` tells an end by this process, or a lost way, from a reset by the caller's system."""

import asyncio

import pytest

from lychee_http import TcpStream
from lychee_http.caller_side import CallerSide, caller_side

from .test_pipelining import caller, get, harness, read_to_end, read_until, run


class FakeTransport:
    """A transport that its event loop has closed after an error of the socket."""

    def set_write_buffer_limits(self, high):
        pass

    def is_closing(self):
        return True


@pytest.mark.parametrize("exc", [TimeoutError(110, "timed out"), OSError(113, "no route to host")])
def test_a_lost_way_is_no_reset_by_the_caller(exc):
    async def scenario():
        stream = TcpStream()
        stream.connection_made(FakeTransport())
        stream.connection_lost(exc)
        return caller_side(stream)

    assert asyncio.run(scenario()) is not CallerSide.RESET


def test_requests_that_cross_a_close_by_this_process_are_told_so():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a"))
            await h.until_sent(b"a")
            h.conns[0].closing = True
            h.release(b"a")
            await read_until(reader, b"by a")
            await h.until(lambda: h.conns[0]._stream._is_writing_ended)
            writer.write(get(b"b"))
            await read_to_end(reader)
            await h.until(lambda: h.tasks[0].done())
            assert [end.skipped for end in h.ends] == [1]
            assert [end.side for end in h.ends] == [CallerSide.CLOSED_HERE]

    run(scenario())
