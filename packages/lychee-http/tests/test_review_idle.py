"""Review of the incident LOST: what else gets lost on callers' connections."""

import asyncio
import os
import select
import socket
import struct
import time
from contextlib import suppress
from threading import Thread

import pytest
import uvloop

from lychee_http import CallerLimits, ResponseHead, TcpStream
from lychee_http.delivery import LINGER_S
from lychee_http.endings import EndReason
from lychee_http.exceptions import CallerGoneError
from lychee_http.listener import Listener
from lychee_http.messages import RequestHead
from lychee_http.parser import RequestParser
from lychee_http.pipelining import PipelinedConnection
from lychee_types.records import Endpoint
from lychee_types.timeouts import timeout_after_input

from .test_pipelining import (
    TEST_TIMEOUT_S,
    Harness,
    caller,
    get,
    harness,
    post,
    read_to_end,
    read_until,
    run,
)

BUSY_S = 0.3
"""Time for which the event loop is busy, in seconds."""

UPGRADE = (
    b"POST /b HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n"
    b"upgrade: x\r\ncontent-length: 1\r\n\r\nb"
)
ANSWER_BYTES = 50_000

CHUNKED = b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"


def reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class BodyReader(Harness):
    """Reads each request's body in parts, the second when released; its caller can't cancel it."""

    def __init__(self):
        super().__init__()
        self.parts = []
        self.outcome = None

    async def _handle(self, exchange):
        exchange.is_cancellable = False
        rest = exchange.rest_of_body(limit=1 << 20)
        self.parts.append(await anext(rest))
        await self._event(b"rest").wait()
        try:
            async for part in rest:
                self.parts.append(part)
            self.outcome = "whole"
        except CallerGoneError:
            self.outcome = "cut"
            raise


def test_a_body_whose_caller_leaves_has_no_hole():
    async def scenario():
        h = BodyReader()
        listener = Listener(endpoint=Endpoint(host="127.0.0.1", port=0), accept=h.accept)
        listener.start()
        h.endpoint = listener.endpoint
        async with caller(h) as (_, writer):
            writer.write(CHUNKED + b"1\r\na\r\n1\r\nb\r\n")
            await h.until(lambda: h.parts)
            writer.write(b"1\r\nc\r\n0\r\n\r\n")
            await h.until(lambda: h.conns[0]._stream.unread_bytes)
            reset(writer)
            await h.until(lambda: h.conns[0]._stream.lost)
            h.release(b"rest")
            await h.until(lambda: h.outcome)
        await listener.stop()
        assert (h.outcome, b"".join(h.parts)) in (("whole", b"abc"), ("cut", b"a"), ("cut", b"ab"))

    run(scenario())


def test_a_request_ahead_of_an_upgrade_with_a_body_is_answered():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            h.release(b"a")
            writer.write(get(b"a") + UPGRADE)
            answers = await read_to_end(reader)
            assert b"by a" in answers and answers.index(b"by a") < answers.index(b"400"), answers

    run(scenario())


def test_requests_ahead_of_an_upgrade_with_a_body_are_counted():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            h.release(b"a")
            writer.write(get(b"a") + UPGRADE)
            await read_to_end(reader)
            assert h.tally.read == 2, h.tally.summary()

    run(scenario())


def test_a_head_behind_a_body_is_not_too_large_wherever_its_bytes_are_split():
    async def scenario():
        async with harness() as h:
            h.limits = CallerLimits(head_bytes=16_384)
            async with caller(h) as (reader, writer):
                h.release(b"a", b"b")
                data = post(b"a", b"x" * 20_000) + get(b"b")
                await h.until(lambda: h.conns)
                for part in (data[:10], data[10:-10], data[-10:]):
                    h.conns[0]._stream.data_received(part)
                    await asyncio.sleep(0.05)
                answers = await read_until(reader, b"by b") if h.tally.answered > 1 else b""
                assert answers.count(b"HTTP/1.1 200") == 2, await reader.read(65_536)

    run(scenario())


def test_a_cut_answer_closes_the_connection_as_a_request_begins():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"cut"))
            await h.until_sent(b"cut")
            # Both reach the event loop in one turn.
            h.conns[0]._stream.data_received(post(b"b", b"x", length=2))
            h.release(b"cut")
            async with asyncio.timeout(3):
                await read_to_end(reader)

    run(scenario())


