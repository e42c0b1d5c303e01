"""A request that an earlier attempt may have run is never told as not run."""

import asyncio

from .conftest import FakeServer, open_world, run


def test_a_refusal_after_an_attempt_that_broke_is_unknown():
    async def scenario():
        first, calls = FakeServer("s1", "guides"), []

        def script(seen):
            calls.append(seen)
            if len(calls) == 1:
                return b""
            return b"HTTP/1.1 503 Busy\r\nLychee-Refused: shed\r\nContent-Length: 0\r\n\r\n"

        first.script = script
        async with open_world(first) as world:
            reply = await world.get(b"/guides/1")
            assert len(calls) > 1
            assert reply.status == 502 and reply.headers[b"lychee-outcome"] == b"unknown"
            await asyncio.sleep(0)

    run(scenario())
