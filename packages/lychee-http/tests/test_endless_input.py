"""What a server sends takes a bounded amount of memory and of work, also if it is no answer."""

import asyncio
import socket
import tracemalloc

import pytest
import uvloop

from lychee_http import RequestHead, TcpStream
from lychee_http.caller_memory import CONNECTION_BYTES, CallerMemory, MemoryBounds
from lychee_http.parser import SLICE_BYTES, EndOfMessage, MalformedError, RequestParser
from lychee_http.pool import ServerPool
from lychee_http.reader import RequestReader
from lychee_http.response_parser import ResponseParser
from lychee_types.records import Endpoint

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
MANY_BYTES = 4_000_000
BLOCK = 65_536


def events_of(data):
    """Return the events of a response, each read as soon as it is there."""
    parser = ResponseParser(head_limit=BLOCK, to_head=False)
    events = []
    for begin in range(0, len(data), BLOCK):
        parser.feed(data[begin : begin + BLOCK])
        while (event := parser.next_event()) is not None:
            events.append(event)
    return events


@pytest.mark.parametrize("size", [b"1", b"00000001"])
def test_small_chunks_are_a_body_and_are_passed_on_together(size):
    data = HEAD + (size + b"\r\na\r\n") * 100_000 + b"0\r\n\r\n"
    _, *parts, end = events_of(data)
    assert b"".join(parts) == b"a" * 100_000
    assert len(parts) <= len(data) // BLOCK + 1
    assert isinstance(end, EndOfMessage)


def test_a_large_extension_of_each_small_chunk_is_no_body():
    with pytest.raises(MalformedError, match="beside the body"):
        events_of(HEAD + (b"1;" + b"x" * 4_000 + b"\r\na\r\n") * 100)


def test_headers_without_values_do_not_fill_the_memory():
    with pytest.raises(MalformedError, match="more than 1000 headers"):
        events_of(b"HTTP/1.1 200 OK\r\n" + b"x:\r\n" * 12_000)


def test_a_callers_headers_without_values_do_not_fill_the_memory():
    data = b"GET / HTTP/1.1\r\n" + b"x:\r\n" * 2_000_000
    tracemalloc.start()
    try:
        parser = RequestParser(head_limit=BLOCK)
        parser.feed(data)
        with pytest.raises(MalformedError, match="the head is too large") as caught:
            parser.next_event()
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert caught.value.status == 431
    # The headers of a head that is one slice too large.
    assert peak < 100 * (BLOCK + SLICE_BYTES) // 4


def test_a_callers_head_of_short_lines_within_the_limit_is_served():
    parser = RequestParser(head_limit=16_384)
    lines = (16_384 - 20) // 4
    parser.feed(b"GET / HTTP/1.1\r\n" + b"x:\r\n" * lines + b"\r\n")
    assert len(parser.next_event().headers) == lines


def test_a_parser_between_requests_keeps_nothing_of_the_last_head():
    data = b"GET / HTTP/1.1\r\n" + b"x:\r\n" * 4_000 + b"\r\n"
    parser = RequestParser(head_limit=16_384)
    tracemalloc.start()
    try:
        parser.feed(data)
        assert len(parser.next_event().headers) == 4_000
        assert isinstance(parser.next_event(), EndOfMessage)
        kept, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # Beside what the interpreter keeps of freed tuples, at most 2,000 of 56 bytes.
    assert kept < 130_000


def caller_events(data, *, head_limit=16_384):
    """Return the events of a caller's bytes, and how many bytes were counted at most."""
    memory = CallerMemory(bounds=MemoryBounds(), turns=None, defer=lambda work: None)
    holding = memory.open()
    parser = RequestParser(head_limit=head_limit, holding=holding)
    events = []
    for begin in range(0, len(data), BLOCK):
        parser.feed(data[begin : begin + BLOCK])
        while (event := parser.next_event()) is not None:
            events.append(event)
    assert holding.held == CONNECTION_BYTES, "what was taken is still counted"
    return events, memory.peak - CONNECTION_BYTES


