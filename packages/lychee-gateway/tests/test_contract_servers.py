"""Responses of servers, as tables: no caller gets a late, truncated or repeated one."""

import asyncio
from dataclasses import dataclass

import pytest

from .conftest import FakeServer, echo, open_harness, response, run, services

OK = response(b"ok")


@dataclass
class Case:
    """Bytes that a server sends, and the response to the caller of a non-idempotent request.

    ``reused`` is whether the gateway reuses the connection to the server.
    """

    name: str
    sent: bytes
    status: int
    outcome: bytes = b""
    body: bytes = None
    reused: bool = False


CASES = (
    Case("whole", OK, 200, body=b"ok", reused=True),
    Case(
        "chunked",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        200,
        body=b"ok",
        reused=True,
    ),
    Case(
        "an interim answer first", b"HTTP/1.1 102 Wait\r\n\r\n" + OK, 200, body=b"ok", reused=True
    ),
    Case("no content", b"HTTP/1.1 204 No Content\r\n\r\n", 204, reused=True),
    Case("doubled", OK + OK, 200, body=b"ok"),
    Case("with bytes behind it", OK + b"x", 200, body=b"ok"),
    Case("Connection: close", response(b"ok", b"200 OK", b"Connection: close"), 200, body=b"ok"),
    Case("closed before the head", b"", 502, b"unknown"),
    Case("half a head", b"HTTP/1.1 200 OK\r\nCont\0", 502, b"unknown"),
    Case("short", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok\0", 502, b"unknown"),
    Case(
        "short chunks",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok\0",
        502,
        b"unknown",
    ),
    Case(
        "length and chunks",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        502,
        b"unknown",
    ),
    Case("bad length", b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", 502, b"unknown"),
    Case("no end to be told", b"HTTP/1.1 200 OK\r\n\r\nok\0", 502, b"unknown"),
    Case("not HTTP", b"SSH-2.0-x\r\n\r\n", 502, b"unknown"),
    Case("status 000", response(b"", b"000 Odd"), 502, b"unknown"),
    Case("status 000 before a response", b"HTTP/1.1 000 Odd\r\n\r\n" + OK, 502, b"unknown"),
    Case("status 099", response(b"ok", b"099 Odd"), 502, b"unknown"),
    Case("status 600", response(b"ok", b"600 Odd"), 502, b"unknown"),
    Case("another version", b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 502, b"unknown"),
    Case("another protocol", b"RTSP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 502, b"unknown"),
    Case(
        "an interim answer with content",
        b"HTTP/1.1 100 Go\r\nContent-Length: 99\r\n\r\n" + OK,
        502,
        b"unknown",
    ),
    Case("switched protocols", b"HTTP/1.1 101 Go\r\n\r\n", 502, b"unknown"),
    Case("oversized head", b"HTTP/1.1 200 OK\r\nX: " + b"x" * 99_999, 502, b"unknown"),
    Case("oversized body", response(b"x" * 5_000_000), 502, b"unknown"),
    Case(
        "refused",
        response(b"", b"503 Busy", b"Lychee-Refused: shed", b"Retry-After: 3"),
        503,
        b"not-run",
    ),
    Case(
        "an unmarked 503 counts as run", response(b"no", b"503 Busy"), 503, body=b"no", reused=True
    ),
)


def send_then_close_at_nul(data):
    """Return a script that sends bytes; after a final NUL or no bytes it closes the connection."""

    async def script(request):
        async def step(writer):
            writer.write(data.rstrip(b"\0"))
            await writer.drain()
            if data.endswith(b"\0"):
                return b""
            return b"" if not data else None

        return step if data.endswith(b"\0") or not data else data

    return script


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_each_response_has_one_outcome(case):
    async def scenario():
        server = FakeServer("b1", "booking", send_then_close_at_nul(case.sent))
        async with open_harness(server) as harness:
            caller = await harness.caller()
            reply = await caller.get(b"/bench-booking/x", method=b"POST", body=b"b")
            assert reply.status == case.status
            assert reply.headers.get(b"lychee-outcome", b"") == case.outcome
            if case.body is not None:
                assert reply.body == case.body
            refused = case.outcome == b"not-run"
            assert len(server.requests) == (3 if refused else 1)
            assert reply.headers.get(b"retry-after") == (b"3" if refused else None)
            opened = server.opened
            server.script = echo(b"b1")
            again = await caller.get(b"/bench-booking/again", method=b"POST", body=b"c")
            assert again.body == b"b1 /bench-booking/again c"
            assert (server.opened == opened) == case.reused

    run(scenario())


def test_a_refusal_that_is_sent_again_is_not_taken_for_the_answer_to_the_next_request():
    refusal = response(b"", b"503 Busy", b"Lychee-Refused: shed")
    opened, runs = [], []

    async def scenario():
        async def script(request):
            if not opened:
                opened.append(server.opened)
                return refusal
            runs.append(request.target)
            return refusal + OK if server.opened == opened[0] else OK

        server = FakeServer("b1", "booking", script)
        async with open_harness(server) as harness:
            caller = await harness.caller()
            reply = await caller.get(b"/bench-booking/x", method=b"POST", body=b"b")
            assert reply.status == 200 and len(runs) == 1

    run(scenario())


@pytest.mark.parametrize("named, status", [(b"q1", 200), (b"another", 502)])
def test_an_answer_that_names_another_request_has_an_unknown_outcome(named, status):
    async def scenario():
        answer = response(b"ok", b"200 OK", b"Lychee-Request-Id: " + named)
        server = FakeServer("b1", "booking", send_then_close_at_nul(answer))
        async with open_harness(server) as harness:
            caller = await harness.caller()
            headers = (b"Lychee-Request-Id: q1",)
            reply = await caller.get(
                b"/bench-booking/x", method=b"POST", body=b"b", headers=headers
            )
            assert reply.status == status and len(server.requests) == 1

    run(scenario())


def test_a_response_that_is_due_behind_another_requests_is_not_the_next_ones():
    # REFUSED: the refusal of the second request has no id, and the third one would get it.
    refusal = response(b"", b"503 Busy", b"Lychee-Refused: shed")
    runs = []

    async def scenario():
        async def script(request):
            async def step(writer):
                writer.write(response(b"", b"200 OK", b"Lychee-Request-Id: another"))
                await asyncio.sleep(0.1)
                return refusal

            if request.target.endswith(b"second"):
                return step
            runs.append(request.target)
            await asyncio.sleep(0.1)
            return OK

        server = FakeServer("b1", "booking", script)
        async with open_harness(server) as harness:
            caller = await harness.caller()
            statuses = []
            for name in (b"first", b"second", b"third"):
                target = b"/bench-booking/" + name
                statuses.append((await caller.get(target, method=b"POST", body=b"b")).status)
            assert statuses == [200, 502, 200]
            assert runs == [b"/bench-booking/first", b"/bench-booking/third"]

    run(scenario())


def test_a_request_with_the_id_of_an_earlier_one_gets_its_own_response():
    # REFUSED: the copy of the refusal is due on its connection and bears the same id.
    named = b"Lychee-Request-Id: q1"
    refusal = response(b"", b"503 Busy", b"Lychee-Refused: shed", named)
    runs = []

    async def scenario():
        async def script(request):
            if request.target.endswith(b"first"):
                return refusal
            runs.append(request.target)
            return response(b"ok", b"200 OK", named) if server.opened > refused_on else refusal

        server = FakeServer("b1", "booking", script)
        async with open_harness(server) as harness:
            caller = await harness.caller()
            ask = {"method": b"POST", "body": b"b", "headers": (named,)}
            assert (await caller.get(b"/bench-booking/first", **ask)).status == 503
            refused_on = server.opened
            assert (await caller.get(b"/bench-booking/second", **ask)).status == 200
            assert runs == [b"/bench-booking/second"]

    run(scenario())


def test_a_late_response_has_an_unknown_outcome_and_reaches_no_caller():
    async def scenario():
        async def late(request):
            await asyncio.sleep(0.5 if b"late" in request.target else 0)
            return response(request.target)

        server = FakeServer("b1", "booking", late)
        async with open_harness(server, document=services(deadline_ms=400)) as harness:
            caller = await harness.caller()
            reply = await caller.get(b"/bench-booking/late", method=b"POST", body=b"x")
            assert (reply.status, reply.headers[b"lychee-outcome"]) == (504, b"unknown")
            reply = await caller.get(b"/bench-booking/next", method=b"POST", body=b"x")
            assert reply.body == b"/bench-booking/next"
            await asyncio.sleep(0.3)
            reply = await caller.get(b"/bench-booking/last", method=b"POST", body=b"x")
            assert reply.body == b"/bench-booking/last"
        assert len(server.requests) == 3

    run(scenario())


def test_unsolicited_bytes_on_an_idle_connection_reach_no_caller():
    async def scenario():
        async def script(request):
            async def step(writer):
                writer.write(response(request.target))
                if b"first" in request.target:
                    asyncio.get_running_loop().call_later(0.05, writer.write, OK)
                return b"" if b"end" in request.target else await asyncio.sleep(0.1, None)

            return step

        server = FakeServer("b1", "booking", script)
        async with open_harness(server) as harness:
            caller = await harness.caller()
            for name in (b"/bench-booking/first", b"/bench-booking/second"):
                reply = await caller.get(name, method=b"POST", body=b"x")
                assert reply.body == name
                await asyncio.sleep(0.15)
        assert server.opened == 2

    run(scenario())


def test_a_connection_that_the_server_closed_is_not_written_to():
    async def scenario():
        closing = send_then_close_at_nul(OK + b"\0")
        server = FakeServer("b1", "booking", closing)
        async with open_harness(server) as harness:
            for _ in range(5):
                reply = await harness.get(b"/bench-booking/x", method=b"POST", body=b"x")
                assert reply.status == 200
        assert len(server.requests) == 5

    run(scenario())


def test_an_idempotent_request_is_retried_within_its_budget():
    async def scenario():
        server = FakeServer("s1", "status")
        original = server.script
        attempts = []

        async def flaky(request):
            attempts.append(request.target)
            if len(attempts) == 1:

                async def close_unanswered(writer):
                    return b""

                return close_unanswered
            return original(request)

        server.script = flaky
        async with open_harness(server) as harness:
            assert (await harness.get(b"/repair-status/a")).status == 200
            assert len(attempts) == 2
            server.script = send_then_close_at_nul(b"")
            before = len(server.requests)
            statuses = [(await harness.get(b"/repair-status/a")).status for _ in range(6)]
            assert statuses == [502] * 6
            assert len(server.requests) - before <= 6 + 3

    run(scenario())
