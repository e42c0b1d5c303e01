"""Requests with an Idempotency-Key are run at most once and have one outcome."""

import asyncio

from msgspec.json import decode

from lychee_types.messages import (
    EndSession,
    LedgerRequest,
)
from lychee_types.records import LedgerStatus

from .conftest import FakeServer, open_harness, response, run, services


def book(harness, key, body=b"monday"):
    header = b"Idempotency-Key: " + key
    return harness.get(b"/bench-booking/1", method=b"POST", body=body, headers=(header,))


def test_a_resent_request_gets_the_first_response():
    async def scenario():
        server = FakeServer("b1", "booking")
        async with open_harness(server) as harness:
            first, second = await book(harness, b"k"), await book(harness, b"k")
            assert first.status == second.status == 200
            assert first.body == second.body == b"b1 /bench-booking/1 monday"
            other = await book(harness, b"k", body=b"tuesday")
            assert (other.status, other.headers[b"lychee-outcome"]) == (422, b"not-run")
            assert (await book(harness, b"l")).status == 200
        assert len(server.requests) == 2

    run(scenario())


def test_only_the_status_of_a_large_response_is_stored():
    async def scenario():
        server = FakeServer("b1", "booking", lambda request: response(b"x" * 70_000, b"201 Made"))
        async with open_harness(server) as harness:
            assert len((await book(harness, b"k")).body) == 70_000
            again = await book(harness, b"k")
            assert again.status == 201
            assert decode(again.body)["outcome"] == "answered"
        assert len(server.requests) == 1

    run(scenario())


def test_a_failed_exchange_keeps_an_unknown_outcome():
    async def scenario():
        server = FakeServer("b1", "booking", lambda request: b"")
        async with open_harness(server) as harness:
            for _ in range(2):
                reply = await book(harness, b"k")
                assert (reply.status, reply.headers[b"lychee-outcome"]) == (502, b"unknown")
            assert harness.control.ledger["booking/k"].status is LedgerStatus.UNKNOWN
        assert len(server.requests) == 1

    run(scenario())


def test_a_refused_request_may_be_sent_again():
    async def scenario():
        refusal = response(b"", b"503 Busy", b"Lychee-Refused: shed")
        server = FakeServer("b1", "booking", lambda request: refusal)
        async with open_harness(server) as harness:
            reply = await book(harness, b"k")
            assert (reply.status, reply.headers[b"lychee-outcome"]) == (503, b"not-run")
            assert not harness.control.ledger
            server.script = lambda request: response(b"booked")
            assert (await book(harness, b"k")).body == b"booked"

    run(scenario())


def test_without_a_ledger_nothing_is_sent():
    async def scenario():
        server = FakeServer("b1", "booking")
        async with open_harness(server, document=services(deadline_ms=400)) as harness:
            dropped = []
            original = harness.control._handle_message

            def drop_ledger_requests(link, message):
                if isinstance(message, LedgerRequest):
                    dropped.append(message)
                else:
                    original(link, message)

            harness.control._handle_message = drop_ledger_requests
            reply = await book(harness, b"k")
            assert (reply.status, reply.headers[b"lychee-outcome"]) == (503, b"not-run")
            assert reply.headers[b"retry-after"] and dropped
        assert not server.requests

    run(scenario())


def test_a_lost_request_to_open_an_entry_is_resent():
    async def scenario():
        server = FakeServer("b1", "booking", lambda request: response(b"booked"))
        async with open_harness(server) as harness:
            dropped = []
            original = harness.control._handle_message

            def lose_first(link, message):
                if isinstance(message, LedgerRequest) and not dropped:
                    dropped.append(message)
                else:
                    original(link, message)

            harness.control._handle_message = lose_first
            assert (await book(harness, b"k")).body == b"booked"
        assert dropped and len(server.requests) == 1

    run(scenario())


def test_a_resent_request_is_unknown_while_the_first_copy_runs():
    async def scenario():
        release = asyncio.Event()

        async def wait_for_release(request):
            await release.wait()
            return response(b"booked")

        server = FakeServer("b1", "booking", wait_for_release)
        async with open_harness(server) as harness:
            first = asyncio.create_task(book(harness, b"k"))
            await harness.wait_until(lambda: server.requests)
            assert (await book(harness, b"k")).headers[b"lychee-outcome"] == b"unknown"
            release.set()
            assert (await first).body == b"booked"
            assert (await book(harness, b"k")).body == b"booked"
        assert len(server.requests) == 1

    run(scenario())


def test_a_booking_of_a_disconnected_caller_is_completed_and_stored():
    async def scenario():
        release = asyncio.Event()

        async def wait_for_release(request):
            await release.wait()
            return response(b"booked")

        server = FakeServer("b1", "booking", wait_for_release)
        async with open_harness(server) as harness:
            first = asyncio.create_task(book(harness, b"k"))
            await harness.wait_until(lambda: server.requests)
            harness.callers[-1].close()
            first.cancel()
            await asyncio.sleep(0.05)
            release.set()
            await harness.wait_until(
                lambda: harness.control.ledger["booking/k"].status is LedgerStatus.ANSWERED
            )
            assert (await book(harness, b"k")).body == b"booked"
        assert len(server.requests) == 1

    run(scenario())


def test_an_entry_is_closed_under_the_session_that_opened_it():
    async def scenario():
        release = asyncio.Event()

        async def wait_for_release(request):
            await release.wait()
            return response(b"booked")

        server = FakeServer("b1", "booking", wait_for_release)
        async with open_harness(server) as harness:
            session = harness.gateway._control.session
            first = asyncio.create_task(book(harness, b"k"))
            await harness.wait_until(lambda: server.requests)
            for link in harness.control.links:
                link.post(EndSession(session=session))
            await harness.wait_until(lambda: harness.gateway._control.session != session)
            await harness.wait_until(lambda: harness.gateway._control.replica)
            release.set()
            assert (await first).body == b"booked"
            await harness.wait_until(
                lambda: harness.control.ledger["booking/k"].status is LedgerStatus.ANSWERED
            )

    run(scenario())
