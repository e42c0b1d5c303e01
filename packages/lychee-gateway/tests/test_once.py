"""Requests with an Idempotency-Key have one outcome, and are run at most once."""

import asyncio

from msgspec.json import decode

from lychee_types.messages import (
    EndSession,
    LedgerRequest,
)
from lychee_types.records import LedgerStatus

from .conftest import FakeServer, answer, open_world, run, services


def book(world, key, body=b"monday"):
    header = b"Idempotency-Key: " + key
    return world.get(b"/bench-booking/1", method=b"POST", body=body, headers=(header,))


def test_a_resent_request_gets_the_first_answer():
    async def scenario():
        server = FakeServer("b1", "booking")
        async with open_world(server) as world:
            first, second = await book(world, b"k"), await book(world, b"k")
            assert first.status == second.status == 200
            assert first.body == second.body == b"b1 /bench-booking/1 monday"
            other = await book(world, b"k", body=b"tuesday")
            assert (other.status, other.headers[b"lychee-outcome"]) == (422, b"not-run")
            assert (await book(world, b"l")).status == 200
        assert len(server.seen) == 2

    run(scenario())


def test_a_large_answer_is_kept_by_its_status():
    async def scenario():
        server = FakeServer("b1", "booking", lambda seen: answer(b"x" * 70_000, b"201 Made"))
        async with open_world(server) as world:
            assert len((await book(world, b"k")).body) == 70_000
            again = await book(world, b"k")
            assert again.status == 201
            assert decode(again.body)["outcome"] == "answered"
        assert len(server.seen) == 1

    run(scenario())


def test_a_broken_exchange_stays_unknown():
    async def scenario():
        server = FakeServer("b1", "booking", lambda seen: b"")
        async with open_world(server) as world:
            for _ in range(2):
                reply = await book(world, b"k")
                assert (reply.status, reply.headers[b"lychee-outcome"]) == (502, b"unknown")
            assert world.control.ledger["booking/k"].status is LedgerStatus.UNKNOWN
        assert len(server.seen) == 1

    run(scenario())


def test_a_refused_request_may_be_sent_again():
    async def scenario():
        refusal = answer(b"", b"503 Busy", b"Lychee-Refused: shed")
        server = FakeServer("b1", "booking", lambda seen: refusal)
        async with open_world(server) as world:
            reply = await book(world, b"k")
            assert (reply.status, reply.headers[b"lychee-outcome"]) == (503, b"not-run")
            assert not world.control.ledger
            server.script = lambda seen: answer(b"booked")
            assert (await book(world, b"k")).body == b"booked"

    run(scenario())


def test_without_a_ledger_nothing_is_sent():
    async def scenario():
        server = FakeServer("b1", "booking")
        async with open_world(server, document=services(deadline_ms=400)) as world:
            taken = []
            real = world.control._take

            def deaf(link, message):
                if isinstance(message, LedgerRequest):
                    taken.append(message)
                else:
                    real(link, message)

            world.control._take = deaf
            reply = await book(world, b"k")
            assert (reply.status, reply.headers[b"lychee-outcome"]) == (503, b"not-run")
            assert reply.headers[b"retry-after"] and taken
        assert not server.seen

    run(scenario())


def test_an_opening_that_an_election_lost_is_asked_for_again():
    async def scenario():
        server = FakeServer("b1", "booking", lambda seen: answer(b"booked"))
        async with open_world(server) as world:
            lost = []
            real = world.control._take

            def lose_first(link, message):
                if isinstance(message, LedgerRequest) and not lost:
                    lost.append(message)
                else:
                    real(link, message)

            world.control._take = lose_first
            assert (await book(world, b"k")).body == b"booked"
        assert lost and len(server.seen) == 1

    run(scenario())


def test_a_request_whose_first_copy_runs_is_unknown_at_once():
    async def scenario():
        release = asyncio.Event()

        async def held(seen):
            await release.wait()
            return answer(b"booked")

        server = FakeServer("b1", "booking", held)
        async with open_world(server) as world:
            first = asyncio.create_task(book(world, b"k"))
            await world.until(lambda: server.seen)
            assert (await book(world, b"k")).headers[b"lychee-outcome"] == b"unknown"
            release.set()
            assert (await first).body == b"booked"
            assert (await book(world, b"k")).body == b"booked"
        assert len(server.seen) == 1

    run(scenario())


def test_a_booking_runs_on_after_its_caller_has_gone_and_is_kept():
    async def scenario():
        release = asyncio.Event()

        async def held(seen):
            await release.wait()
            return answer(b"booked")

        server = FakeServer("b1", "booking", held)
        async with open_world(server) as world:
            first = asyncio.create_task(book(world, b"k"))
            await world.until(lambda: server.seen)
            world.callers[-1].close()
            first.cancel()
            await asyncio.sleep(0.05)
            release.set()
            await world.until(
                lambda: world.control.ledger["booking/k"].status is LedgerStatus.ANSWERED
            )
            assert (await book(world, b"k")).body == b"booked"
        assert len(server.seen) == 1

    run(scenario())


def test_an_entry_is_closed_under_the_session_that_opened_it():
    async def scenario():
        release = asyncio.Event()

        async def held(seen):
            await release.wait()
            return answer(b"booked")

        server = FakeServer("b1", "booking", held)
        async with open_world(server) as world:
            session = world.gateway._control.session
            first = asyncio.create_task(book(world, b"k"))
            await world.until(lambda: server.seen)
            for link in world.control.links:
                link.post(EndSession(session=session))
            await world.until(lambda: world.gateway._control.session != session)
            await world.until(lambda: world.gateway._control.replica)
            release.set()
            assert (await first).body == b"booked"
            await world.until(
                lambda: world.control.ledger["booking/k"].status is LedgerStatus.ANSWERED
            )

    run(scenario())
