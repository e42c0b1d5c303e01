"""Streamed responses: bounded memory, cancellation, and truncation that callers can detect."""

import asyncio
from time import sleep

import pytest

from .conftest import FakeServer, open_harness, response, run

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
BLOCK = b"x" * 65_536
BLOCKS = 1_000


def send_and_sleep(*parts):
    """Return a script that writes bytes and sleeps for numbers, then closes."""

    async def script(request):
        async def step(writer):
            for part in parts:
                if isinstance(part, bytes):
                    writer.write(part)
                    await writer.drain()
                else:
                    await asyncio.sleep(part)
            return b""

        return step

    return script


def endless(counter):
    """Return a script that writes blocks and counts them in ``counter``."""

    async def script(request):
        async def step(writer):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (BLOCKS * len(BLOCK)))
            for _ in range(BLOCKS):
                writer.write(BLOCK)
                await writer.drain()
                counter.append(1)
            return None

        return step

    return script


def request_bytes(target=b"/guides/1", version=b"1.1", method=b"GET"):
    return method + b" " + target + b" HTTP/" + version + b"\r\nHost: h\r\n\r\n"


def test_a_large_stream_arrives_whole():
    async def scenario():
        async with open_harness(FakeServer("g1", "guides", endless([]))) as harness:
            reply = await harness.get(b"/guides/1")
            assert len(reply.body) == BLOCKS * len(BLOCK)

    run(scenario())


def test_a_caller_that_does_not_read_slows_the_server_down():
    async def scenario():
        written = []
        server = FakeServer("g1", "guides", endless(written))
        async with open_harness(server) as harness:
            caller = await harness.caller()
            caller.reader._limit = 1_024
            caller.write(request_bytes())
            await harness.wait_until(lambda: written)
            last_count = -1
            while last_count != len(written):
                last_count = len(written)
                await asyncio.sleep(0.2)
            assert len(written) < BLOCKS / 2
            wire = next(iter(harness.gateway._callers._tasks.values()))._stream
            assert wire.unsent < 8 * len(BLOCK)
            await harness.wait_until(lambda: server.closed)

    run(scenario())


def test_a_disconnected_caller_ends_the_stream_of_the_server():
    async def scenario():
        written = []
        server = FakeServer("g1", "guides", endless(written))
        async with open_harness(server) as harness:
            caller = await harness.caller()
            caller.write(request_bytes())
            await caller.reader.readexactly(100_000)
            caller.close()
            await harness.wait_until(lambda: server.closed)
            assert len(written) < BLOCKS
            await harness.wait_until(lambda: len(harness.gateway._callers) == 0)

    run(scenario())


@pytest.mark.parametrize(
    ("script", "received"),
    [
        (send_and_sleep(CHUNKED, b"5\r\nhello\r\n"), b"5\r\nhello\r\n"),
        (send_and_sleep(CHUNKED, b"5\r\nhel"), b""),
        (send_and_sleep(SIZED, b"hello"), b"hello"),
        (send_and_sleep(SIZED, b"hello", 1.5, b"x" * 95), b"hello"),
        (send_and_sleep(CHUNKED, b"5\r\nhello\r\n", b"nonsense\r\n"), b"5\r\nhello\r\n"),
    ],
    ids=["chunks", "inside a chunk", "length", "a long pause", "malformed chunk"],
)
def test_a_truncated_stream_never_looks_complete(script, received):
    async def scenario():
        async with open_harness(FakeServer("g1", "guides", script)) as harness:
            caller = await harness.caller()
            caller.write(request_bytes())
            await caller.reader.readuntil(b"\r\n\r\n")
            rest = b""
            try:
                while data := await caller.reader.read(1_000):
                    rest += data
            except ConnectionError:
                pass
            assert not rest.endswith(b"0\r\n\r\n") and len(rest) < 100
            assert received == b"" or rest in (received, b"")

    run(scenario())


def test_an_http_1_0_caller_sees_a_truncated_stream_as_a_reset():
    async def scenario():
        script = send_and_sleep(CHUNKED, b"5\r\nhello\r\n", 0.1)
        async with open_harness(FakeServer("g1", "guides", script)) as harness:
            caller = await harness.caller()
            caller.write(request_bytes(version=b"1.0"))
            with pytest.raises(ConnectionError):
                while await caller.reader.read(1_000):
                    pass

    run(scenario())


def test_a_stream_may_last_longer_than_its_deadline_without_a_long_pause():
    async def scenario():
        parts = [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"]
        for _ in range(4):
            parts += [0.4, b"x"]
        async with open_harness(FakeServer("g1", "guides", send_and_sleep(*parts))) as harness:
            assert (await harness.get(b"/guides/1")).body == b"xxxx"

    run(scenario())


def test_a_stream_that_breaks_before_its_head_is_retried():
    async def scenario():
        attempts = []

        async def script(request):
            attempts.append(request)
            if len(attempts) == 1:
                return lambda writer: asyncio.sleep(0, b"")
            return response(b"guide")

        async with open_harness(FakeServer("g1", "guides", script)) as harness:
            assert (await harness.get(b"/guides/1")).body == b"guide"
            head = await harness.get(b"/guides/1", method=b"HEAD")
            assert (head.status, head.body) == (200, b"")

    run(scenario())


def test_a_part_that_is_there_when_the_pause_has_lasted_too_long_is_passed_on():
    def write_and_block(writer):
        writer.write(b"x" * 95)
        sleep(1.2)

    async def script(request):
        async def step(writer):
            writer.write(SIZED + b"hello")
            await asyncio.sleep(0.2)
            return write_and_block(writer)

        return step

    async def scenario():
        async with open_harness(FakeServer("g1", "guides", script)) as harness:
            reply = await harness.get(b"/guides/1")
            assert reply.body == b"hello" + b"x" * 95

    run(scenario())
