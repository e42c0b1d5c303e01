"""A request that crosses the close of an idle connection at a stop is answered: it was not run."""

import asyncio

import pytest

from lychee_http import ResponseHead
from lychee_http.endings import EndReason

from .test_pipelining import Harness, caller, get, harness, post, read_to_end, read_until, run
from .test_review_idle import reset

IDLE_ANSWER = (ResponseHead(status=408, headers=((b"x-from", b"test"),)), b"not run\n")

CROSSES_S = 0.1
"""Time after the close at which a caller that has not seen it sends a request, in seconds."""


class Answering(Harness):
    """Answers a request that crosses the close of an idle connection."""

    def __init__(self):
        super().__init__()
        self.idle_answer = lambda: IDLE_ANSWER


def answers_of(data):
    """Return status, headers and body of each response in a stream."""
    answers = []
    while data:
        head, _, rest = data.partition(b"\r\n\r\n")
        status, *lines = head.split(b"\r\n")
        headers = dict(line.split(b": ") for line in lines)
        size = int(headers[b"content-length"])
        answers.append((int(status.split()[1]), headers, rest[:size]))
        assert len(rest) >= size, data
        data = rest[size:]
    return answers


async def use(h, reader, writer):
    """Get the answer to a first request, and wait until the connection is idle."""
    writer.write(get(b"a"))
    h.release(b"a", b"b", b"c")
    await read_until(reader, b"by a")
    await h.until(lambda: h.conns[0].is_idle)


async def close_and_cross(h, reader, writer, sent):
    """Close an idle connection as a stop does, send across that, and return what is received."""
    h.conns[0].close_if_idle()
    await asyncio.sleep(CROSSES_S)
    writer.write(sent)
    received = await read_to_end(reader)
    await h.until(h.tasks[0].done)
    return answers_of(received)


@pytest.mark.parametrize(
    ("sent", "behind"),
    [
        pytest.param(get(b"b"), 0, id="one"),
        pytest.param(post(b"b", b"body"), 0, id="one with a body"),
        pytest.param(get(b"b") + get(b"c"), 1, id="two"),
    ],
)
def test_a_request_that_crosses_the_close_of_an_idle_connection_at_a_stop_is_answered(sent, behind):
    async def scenario():
        async with harness(Answering) as h:
            async with caller(h) as (reader, writer):
                await use(h, reader, writer)
                answers = await close_and_cross(h, reader, writer, sent)
            assert [(status, body) for status, _, body in answers] == [(408, b"not run\n")]
            headers = answers[0][1]
            assert headers[b"connection"] == b"close" and headers[b"x-from"] == b"test"
            assert h.sent == [b"a"], "what was answered as not run has run"
            assert (h.tally.answered, h.tally.ended.total()) == (2, behind), h.tally.summary()

    run(scenario())


def test_a_request_whose_caller_resets_after_the_close_does_not_count_as_answered():
    async def scenario():
        async with harness(Answering) as h:
            async with caller(h) as (reader, writer):
                await use(h, reader, writer)
                h.conns[0].close_if_idle()
                await asyncio.sleep(CROSSES_S)
                writer.write(get(b"b"))
                await h.until(lambda: h.conns[0]._reader.discarded)
                reset(writer)
                await h.until(h.tasks[0].done)
            assert (h.tally.answered, h.tally.ended) == (1, {EndReason.IDLE: 1})

    run(scenario())


def test_a_request_that_arrives_before_the_close_is_handled():
    async def scenario():
        async with harness(Answering) as h:
            async with caller(h) as (reader, writer):
                await use(h, reader, writer)
                h.conns[0].close_if_idle()
                # Arrives after the decision and before the connection's task goes on.
                h.conns[0]._stream.data_received(get(b"b"))
                answers = answers_of(await read_to_end(reader))
            assert [(status, body) for status, _, body in answers] == [(200, b"by b")]

    run(scenario())


def test_a_connection_without_a_request_is_closed_silently_at_a_stop():
    async def scenario():
        async with harness(Answering) as h:
            async with caller(h) as (reader, _):
                await h.until(lambda: h.conns and h.conns[0].is_idle)
                h.conns[0].close_if_idle()
                assert await read_to_end(reader) == b""

    run(scenario())


def test_nothing_is_sent_behind_a_closing_answer_at_a_stop():
    async def scenario():
        async with harness(Answering) as h:
            async with caller(h) as (reader, writer):
                writer.write(get(b"a"))
                await h.until_sent(b"a")
                h.conns[0].closing = True
                h.release(b"a")
                while not h.tasks[0].done():
                    h.conns[0].close_if_idle()
                    await asyncio.sleep(0)
                answers = answers_of(await read_to_end(reader))
            assert [(status, body) for status, _, body in answers] == [(200, b"by a")]

    run(scenario())