def test_a_connection_ends_as_a_request_begins_behind_one_that_nobody_answers():
    async def scenario():
        async with harness() as h, caller(h) as (_, writer):
            writer.write(get(b"a"))
            await h.until(lambda: h.conns)
            gone = asyncio.Event()

            async def handle(exchange):
                await gone.wait()
                raise CallerGoneError()

            conn = h.conns[0]
            conn._handle = handle
            await h.until(lambda: conn.under_way)
            # Both reach the event loop in one turn.
            conn._stream.data_received(get(b"b"))
            gone.set()
            async with asyncio.timeout(3):
                await h.until(lambda: h.tasks[0].done())

    run(scenario())


def test_an_answer_is_sent_whole_before_a_stopping_process_ends():
    sock, received = socket.socket(), bytearray()

    def read_late():
        time.sleep(LINGER_S + 0.5)
        with suppress(ConnectionError):
            while data := sock.recv(65_536):
                received.extend(data)

    async def serve_until_connection_ends():
        answered = asyncio.Event()

        async def handle(exchange):
            await exchange.send_head(ResponseHead(status=200, headers=(), length=ANSWER_BYTES))
            await exchange.send_chunk(b"x" * (ANSWER_BYTES - 40_000))
            await exchange.send_chunk(b"x" * 40_000)
            await exchange.finish()

        def connected(stream):
            own = stream.transport.get_extra_info("socket")
            own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            conn = PipelinedConnection(
                stream=stream, limits=CallerLimits(), handle=handle, refuse=handle
            )
            conn.closing = True
            tasks.append(asyncio.ensure_future(conn.run()))
            answered.set()

        async def accept(own):
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(lambda: TcpStream(on_connect=connected), own)

        tasks = []
        listener = Listener(endpoint=Endpoint(host="127.0.0.1", port=0), accept=accept)
        listener.start()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect((listener.endpoint.host, listener.endpoint.port))
        sock.sendall(get(b"a"))
        reader.start()
        await answered.wait()
        # As a stopping gateway: it waits for its connections, then the process ends.
        await asyncio.wait(tasks)
        await listener.stop()

    reader = Thread(target=read_late)
    uvloop.run(serve_until_connection_ends())
    reader.join()
    sock.close()
    assert len(received.partition(b"\r\n\r\n")[2]) == ANSWER_BYTES


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_a_caller_sees_the_close_of_an_idle_connection_while_the_loop_is_busy(runner):
    async def scenario():
        async with asyncio.timeout(TEST_TIMEOUT_S), harness() as h:
            h.limits = CallerLimits(idle_s=-1.2)
            async with caller(h) as (_, writer):
                await h.until(lambda: h.conns)
                seen = []
                stream, fd = h.conns[0]._stream, writer.get_extra_info("socket").fileno()

                def be_busy_after(end):
                    def end_and_be_busy():
                        end()
                        os.write(fd, get(b"a"))
                        poll = select.poll()
                        poll.register(fd, select.POLLIN | select.POLLRDHUP)
                        seen.append(poll.poll(BUSY_S * 1_000))

                    return end_and_be_busy

                # Whichever of them ends this side first.
                for name in ("end_writing", "close", "abort", "reset"):
                    setattr(stream, name, be_busy_after(getattr(stream, name)))
                await h.until(lambda: seen)
                assert seen[0], "the request is in the system, and the close comes after the work"
                assert not seen[0][0][1] & (select.POLLERR | select.POLLHUP), "a reset, no end"

    runner(scenario())


def test_a_head_whose_rest_is_in_the_system_is_not_rejected():
    async def scenario():
        async with harness() as h:
            h.limits = CallerLimits(head_s=0.3)
            async with caller(h) as (reader, writer):
                data = get(b"a")
                h.release(b"a")
                writer.write(data[:10])
                await h.until(lambda: h.conns and h.conns[0]._reader.in_head)
                fd = writer.get_extra_info("socket").fileno()

                def receive_and_be_busy():
                    h.conns[0]._stream.data_received(data[10:20])
                    os.write(fd, data[20:])
                    time.sleep(BUSY_S)

                asyncio.get_running_loop().call_later(0.1, receive_and_be_busy)
                assert b"200" in await read_until(reader, b"\r\n\r\n")

    run(scenario())


