"""Review of the mend of LOST: what still counts as done though its caller has not got it."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager, suppress

import pytest
import uvloop

from lychee_http import CallerLimits, ResponseHead
from lychee_http.callers import CallerConnections
from lychee_http.listener import Listener
from lychee_types.records import Endpoint

from .test_delivery import BODY, READ_BYTES, READ_S, SlowHarness, slow_harness
from .test_pipelining import Harness, get, harness, post, run

LOOPS = [pytest.param(uvloop.new_event_loop, id="uvloop"), pytest.param(None, id="asyncio")]

LARGE = b"y" * 8_000_000
"""More than the sending system's buffer holds."""

RESET = struct.pack("ii", 1, 0)

TIMEOUT_S = 30


def run_on(loop, work):
    async def bounded():
        async with asyncio.timeout(TIMEOUT_S):
            return await work

    with asyncio.Runner(loop_factory=loop) as runner:
        return runner.run(bounded())


class Caller:
    """A caller of its own system calls, with a small receive buffer."""

    def __init__(self, endpoint, *, buffer_bytes=4_096):
        self.received = bytearray()
        self.was_reset = False
        self._loop = asyncio.get_running_loop()
        self._endpoint = endpoint
        self._sock = socket.socket()
        if buffer_bytes:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self._sock.setblocking(False)

    async def open(self, data):
        await self._loop.sock_connect(self._sock, (self._endpoint.host, self._endpoint.port))
        await self.send(data)

    async def send(self, data):
        await self._loop.sock_sendall(self._sock, data)

    def end(self):
        self._sock.shutdown(socket.SHUT_WR)

    def reset(self):
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self._sock.close()

    async def read(self, *, until=None, size_wanted=1 << 60, size=READ_BYTES, pause_s=READ_S):
        """Read slowly until a text or size, the end or a reset; return whether it goes on."""
        while (until is None or until not in self.received) and len(self.received) < size_wanted:
            try:
                data = await self._loop.sock_recv(self._sock, size)
            except (ConnectionResetError, BrokenPipeError):
                self.was_reset = True
                return False
            if not data:
                return False
            self.received += data
            await asyncio.sleep(pause_s)
        return True

    def close(self):
        self._sock.close()


@asynccontextmanager
async def calling(endpoint, data, **options):
    caller = Caller(endpoint, **options)
    try:
        await caller.open(data)
        yield caller
    finally:
        caller.close()


class LargeHarness(SlowHarness):
    """Answers ``/large`` with :data:`LARGE` in one piece, ``/parts`` in parts without a length."""

    async def _handle(self, exchange):
        name = exchange.head.target[1:]
        if name == b"large":
            await exchange.send(ResponseHead(status=200, headers=()), LARGE)
        elif name == b"parts":
            await exchange.send_head(ResponseHead(status=200, headers=()))
            while True:
                await exchange.send_chunk(b"part " * 2_000)
                self.sent.append(name)
                await self._event(b"next").wait()
        else:
            await super()._handle(exchange)


def large_harness():
    return harness(LargeHarness, checks_delivery=False)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_caller_that_reads_a_large_answer_steadily_is_not_cut_as_stalled(loop):
    async def scenario():
        async with large_harness() as h:
            h.limits = CallerLimits(stall_s=0.5)
            sent = get(b"large", b"connection: close")
            async with calling(h.endpoint, sent, buffer_bytes=65_536) as caller:
                await caller.read(size=40_000, pause_s=0.04)
                rest = bytes(caller.received).partition(b"\r\n\r\n")[2]
                assert len(rest) == len(LARGE), (len(rest), h.tally.summary())

    run_on(loop, scenario())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_half_closed_caller_that_still_reads_an_earlier_answer_is_not_taken_for_gone(loop):
    async def scenario():
        async with slow_harness() as h:
            async with calling(h.endpoint, get(b"slow") + get(b"second")) as caller:
                caller.end()
                await h.until_sent(b"second")
                reading = asyncio.create_task(caller.read())
                await asyncio.sleep(1.6)
                h.release(b"second")
                await reading
                assert BODY in caller.received, (len(caller.received), h.tally.summary())
                assert b"by second" in caller.received, h.tally.summary()

    run_on(loop, scenario())


def test_a_callers_idle_time_begins_when_it_has_its_answer():
    async def scenario():
        async with slow_harness() as h:
            # Callers are told 2 s, and the connection is kept for 5 s; the answer takes 4 s.
            h.idle_s = lambda: 2.0
            h.release(b"next")
            async with calling(h.endpoint, get(b"slow")) as caller:
                assert await caller.read(until=BODY, size=4_400)
                await asyncio.sleep(1.8)
                with suppress(OSError):
                    await caller.send(get(b"next"))
                    await caller.read(until=b"by next")
                assert b"by next" in caller.received, h.tally.summary()

    run_on(None, scenario())


