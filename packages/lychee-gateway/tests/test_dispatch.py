"""Request slots, queues and the choice of a server, with real requests."""

import asyncio

from lychee_gateway.bodies import BodyBudget
from lychee_owner import hash_key
from lychee_types.messages import (
    ReportLoad,
)

from .conftest import FakeServer, open_harness, response, run, services


class DelayedResponse:
    """A script with a fixed duration that records how many requests run at once."""

    def __init__(self, seconds, reply=b"ok"):
        self.seconds = seconds
        self.reply = reply
        self.running = 0
        self.max_running = 0

    async def __call__(self, request):
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        await asyncio.sleep(self.seconds)
        self.running -= 1
        return response(self.reply)


async def post_all(harness, count, target=b"/bench-booking/"):
    posts = [harness.get(target + b"%d" % n, method=b"POST", body=b"x") for n in range(count)]
    return await asyncio.gather(*posts)


def test_a_servers_slots_are_never_exceeded():
    async def scenario():
        scripts = [DelayedResponse(0.02), DelayedResponse(0.02)]
        servers = [FakeServer(f"b{n}", "booking", script) for n, script in enumerate(scripts)]
        keyed_script = DelayedResponse(0.02)
        keyed = FakeServer("s1", "status", keyed_script)
        async with open_harness(*servers, keyed) as harness:
            replies = await post_all(harness, 20)
            assert {reply.status for reply in replies} == {200}
            gets = [harness.get(b"/repair-status/%d" % n) for n in range(12)]
            assert {reply.status for reply in await asyncio.gather(*gets)} == {200}
        assert max(script.max_running for script in scripts) == 3 and keyed_script.max_running == 3
        assert all(server.opened <= 3 for server in (*servers, keyed))

    run(scenario())


def test_a_request_that_finds_the_queue_full_is_refused_at_once():
    async def scenario():
        server = FakeServer("b1", "booking", DelayedResponse(0.2))
        async with open_harness(server, document=services(queue=2)) as harness:
            replies = await post_all(harness, 8)
        statuses = sorted(reply.status for reply in replies)
        assert statuses == [200] * 5 + [503] * 3
        for reply in replies:
            if reply.status == 503:
                assert reply.headers[b"lychee-outcome"] == b"not-run"
                assert int(reply.headers[b"retry-after"]) >= 1
        assert len(server.requests) == 5

    run(scenario())


def test_a_request_that_cannot_meet_its_deadline_is_refused_and_not_run():
    async def scenario():
        server = FakeServer("b1", "booking", DelayedResponse(0.4))
        server.slots = 1
        async with open_harness(server) as harness:
            assert (await post_all(harness, 1))[0].status == 200
            replies = await post_all(harness, 5)
        answered = [reply for reply in replies if reply.status == 200]
        refused = [reply for reply in replies if reply.status == 503]
        assert len(answered) == 2 and len(refused) == 3
        assert len(server.requests) == 3

    run(scenario())


def test_a_shed_request_goes_to_another_server():
    async def scenario():
        refusal = response(b"", b"503 Busy", b"Lychee-Refused: shed")
        shedding = FakeServer("b1", "booking", lambda request: refusal)
        async with open_harness(shedding, FakeServer("b2", "booking")) as harness:
            replies = [(await post_all(harness, 1))[0] for _ in range(10)]
        assert {reply.body[:2] for reply in replies} == {b"b2"}

    run(scenario())


def test_a_server_that_fails_fast_is_ejected():
    async def scenario():
        failing = FakeServer("b1", "booking", lambda request: response(b"no", b"500 Error"))
        good = [FakeServer(f"b{n}", "booking", DelayedResponse(0.005)) for n in (2, 3, 4)]
        async with open_harness(failing, *good) as harness:
            while len(failing.requests) < 3:
                await post_all(harness, 4)
            count_before = len(failing.requests)
            await post_all(harness, 20)
            dump = harness.gateway.dump()
        assert len(failing.requests) == count_before < 10
        assert "left out for" in dump

    run(scenario())


def test_a_server_that_slows_down_by_ten_is_ejected():
    async def scenario():
        scripts = [DelayedResponse(0.01) for _ in range(4)]
        servers = [FakeServer(f"b{n}", "booking", s) for n, s in enumerate(scripts)]
        async with open_harness(*servers) as harness:
            await post_all(harness, 60)
            scripts[0].seconds = 0.2
            await post_all(harness, 120)
            assert "left out for" in harness.gateway.dump()

    run(scenario())


def test_an_unreachable_server_fails_no_request():
    async def scenario():
        gone, there = FakeServer("b1", "booking"), FakeServer("b2", "booking")
        async with open_harness(gone, there) as harness:
            unreachable = harness.gateway._servers.get("b1")
            unreachable.pool.endpoint = type(unreachable.pool.endpoint)(host="127.0.0.1", port=1)
            replies = [(await post_all(harness, 1))[0].status for _ in range(10)]
        assert replies == [200] * 10

    run(scenario())


def test_load_and_hot_keys_are_reported():
    async def scenario():
        async with open_harness(FakeServer("s1", "status")) as harness:

            def reports():
                return [m for m in harness.control.received if isinstance(m, ReportLoad)]

            await harness.wait_until(reports)
            caller = await harness.caller()
            for _ in range(30):
                await caller.get(b"/repair-status/hot")
            await harness.wait_until(lambda: any(report.hot_keys for report in reports()))
            report = next(report for report in reports() if report.hot_keys)
            assert report.hot_keys[0].key == hash_key(b"hot")
            assert report.servers[0].answered == 30

    run(scenario())


def test_the_total_size_of_request_bodies_is_limited():
    async def scenario():
        server = FakeServer("b1", "booking", DelayedResponse(0.2))
        async with open_harness(server) as harness:
            harness.gateway._body_budget = BodyBudget(limit=25)
            posts = [
                harness.get(b"/bench-booking/1", method=b"POST", body=b"x" * 10) for _ in range(3)
            ]
            replies = await asyncio.gather(*posts)
            assert sorted(reply.status for reply in replies) == [200, 200, 503]
            assert (await harness.get(b"/bench-booking/1", method=b"POST", body=b"x")).status == 200
        assert len(server.requests) == 3

    run(scenario())
