"""Whatever ends a caller's connection, the caller itself gets each answer whole, or has left."""

import asyncio
import socket
from contextlib import asynccontextmanager
from itertools import product

import pytest

from lychee_http import CallerLimits, ResponseHead
from lychee_http.callers import CallerConnections
from lychee_http.delivery import LINGER_S, Delivery, Outcome, Progress, SentResponses
from lychee_http.endings import EndReason
from lychee_http.listener import Listener
from lychee_types.records import Endpoint

from .test_pipelining import Harness, get, harness, post, run

BODY = b"x" * 250_000
"""More than fits into the receive buffer of a caller on a slow link."""

READ_BYTES = 6_500
READ_S = 0.05
"""A slow link's caller reads :data:`READ_BYTES` each :data:`READ_S` seconds."""

SEND_ON_S = 1.2
"""Time after which the caller sends another request, in seconds."""


class SlowHarness(Harness):
    """Answers ``/slow`` with :data:`BODY`, reading no body; ``/none`` ends without an answer."""

    is_stopping = False

    def _connected(self, stream):
        super()._connected(stream)
        self.conns[-1].closing = self.is_stopping

    async def _handle(self, exchange):
        name = exchange.head.target[1:]
        if name == b"slow":
            exchange.request_id = name.decode()
            await exchange.send(ResponseHead(status=200, headers=()), BODY)
        elif name == b"none":
            await self._event(name).wait()
        else:
            await super()._handle(exchange)


def slow_harness():
    return harness(SlowHarness, checks_delivery=False)


class SlowCaller:
    """A caller on a slow link, which sends on while it reads its answer."""

    def __init__(self, endpoint):
        self.received = bytearray()
        self._loop = asyncio.get_running_loop()
        self._endpoint = endpoint
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self._sock.setblocking(False)

    async def open(self, data):
        await self._loop.sock_connect(self._sock, (self._endpoint.host, self._endpoint.port))
        await self._loop.sock_sendall(self._sock, data)

    async def read_slowly(self, *, then_send):
        """Read until the end of the stream or a reset; send more after :data:`SEND_ON_S`."""
        send_at = self._loop.time() + SEND_ON_S
        while True:
            try:
                if then_send and self._loop.time() >= send_at:
                    then_send = await self._loop.sock_sendall(self._sock, then_send)
                data = await self._loop.sock_recv(self._sock, READ_BYTES)
            except (ConnectionResetError, BrokenPipeError):
                return
            if not data:
                return
            self.received += data
            await asyncio.sleep(READ_S)

    def close(self):
        self._sock.close()


@asynccontextmanager
async def slow_caller(h, data):
    caller = SlowCaller(h.endpoint)
    try:
        await caller.open(data)
        yield caller
    finally:
        caller.close()


@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(get(b"slow", b"connection: close"), id="asked to close"),
        pytest.param(get(b"slow").replace(b"1.1", b"1.0"), id="HTTP 1.0"),
        pytest.param(post(b"slow", b"b", length=1 << 25), id="body not read"),
        pytest.param(get(b"slow") + b"\0bad\r\n\r\n", id="malformed head behind"),
        pytest.param(get(b"slow") + get(b"cut"), id="cut answer behind"),
        pytest.param(get(b"slow") + get(b"none"), id="no answer behind"),
        pytest.param(
            get(b"slow", b"connection: keep-alive").replace(b"1.1", b"1.0")
            + get(b"cut").replace(b"1.1", b"1.0"),
            id="HTTP 1.0 cut answer behind",
        ),
    ],
)
def test_an_answer_on_a_slow_link_is_whole_at_a_caller_that_sends_on(sent):
    async def scenario():
        async with slow_harness() as h, slow_caller(h, sent) as caller:
            h.release(b"cut", b"none", b"late")
            await h.until(lambda: h.tally.answered)
            await read_whole_answer(caller)

    run(scenario())


def test_a_closing_answer_of_a_stop_is_whole_on_a_slow_link():
    async def scenario():
        async with slow_harness() as h:
            h.is_stopping = True
            async with slow_caller(h, get(b"slow")) as caller:
                await h.until(lambda: h.tally.answered)
                await read_whole_answer(caller)

    run(scenario())


def test_a_stop_takes_no_connection_for_idle_whose_answer_is_on_its_way():
    async def scenario():
        async with slow_harness() as h, slow_caller(h, get(b"slow")) as caller:
            h.release(b"late")
            await h.until(lambda: h.tally.answered)
            h.conns[0].close_if_idle()
            await read_whole_answer(caller)

    run(scenario())


