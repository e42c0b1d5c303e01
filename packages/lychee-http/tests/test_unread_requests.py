"""Requests that were received and not parsed when their connection ends are told as unanswered."""

import asyncio

import pytest

from lychee_http.endings import EndReason
from lychee_http.pipelining import PIPELINE_LIMIT

from .test_pipelining import caller, get, harness, post, run
from .test_review_idle import reset

BEHIND = 3


async def send_behind_a_full_queue(h, writer):
    """Fill the connection's queue, and send requests that come in a segment of their own."""
    names = [b"%d" % n for n in range(PIPELINE_LIMIT)]
    writer.write(b"".join(get(name) for name in names))
    await h.until_sent(*names)
    writer.write(b"".join(post(b"b%d" % n, b"x") for n in range(BEHIND)))
    await h.until(lambda: h.conns[0]._stream.unread_bytes)


@pytest.mark.parametrize(
    "leaves, reason", [(True, EndReason.CALLER_LEFT), (False, EndReason.STOPPED)]
)
def test_requests_received_behind_a_full_queue_are_told(leaves, reason):
    async def scenario():
        async with harness(checks_delivery=False) as h, caller(h) as (_, writer):
            await send_behind_a_full_queue(h, writer)
            if leaves:
                reset(writer)
            else:
                h.tasks[0].cancel()
            await asyncio.wait(h.tasks)
            assert h.tally.ended == {reason: PIPELINE_LIMIT + BEHIND}
            assert sum(end.skipped for end in h.ends) == BEHIND

    run(scenario())


def test_a_part_of_a_request_behind_a_full_queue_is_counted_as_dropped_bytes():
    async def scenario():
        async with harness(checks_delivery=False) as h, caller(h) as (_, writer):
            await send_behind_a_full_queue(h, writer)
            size = h.conns[0]._stream.unread_bytes
            writer.write(b"GET /rest")
            await h.until(lambda: h.conns[0]._stream.unread_bytes > size)
            h.tasks[0].cancel()
            await asyncio.wait(h.tasks)
            assert h.tally.dropped_bytes == {EndReason.STOPPED: size + len(b"GET /rest")}
            assert h.tally.ended == {EndReason.STOPPED: PIPELINE_LIMIT + BEHIND}

    run(scenario())


def test_the_rest_of_a_body_that_is_being_read_is_taken_for_no_request():
    async def scenario():
        async with harness(checks_delivery=False) as h, caller(h) as (_, writer):
            # The content looks like a request.
            writer.write(post(b"a", get(b"inner"), length=1_000))
            await h.until(lambda: h.tally.read)
            h.tasks[0].cancel()
            await asyncio.wait(h.tasks)
            assert h.tally.ended == {EndReason.STOPPED: 1}
            assert not sum(end.skipped for end in h.ends)

    run(scenario())
