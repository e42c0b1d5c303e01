"""Verdicts on a caller that has ended its sending side."""

import asyncio
from types import SimpleNamespace

import pytest
import uvloop

from lychee_http import half_close
from lychee_http.endings import EndReason
from lychee_http.half_close import RESPONSE_PREFIX, HalfCloseWatch

STALL_S = 0.2


class FakeStream:
    def __init__(self, *, acknowledges):
        self.chunks = []
        self.unsent = 0
        self.was_reset = False
        self._acknowledges = acknowledges

    @property
    def written(self):
        return len(self.chunks)

    @property
    def acknowledged(self):
        return self.written if self._acknowledges else 0

    def write(self, data):
        self.chunks.append(data)

    def is_reset(self):
        return self.was_reset

    def is_acknowledged(self):
        return self.acknowledged == self.written

    def acknowledge(self):
        self._acknowledges = True


def watch(stream, *, response_started=False):
    gone = asyncio.get_running_loop().create_future()
    first = SimpleNamespace(response_started=response_started)
    watch = HalfCloseWatch(
        stream=stream, stall_s=STALL_S, first=lambda: first, on_gone=gone.set_result
    )
    watch.start()
    return watch, gone


@pytest.fixture(autouse=True)
def fast(monkeypatch):
    monkeypatch.setattr(half_close, "CHECK_S", 0.001)
    monkeypatch.setattr(half_close, "UNDECIDED_S", 0.01)
    monkeypatch.setattr(half_close, "PROBE_S", 0.01)


@pytest.mark.parametrize("response_started", [False, True])
def test_a_caller_that_acknowledges_nothing_counts_as_gone(response_started):
    async def scenario():
        stream = FakeStream(acknowledges=False)
        _, gone = watch(stream, response_started=response_started)
        async with asyncio.timeout(5):
            reason = await gone
        assert stream.chunks == ([] if response_started else [RESPONSE_PREFIX[:1]])
        # One to whom a byte is on its way may be behind a full link, and has the time to read on.
        assert reason is (EndReason.CALLER_LEFT if response_started else EndReason.CALLER_STALLED)

    uvloop.run(scenario())


def test_a_caller_that_acknowledges_stays_until_it_resets_the_connection():
    async def scenario():
        stream = FakeStream(acknowledges=True)
        watched, gone = watch(stream)
        await asyncio.sleep(0.05)
        assert not gone.done()
        response = b"HTTP/1.1 200 OK\r\n"
        assert b"".join(stream.chunks) == response[: len(stream.chunks)] != b""
        assert b"".join(stream.chunks) + watched.cut_prefix(response) == response
        stream.was_reset = True
        async with asyncio.timeout(5):
            assert await gone is EndReason.CALLER_LEFT

    uvloop.run(scenario())


def test_a_caller_is_probed_until_its_response_begins_and_never_beyond_the_prefix():
    async def scenario():
        stream = FakeStream(acknowledges=True)
        watched, gone = watch(stream)
        async with asyncio.timeout(5):
            while b"".join(stream.chunks) != RESPONSE_PREFIX:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert b"".join(stream.chunks) == RESPONSE_PREFIX and not gone.done()
        watched.complete_prefix()
        assert b"".join(stream.chunks).startswith(b"HTTP/1.1 502 ")

    uvloop.run(scenario())


def test_a_half_closed_caller_whose_full_link_delays_its_acknowledgement_is_not_gone():
    async def scenario():
        stream = FakeStream(acknowledges=False)
        _, gone = watch(stream)
        await asyncio.sleep(0.05)
        stream.acknowledge()
        await asyncio.sleep(0.05)
        assert not gone.done()

    uvloop.run(scenario())


def test_a_half_closed_caller_to_whom_a_part_of_a_stream_is_on_its_way_may_read_on():
    """It counted as gone after the time of one that has acknowledged everything."""

    async def scenario():
        stream = FakeStream(acknowledges=False)
        stream.write(b"a part of a streamed answer")
        _, gone = watch(stream, response_started=True)
        async with asyncio.timeout(5):
            assert await gone is EndReason.CALLER_STALLED

    uvloop.run(scenario())