@pytest.mark.parametrize("loop", LOOPS)
def test_an_answer_without_length_that_a_stop_cuts_does_not_look_complete(loop):
    async def scenario():
        async with large_harness() as h:
            sent = get(b"parts").replace(b"1.1", b"1.0")
            async with calling(h.endpoint, sent, buffer_bytes=0) as caller:
                assert await caller.read(until=b"part " * 2_000)
                h.tasks[0].cancel()
                await caller.read()
                assert caller.was_reset, h.tally.summary()

    run_on(loop, scenario())


@pytest.mark.parametrize("loop", LOOPS)
def test_an_answer_without_length_that_a_stall_cuts_does_not_look_complete(loop):
    async def scenario():
        async with large_harness() as h:
            h.limits = CallerLimits(stall_s=0.3)
            h.release(b"next")
            sent = get(b"parts").replace(b"1.1", b"1.0")
            async with calling(h.endpoint, sent) as caller:
                await h.until(lambda: h.tasks and h.tasks[0].done())
                await caller.read(size=1 << 20, pause_s=0.0)
                assert caller.was_reset, (len(caller.received), h.tally.summary())

    run_on(loop, scenario())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_caller_that_sends_its_whole_body_before_it_reads_gets_its_answer(loop):
    async def scenario():
        async with slow_harness() as h:
            async with calling(h.endpoint, post(b"slow", b"b", length=301)) as caller:
                for _ in range(30):
                    with suppress(OSError):
                        await caller.send(b"b" * 10)
                    await asyncio.sleep(0.1)
                await caller.read(pause_s=0.0)
                assert BODY in caller.received, (len(caller.received), h.tally.summary())

    run_on(loop, scenario())


def test_a_small_early_answer_reaches_a_caller_that_still_sends_its_body():
    async def scenario():
        async with harness(EarlyHarness) as h:
            async with calling(h.endpoint, post(b"early", b"b", length=301)) as caller:
                for _ in range(30):
                    # A caller whose sending fails takes its request for cut.
                    await caller.send(b"b" * 10)
                    await asyncio.sleep(0.1)
                await caller.read(pause_s=0.0)
                assert b"early" in caller.received, h.tally.summary()

    run_on(None, scenario())


class EarlyHarness(Harness):
    """Answers without reading the body."""

    async def _handle(self, exchange):
        await exchange.send(ResponseHead(status=200, headers=()), b"early")


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("headers", [(), (b"connection: close",)], ids=["kept", "closing"])
def test_an_answer_that_a_lost_connection_takes_along_is_counted_as_undelivered(loop, headers):
    async def scenario():
        async with slow_harness() as h:
            async with calling(h.endpoint, get(b"slow", *headers)) as caller:
                await h.until(lambda: h.tally.answered)
                caller.reset()
                await h.until(lambda: h.tasks[0].done())
                assert h.tally.undelivered.total() == 1, h.tally.summary()

    run_on(loop, scenario())


def test_a_caller_that_reads_nothing_holds_a_stop_for_the_stall_time_only():
    async def scenario():
        async with slow_harness() as h:
            h.limits = CallerLimits(stall_s=0.3)
            async with calling(h.endpoint, get(b"slow")):
                await h.until(lambda: h.tally.answered)
                async with asyncio.timeout(6):
                    while not h.tasks[0].done():
                        h.conns[0].closing = True
                        h.conns[0].close_if_idle()
                        await asyncio.sleep(0.05)

    run(scenario())


def test_an_api_caller_that_reads_nothing_holds_a_stop_for_the_stall_time_only():
    async def handle(head, conn):
        await conn.send(ResponseHead(status=200, headers=()), BODY)

    async def refuse(exc, conn):
        await conn.send(ResponseHead(status=exc.status, headers=()), b"")

    async def scenario():
        conns = CallerConnections(
            handle=handle,
            refuse=refuse,
            answer_failure=handle,
            on_invariant_error=print,
            limits=CallerLimits(stall_s=0.3),
        )
        listener = Listener(endpoint=Endpoint(host="127.0.0.1", port=0), accept=conns.accept)
        listener.start()
        async with calling(listener.endpoint, get(b"slow")):
            while not len(conns):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            await listener.stop()
            async with asyncio.timeout(6):
                await conns.finish()

    run(scenario())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_request_that_arrives_in_the_turn_of_an_idle_close_is_answered(loop):
    async def scenario():
        async with harness() as h:
            h.release(b"a", b"b")
            async with calling(h.endpoint, get(b"a")) as caller:
                assert await caller.read(until=b"by a", pause_s=0.0)
                await h.until(lambda: h.conns[0].is_idle)
                h.conns[0].close_if_idle()
                caller._sock.send(get(b"b"))
                await caller.read(pause_s=0.0)
                assert b"by b" in caller.received, h.tally.summary()

    run_on(loop, scenario())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_caller_that_never_stops_to_send_after_a_closing_answer_is_let_go(loop):
    async def scenario():
        async with slow_harness() as h:
            h.release(b"a")
            async with calling(h.endpoint, get(b"a", b"connection: close")) as caller:
                with suppress(OSError):
                    while not h.tasks or not h.tasks[0].done():
                        await caller.send(get(b"more") * 500)
                await caller.read(pause_s=0.0)
                assert b"by a" in caller.received, h.tally.summary()

    run_on(loop, scenario())


