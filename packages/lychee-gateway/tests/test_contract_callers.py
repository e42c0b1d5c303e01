"""Requests of callers, as tables: each gets a clear status and never bytes of another one."""

import asyncio
from dataclasses import dataclass

import pytest

from lychee_http import CallerLimits

from .conftest import FakeServer, open_harness, response, run, services

BIG_HEAD = b"X-Big: " + b"x" * 20_000 + b"\r\n"


@dataclass
class Case:
    """Bytes that a caller sends, the statuses it gets and the targets that servers receive.

    ``kept`` is whether the connection stays open.
    """

    name: str
    sent: bytes
    statuses: tuple
    targets: tuple = ()
    kept: bool = False


def get(target, *headers):
    return b"GET " + target + b" HTTP/1.1\r\nHost: h\r\n" + b"".join(headers) + b"\r\n"


def post(headers, body=b""):
    return b"POST /bench-booking/x HTTP/1.1\r\nHost: h\r\n" + headers + b"\r\n" + body


CASES = (
    Case(
        "pipelined requests are answered in order",
        get(b"/repair-status/a") + get(b"/repair-status/b") + get(b"/repair-status/c"),
        (200, 200, 200),
        (b"/repair-status/a", b"/repair-status/b", b"/repair-status/c"),
        kept=True,
    ),
    Case(
        "HEAD then GET",
        get(b"/repair-status/a").replace(b"GET", b"HEAD") + get(b"/repair-status/b"),
        (200, 200),
        (b"/repair-status/a", b"/repair-status/b"),
        kept=True,
    ),
    Case(
        "escapes of upper and lower case",
        get(b"/repair-status/%C3%87at%C4%B1") + get(b"/repair-status/%c3%87at%c4%b1?x=%2f"),
        (200, 200),
        (b"/repair-status/%C3%87at%C4%B1", b"/repair-status/%c3%87at%c4%b1?x=%2f"),
        kept=True,
    ),
    Case(
        "an escaped slash stays escaped",
        get(b"/repair-status/a%2Fb%2fc/d") + get(b"/repair-status/Skaftv%C3%A6rkstedet//e"),
        (200, 200),
        (b"/repair-status/a%2Fb%2fc/d", b"/repair-status/Skaftv%C3%A6rkstedet//e"),
        kept=True,
    ),
    Case("raw bytes beyond ASCII", get("/repair-status/Çatı".encode()), (400,)),
    Case("an incomplete escape", get(b"/repair-status/a%2"), (400,), kept=False),
    Case("no key", get(b"/repair-status/"), (400,)),
    Case("a dot segment as key", get(b"/repair-status/%2e%2E/x"), (400,)),
    Case("no such service", get(b"/nothing"), (404,), kept=True),
    Case(
        "absolute form",
        get(b"http://h/repair-status/a"),
        (200,),
        (b"/repair-status/a",),
        kept=True,
    ),
    Case("length and chunks", post(b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), (400,)),
    Case("negative length", post(b"Content-Length: -1\r\n"), (400,)),
    Case("malformed length", post(b"Content-Length: 3x\r\n", b"abc"), (400,)),
    Case("signed length", post(b"Content-Length: +3\r\n", b"abc"), (400,)),
    Case("two lengths", post(b"Content-Length: 3\r\nContent-Length: 4\r\n", b"abcd"), (400,)),
    Case("list of lengths", post(b"Content-Length: 3, 4\r\n", b"abcd"), (400,)),
    Case("unknown transfer coding", post(b"Transfer-Encoding: gzip\r\n", b"abcd"), (501,)),
    Case("two transfer codings", post(b"Transfer-Encoding: gzip, chunked\r\n"), (501,)),
    Case("bad chunk size", post(b"Transfer-Encoding: chunked\r\n", b"zz\r\n"), (400,)),
    Case("space before the colon", post(b"Content-Length : 3\r\n", b"abc"), (400,)),
    Case("no Host", b"GET /repair-status/a HTTP/1.1\r\n\r\n", (400,)),
    Case("not HTTP", b"\x16\x03\x01\x02\x00\x01\r\n\r\n", (400,)),
    Case("CONNECT", b"CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n", (501,)),
    Case("oversized head", get(b"/repair-status/a", BIG_HEAD), (431,)),
    Case("oversized declared body", post(b"Content-Length: 2000000\r\n"), (413,)),
    Case(
        "oversized chunked body",
        post(b"Transfer-Encoding: chunked\r\n", b"150000\r\n" + b"x" * 0x150000 + b"\r\n0\r\n\r\n"),
        (413,),
    ),
    Case("bad request id", get(b"/repair-status/a", b"Lychee-Request-Id: a b\r\n"), (400,)),
    Case(
        "bad idempotency key",
        post(b"Idempotency-Key: \xc3\xa5\r\nContent-Length: 0\r\n"),
        (400,),
    ),
    Case(
        "chunked body is passed on with its length",
        post(b"Transfer-Encoding: chunked\r\n", b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
        (200,),
        (b"/bench-booking/x",),
        kept=True,
    ),
    Case(
        "Connection: close",
        get(b"/repair-status/a", b"Connection: close\r\n"),
        (200,),
        (b"/repair-status/a",),
    ),
    Case(
        "HTTP/1.0",
        b"GET /repair-status/a HTTP/1.0\r\n\r\n",
        (200,),
        (b"/repair-status/a",),
    ),
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_each_request_gets_a_clear_status(case):
    async def scenario():
        servers = FakeServer("s1", "status"), FakeServer("b1", "booking")
        async with open_harness(*servers) as harness:
            caller = await harness.caller()
            caller.write(case.sent)
            method = case.sent.split(b" ")[0]
            replies = [await caller.reply(method=method)]
            replies += [await caller.reply() for _ in case.statuses[1:]]
            assert tuple(reply.status for reply in replies) == case.statuses
            for reply in replies:
                if reply.status != 200:
                    assert reply.headers[b"lychee-outcome"] == b"not-run"
                    assert b'"remedy"' in reply.body
            for target, reply in zip(case.targets, replies, strict=False):
                assert not reply.body or target in reply.body
            if case.kept:
                again = await caller.get(b"/repair-status/again")
                assert again.body == b"s1 /repair-status/again "
            else:
                assert await caller.at_eof()
            assert (await harness.get(b"/repair-status/after")).status == 200
            targets = [s.target for server in servers for s in server.requests]
            others = (b"/repair-status/again", b"/repair-status/after")
            assert tuple(target for target in targets if target not in others) == case.targets

    run(scenario())


def test_a_second_request_during_the_first_waits_for_its_own_response():
    async def scenario():
        async def slow(request):
            await asyncio.sleep(0.05)
            return response(request.target)

        async with open_harness(FakeServer("s1", "status", slow)) as harness:
            caller = await harness.caller()
            caller.write(get(b"/repair-status/first"))
            await harness.wait_until(lambda: harness.servers["s1"].requests)
            caller.write(get(b"/repair-status/second"))
            assert (await caller.reply()).body == b"/repair-status/first"
            assert (await caller.reply()).body == b"/repair-status/second"

    run(scenario())


def test_a_slow_head_is_timed_out():
    async def scenario():
        async with open_harness(FakeServer("s1", "status")) as harness:
            harness.gateway._callers._limits = CallerLimits(head_s=0.05, idle_s=5)
            caller = await harness.caller()
            caller.write(b"GET /repair-status/a HTTP/1.1\r\nHo")
            assert (await caller.reply()).status == 408
            assert await caller.at_eof()

    run(scenario())


def test_a_slow_body_is_timed_out_as_not_run():
    async def scenario():
        server = FakeServer("b1", "booking")
        async with open_harness(server, document=services(deadline_ms=400)) as harness:
            caller = await harness.caller()
            caller.write(post(b"Content-Length: 5\r\n", b"ab"))
            reply = await caller.reply()
            assert (reply.status, reply.headers[b"lychee-outcome"]) == (408, b"not-run")
            assert not server.requests

    run(scenario())


def test_a_caller_is_told_to_continue():
    async def scenario():
        async with open_harness(FakeServer("b1", "booking")) as harness:
            caller = await harness.caller()
            caller.write(post(b"Expect: 100-continue\r\nContent-Length: 3\r\n"))
            assert (await caller.reply()).status == 100
            caller.write(b"abc")
            reply = await caller.reply()
            assert reply.body == b"b1 /bench-booking/x abc"
            assert b"expect" not in harness.servers["b1"].requests[0].headers

    run(scenario())


def test_hop_by_hop_headers_are_removed_both_ways():
    async def scenario():
        def script(request):
            return response(
                b"ok",
                b"200 OK",
                b"Keep-Alive: timeout=5",
                b"Connection: keep-alive, X-Hop",
                b"X-Hop: 1",
                b"X-End: 1",
                b"Lychee-Outcome: not-run",
            )

        server = FakeServer("s1", "status", script)
        async with open_harness(server) as harness:
            caller = await harness.caller()
            reply = await caller.get(
                b"/repair-status/a",
                headers=(
                    b"Connection: X-Own, keep-alive",
                    b"X-Own: 1",
                    b"X-End: 1",
                    b"TE: trailers",
                    b"Upgrade: websocket",
                    b"Lychee-Token: 999999",
                    b"Lychee-Deadline: 1",
                    b"Lychee-Request-Id: mine-1",
                ),
            )
            assert reply.headers[b"x-end"] == b"1"
            assert not {b"keep-alive", b"x-hop", b"lychee-outcome"} & set(reply.headers)
            sent = server.requests[0].headers
            assert sent[b"x-end"] == b"1" and sent[b"lychee-request-id"] == b"mine-1"
            assert not {b"x-own", b"te", b"upgrade", b"connection"} & set(sent)
            assert sent[b"lychee-token"] != b"999999" and sent[b"lychee-deadline"] != b"1"

    run(scenario())


def test_a_disconnected_caller_cancels_only_its_idempotent_request():
    async def scenario():
        servers = FakeServer("s1", "status", lambda request: None), FakeServer("b1", "booking")
        release = asyncio.Event()

        async def late(request):
            await release.wait()
            return response(b"booked")

        servers[1].script = late
        async with open_harness(*servers) as harness:
            for target, name in ((b"/repair-status/a", "s1"), (b"/bench-booking/", "b1")):
                caller = await harness.caller()
                caller.write(get(target))
                await harness.wait_until(lambda name=name: harness.servers[name].requests)
                caller.close()
            await harness.wait_until(lambda: servers[0].closed == 1)
            assert servers[1].closed == 0
            release.set()
            await harness.wait_until(lambda: len(harness.gateway._callers) == 0)
            assert harness.gateway.readiness().ready

    run(scenario())


def test_an_internal_error_is_answered_and_the_gateway_keeps_serving(monkeypatch):
    async def scenario():
        async def fail(head, caller):
            raise RuntimeError("a fault")

        async with open_harness(FakeServer("s1", "status")) as harness:
            with monkeypatch.context() as patch:
                patch.setattr(harness.gateway._router, "read_call", fail)
                reply = await harness.get(b"/repair-status/a")
                assert (reply.status, reply.headers[b"lychee-outcome"]) == (500, b"unknown")
            assert (await harness.get(b"/repair-status/a")).status == 200

    run(scenario())


UPGRADE = b"Connection: upgrade\r\nUpgrade: x\r\n"

MORE_CASES = (
    Case(
        "an upgrade is not granted",
        get(b"/repair-status/a", UPGRADE),
        (200,),
        (b"/repair-status/a",),
        True,
    ),
    Case(
        "a request behind an upgrade",
        get(b"/repair-status/a", UPGRADE) + get(b"/repair-status/b"),
        (200, 200),
        (b"/repair-status/a", b"/repair-status/b"),
        True,
    ),
    Case(
        "an upgrade with a body that looks like a request",
        post(UPGRADE + b"Content-Length: 60\r\n", get(b"/repair-status/smuggled")),
        (400,),
    ),
    Case("two Hosts", get(b"/repair-status/a", b"Host: other\r\n"), (400,)),
    Case("HTTP/2.0", b"GET /repair-status/a HTTP/2.0\r\nHost: h\r\n\r\n", (505,)),
    Case(
        "HTTP/1.0 with chunks",
        post(b"Transfer-Encoding: chunked\r\n").replace(b"1.1", b"1.0"),
        (400,),
    ),
    Case("a folded header", get(b"/repair-status/a", b"X: 1\r\n 2\r\n"), (400,)),
    Case("a NUL in a header", get(b"/repair-status/a", b"X: 1\x002\r\n"), (400,)),
    Case(
        "a chunk longer than its size",
        post(b"Transfer-Encoding: chunked\r\n", b"2\r\nabc\r\n0\r\n\r\n"),
        (400,),
    ),
    Case(
        "a good request, then a malformed one",
        get(b"/repair-status/a") + b"nonsense\r\n\r\n",
        (200, 400),
        (b"/repair-status/a",),
    ),
    Case(
        "trailers are dropped",
        post(b"Transfer-Encoding: chunked\r\n", b"1\r\na\r\n0\r\nX-Late: 1\r\n\r\n"),
        (200,),
        (b"/bench-booking/x",),
        True,
    ),
    Case(
        "a large head behind a small request",
        get(b"/repair-status/a") + get(b"/repair-status/b", BIG_HEAD),
        (200, 431),
        (b"/repair-status/a",),
    ),
    Case(
        "an endless head",
        b"GET /repair-status/a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 100_000,
        (431,),
    ),
)


@pytest.mark.parametrize("case", MORE_CASES, ids=lambda case: case.name)
def test_requests_that_a_lenient_parser_would_accept_get_a_clear_status(case):
    test_each_request_gets_a_clear_status(case)
