"""Each whole request on a caller's connection gets one answer, unless its caller ended it."""

import asyncio
import socket
from contextlib import asynccontextmanager, suppress

import pytest
import uvloop

from lychee_http import CallerLimits, ResponseHead, TcpStream, idle_wait, pipelining
from lychee_http.endings import EndReason
from lychee_http.listener import Listener
from lychee_http.pipelining import PipelinedConnection
from lychee_http.tally import RequestTally
from lychee_types.records import Endpoint

TEST_TIMEOUT_S = 10

BIG_BYTES = 32_000_000
"""More than the buffers of a connection hold."""


def run(work):
    async def bounded():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await work

    return uvloop.run(bounded())


def get(name, *headers):
    lines = b"".join(header + b"\r\n" for header in headers)
    return b"GET /%b HTTP/1.1\r\nhost: x\r\n%b\r\n" % (name, lines)


def post(name, body, *, length=None):
    length = len(body) if length is None else length
    return b"POST /%b HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n%b" % (name, length, body)


class AskedLimits:
    """Limits whose idle time is asked for each time."""

    def __init__(self, idle_s):
        self._ask = idle_s
        usual = CallerLimits()
        self.head_bytes, self.head_s, self.stall_s = usual.head_bytes, usual.head_s, usual.stall_s

    @property
    def idle_s(self):
        return self._ask()


class Harness:
    """A listener whose requests are answered when the test releases them.

    A target that begins with ``/fail`` raises, ``/lost`` raises a connection error, ``/cut`` breaks
    its answer off, and ``/stream`` sends the second half of its answer when released.
    """

    def __init__(self):
        self.conns = []
        self.tasks = []
        self.sent = []
        self.cancelled = []
        self.ends = []
        self.idle_s = None
        self.idle_answer = None
        self.tally = RequestTally(on_end=self.ends.append)
        self.limits = CallerLimits()
        self._released = {}

    async def accept(self, sock):
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(lambda: TcpStream(on_connect=self._connected), sock)

    def _connected(self, stream):
        conn = PipelinedConnection(
            stream=stream,
            limits=self.limits if self.idle_s is None else AskedLimits(self.idle_s),
            handle=self._handle,
            refuse=self._refuse,
            tally=self.tally,
            tells_idle=self.idle_s is not None,
            idle_answer=self.idle_answer,
        )
        self.conns.append(conn)
        self.tasks.append(asyncio.ensure_future(conn.run()))

    def release(self, *names):
        for name in names:
            self._event(name).set()

    def _event(self, name):
        return self._released.setdefault(name, asyncio.Event())

    async def _handle(self, exchange):
        name = exchange.head.target[1:]
        exchange.request_id = name.decode()
        body, _ = await exchange.read_body(max_bytes=1 << 20)
        exchange.record_sending(server="s1", is_carried=False)
        self.sent.append(name)
        try:
            if name.startswith(b"stream"):
                await exchange.send_head(ResponseHead(status=200, headers=()))
                await exchange.send_chunk(b"begin ")
            await self._event(name).wait()
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        if name.startswith(b"fail"):
            raise RuntimeError("a fault")
        if name.startswith(b"lost"):
            raise ConnectionResetError("a server's connection")
        if name.startswith(b"cut"):
            await exchange.send_head(ResponseHead(status=200, headers=()))
            exchange.truncate()
        elif name == b"big":
            await exchange.send(ResponseHead(status=200, headers=()), b"x" * BIG_BYTES)
        elif name.startswith(b"stream"):
            await exchange.send_chunk(b"end of " + name)
            await exchange.finish()
        else:
            await exchange.send(ResponseHead(status=200, headers=()), b"by " + name + body)

    async def _refuse(self, exchange, exc):
        await exchange.send(ResponseHead(status=exc.status, headers=()), exc.message.encode())

    async def until(self, condition):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)

    async def until_sent(self, *names):
        await self.until(lambda: set(names) <= set(self.sent))