CHUNKED_HEAD = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("size", [b"1", b"00000001", b"1;a=b"])
def test_a_callers_chunks_of_one_byte_are_a_body_and_take_little_memory(size):
    data = CHUNKED_HEAD + (size + b"\r\na\r\n") * 100_000 + b"0\r\n\r\n"
    (_, *parts, end), peak = caller_events(data)
    assert b"".join(parts) == b"a" * 100_000
    assert isinstance(end, EndOfMessage)
    assert len(parts) <= len(data) // SLICE_BYTES + 2
    assert peak < 2 * BLOCK


@pytest.mark.parametrize(
    ("again", "status"),
    [(b"1;" + b"x" * 4_000 + b"\r\na\r\n", 400), (b"0\r\n" + b"x: y\r\n" * 40_000, 431)],
    ids=["extensions", "trailers"],
)
def test_a_callers_framing_without_end_is_no_body(again, status):
    with pytest.raises(MalformedError) as caught:
        caller_events(CHUNKED_HEAD + b"1\r\na\r\n" + again * 100)
    assert caught.value.status == status


def test_pipelined_heads_are_parsed_as_they_are_taken():
    head = b"GET / HTTP/1.1\r\n" + b"x:\r\n" * 700 + b"\r\n"
    memory = CallerMemory(bounds=MemoryBounds(), turns=None, defer=lambda work: None)
    parser = RequestParser(head_limit=16_384, holding=memory.open())
    parser.feed(head * 40)
    parser.next_event()
    # All 40 would count for more than 5 MB.
    assert memory.held < CONNECTION_BYTES + len(head) * 40 + 1_000_000
    events = [parser.next_event() for _ in range(79)]
    assert sum(isinstance(event, EndOfMessage) for event in events) == 40
    assert parser.next_event() is None


def test_bytes_that_are_discarded_behind_a_malformed_head_are_not_kept():
    reader = RequestReader(stream=TcpStream(), head_limit=lambda: BLOCK)
    reader.discard(b"no request\r\n\r\n")
    tracemalloc.start()
    try:
        for _ in range(MANY_BYTES // BLOCK):
            reader.discard(bytes(BLOCK))
        kept, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept < 2 * BLOCK


def pour_into(use):
    """Run a test with a server that answers two requests and then pours bytes until it is cut."""

    async def scenario():
        sent, is_closed = 0, asyncio.Event()

        async def pour(reader, writer):
            nonlocal sent
            try:
                for _ in range(2):
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na")
                await asyncio.sleep(0.05)
                while sent < MANY_BYTES:
                    writer.write(b"x" * BLOCK)
                    await writer.drain()
                    sent += BLOCK
            except OSError:
                is_closed.set()

        server = await asyncio.start_server(pour, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            pool = ServerPool(endpoint=Endpoint(host="127.0.0.1", port=port))
            await use(pool, is_closed)
            pool.close()

    async def bounded():
        async with asyncio.timeout(20):
            await scenario()

    uvloop.run(bounded())


async def ask_through(pool):
    """Ask on a connection of a pool, return it there, and return which it was."""
    conn = await pool.acquire(timeout_s=1.0)
    with pool.release_after_use(conn):
        conn.send(RequestHead(method=b"GET", target=b"/", headers=()), b"")
        await conn.read_head()
        while await conn.read_chunk():
            pass
    return conn


def test_bytes_on_an_idle_connection_end_it_and_an_answer_does_not():
    async def use(pool, is_closed):
        conns = [await ask_through(pool) for _ in range(2)]
        assert conns[0] is conns[1]
        assert len(pool) == 1
        await is_closed.wait()
        assert len(pool) == 0

    pour_into(use)


def test_bytes_that_wait_in_the_system_are_not_read_at_once():
    async def scenario():
        near, far = socket.socketpair()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MANY_BYTES)
        far.setblocking(False)
        # More than one read of the event loop takes, before it can read at all.
        sent = far.send(b"x" * MANY_BYTES)
        assert sent > 3 * BLOCK
        loop = asyncio.get_running_loop()
        _, stream = await loop.create_connection(TcpStream, sock=near)
        received = 0
        while received < sent:
            data = await stream.read()
            assert data == b"x" * len(data)
            assert len(data) < 2 * BLOCK
            received += len(data)
        stream.abort()
        far.close()

    uvloop.run(scenario())