def test_requests_under_way_are_those_that_the_tally_misses():
    async def scenario():
        h = BodyReader()
        listener = Listener(endpoint=Endpoint(host="127.0.0.1", port=0), accept=h.accept)
        listener.start()
        h.endpoint = listener.endpoint
        async with caller(h) as (_, writer):
            writer.write(CHUNKED + b"1\r\na\r\n")
            await h.until(lambda: h.parts)
            reset(writer)
            await h.until(lambda: h.conns[0]._stream.lost)
            counts = h.tally.open, h.conns[0].under_way
            h.release(b"rest")
            await h.until(lambda: h.tasks[0].done())
        await listener.stop()
        assert counts[0] == counts[1]

    run(scenario())


async def end_with_closing_answer(h, reader, writer):
    writer.write(get(b"a"))
    await h.until_sent(b"a")
    h.conns[0].closing = True
    h.release(b"a")
    assert b"by a" in await read_to_end(reader)


def test_dropped_bytes_are_those_of_no_request_that_was_read():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            await end_with_closing_answer(h, reader, writer)
            writer.write(get(b"b") + b"GET /c")
            writer.write_eof()
            await h.until(lambda: h.tasks[0].done())
            assert h.tally.read == 2
            assert h.tally.dropped_bytes == {EndReason.CLOSING_ANSWER: len(b"GET /c")}

    run(scenario())


def test_a_part_of_a_request_behind_a_closing_answer_is_counted_as_dropped():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a") + b"GET /c")
            await h.until_sent(b"a")
            h.conns[0].closing = True
            h.release(b"a")
            await read_to_end(reader)
            writer.close()
            await h.until(lambda: h.tasks[0].done())
            assert h.tally.dropped_bytes.total() == len(b"GET /c"), h.tally.summary()

    run(scenario())


def test_many_small_requests_behind_a_closing_answer_make_one_short_report():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            await end_with_closing_answer(h, reader, writer)
            writer.write(b"GET / HTTP/1.1\r\nhost: xxxxxx\r\n\r\n" * 32_000)
            writer.write_eof()
            last, longest = time.monotonic(), 0.0
            while not h.tasks[0].done():
                await asyncio.sleep(0)
                now = time.monotonic()
                last, longest = now, max(longest, now - last)
            size = max(len(end.requests) for end in h.ends)
            assert size <= 1_000, f"{size} requests in one line, longest turn {longest:.2f} s"

    run(scenario())


def test_a_caller_that_goes_on_reading_gets_its_whole_answer():
    async def scenario():
        async with harness() as h:
            h.limits = CallerLimits(stall_s=0.5)
            async with caller(h) as (reader, writer):
                h.release(b"big")
                writer.write(get(b"big"))
                received = 0
                while received < 32_000_000:
                    data = await reader.read(1 << 17)
                    received += len(data)
                    assert data, f"cut after {received} bytes: {h.ends}"
                    await asyncio.sleep(0.005)

    run(scenario())


def test_input_that_goes_on_arriving_does_not_hold_a_block_of_a_busy_loop_past_its_time():
    async def scenario():
        late_turns = []

        def work(ends_at):
            late_turns.append(time.monotonic() > ends_at + 0.25)
            time.sleep(0.01)

        async def be_busy(ends_at):
            while True:
                work(ends_at)
                await asyncio.sleep(0)

        task = asyncio.ensure_future(be_busy(time.monotonic() + 0.1))
        with suppress(TimeoutError):
            async with timeout_after_input(0.1, has_input=lambda: True):
                await asyncio.Event().wait()
        task.cancel()
        assert sum(late_turns) <= 4, "turns that began 0.25 s after its time"

    run(scenario())


def test_many_requests_to_upgrade_in_one_read_are_parsed():
    parser = RequestParser(head_limit=65_536)
    parser.feed(get(b"a", b"connection: upgrade", b"upgrade: x") * 600)
    heads = 0
    while parser.has_next_event:
        heads += isinstance(parser.next_event(), RequestHead)
    assert heads == 600