@asynccontextmanager
async def harness(kind=Harness, *, checks_delivery=True):
    """Serve on a new address until the block ends, and check the counts.

    :param kind: class of the harness.
    :param checks_delivery: False where a test itself ends connections with answers on their way.
    """
    h = kind()
    listener = Listener(endpoint=Endpoint(host="127.0.0.1", port=0), accept=h.accept)
    listener.start()
    h.endpoint = listener.endpoint
    try:
        yield h
    finally:
        await listener.stop()
        for task in h.tasks:
            task.cancel()
        await asyncio.gather(*h.tasks, return_exceptions=True)
        assert h.tally.open == 0, h.tally.summary()
        lost = [reason for reason in h.tally.undelivered if not reason.is_callers]
        assert not (lost and checks_delivery), h.tally.summary()


@asynccontextmanager
async def caller(h):
    reader, writer = await asyncio.open_connection(h.endpoint.host, h.endpoint.port)
    try:
        yield reader, writer
    finally:
        writer.close()
        with suppress(OSError):
            await writer.wait_closed()


async def read_to_end(reader):
    data = b""
    with suppress(ConnectionResetError):
        while chunk := await reader.read(65_536):
            data += chunk
    return data


async def read_until(reader, text):
    data = b""
    while text not in data:
        chunk = await reader.read(65_536)
        assert chunk, data
        data += chunk
    return data


def unanswered(h):
    return [(end.reason, [r.request for r in end.requests]) for end in h.ends]


def test_a_caller_that_ends_only_its_sending_side_gets_all_its_answers():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a") + get(b"b"))
            writer.write_eof()
            await h.until_sent(b"a", b"b")
            await asyncio.sleep(0.2)
            h.release(b"a", b"b")
            data = await read_to_end(reader)
            assert data.count(b"HTTP/1.1 200") == 2
            assert data.index(b"by a") < data.index(b"by b")
            assert not h.ends

    run(scenario())


def test_a_half_closed_callers_stream_is_whole():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"stream") + get(b"b"))
            writer.write_eof()
            await read_until(reader, b"begin")
            h.release(b"stream", b"b")
            data = await read_to_end(reader)
            assert b"end of stream\r\n0\r\n\r\n" in data and b"by b" in data

    run(scenario())


@pytest.mark.parametrize(
    "sent",
    [get(b"a"), get(b"a") + get(b"b"), get(b"a") + b"GET /part"],
    ids=["one", "two", "one and a part"],
)
def test_a_caller_that_closes_cancels_its_requests(sent):
    async def scenario():
        async with harness() as h, caller(h) as (_, writer):
            writer.write(sent)
            await h.until_sent(*(n for n in (b"a", b"b") if n + b" HTTP" in sent))
            writer.close()
            await h.until(lambda: sorted(h.cancelled) == sorted(h.sent))
            assert {reason for reason, _ in unanswered(h)} == {EndReason.CALLER_LEFT}

    run(scenario())


def test_a_caller_that_closes_during_a_silent_stream_cancels_it():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"stream"))
            await read_until(reader, b"begin")
            writer.close()
            await h.until(lambda: h.cancelled == [b"stream"])

    run(scenario())


def test_requests_that_were_passed_on_are_answered_when_the_connection_is_to_close():
    async def scenario():
        names = [b"r%d" % n for n in range(6)]
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(b"".join(get(name) for name in names))
            await h.until_sent(*names)
            h.conns[0].closing = True
            h.release(names[0])
            data = await read_until(reader, b"by r0")
            h.release(*names[1:])
            data += await read_to_end(reader)
            assert data.count(b"HTTP/1.1 200") == 6
            assert data.count(b"connection: close") == 1
            assert data.rindex(b"HTTP/1.1 200") < data.index(b"connection: close")
            assert not h.ends

    run(scenario())


def test_requests_that_are_dropped_behind_a_closing_answer_are_counted():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a"))
            await h.until_sent(b"a")
            h.conns[0].closing = True
            h.release(b"a")
            await read_until(reader, b"by a")
            writer.write(get(b"b") + get(b"c") + b"GET /d")
            await read_to_end(reader)
            await h.until(lambda: h.tasks[0].done())
            assert h.tally.ended == {EndReason.CLOSING_ANSWER: 2} and h.tally.read == 3

    run(scenario())


def test_bytes_that_are_dropped_unread_are_counted():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a", b"connection: close"))
            await h.until_sent(b"a")
            h.release(b"a")
            await read_until(reader, b"by a")
            writer.write(b"x" * 100)
            await read_to_end(reader)
            await h.until(lambda: h.tasks[0].done())
            assert h.tally.dropped_bytes == {EndReason.CLOSING_ANSWER: 100}

    run(scenario())


