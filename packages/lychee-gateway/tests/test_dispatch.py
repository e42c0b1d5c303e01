"""Places, queues and the choice of a server, with real requests."""

import asyncio

from lychee_gateway.bodies import BodyBudget
from lychee_owner import hash_key
from lychee_types.messages import (
    ReportLoad,
)

from .conftest import FakeServer, answer, open_world, run, services


class Busy:
    """A script that takes a time for each request and counts how many run at once."""

    def __init__(self, seconds, reply=b"ok"):
        self.seconds = seconds
        self.reply = reply
        self.running = 0
        self.most = 0

    async def __call__(self, seen):
        self.running += 1
        self.most = max(self.most, self.running)
        await asyncio.sleep(self.seconds)
        self.running -= 1
        return answer(self.reply)


async def post_all(world, count, target=b"/bench-booking/"):
    posts = [world.get(target + b"%d" % n, method=b"POST", body=b"x") for n in range(count)]
    return await asyncio.gather(*posts)


def test_a_servers_slots_are_never_exceeded():
    async def scenario():
        scripts = [Busy(0.02), Busy(0.02)]
        servers = [FakeServer(f"b{n}", "booking", script) for n, script in enumerate(scripts)]
        keyed_script = Busy(0.02)
        keyed = FakeServer("s1", "status", keyed_script)
        async with open_world(*servers, keyed) as world:
            replies = await post_all(world, 20)
            assert {reply.status for reply in replies} == {200}
            gets = [world.get(b"/repair-status/%d" % n) for n in range(12)]
            assert {reply.status for reply in await asyncio.gather(*gets)} == {200}
        assert max(script.most for script in scripts) == 3 and keyed_script.most == 3
        assert all(server.opened <= 3 for server in (*servers, keyed))

    run(scenario())


def test_what_finds_the_queue_full_is_refused_at_once():
    async def scenario():
        server = FakeServer("b1", "booking", Busy(0.2))
        async with open_world(server, document=services(queue=2)) as world:
            replies = await post_all(world, 8)
        statuses = sorted(reply.status for reply in replies)
        assert statuses == [200] * 5 + [503] * 3
        for reply in replies:
            if reply.status == 503:
                assert reply.headers[b"lychee-outcome"] == b"not-run"
                assert int(reply.headers[b"retry-after"]) >= 1
        assert len(server.seen) == 5

    run(scenario())


def test_what_cannot_make_its_deadline_is_refused_and_not_run():
    async def scenario():
        server = FakeServer("b1", "booking", Busy(0.4))
        server.slots = 1
        async with open_world(server) as world:
            assert (await post_all(world, 1))[0].status == 200
            replies = await post_all(world, 5)
        answered = [reply for reply in replies if reply.status == 200]
        refused = [reply for reply in replies if reply.status == 503]
        assert len(answered) == 2 and len(refused) == 3
        assert len(server.seen) == 3

    run(scenario())


def test_a_shed_request_goes_to_another_server():
    async def scenario():
        refusal = answer(b"", b"503 Busy", b"Lychee-Refused: shed")
        shedding = FakeServer("b1", "booking", lambda seen: refusal)
        async with open_world(shedding, FakeServer("b2", "booking")) as world:
            replies = [(await post_all(world, 1))[0] for _ in range(10)]
        assert {reply.body[:2] for reply in replies} == {b"b2"}

    run(scenario())


def test_a_server_that_fails_fast_is_left_out():
    async def scenario():
        failing = FakeServer("b1", "booking", lambda seen: answer(b"no", b"500 Error"))
        good = [FakeServer(f"b{n}", "booking", Busy(0.005)) for n in (2, 3, 4)]
        async with open_world(failing, *good) as world:
            while len(failing.seen) < 3:
                await post_all(world, 4)
            seen = len(failing.seen)
            await post_all(world, 20)
            dump = world.gateway.dump()
        assert len(failing.seen) == seen < 10
        assert "left out for" in dump

    run(scenario())


def test_a_server_that_slows_down_by_ten_is_left_out():
    async def scenario():
        scripts = [Busy(0.01) for _ in range(4)]
        servers = [FakeServer(f"b{n}", "booking", s) for n, s in enumerate(scripts)]
        async with open_world(*servers) as world:
            await post_all(world, 60)
            scripts[0].seconds = 0.2
            await post_all(world, 120)
            assert "left out for" in world.gateway.dump()

    run(scenario())


def test_an_unreachable_server_costs_no_request():
    async def scenario():
        gone, there = FakeServer("b1", "booking"), FakeServer("b2", "booking")
        async with open_world(gone, there) as world:
            dead = world.gateway._servers.get("b1")
            dead.pool.endpoint = type(dead.pool.endpoint)(host="127.0.0.1", port=1)
            replies = [(await post_all(world, 1))[0].status for _ in range(10)]
        assert replies == [200] * 10

    run(scenario())


def test_load_and_hot_keys_are_reported():
    async def scenario():
        async with open_world(FakeServer("s1", "status")) as world:

            def reports():
                return [m for m in world.control.got if isinstance(m, ReportLoad)]

            await world.until(reports)
            caller = await world.caller()
            for _ in range(30):
                await caller.get(b"/repair-status/hot")
            await world.until(lambda: any(report.hot_keys for report in reports()))
            report = next(report for report in reports() if report.hot_keys)
            assert report.hot_keys[0].key == hash_key(b"hot")
            assert report.servers[0].answered == 30

    run(scenario())


def test_request_bodies_are_bounded_in_sum():
    async def scenario():
        server = FakeServer("b1", "booking", Busy(0.2))
        async with open_world(server) as world:
            world.gateway._bodies = BodyBudget(limit=25)
            posts = [
                world.get(b"/bench-booking/1", method=b"POST", body=b"x" * 10) for _ in range(3)
            ]
            replies = await asyncio.gather(*posts)
            assert sorted(reply.status for reply in replies) == [200, 200, 503]
            assert (await world.get(b"/bench-booking/1", method=b"POST", body=b"x")).status == 200
        assert len(server.seen) == 3

    run(scenario())
