"""Verdicts on a caller that has ended its sending side."""

import asyncio
from types import SimpleNamespace

import pytest
import uvloop

from lychee_http import half_close
from lychee_http.half_close import RESPONSE_PREFIX, HalfCloseWatch


class FakeStream:
    def __init__(self, *, acknowledges):
        self.written = []
        self.unsent = 0
        self.was_reset = False
        self._acknowledges = acknowledges

    @property
    def acknowledged(self):
        return len(self.written) if self._acknowledges else 0

    def write(self, data):
        self.written.append(data)

    def is_reset(self):
        return self.was_reset

    def is_acknowledged(self):
        return self._acknowledges

    def acknowledge(self):
        self._acknowledges = True


def watch(stream, *, response_started=False):
    gone = asyncio.Event()
    first = SimpleNamespace(response_started=response_started)
    watch = HalfCloseWatch(stream=stream, first=lambda: first, on_gone=gone.set)
    watch.start()
    return watch, gone


@pytest.fixture(autouse=True)
def fast(monkeypatch):
    monkeypatch.setattr(half_close, "CHECK_S", 0.001)
    monkeypatch.setattr(half_close, "UNDECIDED_S", 0.01)
    monkeypatch.setattr(half_close, "UNACKNOWLEDGED_S", 0.2)
    monkeypatch.setattr(half_close, "PROBE_S", 0.01)


@pytest.mark.parametrize("response_started", [False, True])
def test_a_caller_that_acknowledges_nothing_counts_as_gone(response_started):
    async def scenario():
        stream = FakeStream(acknowledges=False)
        _, gone = watch(stream, response_started=response_started)
        async with asyncio.timeout(5):
            await gone.wait()
        assert stream.written == ([] if response_started else [RESPONSE_PREFIX[:1]])

    uvloop.run(scenario())


def test_a_caller_that_acknowledges_stays_until_it_resets_the_connection():
    async def scenario():
        stream = FakeStream(acknowledges=True)
        watched, gone = watch(stream)
        await asyncio.sleep(0.05)
        assert not gone.is_set()
        response = b"HTTP/1.1 200 OK\r\n"
        assert b"".join(stream.written) == response[: len(stream.written)] != b""
        assert b"".join(stream.written) + watched.cut_prefix(response) == response
        stream.was_reset = True
        async with asyncio.timeout(5):
            await gone.wait()

    uvloop.run(scenario())


def test_a_caller_is_probed_until_its_response_begins_and_never_beyond_the_prefix():
    async def scenario():
        stream = FakeStream(acknowledges=True)
        watched, gone = watch(stream)
        async with asyncio.timeout(5):
            while b"".join(stream.written) != RESPONSE_PREFIX:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert b"".join(stream.written) == RESPONSE_PREFIX and not gone.is_set()
        watched.complete_prefix()
        assert b"".join(stream.written).startswith(b"HTTP/1.1 502 ")

    uvloop.run(scenario())


def test_a_half_closed_caller_whose_full_link_delays_its_acknowledgement_is_not_gone():
    async def scenario():
        stream = FakeStream(acknowledges=False)
        _, gone = watch(stream)
        await asyncio.sleep(0.05)
        stream.acknowledge()
        await asyncio.sleep(0.05)
        assert not gone.is_set()

    uvloop.run(scenario())