def test_a_request_behind_a_closing_answer_that_has_begun_is_not_passed_on():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"first") + get(b"stream"))
            await h.until_sent(b"first", b"stream")
            h.conns[0].closing = True
            h.release(b"first")
            data = await read_until(reader, b"begin")
            writer.write(get(b"late"))
            await h.until(lambda: h.ends)
            h.release(b"stream", b"late")
            data += await read_to_end(reader)
            assert data.count(b"HTTP/1.1 200") == 2 and data.count(b"connection: close") == 1
            assert b"end of stream" in data and b"late" not in h.sent
            assert [reason for reason, _ in unanswered(h)] == [EndReason.CLOSING_ANSWER]

    run(scenario())


@pytest.mark.parametrize(
    ("bad", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /b HTTP/1.1\r\n\r\n", b"400"),
        (get(b"b", b"big: " + b"x" * 20_000), b"431"),
    ],
    ids=["malformed", "no host", "too large"],
)
def test_requests_ahead_of_a_bad_head_are_answered_and_then_the_bad_one(bad, status):
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a") + get(b"b") + bad)
            await h.until_sent(b"a", b"b")
            await asyncio.sleep(0.05)
            h.release(b"a")
            data = await read_until(reader, b"by a")
            h.release(b"b")
            data += await read_to_end(reader)
            assert [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]] == [b"200", b"200", status]
            assert not h.ends

    run(scenario())


def test_requests_ahead_of_a_head_that_takes_too_long_are_answered():
    async def scenario():
        async with harness() as h:
            h.limits = CallerLimits(head_s=0.05)
            async with caller(h) as (reader, writer):
                writer.write(get(b"a") + get(b"b") + b"GET /part")
                await h.until_sent(b"a", b"b")
                await asyncio.sleep(0.2)
                h.release(b"a", b"b")
                data = await read_to_end(reader)
                statuses = [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]
                assert statuses == [b"200", b"200", b"408"]

    run(scenario())


@pytest.mark.parametrize(
    "part", [b"GET /part HTT", post(b"part", b"abc", length=9)], ids=["in a head", "in a body"]
)
def test_requests_ahead_of_one_that_a_half_close_cuts_are_answered(part):
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a") + get(b"b") + part)
            writer.write_eof()
            await h.until_sent(b"a", b"b")
            await asyncio.sleep(0.1)
            h.release(b"a", b"b")
            data = await read_to_end(reader)
            assert data.count(b"HTTP/1.1 200") == 2
            assert b"part" not in h.sent

    run(scenario())


def test_nothing_behind_a_request_that_closes_the_connection_is_passed_on():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a") + get(b"b", b"connection: close") + get(b"c"))
            await h.until_sent(b"a", b"b")
            h.release(b"a", b"b", b"c")
            data = await read_to_end(reader)
            assert data.count(b"HTTP/1.1 200") == 2
            assert b"c" not in h.sent

    run(scenario())


@pytest.mark.parametrize("name", [b"fail", b"lost"], ids=["error", "connection error"])
def test_a_fault_in_one_request_leaves_the_others_on_its_connection_alone(name):
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a") + get(name) + get(b"c"))
            await h.until_sent(b"a", name, b"c")
            h.release(name)
            await asyncio.sleep(0.05)
            h.release(b"a", b"c")
            data = await read_until(reader, b"by c")
            assert [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]] == [b"200", b"502", b"200"]
            assert not h.ends

    run(scenario())


def test_answers_ahead_of_one_that_is_cut_arrive_whole_and_the_rest_is_reported():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a") + get(b"cut") + get(b"c"))
            await h.until_sent(b"a", b"cut", b"c")
            h.release(b"cut", b"a")
            data = await read_to_end(reader)
            assert b"by a" in data and data.count(b"HTTP/1.1 200") == 2
            assert not data.endswith(b"0\r\n\r\n")
            reported = [
                r for reason, rs in unanswered(h) for r in rs if reason.value == "answer_cut"
            ]
            assert reported == ["cut", "c"]

    run(scenario())


