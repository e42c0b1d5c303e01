"""A kept connection goes by the limits in force, not by those of the time when it opened.

CONFIG: a proper request was refused with 431 as only an older configuration asked.
"""

import asyncio
from dataclasses import dataclass

import pytest

from lychee_http import TcpStream
from lychee_http.caller_memory import CONNECTION_BYTES, CallerMemory, MemoryBounds

from .test_pipelining import Harness, caller, get, harness, read_to_end, read_until, run

LARGE = 65_536
SMALL = 4_096


@dataclass
class ChangingLimits:
    head_bytes: int = SMALL
    head_s: float = 5.0
    idle_s: float = 60.0
    stall_s: float = 10.0


def large(name, *headers):
    return get(name, b"x-filler: " + b"f" * 24_000, *headers)


LAST = b"connection: close"


async def keep(h, reader, writer):
    """Let one small request be answered on the connection."""
    h.release(b"first")
    writer.write(get(b"first"))
    await read_until(reader, b"by first")


@pytest.mark.parametrize(("before", "after", "status"), [(SMALL, LARGE, 200), (LARGE, SMALL, 431)])
def test_a_kept_connection_goes_by_a_changed_limit_of_heads(before, after, status):
    async def scenario():
        async with harness() as h:
            h.limits = ChangingLimits(head_bytes=before)
            async with caller(h) as (reader, writer):
                await keep(h, reader, writer)
                h.limits.head_bytes = after
                h.release(b"second")
                writer.write(large(b"second", LAST))
                assert (await read_to_end(reader)).startswith(b"HTTP/1.1 %d " % status)

    run(scenario())


@pytest.mark.parametrize("is_first", [True, False])
@pytest.mark.parametrize(("before", "after"), [(SMALL, LARGE), (LARGE, SMALL)])
def test_a_head_that_is_half_read_under_a_change_gets_the_larger_limit(before, after, is_first):
    async def scenario():
        async with harness() as h:
            h.limits = ChangingLimits(head_bytes=before)
            async with caller(h) as (reader, writer):
                if not is_first:
                    await keep(h, reader, writer)
                head = large(b"half", LAST)
                writer.write(head[:2_000])
                await h.until(lambda: h.conns and h.conns[0]._reader.in_head)
                h.limits.head_bytes = after
                h.release(b"half")
                writer.write(head[2_000:])
                assert (await read_to_end(reader)).startswith(b"HTTP/1.1 200 ")

    run(scenario())


@pytest.mark.parametrize(("before", "after"), [(0.3, 5.0), (5.0, 0.3)])
def test_a_head_that_is_half_read_under_a_change_gets_the_longer_time(before, after):
    async def scenario():
        async with harness() as h:
            h.limits = ChangingLimits(head_s=before)
            async with caller(h) as (reader, writer):
                head = get(b"half", LAST)
                writer.write(head[:20])
                await h.until(lambda: h.conns and h.conns[0]._reader.in_head)
                h.limits.head_s = after
                await asyncio.sleep(0.8)
                h.release(b"half")
                writer.write(head[20:])
                assert (await read_to_end(reader)).startswith(b"HTTP/1.1 200 ")

    run(scenario())


def test_a_kept_connection_goes_by_a_shortened_time_for_heads():
    async def scenario():
        async with harness() as h:
            h.limits = ChangingLimits(head_s=60.0)
            async with caller(h) as (reader, writer):
                await keep(h, reader, writer)
                h.limits.head_s = 0.2
                writer.write(get(b"half")[:20])
                assert (await read_to_end(reader)).startswith(b"HTTP/1.1 408 ")

    run(scenario())


class CountedHarness(Harness):
    """A harness whose connections are counted by an account."""

    def __init__(self, memory):
        super().__init__()
        self.memory = memory

    async def accept(self, sock):
        holding = self.memory.open()
        await asyncio.get_running_loop().connect_accepted_socket(
            lambda: TcpStream(on_connect=self._connected, holding=holding), sock
        )


def test_a_larger_limit_on_many_kept_connections_stays_within_the_account():
    count, bound = 40, 40 * CONNECTION_BYTES + 800_000

    class Turns:
        async def take(self):
            await asyncio.sleep(0)

    async def scenario():
        loop = asyncio.get_running_loop()
        memory = CallerMemory(
            bounds=MemoryBounds(held_bytes=bound), turns=Turns(), defer=loop.call_soon
        )
        async with harness(lambda: CountedHarness(memory), checks_delivery=False) as h:
            h.limits = ChangingLimits()
            writers = []
            for _ in range(count):
                reader, writer = await asyncio.open_connection(h.endpoint.host, h.endpoint.port)
                writers.append(writer)
                await keep(h, reader, writer)
            h.limits.head_bytes = 4 * LARGE
            for writer in writers:
                writer.write(get(b"half", b"x-filler: " + b"f" * 2 * LARGE)[:-2])
            await asyncio.sleep(0.5)
            held = memory.held
            for writer in writers:
                writer.close()
            return held

    # Without the account they would hold more than 5 MB.
    assert run(scenario()) <= bound
