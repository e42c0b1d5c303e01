"""Paths on which a request still ends otherwise than with one answer (review of LOST)."""

import asyncio

import pytest

from lychee_http import CallerConnection, ResponseHead
from lychee_http.callers import CallerConnections
from lychee_http.listener import Listener
from lychee_types.records import Endpoint

from .test_pipelining import (
    Harness,
    caller,
    get,
    harness,
    post,
    read_to_end,
    read_until,
    run,
    unanswered,
)


def test_nothing_is_passed_on_after_its_caller_has_left():
    async def scenario():
        names = [b"r%d" % n for n in range(24)]
        async with harness() as h, caller(h) as (_, writer):
            writer.write(b"".join(get(name) for name in names))
            await h.until_sent(*names[:16])
            writer.transport.abort()
            await h.until(lambda: len(h.cancelled) >= 16)
            await asyncio.sleep(0.1)
            assert h.sent == names[:16]

    run(scenario())


def test_a_caller_that_half_closes_and_then_closes_cancels_its_requests():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a"))
            writer.write_eof()
            await h.until_sent(b"a")
            await reader.readexactly(9)
            writer.close()
            await h.until(lambda: h.cancelled == [b"a"])

    run(scenario())


def test_a_caller_that_closes_soon_after_its_half_close_cancels_its_requests():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a"))
            writer.write_eof()
            await h.until_sent(b"a")
            await reader.readexactly(2)
            writer.close()
            await h.until(lambda: h.cancelled == [b"a"])

    run(scenario())


def test_a_half_closed_callers_stream_that_pauses_is_whole():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"stream") + get(b"b"))
            await read_until(reader, b"begin")
            writer.write_eof()
            await asyncio.sleep(0.6)
            h.release(b"stream", b"b")
            data = await read_to_end(reader)
            assert b"end of stream\r\n0\r\n\r\n" in data and b"by b" in data, unanswered(h)

    run(scenario())


def test_a_handler_that_is_cancelled_does_not_pass_the_next_answer_off_as_its_own():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a") + get(b"b", b"connection: close"))
            await h.until_sent(b"a", b"b")
            h.conns[0]._exchanges[0].task.cancel()
            h.release(b"b")
            data = await read_to_end(reader)
            assert b"by b" not in data and h.ends, data

    run(scenario())


def test_a_fault_after_an_answer_leaves_those_behind_alone():
    class Faulty(Harness):
        async def _handle(self, exchange):
            await super()._handle(exchange)
            if exchange.head.target == b"/a":
                raise RuntimeError("after the answer")

    async def scenario():
        async with harness() as h:
            h.__class__ = Faulty
            async with caller(h) as (reader, writer):
                writer.write(get(b"a") + get(b"b", b"connection: close"))
                await h.until_sent(b"a", b"b")
                h.release(b"a")
                await read_until(reader, b"by a")
                await asyncio.sleep(0.05)
                h.release(b"b")
                assert b"by b" in await read_to_end(reader), unanswered(h)

    run(scenario())


def test_a_connection_stays_open_after_two_bodies_that_were_sent_at_once():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            h.release(b"p1", b"p2", b"p3")
            writer.write(post(b"p1", b"one") + post(b"p2", b"two")[:-3])
            data = await read_until(reader, b"by p1")
            await asyncio.sleep(0.05)
            writer.write(b"two")
            data += await read_until(reader, b"by p2")
            assert b"connection: close" not in data

    run(scenario())


@pytest.mark.parametrize("body", [b"", b"abc"], ids=["no body", "body"])
def test_a_continue_never_follows_the_beginning_of_an_answer(body):
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            expecting = post(b"p", body, length=3).replace(
                b"content-length", b"expect: 100-continue\r\ncontent-length"
            )
            writer.write(get(b"a") + expecting)
            await h.until_sent(b"a")
            await asyncio.sleep(0.05)
            writer.write_eof()
            await asyncio.sleep(0.2)
            h.release(b"a", b"p")
            data = await read_to_end(reader)
            assert b"HTTP/1.1 HTTP/1.1" not in data and data.count(b"by a") == 1, data
            assert not data.endswith(b"HTTP/1.1 "), data

    run(scenario())


def test_the_beginning_of_an_answer_never_stands_alone():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a"))
            writer.write_eof()
            await reader.readexactly(9)
            h.tasks[0].cancel()
            data = await read_to_end(reader)
            assert data, "the caller got b'HTTP/1.1 ' and the end of the connection"

    run(scenario())


def test_a_head_only_request_between_others_keeps_the_order():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            head = get(b"b").replace(b"GET", b"HEAD")
            writer.write(get(b"a") + head + get(b"c", b"connection: close"))
            await h.until_sent(b"a", b"b", b"c")
            h.release(b"c", b"b", b"a")
            data = await read_to_end(reader)
            assert data.count(b"HTTP/1.1 200") == 3 and b"by b" not in data
            assert data.endswith(b"by c")

    run(scenario())


def test_a_reset_in_the_middle_of_answers_cancels_the_rest():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a") + get(b"b") + get(b"c"))
            await h.until_sent(b"a", b"b", b"c")
            h.release(b"a")
            await read_until(reader, b"by a")
            writer.transport.abort()
            await h.until(lambda: sorted(h.cancelled) == [b"b", b"c"])
            assert [names for _, names in unanswered(h)] == [["b", "c"]]

    run(scenario())


def test_more_requests_than_are_held_at_once_are_all_answered_in_order():
    async def scenario():
        names = [b"r%02d" % n for n in range(40)]
        async with harness() as h, caller(h) as (reader, writer):
            h.release(*names)
            writer.write(b"".join(get(name) for name in names))
            writer.write_eof()
            data = await read_to_end(reader)
            at = [data.index(b"by " + name) for name in names]
            assert at == sorted(at) and len(h.sent) == 40

    run(scenario())


def test_a_handler_whose_own_connection_breaks_is_answered_where_callers_do_not_pipeline():
    async def handle(head, conn: CallerConnection):
        raise ConnectionResetError("a server's connection")

    async def refuse(exc, conn):
        await conn.send(ResponseHead(status=exc.status, headers=()), b"")

    async def answer_failure(conn):
        await conn.send(ResponseHead(status=500, headers=()), b"")

    async def scenario():
        conns = CallerConnections(
            handle=handle,
            refuse=refuse,
            answer_failure=answer_failure,
            on_invariant_error=lambda exc: None,
        )
        listener = Listener(endpoint=Endpoint(host="127.0.0.1", port=0), accept=conns.accept)
        listener.start()
        address = listener.endpoint
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(get(b"a"))
        data = await read_to_end(reader)
        writer.close()
        await listener.stop()
        assert data.startswith(b"HTTP/1.1 500"), data

    run(scenario())