@pytest.mark.parametrize(
    ("idle_s", "line"), [(15.9, b"keep-alive: timeout=15\r\n"), (0.9, None), (None, None)]
)
def test_an_answer_tells_for_how_long_its_connection_may_be_idle(idle_s, line):
    async def scenario():
        async with harness() as h:
            h.idle_s = idle_s and (lambda: idle_s)
            async with caller(h) as (reader, writer):
                h.release(b"a", b"b")
                writer.write(get(b"a"))
                kept = await read_until(reader, b"by a")
                writer.write(get(b"b", b"connection: close"))
                last = await read_to_end(reader)
                assert (b"keep-alive" in kept) == (line is not None) and (line or b"") in kept
                assert b"keep-alive" not in last

    run(scenario())


def test_an_idle_time_counts_from_the_last_answer():
    async def scenario():
        async with harness() as h:
            h.limits = CallerLimits(idle_s=1.2)
            async with caller(h) as (reader, writer):
                writer.write(get(b"a"))
                await h.until_sent(b"a")
                await asyncio.sleep(1.0)
                h.release(b"a", b"b")
                await read_until(reader, b"by a")
                await asyncio.sleep(0.5)
                writer.write(get(b"b", b"connection: close"))
                assert b"by b" in await read_to_end(reader)

    run(scenario())


@pytest.mark.parametrize("share", [1.1, 1.4])
def test_a_request_that_comes_after_the_idle_time_is_answered(share):
    # LOST: callers use a connection after its time as well, and its close crossed their requests.
    async def scenario():
        async with harness() as h:
            h.limits = CallerLimits(idle_s=1.0)
            async with caller(h) as (reader, writer):
                writer.write(get(b"a"))
                h.release(b"a", b"b")
                await read_until(reader, b"by a")
                await asyncio.sleep(share)
                writer.write(get(b"b", b"connection: close"))
                assert b"by b" in await read_to_end(reader)

    run(scenario())


def test_an_idle_connection_is_closed_in_the_end(monkeypatch):
    monkeypatch.setattr(idle_wait, "CROSSING_S", 0.1)

    async def scenario():
        async with harness() as h:
            h.limits = CallerLimits(idle_s=0.2)
            async with caller(h) as (reader, writer):
                writer.write(get(b"a"))
                h.release(b"a")
                assert b"by a" in await read_to_end(reader)

    run(scenario())


def test_each_request_that_ends_with_its_process_is_reported():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            writer.write(get(b"a") + get(b"b"))
            await h.until_sent(b"a", b"b")
            h.tasks[0].cancel()
            await read_to_end(reader)
            assert unanswered(h) == [(EndReason.STOPPED, ["a", "b"])]
            assert all(r.was_sent for end in h.ends for r in end.requests)

    run(scenario())


def test_a_caller_that_reads_nothing_is_reported_as_stalled():
    async def scenario():
        async with harness() as h:
            h.limits = CallerLimits(stall_s=0.1)
            async with caller(h) as (_, writer):
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                writer.transport.pause_reading()
                writer.write(get(b"big") + get(b"b"))
                await h.until_sent(b"big", b"b")
                h.release(b"big", b"b")
                await h.until(lambda: h.ends)
                assert unanswered(h) == [(EndReason.CALLER_STALLED, ["big", "b"])]

    run(scenario())


def test_requests_that_were_sent_at_once_to_a_stopping_gateway_are_all_answered():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            await h.until(lambda: h.conns)
            h.conns[0].closing = True
            h.release(b"b", b"c", b"d")
            writer.write(get(b"a") + get(b"b") + get(b"c") + get(b"d"))
            await h.until_sent(b"a", b"b", b"c", b"d")
            h.release(b"a")
            data = await read_to_end(reader)
            assert data.count(b"HTTP/1.1 200") == 4 and data.endswith(b"by d"), data
            assert data.count(b"connection: close") == 1 and not h.ends, unanswered(h)

    run(scenario())


def test_a_stopping_gateway_reads_no_more_requests_than_its_limit():
    async def scenario():
        async with harness() as h, caller(h) as (reader, writer):
            await h.until(lambda: h.conns)
            h.conns[0].closing = True
            names = [b"r%02d" % n for n in range(40)]
            h.release(*names)
            writer.write(b"".join(get(name) for name in names))
            data = await read_to_end(reader)
            assert data.count(b"HTTP/1.1 200") <= pipelining.READ_ON_LIMIT == len(h.sent), h.sent

    run(scenario())
