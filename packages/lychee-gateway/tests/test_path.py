"""The whole path of a request: caller, gateway and backend server."""

import asyncio
from time import sleep, time

import pytest
from msgspec.json import decode, encode

from lychee_types.messages import (
    Announcement,
)

from .conftest import FakeServer, open_harness, run, services


def test_keyed_and_free_requests_are_answered():
    async def scenario():
        status, booking = FakeServer("s1", "status"), FakeServer("b1", "booking")
        async with open_harness(status, booking) as harness:
            caller = await harness.caller()
            reply = await caller.get(b"/repair-status/spade-7")
            assert (reply.status, reply.body) == (200, b"s1 /repair-status/spade-7 ")
            reply = await caller.get(b"/bench-booking/", method=b"POST", body=b"monday")
            assert (reply.status, reply.body) == (200, b"b1 /bench-booking/ monday")
        sent = status.requests[0].headers
        assert int(sent[b"lychee-token"]) == harness.control.log[-2].index
        assert int(sent[b"lychee-deadline"]) > 0
        assert sent[b"lychee-request-id"]
        assert b"lychee-token" not in booking.requests[0].headers

    run(scenario())


def test_each_key_goes_to_its_one_owner():
    async def scenario():
        servers = [FakeServer(f"s{n}", "status") for n in range(3)]
        async with open_harness(*servers) as harness:
            caller = await harness.caller()
            for _ in range(2):
                for n in range(20):
                    await caller.get(b"/repair-status/k%d" % n)
        targets = [{request.target for request in server.requests} for server in servers]
        assert sum(len(keys) for keys in targets) == len(set().union(*targets)) == 20

    run(scenario())


def now_ms() -> int:
    return int(time() * 1_000)


@pytest.mark.parametrize(
    ("service", "lag_ms", "status"),
    [
        ("status", 0, 200),
        ("status", 3_000, 503),
        ("status", -3_000, 503),
        ("status", None, 503),
        ("booking", 3_000, 200),
        ("booking", None, 200),
    ],
)
def test_an_inaccurate_clock_is_refused_where_only_deadlines_protect(service, lag_ms, status):
    async def scenario():
        server = FakeServer("s1", service)
        async with open_harness(server) as harness:
            wall_ms = 0 if lag_ms is None else now_ms() - lag_ms
            announcement = Announcement(server=server.record(), number=7, wall_ms=wall_ms)
            caller = await harness.caller(announce=True)
            reply = await caller.get(
                b"/_lychee/announce", method=b"POST", body=encode(announcement)
            )
            assert reply.status == status
            assert (b"clock" in reply.body) is (status == 503)

    run(scenario())


def test_a_server_that_checks_tokens_may_have_any_clock():
    async def scenario():
        server = FakeServer("s1", "status")
        async with open_harness(server, document=services(checks_tokens=True)) as harness:
            announcement = Announcement(server=server.record(), number=7, wall_ms=1)
            caller = await harness.caller(announce=True)
            reply = await caller.get(
                b"/_lychee/announce", method=b"POST", body=encode(announcement)
            )
            assert reply.status == 200

    run(scenario())


def test_an_announcement_gets_the_leaders_grant():
    async def scenario():
        server = FakeServer("s1", "status")
        async with open_harness(server) as harness:
            caller = await harness.caller(announce=True)
            body = encode(Announcement(server=server.record(), number=7, wall_ms=now_ms()))
            reply = await caller.get(b"/_lychee/announce", method=b"POST", body=body)
            assert reply.status == 200
            assert decode(reply.body)["number"] == 7
            reply = await caller.get(b"/_lychee/announce", method=b"POST", body=b'{"a":1}')
            assert reply.status == 400 and b"remedy" in reply.body
            assert (await caller.get(b"/_lychee/nothing")).status == 404
            assert (await caller.get(b"/_lychee/announce")).status == 405
            dump = await caller.get(b"/_lychee/dump")
            assert dump.status == 200 and b"id: s1" in dump.body

    run(scenario())


def test_a_keyed_request_without_a_lease_is_not_run():
    async def scenario():
        server = FakeServer("s1", "status")
        async with open_harness(server, document=services(deadline_ms=400)) as harness:
            harness.control.grants_leases = False
            await harness.wait_until(lambda: not harness.gateway.readiness().lease)
            reply = await harness.get(b"/repair-status/k")
            assert reply.status == 503
            assert reply.headers[b"lychee-outcome"] == b"not-run"
            assert reply.headers[b"retry-after"]
            ready = await (await harness.caller(announce=True)).get(b"/_lychee/ready")
            assert ready.status == 503
            harness.control.grants_leases = True
            assert (await harness.get(b"/repair-status/k")).status == 200
        assert len(server.requests) == 1

    run(scenario())


def test_a_stop_completes_requests_in_flight():
    async def scenario():
        async def slow(request):
            await asyncio.sleep(0.2)
            return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

        async with open_harness(FakeServer("b1", "booking", slow)) as harness:
            caller = await harness.caller()
            pending = asyncio.create_task(caller.get(b"/bench-booking/"))
            await harness.wait_until(lambda: harness.servers["b1"].requests)
            harness.gateway.request_stop()
            reply = await pending
            assert reply.body == b"done"
            assert reply.headers[b"connection"] == b"close"
            assert await caller.at_eof()
            await harness.task
            assert harness.gateway.exit_code == 0

    run(scenario())


def test_an_answer_that_is_there_when_the_deadline_passes_is_delivered():
    def answer_and_block(writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes")
        sleep(0.6)

    async def script(request):
        async def step(writer):
            return answer_and_block(writer)

        return step

    async def scenario():
        server = FakeServer("b1", "booking", script)
        async with open_harness(server, document=services(deadline_ms=400)) as harness:
            reply = await harness.get(b"/bench-booking/", method=b"POST", body=b"monday")
            assert (reply.status, reply.body) == (200, b"yes")

    run(scenario())
