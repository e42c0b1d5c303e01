"""A request that may have been run in an earlier attempt is never answered as not run."""

import asyncio

from .conftest import FakeServer, open_harness, run


def test_a_refusal_after_a_failed_attempt_is_unknown():
    async def scenario():
        first, calls = FakeServer("s1", "guides"), []

        def script(request):
            calls.append(request)
            if len(calls) == 1:
                return b""
            return b"HTTP/1.1 503 Busy\r\nLychee-Refused: shed\r\nContent-Length: 0\r\n\r\n"

        first.script = script
        async with open_harness(first) as harness:
            reply = await harness.get(b"/guides/1")
            assert len(calls) > 1
            assert reply.status == 502 and reply.headers[b"lychee-outcome"] == b"unknown"
            await asyncio.sleep(0)

    run(scenario())