def test_an_acknowledged_answer_is_not_undelivered_for_the_end_behind_it():
    async def scenario():
        async with slow_harness() as h:
            h.release(b"a")
            async with calling(h.endpoint, get(b"a")) as caller:
                assert await caller.read(until=b"by a", pause_s=0.0)
                await h.until(lambda: h.conns[0].is_idle)
                assert h.conns[0]._stream.unacknowledged == 0
                h.conns[0].close_if_idle()
                await h.until(lambda: h.conns[0]._stream.unacknowledged or h.tasks[0].done())
                h.tasks[0].cancel()
                await h.until(lambda: h.tasks[0].done())
                assert not h.tally.undelivered, h.tally.summary()

    run(scenario())


def test_a_second_answer_on_its_way_is_not_taken_for_one_that_is_not_read():
    async def scenario():
        async with slow_harness() as h:
            # Kept for 0.5 s.
            h.limits = CallerLimits(idle_s=-1.0)
            h.release(b"next")
            async with calling(h.endpoint, get(b"slow")) as caller:
                reading = asyncio.create_task(caller.read(size_wanted=2 * (len(BODY) + 41)))
                await asyncio.sleep(1.6)
                await caller.send(get(b"slow"))
                await reading
                with suppress(OSError):
                    await caller.send(get(b"next"))
                    await caller.read(until=b"by next", pause_s=0.0)
                assert caller.received.count(BODY) == 2, h.tally.summary()
                assert b"by next" in caller.received, h.tally.summary()

    run_on(None, scenario())


@pytest.mark.parametrize("how", ["raises", "stalls", "stops"])
def test_an_apis_answer_without_length_that_breaks_off_does_not_look_complete(how):
    async def handle(head, conn):
        conn.send_head(ResponseHead(status=200, headers=()))
        await conn.send_chunk(b"part", stall_s=1.0)
        if how == "raises":
            await asyncio.sleep(0.1)
            raise RuntimeError("a fault")
        while how == "stalls":
            await conn.send_chunk(b"part" * 10_000, stall_s=0.3)
        await asyncio.Event().wait()

    async def refuse(exc, conn):
        await conn.send(ResponseHead(status=exc.status, headers=()), b"")

    async def fail(conn):
        await conn.send(ResponseHead(status=500, headers=()), b"")

    async def scenario():
        conns = CallerConnections(
            handle=handle, refuse=refuse, answer_failure=fail, on_invariant_error=print
        )
        listener = Listener(endpoint=Endpoint(host="127.0.0.1", port=0), accept=conns.accept)
        listener.start()
        sent = get(b"a").replace(b"1.1", b"1.0")
        async with calling(listener.endpoint, sent, buffer_bytes=0) as caller:
            assert await caller.read(until=b"part", size=100, pause_s=0.0)
            if how == "stops":
                next(iter(conns._tasks)).cancel()
            while len(conns):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            await caller.read(size=1 << 20, pause_s=0.0)
            assert caller.was_reset, len(caller.received)
        await listener.stop()

    run_on(None, scenario())


class CutHarness(SlowHarness):
    """Breaks the answer to ``/cut`` off behind :data:`BODY`."""

    async def _handle(self, exchange):
        await exchange.send_head(ResponseHead(status=200, headers=()))
        await exchange.send_chunk(BODY)
        exchange.truncate()
        self.sent.append(b"cut")


@pytest.mark.parametrize("loop", LOOPS)
def test_a_cut_answer_without_length_that_a_stop_ends_on_its_way_does_not_look_complete(loop):
    async def scenario():
        h = CutHarness()
        listener = Listener(endpoint=Endpoint(host="127.0.0.1", port=0), accept=h.accept)
        listener.start()
        sent = get(b"cut").replace(b"1.1", b"1.0")
        async with calling(listener.endpoint, sent) as caller:
            await h.until_sent(b"cut")
            await asyncio.sleep(0.1)
            h.tasks[0].cancel()
            await caller.read(size=1 << 20, pause_s=0.0)
            assert caller.was_reset, (len(caller.received), h.tally.summary())
        await listener.stop()

    run_on(loop, scenario())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_closing_answer_ends_at_once_though_a_part_of_a_head_follows_it(loop):
    async def scenario():
        async with harness() as h:
            async with calling(h.endpoint, get(b"a", b"connection: close")) as caller:
                await h.until_sent(b"a")
                h.release(b"a")
                caller._sock.send(b"GET /b HTTP/1.1\r\nhost")
                assert not await caller.read(pause_s=0.0)
                assert b"by a" in caller.received and not h.conns[0]._reader.in_head

    run_on(loop, scenario())