async def read_whole_answer(caller):
    await caller.read_slowly(then_send=get(b"late") + b"x" * 2_000)
    head, _, rest = bytes(caller.received).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200") and rest[: len(BODY)] == BODY, len(rest)


def test_an_answer_that_is_on_its_way_for_the_idle_time_is_whole():
    async def scenario():
        async with slow_harness() as h:
            # Kept for 0.2 s, less than the answer takes.
            h.limits = CallerLimits(idle_s=-1.2)
            async with slow_caller(h, get(b"slow")) as caller:
                h.release(b"late")
                await read_whole_answer(caller)

    run(scenario())


def test_a_whole_answer_of_an_api_is_delivered_on_a_slow_link():
    async def handle(head, conn):
        await conn.send(ResponseHead(status=200, headers=()), BODY)

    async def refuse(exc, conn):
        await conn.send(ResponseHead(status=exc.status, headers=()), b"")

    async def scenario():
        conns = CallerConnections(
            handle=handle, refuse=refuse, answer_failure=handle, on_invariant_error=print
        )
        listener = Listener(endpoint=Endpoint(host="127.0.0.1", port=0), accept=conns.accept)
        listener.start()
        async with slow_caller(listener, get(b"slow", b"connection: close")) as caller:
            await caller.read_slowly(then_send=get(b"late"))
        await listener.stop()
        rest = bytes(caller.received).partition(b"\r\n\r\n")[2]
        assert rest == BODY, len(rest)

    run(scenario())


def test_a_caller_that_reads_nothing_holds_its_connection_for_the_stall_time_only():
    async def scenario():
        async with slow_harness() as h:
            h.is_stopping = True
            h.limits = CallerLimits(stall_s=0.3)
            async with slow_caller(h, get(b"slow")):
                await h.until(lambda: h.tasks and h.tasks[0].done())
                assert h.tally.undelivered == {EndReason.CALLER_STALLED: 1}, h.tally.summary()

    run(scenario())


def test_an_answer_that_a_stop_cuts_is_counted():
    async def scenario():
        async with slow_harness() as h:
            h.is_stopping = True
            async with slow_caller(h, get(b"slow")):
                await h.until(lambda: h.tally.answered)
                h.tasks[0].cancel()
                await h.until(lambda: h.tasks[0].done())
                assert h.tally.undelivered == {EndReason.STOPPED: 1}, h.tally.summary()

    run(scenario())


STEP_S = 1.0
STALL_S = 3.0
SIZE = 3

EVENTS = ("time", "acknowledged", "ended", "left")
"""What can happen next: time passes, bytes are acknowledged, the peer ends its side or leaves."""


class Peer:
    """A peer that acknowledges :data:`SIZE` bytes one by one, as a sequence of events says."""

    def __init__(self):
        self.now = 0.0
        self.heard_at = 0.0
        self.unacknowledged = SIZE
        self.has_all_since = None
        self.has_ended = False
        self.has_left = False

    def take(self, event):
        match event:
            case "time":
                self.now += STEP_S
            case "acknowledged" if self.unacknowledged:
                self.unacknowledged -= 1
                self.heard_at = self.now
            case "ended":
                self.has_ended = True
            case "left":
                self.has_left = True
        if not self.unacknowledged and self.has_all_since is None:
            self.has_all_since = self.now

    def progress(self):
        return Progress(
            now=self.now,
            unacknowledged=self.unacknowledged,
            has_ended=self.has_ended,
            has_left=self.has_left,
        )

    def expected(self):
        """Return the only outcome that is right now, None if the connection must stay open."""
        if self.has_left:
            return Outcome.PEER_LEFT
        if self.has_all_since is not None:
            has_seen = self.has_ended or self.now >= self.has_all_since + LINGER_S
            return Outcome.DELIVERED if has_seen else None
        return Outcome.STALLED if self.now >= self.heard_at + STALL_S else None


def test_a_connection_closes_only_when_its_peer_has_everything_or_has_left_or_stalls():
    for events in product(EVENTS, repeat=7):
        peer = Peer()
        delivery = Delivery(now=0.0, stall_s=STALL_S, linger_s=LINGER_S)
        for event in (None, *events):
            peer.take(event)
            step = delivery.step(peer.progress())
            outcome = step if isinstance(step, Outcome) else None
            assert outcome is peer.expected(), (events, event)
            if outcome is not None:
                break
            assert step.at > peer.now, "waiting does not end in a busy loop"


def test_responses_are_remembered_until_their_last_byte_is_acknowledged():
    sent = SentResponses()
    sent.add(end=10, request="a")
    sent.add(end=20, request="b")
    sent.forget(acknowledged=9)
    assert len(sent) == 2
    sent.forget(acknowledged=19)
    assert sent.take() == ("b",) and not sent
