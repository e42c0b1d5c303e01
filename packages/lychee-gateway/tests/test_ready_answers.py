"""Answers that arrive in time while the gateway's event loop is busy until after the deadline."""

import asyncio
import socket
import time

import pytest
import uvloop

from lychee_gateway.proxy.attempts import NotRun, PassedOn, Sender, TooLate, WholeAnswer
from lychee_gateway.proxy.codec import ResponseInfo
from lychee_gateway.proxy.held import HeldAnswers
from lychee_gateway.proxy.request_bodies import Body
from lychee_gateway.proxy.resets import ResetRecorder
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.testing import make_limits, make_paths
from lychee_http import RequestHead
from lychee_http.used_connections import UsedConnections
from lychee_types.clock import SystemClock
from lychee_types.ids import DomainName, Incarnation, ServerId, ServiceName
from lychee_types.records import Endpoint
from lychee_types.registry import RegisteredServer, ServerIncarnation

LEFT_S = 0.3
GET = RequestHead(method=b"GET", target=b"/", headers=())
WHOLE = Body(buffered=b"", is_whole=True, rest=lambda: None)


class Codec:
    """Leaves heads as they are; blocks the loop once a request is sent."""

    def __init__(self, block):
        self._block = block

    def forward_request(self, head, *, server, remaining_s):
        asyncio.get_running_loop().call_soon(self._block)
        return head

    def read_response(self, head):
        return ResponseInfo(
            request_id="", is_not_run=False, is_misdirected=False, occupancy=None, is_encoded=False
        )

    def forward_response(self, head):
        return head


class Exchange:
    """A caller's exchange that keeps what is sent to it."""

    def __init__(self):
        self.head = GET
        self.has_requests_behind = False
        self.is_followed = False
        self.is_streamed = False
        self.body = b""

    def record_sending(self, *, server, is_carried):
        pass

    async def send_head(self, head):
        pass

    async def send_chunk(self, chunk):
        self.body += chunk

    async def finish(self):
        pass


def make_record(endpoint):
    return RegisteredServer(
        run=ServerIncarnation(server=ServerId("s1"), incarnation=Incarnation(1)),
        endpoint=endpoint,
        domain=DomainName("d"),
        service=ServiceName("s"),
        release="1",
        slots=1,
    )


async def attempt(*, answer, is_usable=True, reported=None):
    """Return the result of an attempt, and the body that was streamed to its caller.

    :param answer: the bytes that the server sends.
    :param is_usable: whether the gateway's state is recent when the request is sent.
    :param reported: list to which the server's statistics are added.
    """
    clock, exchange = SystemClock(), Exchange()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        kept = []

        def block():
            conn, _ = listener.accept()
            kept.append(conn)
            conn.recv(65_536)
            conn.sendall(answer)
            time.sleep(LEFT_S + 0.1)

        host, port = listener.getsockname()
        record = make_record(Endpoint(host=host, port=port))
        sender = Sender(
            codec=Codec(block),
            paths=make_paths(ServerList(clock=clock, as_of=clock.monotonic), clock),
            limits=make_limits(clock),
            resets=ResetRecorder(on_reset=lambda service: None, clock=clock),
            drain_s=2.0,
            clock=clock,
            is_usable=lambda: is_usable,
        )
        server = ProxyServer(record=record, now=clock.monotonic())
        with HeldAnswers().track(conn=exchange, route="r") as held:
            result = await sender.send(
                exchange=exchange,
                body=WHOLE,
                server=server,
                deadline=clock.monotonic() + LEFT_S,
                request_id="",
                used=UsedConnections(""),
                held=held,
            )
        for conn in kept:
            conn.close()
        if reported is not None:
            reported.append(server.take_stats())
    return result, exchange.body


def response(size):
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size + bytes(size)


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("size", [3, 16_000, 150_000])
def test_an_answer_that_is_there_when_the_deadline_passes_is_delivered(run, size):
    result, streamed = run(attempt(answer=response(size)))
    match result:
        case WholeAnswer(body=body):
            assert len(body) == size
        case PassedOn(is_whole=True):
            assert len(streamed) == size
        case _:
            pytest.fail(f"the answer was lost: {result}")


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nno"])
def test_an_answer_that_is_not_whole_at_the_deadline_is_too_late(run, answer):
    result, _ = run(attempt(answer=answer))
    assert result == TooLate()


def test_nothing_is_sent_by_a_state_that_has_become_outdated_since_the_server_was_selected():
    # A gateway that was paused meanwhile may not know that the server has left.
    result, _ = asyncio.run(attempt(answer=response(3), is_usable=False))
    assert isinstance(result, NotRun) and not result.was_sent


@pytest.mark.parametrize(("answer", "unanswered"), [(b"", 1), (response(3), 0)])
def test_requests_without_an_answer_until_their_deadline_are_reported(answer, unanswered):
    """By these reports the leader tells servers that leave requests unanswered from others."""
    reported = []
    asyncio.run(attempt(answer=answer, reported=reported))
    (stats,) = reported
    assert (stats.unanswered, stats.answers) == (unanswered, 1 - unanswered)
